package quorum

import (
	"encoding/json"
	"time"
)

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
