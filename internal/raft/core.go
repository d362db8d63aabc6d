package raft

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
	cfg       Config
	random    *rand.Rand
	now       time.Duration
	role      Role
	hardState HardState
	log       memoryLog
	// configurations holds the newest committed member set and those after it; the last is in force.
	configurations  []configuration
	snapshot        Meta // newest durable snapshot
	commit, applied uint64
	refused         uint64

	leader, leaderAddr    string
	lastLeaderContact     time.Duration // when a live leader was last heard; a start counts as well, as a promise made before it may be forgotten
	electionDeadline      time.Duration
	votesGranted          map[string]bool
	campaignAfterTransfer bool // the campaign follows a handover

	fetching  Meta
	fetchFrom string
	fetchAt   time.Duration

	leadership leaderState // of a leader

	// output
	hardStateChanged, logReset  bool
	firstUnstable               uint64 // first index not handed out for storing
	messages, messagesAfterSync []Message
	fetchRequest                *FetchSnapshot
}

// defaultMaxInflight is how many appends may be under way to one follower.
const defaultMaxInflight = 64

// withDefaults fills in the defaults and checks the settings. Failure: Settings.
func (cfg Config) withDefaults() (Config, error) {
	cfg.ElectionTimeout = cmp.Or(cfg.ElectionTimeout, time.Second)
	cfg.HeartbeatInterval = cmp.Or(cfg.HeartbeatInterval, cfg.ElectionTimeout/10)
	cfg.LeaseDuration = cmp.Or(cfg.LeaseDuration, cfg.ElectionTimeout*7/10)
	cfg.MaxAppendBytes = cmp.Or(cfg.MaxAppendBytes, 1<<20)
	cfg.MaxInflightAppends = cmp.Or(cfg.MaxInflightAppends, defaultMaxInflight)
	if cfg.ID == "" || cfg.HeartbeatInterval <= 0 || cfg.HeartbeatInterval >= cfg.ElectionTimeout || cfg.LeaseDuration < 0 || cfg.LeaseDuration >= cfg.ElectionTimeout ||
		cfg.MaxAppendBytes < 0 || cfg.MaxInflightAppends < 0 {
		return cfg, errs.New(errs.Settings, "quorum needs an ID, 0 < Heartbeat < Election, 0 <= Lease < Election, limits above 0")
	}
	return cfg, nil
}

// New makes a core from what the disk had. now is the time on the runtime's clock; the node keeps the promise that it
// may have made to a leader before it was restarted, and campaigns soon after: on a cold start nobody leads.
// Failures: Settings for a bad Config, Damaged for a Boot that no run could have stored.
func New(cfg Config, initial InitialState, now time.Duration) (*Core, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, errs.Pass(err, "config")
	}
	s := initial.Snapshot
	c := &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)), now: now, role: Follower, hardState: initial.HardState,
		snapshot: s, commit: s.Index, applied: s.Index, lastLeaderContact: now, log: memoryLog{offset: s.Index, offsetTerm: s.Term}}
	if len(s.Members) == 0 {
		if s.Index != 0 || len(initial.Entries) != 0 {
			return nil, errs.New(errs.Damaged, "a log without members")
		}
		c.hardState.Blank, c.hardStateChanged = true, true
	} else {
		if err := validateMembers(s.Members); err != nil {
			return nil, errs.Wrap(err, errs.Damaged, "members of the snapshot at index %d", s.Index)
		}
		c.configurations = []configuration{{s.Index, s.Members}}
	}
	if err := c.loadEntries(initial.Entries); err != nil {
		return nil, errs.Pass(err, "stored log")
	}
	c.clearBlank(s.Members)
	c.commitTo(min(c.hardState.Commit, c.log.last()))
	c.electionDeadline = now + c.jitter(cfg.HeartbeatInterval)
	if c.hardState.Leader != cfg.ID {
		c.electionDeadline += c.leaderStickiness()
	}
	return c, nil
}

