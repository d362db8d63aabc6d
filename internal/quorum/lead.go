package quorum

import (
	"encoding/json"
	"time"

	"crosstide/internal/errs"
)

// silence is how many heartbeats without an answer end pipelining.
const silence = 5

type phase uint8

const (
	probe phase = iota // one append at a time until the logs meet
	pipe               // appends follow each other without awaiting replies
	fetch              // the peer fetches a snapshot
)

// peer is what the leader knows of another member.
type peer struct {
	phase       phase
	match, next uint64
	flying      []uint64 // last index of each append under way
	told        uint64   // commit index last sent
	heard       time.Duration
	acked       time.Duration // newest send time it answered
	wait        bool          // probe or fetch: sent, awaiting the answer or the next heartbeat
	beat        bool          // a heartbeat is due
	blank       bool
}

func (p *peer) toProbe(next uint64) {
	p.phase, p.next, p.flying, p.wait = probe, max(next, p.match+1), nil, false
}

// lead is the state of a leader.
type lead struct {
	peers  map[string]*peer
	synced uint64 // own entries of the term synced here
	first  uint64 // its Noop
	beatAt time.Duration
	// behind is the commit index two heartbeats ago at least: who has it is caught up.
	behind, mark uint64
	hold         bool // the vote for itself may not be synced: send nothing
	to           string
	toBy         time.Duration // the handover is over then
	gave         bool          // the handover was sent: no lease any more in this term
}

// reign makes the node the leader of its term. hold: nobody else voted, so its term may not be synced.
func (c *Core) reign(hold bool) {
	c.role, c.leader, c.granted = Leader, c.cfg.ID, nil
	c.hard.Leader, c.dirty = c.cfg.ID, true
	c.lead = lead{hold: hold, peers: map[string]*peer{}, first: c.log.last() + 1, beatAt: c.now + c.cfg.Heartbeat,
		behind: c.commit, mark: c.commit}
	c.put(Noop, nil)
	c.enlist()
}

// enlist makes the peers match the members in force.
func (c *Core) enlist() {
	for _, f := range c.configurations {
		if m, ok := find(f.members, c.cfg.ID); ok {
			c.leaderAddr = m.Addr // an older set has it while this leader commits its own removal
		}
	}
	for id := range c.lead.peers {
		if _, ok := find(c.members(), id); !ok {
			delete(c.lead.peers, id)
		}
	}
	for _, m := range c.members() {
		if m.ID != c.cfg.ID && c.lead.peers[m.ID] == nil {
			c.lead.peers[m.ID] = &peer{next: c.lead.first, heard: c.now, acked: never, blank: true}
		}
	}
}

// put appends an entry of the own term.
func (c *Core) put(k EntryKind, data json.RawMessage) {
	c.log.ents = append(c.log.ents, Entry{Term: c.hard.Term, Index: c.log.last() + 1, Kind: k, Data: data})
}

// Propose appends data as Normal entries first.. of term; they are committed once Ready hands them out with that
// term. Failures: NotLeader (Hint: the leader's address), Unavailable while a handover runs. Example:
//
//	first, term, err := core.Propose(now, a, b) // a is entry first, b is first+1
func (c *Core) Propose(now time.Duration, data ...json.RawMessage) (first, term uint64, err error) {
	c.at(now)
	if err := c.leads(); err != nil {
		return 0, 0, errs.Pass(err, "propose")
	}
	first = c.log.last() + 1
	for _, d := range data {
		c.put(Normal, d)
	}
	return first, c.hard.Term, nil
}

func (c *Core) leads() error {
	if c.role != Leader {
		return errs.Pass(c.follows(), "not the leader")
	}
	if c.lead.to != "" {
		return errs.New(errs.Unavailable, "handing over to %s", c.lead.to)
	}
	return nil
}

