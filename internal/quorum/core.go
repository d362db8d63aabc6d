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

// New makes a core from what the disk had. now is the time on the runtime's clock; the node keeps the promise that it
// may have made to a leader before it was restarted, and campaigns soon after: on a cold start nobody leads.
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
	c.campaignAt = now + c.jitter(cfg.Heartbeat)
	if c.hard.Leader != cfg.ID {
		c.campaignAt += c.promise()
	}
	return c, nil
}

// configurationsOf collects the member sets among entries.
func configurationsOf(es []Entry) (out []configuration, err error) {
	for _, e := range es {
		if e.Kind == Members {
			f, err := configurationOf(e)
			if err != nil {
				return nil, errs.Pass(err, "entries")
			}
			out = append(out, f)
		}
	}
	return out, nil
}

func (c *Core) at(now time.Duration) { c.now = max(c.now, now) }

// members is the set in force.
func (c *Core) members() []Member {
	if len(c.configurations) == 0 {
		return nil
	}
	return c.configurations[len(c.configurations)-1].members
}

// eligible tells whether the node may campaign: a voter of the set in force, or of one before it that may still be
// the committed one. The latter matters when only this node has the entry that removes it: nobody else can win.
// It counts by the set in force also then, that is without itself.
func (c *Core) eligible() bool {
	return !c.hard.Blank && slices.ContainsFunc(c.configurations, func(f configuration) bool { return voter(f.members, c.cfg.ID) })
}

// trust ends blankness once a committed set names this node a learner.
func (c *Core) trust(ms []Member) {
	if m, ok := find(ms, c.cfg.ID); ok && m.Learner && c.hard.Blank {
		c.hard.Blank, c.dirty = false, true
	}
}

// jitter draws a time below limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rnd.Int64N(int64(limit)))
}

// postpone sets the next campaign to Election..2*Election from now.
func (c *Core) postpone() { c.campaignAt = c.now + c.cfg.Election + c.jitter(c.cfg.Election) }

// promise is how long after a word of a leader a node votes for nobody else: the leader's lease, with room for clocks
// that drift apart.
func (c *Core) promise() time.Duration { return c.cfg.Lease + (c.cfg.Election-c.cfg.Lease)/3 }

// loyal tells whether this node has promised not to vote for a candidate yet. The promise is made to the leader of the
// term: once that asks for votes itself, it leads no more.
func (c *Core) loyal(candidate string) bool {
	if c.role == Leader {
		return true
	}
	return c.now < c.heard+c.promise() && candidate != c.hard.Leader
}

// majority gives the highest value that a majority of the voters reaches.
func majority[T cmp.Ordered](ms []Member, of func(id string) T) (out T) {
	var room [9]T
	vs := room[:0]
	for _, m := range ms {
		if !m.Learner {
			vs = append(vs, of(m.ID))
		}
	}
	if len(vs) == 0 {
		return out
	}
	slices.Sort(vs)
	return vs[(len(vs)-1)/2]
}

// won tells whether a majority granted.
func (c *Core) won() bool {
	return majority(c.members(), func(id string) int {
		if c.granted[id] {
			return 1
		}
		return 0
	}) == 1
}