// loadEntries puts the stored entries after the snapshot into the log. Entries that the snapshot contradicts are void.
// Failure: Damaged.
func (c *Core) loadEntries(entries []Entry) error {
	s := c.snapshot
	if i := slices.IndexFunc(entries, func(e Entry) bool { return e.Index >= s.Index }); i < 0 {
		c.logReset, entries = len(entries) > 0, nil // all of them lie before the snapshot
	} else if entries[i].Index == s.Index {
		if entries[i].Term == s.Term {
			entries = entries[i+1:]
		} else {
			c.logReset, entries = true, nil
		}
	}
	term := s.Term
	for n, e := range entries {
		if e.Index != s.Index+1+uint64(n) || e.Term < term {
			return errs.New(errs.Damaged, "stored entry %d of term %d does not follow index %d, term %d", e.Index, e.Term, s.Index+uint64(n), term)
		}
		term = e.Term
	}
	configurations, err := configurationsOf(entries)
	if err != nil {
		return errs.Wrap(err, errs.Damaged, "members")
	}
	c.configurations = append(c.configurations, configurations...)
	c.log.entries = slices.Clone(entries)
	c.firstUnstable = c.log.last() + 1
	if c.hardState.Term < term { // the vote of that term was never synced, so it was never sent
		c.hardState = HardState{Term: term, Blank: c.hardState.Blank}
		c.hardStateChanged = true
	}
	return nil
}

func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// members is the set in force.
func (c *Core) members() []Member {
	if len(c.configurations) == 0 {
		return nil
	}
	return c.configurations[len(c.configurations)-1].members
}

// clearBlank ends blankness once a committed set names this node a learner.
func (c *Core) clearBlank(ms []Member) {
	if m, ok := findMember(ms, c.cfg.ID); ok && m.Learner && c.hardState.Blank {
		c.hardState.Blank, c.hardStateChanged = false, true
	}
}

// jitter draws a time below limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// resetElectionTimer sets the next campaign to Election..2*Election from now.
func (c *Core) resetElectionTimer() {
	c.electionDeadline = c.now + c.cfg.ElectionTimeout + c.jitter(c.cfg.ElectionTimeout)
}

// becomeFollower makes the node a follower in the term; the leader may be unknown.
func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.hardState.Term {
		c.hardState.Term, c.hardState.Vote, c.hardState.Leader, c.hardStateChanged = term, "", "", true
	}
	if leader != "" && c.hardState.Leader != leader {
		c.hardState.Leader, c.hardStateChanged = leader, true
	}
	if leader != c.leader {
		c.leaderAddr = ""
	}
	if c.role != Follower {
		c.resetElectionTimer()
	}
	c.role, c.leader, c.votesGranted, c.leadership = Follower, leader, nil, leaderState{}
}

// Tick moves the time on: heartbeats, check-quorum and campaigns. Call it four times a Heartbeat: all it does may
// be late by one such step, which the lease must have room for.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now < c.electionDeadline {
		return
	}
	if c.promotable() {
		c.startPreVote()
	} else {
		c.resetElectionTimer()
	}
}

// recordCommit puts the commit index into the hard state that is stored with entries, as they are synced anyway. It stays below
// them: were they torn, older ones that were never committed would stand in their place.
func (c *Core) recordCommit(stored []Entry) {
	if len(stored) == 0 {
		return
	}
	if known := min(c.commit, stored[0].Index-1); known > c.hardState.Commit {
		c.hardState.Commit, c.hardStateChanged = known, true
	}
}

// ElectionDeadline is when a node that does not lead needs its next Tick, unless a message puts that off.
func (c *Core) ElectionDeadline() time.Duration { return c.electionDeadline }

// Ready takes all pending output. Call it after each burst of calls.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.sendAppends()
	}
	r := Ready{ResetLog: c.logReset, Commit: c.commit, Messages: c.messages, MessagesAfterSync: c.messagesAfterSync, Fetch: c.fetchRequest}
	r.Entries = c.log.slice(c.firstUnstable, c.log.last())
	c.recordCommit(r.Entries)
	if c.hardStateChanged {
		h := c.hardState
		r.HardState = &h
	}
	r.CommittedEntries = c.log.slice(c.applied+1, c.commit)
	c.firstUnstable, c.applied = c.log.last()+1, c.commit
	c.hardStateChanged, c.logReset, c.messages, c.messagesAfterSync, c.fetchRequest = false, false, nil, nil, nil
	return r
}