// ProposeMembers appends a new member set. It may differ from the present one in one voter: a learner that is
// caught up is promoted, or a voter is removed or made a learner. A new machine is added as a learner first.
// Learners come and go freely. Status().Match tells how far they are.
// Failures: NotLeader; Unavailable while another change is not committed, before the first commit of the term, or
// when the promoted learner is not caught up; Invalid for a set that is refused.
func (c *Core) ProposeMembers(now time.Duration, next []Member) (index, term uint64, err error) {
	c.at(now)
	if err := c.leads(); err != nil {
		return 0, 0, errs.Pass(err, "propose members")
	}
	if c.configurations[len(c.configurations)-1].index > c.commit || c.commit < c.lead.first {
		return 0, 0, errs.New(errs.Unavailable, "a change of members, or the first entry of the term, is not committed yet")
	}
	if err := valid(next); err != nil {
		return 0, 0, errs.Pass(err, "propose members")
	}
	changed := 0
	for _, m := range c.members() {
		n, ok := find(next, m.ID)
		if ok && n.Incarnation != m.Incarnation {
			return 0, 0, errs.Field(errs.Invalid, "members", "%s keeps its ID but not its incarnation", m.ID)
		}
		if !m.Learner && (!ok || n.Learner) {
			changed++
		}
	}
	for _, n := range next {
		if n.Learner || voter(c.members(), n.ID) {
			continue
		}
		changed++
		p := c.lead.peers[n.ID]
		if p == nil {
			return 0, 0, errs.Field(errs.Invalid, "members", "%s must be a learner before it is a voter", n.ID)
		}
		if p.blank || p.match < max(c.lead.behind, c.configurations[len(c.configurations)-1].index) {
			return 0, 0, errs.New(errs.Unavailable, "learner %s is not caught up: at %d of %d", n.ID, p.match, c.commit)
		}
	}
	if changed > 1 {
		return 0, 0, errs.Field(errs.Invalid, "members", "%d voters change, one may", changed)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, 0, errs.Wrap(err, errs.Internal, "members")
	}
	c.put(Members, data)
	c.configurations = append(c.configurations, configuration{c.log.last(), append([]Member(nil), next...)})
	c.enlist()
	c.advanceCommit() // fewer voters may be a majority already
	return c.log.last(), c.hard.Term, nil
}

// Handover lets the voter to take over, once it has the whole log. Until then proposals are refused; the leader
// gives its lease up when it tells the other to campaign. It is given up after one Election.
// Failures: NotLeader, Unavailable while one runs, Invalid if to is not another voter.
func (c *Core) Handover(now time.Duration, to string) error {
	c.at(now)
	if err := c.leads(); err != nil {
		return errs.Pass(err, "handover")
	}
	if to == c.cfg.ID || !voter(c.members(), to) {
		return errs.Field(errs.Invalid, "to", "%s is not another voter", to)
	}
	c.lead.to, c.lead.toBy = to, c.now+c.cfg.Election
	c.handover()
	return nil
}

// handover tells the successor to campaign if it has the whole log.
func (c *Core) handover() {
	if p := c.lead.peers[c.lead.to]; p != nil && p.match == c.log.last() && !p.blank {
		c.lead.gave = true
		c.out = append(c.out, Message{Kind: HandoverNow, From: c.cfg.ID, To: c.lead.to, Term: c.hard.Term})
	}
}

func (c *Core) tickLeader() {
	l := &c.lead
	heard := majority(c.members(), func(id string) time.Duration {
		if p := l.peers[id]; p != nil {
			return p.heard
		}
		return c.now
	})
	if c.now >= heard+c.cfg.Election || l.gave && c.now >= l.toBy {
		c.follow(c.hard.Term, "")
		return
	}
	if l.to != "" && c.now >= l.toBy {
		l.to = ""
	}
	if c.now < l.beatAt {
		return
	}
	l.beatAt = c.now + c.cfg.Heartbeat
	l.behind, l.mark = l.mark, c.commit
	if l.to != "" {
		c.handover()
	}
	for _, p := range l.peers {
		p.beat = true
		if p.phase == pipe && len(p.flying) > 0 && c.now >= p.heard+silence*c.cfg.Heartbeat {
			p.toProbe(0)
		}
	}
}

// Leads tells whether this node leads, and in which term.
func (c *Core) Leads() (term uint64, ok bool) { return c.hard.Term, c.role == Leader }

// Heard tells when this leader last heard of a member; of one it has not heard of, when it began to send to it.
// ok is false on a node that does not lead and for one that is no member.
func (c *Core) Heard(now time.Duration, id string) (at time.Duration, ok bool) {
	c.at(now)
	if c.role != Leader {
		return 0, false
	}
	if id == c.cfg.ID {
		return c.now, true
	}
	p := c.lead.peers[id]
	if p == nil {
		return 0, false
	}
	return p.heard, true
}

// flush makes the appends that are due. Everything proposed since the last one goes together.
func (c *Core) flush() {
	if c.lead.hold {
		return
	}
	for _, m := range c.members() {
		if p := c.lead.peers[m.ID]; p != nil {
			c.feed(m.ID, p)
		}
	}
}

