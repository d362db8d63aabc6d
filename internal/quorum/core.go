package quorum

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"crosstide/internal/errs"
)

// never is before every time.
const never = time.Duration(-1 << 62)

// Core is one node's part in the replication. Make it with New.
type Core struct {
	cfg  Config
	rnd  *rand.Rand
	now  time.Duration
	role Role
	hard Hard
	log  journal
	// confs holds the newest committed member set and those after it; the last is in force.
	configurations  []configuration
	snap            Meta // newest durable snapshot
	commit, applied uint64
	refused         uint64

	leader, leaderAddr string
	heard              time.Duration // last word of a live leader; boot counts as one, we may have forgotten it
	campaignAt         time.Duration
	granted            map[string]bool
	force              bool // the campaign follows a handover

	fetching  Meta
	fetchFrom string
	fetchAt   time.Duration

	lead lead // of a leader

	// output
	dirty, reset bool
	fresh        uint64 // first index not handed out for storing
	out, after   []Message
	fetch        *FetchSnapshot
}

// New makes a core from what the disk had. now is the time on the runtime's clock; the node stays silent for one
// Election at least, as it may have promised that to a leader before it was restarted.
// Failures: Settings for a bad Config, Damaged for a Boot that no run could have stored.
func New(cfg Config, boot Boot, now time.Duration) (*Core, error) {
	cfg.Election = cmp.Or(cfg.Election, time.Second)
	cfg.Heartbeat = cmp.Or(cfg.Heartbeat, cfg.Election/10)
	cfg.Lease = cmp.Or(cfg.Lease, cfg.Election*7/10)
	cfg.MaxBytes = cmp.Or(cfg.MaxBytes, 1<<20)
	cfg.MaxInflight = cmp.Or(cfg.MaxInflight, 64)
	if cfg.ID == "" || cfg.Heartbeat <= 0 || cfg.Heartbeat >= cfg.Election || cfg.Lease < 0 || cfg.Lease >= cfg.Election ||
		cfg.MaxBytes < 0 || cfg.MaxInflight < 0 {
		return nil, errs.New(errs.Settings, "quorum needs an ID, 0 < Heartbeat < Election, 0 <= Lease < Election, limits above 0")
	}
	s := boot.Snapshot
	c := &Core{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)), now: now, role: Follower, hard: boot.Hard,
		snap: s, commit: s.Index, applied: s.Index, heard: now, log: journal{off: s.Index, offTerm: s.Term}}
	c.fresh = s.Index + 1
	if len(s.Members) == 0 {
		if s.Index != 0 || len(boot.Entries) != 0 {
			return nil, errs.New(errs.Damaged, "a log without members")
		}
		c.hard.Blank, c.dirty = true, true
	} else {
		if err := valid(s.Members); err != nil {
			return nil, errs.Wrap(err, errs.Damaged, "members of the snapshot at index %d", s.Index)
		}
		c.configurations = []configuration{{s.Index, s.Members}}
	}
	ents := boot.Entries
	if i := slices.IndexFunc(ents, func(e Entry) bool { return e.Index >= s.Index }); i < 0 {
		c.reset, ents = len(ents) > 0, nil // all of it lies before the snapshot
	} else if ents[i].Index == s.Index {
		if ents[i].Term == s.Term {
			ents = ents[i+1:]
		} else {
			c.reset, ents = true, nil
		}
	}
	term := s.Term
	for n, e := range ents {
		if e.Index != s.Index+1+uint64(n) || e.Term < term {
			return nil, errs.New(errs.Damaged, "stored entry %d of term %d does not follow index %d, term %d", e.Index, e.Term, s.Index+uint64(n), term)
		}
		term = e.Term
	}
	cs, err := configurationsOf(ents)
	if err != nil {
		return nil, errs.Wrap(err, errs.Damaged, "stored log")
	}
	c.configurations = append(c.configurations, cs...)
	c.log.ents = slices.Clone(ents)
	c.fresh = c.log.last() + 1
	if c.hard.Term < term { // the vote of that term was never synced, so never given
		c.hard = Hard{Term: term, Blank: c.hard.Blank}
		c.dirty = true
	}
	c.trust(s.Members)
	c.postpone()
	return c, nil
}

func (c *Core) at(now time.Duration) { c.now = max(c.now, now) }

// members is the set in force.
func (c *Core) members() []Member {
	if len(c.configurations) == 0 {
		return nil
	}
	return c.configurations[len(c.configurations)-1].members
}

// trust ends blankness once a committed set names this node a learner.
func (c *Core) trust(ms []Member) {
	if m, ok := find(ms, c.cfg.ID); ok && m.Learner && c.hard.Blank {
		c.hard.Blank, c.dirty = false, true
	}
}

// postpone sets the next campaign to Election..2*Election from now.
func (c *Core) postpone() {
	c.campaignAt = c.now + c.cfg.Election + time.Duration(c.rnd.Int64N(int64(c.cfg.Election)))
}

// follow makes the node a follower in the term; the leader may be unknown.
func (c *Core) follow(term uint64, leader string) {
	if term > c.hard.Term {
		c.hard.Term, c.hard.Vote, c.dirty = term, "", true
	}
	if leader != c.leader {
		c.leaderAddr = ""
	}
	if c.role != Follower {
		c.postpone()
	}
	c.role, c.leader, c.granted, c.lead = Follower, leader, nil, lead{}
}

// Tick moves the time on: heartbeats, check-quorum and campaigns. Call it four times a Heartbeat: all it does may
// be late by one such step, which the lease must have room for.
func (c *Core) Tick(now time.Duration) {
	c.at(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now < c.campaignAt {
		return
	}
	if c.eligible() {
		c.sound()
	} else {
		c.postpone()
	}
}

// CampaignAt is when a node that does not lead needs its next Tick, unless a message puts that off.
func (c *Core) CampaignAt() time.Duration { return c.campaignAt }

// Ready takes all pending output. Call it after each burst of calls.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.flush()
	}
	r := Ready{Reset: c.reset, Commit: c.commit, Now: c.out, AfterSync: c.after, Fetch: c.fetch}
	if c.dirty {
		h := c.hard
		r.Hard = &h
	}
	r.Append = c.log.cut(c.fresh, c.log.last())
	r.Committed = c.log.cut(c.applied+1, c.commit)
	c.fresh, c.applied = c.log.last()+1, c.commit
	c.dirty, c.reset, c.out, c.after, c.fetch = false, false, nil, nil, nil
	return r
}