// follow makes the node a follower in the term; the leader may be unknown.
func (c *Core) follow(term uint64, leader string) {
	if term > c.hard.Term {
		c.hard.Term, c.hard.Vote, c.hard.Leader, c.dirty = term, "", "", true
	}
	if leader != "" && c.hard.Leader != leader {
		c.hard.Leader, c.dirty = leader, true
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

// sound asks who would vote for this node.
func (c *Core) sound() {
	c.role, c.leader, c.leaderAddr, c.force = PreCandidate, "", "", false
	c.granted = map[string]bool{c.cfg.ID: true}
	c.campaignAt = c.now + c.cfg.Heartbeat + c.jitter(c.cfg.Heartbeat) // asking again costs little and moves no term
	if c.won() {
		c.campaign(false)
		return
	}
	c.canvass(PreVote, c.hard.Term+1)
}

// campaign opens a term. The requests leave after the vote for itself is synced.
func (c *Core) campaign(force bool) {
	c.role, c.leader, c.force = Candidate, "", force
	c.hard.Term++
	c.hard.Vote, c.hard.Leader, c.dirty = c.cfg.ID, "", true
	c.granted = map[string]bool{c.cfg.ID: true}
	c.postpone()
	if c.won() {
		c.reign(true)
		return
	}
	c.canvass(Vote, c.hard.Term)
}

func (c *Core) canvass(k Kind, term uint64) {
	for _, m := range c.members() {
		if m.ID == c.cfg.ID || m.Learner {
			continue
		}
		msg := Message{Kind: k, From: c.cfg.ID, To: m.ID, Term: term, PrevIndex: c.log.last(), PrevTerm: c.log.lastTerm(), Force: c.force}
		if k == Vote {
			c.after = append(c.after, msg)
		} else {
			c.out = append(c.out, msg)
		}
	}
}

// reply answers m after the sync.
func (c *Core) reply(m Message, r Message) {
	r.From, r.To, r.Sent, r.Blank = c.cfg.ID, m.From, m.Sent, c.hard.Blank
	r.Term = cmp.Or(r.Term, c.hard.Term)
	if r.Kind == PreVoteReply {
		c.out = append(c.out, r)
	} else {
		c.after = append(c.after, r)
	}
}

// current tells whether the log of the sender of a (pre)vote holds at least ours.
func (c *Core) current(m Message) bool {
	t := c.log.lastTerm()
	return m.PrevTerm > t || m.PrevTerm == t && m.PrevIndex >= c.log.last()
}

// Step takes a message of another core. What is malformed or not for this node is dropped.
func (c *Core) Step(now time.Duration, m Message) {
	c.at(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID || m.From == "" {
		return
	}
	switch m.Kind {
	case PreVote:
		if c.hard.Blank {
			return
		}
		if m.Term > c.hard.Term && !c.loyal(m.From) && c.current(m) {
			c.reply(m, Message{Kind: PreVoteReply, Term: m.Term})
		} else {
			c.reply(m, Message{Kind: PreVoteReply, Reject: true})
		}
		return
	case PreVoteReply:
		if m.Reject && m.Term > c.hard.Term {
			c.follow(m.Term, "")
		} else if !m.Reject && c.role == PreCandidate && m.Term == c.hard.Term+1 {
			if c.granted[m.From] = true; c.won() {
				c.campaign(false)
			}
		}
		return
	case Vote:
		if c.hard.Blank || m.Term >= c.hard.Term && !m.Force && c.loyal(m.From) {
			return
		}
	case VoteReply, Append, AppendReply, Snapshot, SnapshotReply, HandoverNow:
	default:
		return
	}
	if m.Term > c.hard.Term {
		c.follow(m.Term, "")
	}
	if m.Term < c.hard.Term {
		switch m.Kind { // tell a leader or candidate of the past
		case Append, Snapshot:
			c.reply(m, Message{Kind: AppendReply, Reject: true})
		case Vote:
			c.reply(m, Message{Kind: VoteReply, Reject: true})
		}
		return
	}
	switch m.Kind {
	case Vote:
		c.onVote(m)
	case VoteReply:
		if c.role == Candidate && !m.Reject {
			if c.granted[m.From] = true; c.won() {
				c.reign(false)
			}
		}
	case Append, Snapshot:
		if c.role == Leader { // a term has one leader
			c.refused++
			return
		}
		c.follow(m.Term, m.From)
		c.heard = c.now
		c.postpone()
		if m.Kind == Append {
			c.onAppend(m)
		} else {
			c.onSnapshot(m)
		}
	case AppendReply, SnapshotReply:
		if c.role == Leader {
			c.onReply(m)
		}
	case HandoverNow:
		if c.role == Follower && c.eligible() && c.leader == m.From {
			c.campaign(true)
		}
	}
}

func (c *Core) onVote(m Message) {
	free := c.hard.Vote == "" && c.hard.Leader == "" || c.hard.Vote == m.From
	if !free || !c.current(m) {
		c.reply(m, Message{Kind: VoteReply, Reject: true})
		return
	}
	c.follow(c.hard.Term, c.leader)
	if c.hard.Vote != m.From {
		c.hard.Vote, c.dirty = m.From, true
	}
	c.postpone()
	c.reply(m, Message{Kind: VoteReply})
}

func (c *Core) onAppend(m Message) {
	term := m.PrevTerm
	for n, e := range m.Entries {
		if e.Index != m.PrevIndex+1+uint64(n) || e.Term < term || e.Term > m.Term {
			return
		}
		term = e.Term
	}
	match := m.PrevIndex + uint64(len(m.Entries))
	if m.PrevIndex < c.commit { // what is committed is the same in every leader's log
		if match <= c.commit {
			c.reply(m, Message{Kind: AppendReply, Match: c.commit, PrevIndex: m.PrevIndex})
			return
		}
		n := c.commit - m.PrevIndex
		m.PrevIndex, m.PrevTerm, m.Entries = c.commit, m.Entries[n-1].Term, m.Entries[n:]
	}
	if t, ok := c.log.term(m.PrevIndex); !ok || t != m.PrevTerm {
		hint := c.log.last()
		if ok {
			hint = c.log.before(m.PrevIndex)
		}
		if m.PrevIndex == c.commit && m.PrevIndex > 0 {
			c.refused++
			return
		}
		c.reply(m, Message{Kind: AppendReply, Reject: true, PrevIndex: m.PrevIndex, Hint: max(hint, c.commit)})
		return
	}
	for n, e := range m.Entries {
		if t, ok := c.log.term(e.Index); !ok || t != e.Term {
			if !c.extend(m.Entries[n:]) {
				return
			}
			break
		}
	}
	c.advance(min(m.Commit, match))
	c.reply(m, Message{Kind: AppendReply, Match: match, PrevIndex: m.PrevIndex})
}

// extend puts entries into the log in place of what stood at and after the first.
func (c *Core) extend(es []Entry) bool {
	cs, err := configurationsOf(es)
	if err != nil {
		c.refused++
		return false
	}
	from := es[0].Index
	if from <= c.log.last() {
		c.log.truncate(from)
		c.fresh = min(c.fresh, from)
		for len(c.configurations) > 0 && c.configurations[len(c.configurations)-1].index >= from {
			c.configurations = c.configurations[:len(c.configurations)-1]
		}
	}
	c.log.ents = append(c.log.ents, es...)
	c.configurations = append(c.configurations, cs...)
	return true
}

// advance moves the commit index up.
func (c *Core) advance(to uint64) {
	if to <= c.commit {
		return
	}
	c.commit = to
	for len(c.configurations) > 1 && c.configurations[1].index <= to {
		c.configurations = c.configurations[1:]
		c.trust(c.configurations[0].members)
	}
}

func (c *Core) onSnapshot(m Message) {
	if m.Meta == nil || valid(m.Meta.Members) != nil {
		return
	}
	s := *m.Meta
	c.leaderAddr = m.Addr
	if t, ok := c.log.term(s.Index); ok && t == s.Term && s.Index > c.commit {
		c.advance(s.Index)
	}
	if s.Index <= c.commit {
		c.reply(m, Message{Kind: SnapshotReply, Match: c.commit})
		return
	}
	if s.Index > c.fetching.Index || m.Addr != c.fetchFrom || c.now >= c.fetchAt+c.cfg.Election {
		c.fetching, c.fetchFrom, c.fetchAt = s, m.Addr, c.now
		c.fetch = &FetchSnapshot{Meta: s, From: m.Addr}
	}
	c.reply(m, Message{Kind: SnapshotReply}) // alive, and busy with it
}

// Installed reports that the snapshot meta is synced and applied here in place of the state before.
// One at or before the commit index changes nothing: the runtime must then not apply it.
func (c *Core) Installed(now time.Duration, meta Meta) {
	c.at(now)
	c.fetching, c.fetchFrom, c.fetch = Meta{}, "", nil
	if meta.Index <= c.commit || valid(meta.Members) != nil {
		return
	}
	if c.role != Follower {
		c.follow(c.hard.Term, "")
	}
	if t, ok := c.log.term(meta.Index); ok && t == meta.Term {
		c.log.compact(meta.Index)
	} else {
		c.log = journal{off: meta.Index, offTerm: meta.Term}
		c.configurations, c.reset = nil, true
		c.fresh = meta.Index + 1
	}
	c.fresh = max(c.fresh, meta.Index+1)
	c.configurations = slices.DeleteFunc(c.configurations, func(f configuration) bool { return f.index <= meta.Index })
	c.configurations = slices.Insert(c.configurations, 0, configuration{meta.Index, meta.Members})
	c.commit, c.applied, c.snap = meta.Index, meta.Index, meta
	if meta.Term > c.hard.Term {
		c.follow(meta.Term, "")
	}
	c.trust(meta.Members)
	if c.leader != "" {
		c.reply(Message{From: c.leader, Sent: never}, Message{Kind: SnapshotReply, Match: meta.Index})
	}
}

// SnapshotAt tells the newest durable snapshot of this node; it is offered to followers behind the log.
func (c *Core) SnapshotAt(meta Meta) {
	if meta.Index > c.snap.Index && meta.Index <= c.applied && valid(meta.Members) == nil {
		c.snap = meta
	}
}

// Compact lets the log up to index go from memory, never beyond the newest durable snapshot. Keep a tail (call
// it with less than the snapshot's index), so that followers a little behind need no snapshot.
func (c *Core) Compact(index uint64) {
	c.log.compact(min(index, c.snap.Index, c.applied, c.fresh-1))
}

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

// Entries gives committed entries from an index on, about limitBytes of them but one at least; none if from is
// not committed yet. Failure: Unknown if they are compacted; take a snapshot then. Example:
//
//	es, err := core.Entries(seen+1, 1<<20)
func (c *Core) Entries(from uint64, limitBytes int) ([]Entry, error) {
	if from <= c.log.off {
		return nil, errs.New(errs.Unknown, "entry %d is compacted, the log begins at %d", from, c.log.off+1)
	}
	return c.log.limited(from, c.commit, limitBytes), nil
}

// Status gives a view of the node.
func (c *Core) Status() Status {
	s := Status{ID: c.cfg.ID, Role: c.role, Term: c.hard.Term, Leader: c.leader, Commit: c.commit, Last: c.log.last(),
		First: c.log.off + 1, Members: slices.Clone(c.members()), Voter: !c.hard.Blank && voter(c.members(), c.cfg.ID), Refused: c.refused, LeaderAddr: c.hint()}
	if c.role == Leader {
		s.Match = map[string]uint64{c.cfg.ID: c.lead.synced}
		for id, p := range c.lead.peers {
			s.Match[id] = p.match
		}
		s.LeaseUntil = max(0, c.leaseUntil())
	}
	return s
}

// CommittedMembers gives the newest member set that is known here to be committed, and the index of its entry;
// none on a node that began empty and has not caught up.
func (c *Core) CommittedMembers() (index uint64, members []Member) {
	if len(c.configurations) == 0 {
		return 0, nil
	}
	return c.configurations[0].index, slices.Clone(c.configurations[0].members)
}

// MemberSince gives the index of the oldest set known here, committed or not, that has this node; 0 if none has.
func (c *Core) MemberSince() uint64 {
	for _, f := range c.configurations {
		if _, ok := find(f.members, c.cfg.ID); ok {
			return f.index
		}
	}
	return 0
}

// hint is the address of the leader, if known.
func (c *Core) hint() string {
	if m, ok := find(c.members(), c.leader); ok && c.leader != "" {
		return m.Addr
	}
	return c.leaderAddr
}

// follows gives the failure for a call that only the leader takes.
func (c *Core) follows() error {
	err := errs.New(errs.NotLeader, "%s is %s in term %d", c.cfg.ID, c.role, c.hard.Term)
	errs.Of(err).Hint = c.hint()
	return err
}