func (c *Core) feed(id string, p *peer) {
	if p.phase == pipe && p.next <= c.log.off { // compacted under way
		p.toProbe(p.next)
	}
	for p.phase == pipe && p.next <= c.log.last() && len(p.flying) < c.cfg.MaxInflight {
		n := c.send(id, p, c.cfg.MaxBytes)
		p.next += n
		p.flying = append(p.flying, p.next-1)
	}
	switch {
	case p.phase == pipe:
		if p.beat || p.told < c.commit && len(p.flying) < c.cfg.MaxInflight {
			c.send(id, p, 0)
		}
	case p.wait && !p.beat:
	case p.next <= c.log.off:
		s := c.snap
		c.out = append(c.out, Message{Kind: Snapshot, From: c.cfg.ID, To: id, Term: c.hard.Term, Sent: c.now, Meta: &s, Addr: c.leaderAddr})
		p.phase, p.wait = fetch, true
	default:
		bytes := c.cfg.MaxBytes
		if c.now >= p.heard+c.cfg.Election { // away: do not ship the same entries at every heartbeat
			bytes = 0
		}
		p.phase = probe
		c.send(id, p, bytes)
		p.wait = true
	}
	p.beat = false
}

// send makes one append from p.next on, empty if bytes is 0, and gives the number of entries.
func (c *Core) send(id string, p *peer, bytes int) uint64 {
	m := Message{Kind: Append, From: c.cfg.ID, To: id, Term: c.hard.Term, PrevIndex: p.next - 1, Commit: c.commit, Sent: c.now}
	m.PrevTerm, _ = c.log.term(m.PrevIndex)
	if bytes > 0 {
		m.Entries = c.log.limited(p.next, c.log.last(), bytes)
	}
	p.told, p.beat = c.commit, false
	c.out = append(c.out, m)
	return uint64(len(m.Entries))
}

// onReply takes the answer to an append or snapshot of this term.
func (c *Core) onReply(m Message) {
	p := c.lead.peers[m.From]
	if p == nil || m.Match > c.log.last() {
		return
	}
	p.heard, p.acked, p.blank = c.now, max(p.acked, min(m.Sent, c.now)), m.Blank
	if m.Reject {
		// One that arrived out of order, or whose place was settled since, is old.
		if m.PrevIndex > p.match && (p.phase == pipe && m.PrevIndex < p.next || p.phase == probe && m.PrevIndex == p.next-1) {
			p.toProbe(min(m.Hint+1, m.PrevIndex))
		}
		return
	}
	if m.Match < p.match || m.Match == 0 {
		return
	}
	moved := m.Match > p.match
	p.match = m.Match
	for len(p.flying) > 0 && p.flying[0] <= p.match {
		p.flying = p.flying[1:]
	}
	if p.phase != pipe && p.match >= c.log.off && (p.phase == probe || moved) {
		p.phase, p.flying, p.wait, p.next = pipe, nil, false, p.match+1
	}
	p.next = max(p.next, p.match+1)
	if moved {
		c.advanceCommit()
		if c.role == Leader && m.From == c.lead.to && !c.lead.gave {
			c.handover()
		}
	}
}

// Synced reports that the entries up to index, the last one of term, are synced here. Only then does a leader
// count itself. Entries of an older term need no count: they are committed through one of the leader's own.
func (c *Core) Synced(now time.Duration, index, term uint64) {
	c.at(now)
	if c.role != Leader || term != c.hard.Term || index > c.log.last() || index < c.lead.first {
		return
	}
	c.lead.synced = max(c.lead.synced, index)
	c.lead.hold = false
	c.advanceCommit()
}

// tally commits what a majority has, if it is of the own term. A leader that is no member any more steps down.
func (c *Core) advanceCommit() {
	n := majority(c.members(), func(id string) uint64 {
		if p := c.lead.peers[id]; p != nil {
			return p.match
		}
		return c.lead.synced
	})
	if n <= c.commit || n < c.lead.first {
		return
	}
	c.advance(n)
	if f := c.configurations[len(c.configurations)-1]; f.index <= c.commit && !voter(f.members, c.cfg.ID) {
		c.flush() // the others learn of the commit
		for _, m := range f.members {
			if p := c.lead.peers[m.ID]; !m.Learner && p != nil && p.match == c.log.last() {
				c.lead.to = m.ID
				c.handover()
				break
			}
		}
		c.follow(c.hard.Term, "")
	}
}

// leaseUntil is the end of the lease, never if there is none.
func (c *Core) leaseUntil() time.Duration {
	if c.lead.gave {
		return never
	}
	from := majority(c.members(), func(id string) time.Duration {
		if p := c.lead.peers[id]; p != nil {
			return p.acked
		}
		return c.now
	})
	if from == never {
		return never
	}
	return from + c.cfg.Lease
}

// Confirmed gives the commit index that is safe to read at: no other leader can have committed more at the time
// now. ok is false unless this node leads, holds its lease at now and has committed an entry of its own term.
// Example:
//
//	if commit, ok := core.Confirmed(now); ok && applied >= commit { answer() }
func (c *Core) Confirmed(now time.Duration) (commit uint64, ok bool) {
	c.at(now)
	if c.role != Leader || c.commit < c.lead.first || c.now >= c.leaseUntil() {
		return 0, false
	}
	return c.commit, true
}
