package raft

import (
	"encoding/json"
	"time"
)

// leaderState is the state of a leader.
type leaderState struct {
	progress      map[string]*progress
	synced        uint64 // own entries of the term synced here
	firstIndex    uint64 // its Noop
	nextHeartbeat time.Duration
	// caughtUpIndex is the commit index two heartbeats ago at least: who has it is caught up.
	caughtUpIndex, commitAtHeartbeat uint64
	awaitOwnSync                     bool // the vote for itself may not be synced: send nothing
	transferee                       string
	transferDeadline                 time.Duration // the handover is over then
	timeoutNowSent                   bool          // the handover was sent: no lease any more in this term
}

// becomeLeader makes the node the leader of its term. With hold it sends nothing before its own sync: no other node
// voted, so its term may not be durable yet.
func (c *Core) becomeLeader(awaitOwnSync bool) {
	c.role, c.leader, c.votesGranted = Leader, c.cfg.ID, nil
	c.hardState.Leader, c.hardStateChanged = c.cfg.ID, true
	c.leadership = leaderState{awaitOwnSync: awaitOwnSync, progress: map[string]*progress{}, firstIndex: c.log.last() + 1, nextHeartbeat: c.now + c.cfg.HeartbeatInterval,
		caughtUpIndex: c.commit, commitAtHeartbeat: c.commit}
	c.appendOwn(Noop, nil)
	c.updateProgress()
}

// updateProgress makes the peers match the members in force.
func (c *Core) updateProgress() {
	for _, f := range c.configurations {
		if m, ok := findMember(f.members, c.cfg.ID); ok {
			c.leaderAddr = m.Addr // an older set has it while this leader commits its own removal
		}
	}
	for id := range c.leadership.progress {
		if _, ok := findMember(c.members(), id); !ok {
			delete(c.leadership.progress, id)
		}
	}
	for _, m := range c.members() {
		if m.ID != c.cfg.ID && c.leadership.progress[m.ID] == nil {
			c.leadership.progress[m.ID] = &progress{next: c.leadership.firstIndex, lastContact: c.now, ackedSendTime: never, blank: true}
		}
	}
}

// appendOwn appends an entry of the own term.
func (c *Core) appendOwn(k EntryKind, data json.RawMessage) {
	c.log.entries = append(c.log.entries, Entry{Term: c.hardState.Term, Index: c.log.last() + 1, Kind: k, Data: data})
}

func (c *Core) tickLeader() {
	l := &c.leadership
	quorumContact := majority(c.members(), func(id string) time.Duration {
		if p := l.progress[id]; p != nil {
			return p.lastContact
		}
		return c.now
	})
	if c.now >= quorumContact+c.cfg.ElectionTimeout || l.timeoutNowSent && c.now >= l.transferDeadline {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if l.transferee != "" && c.now >= l.transferDeadline {
		l.transferee = ""
	}
	if c.now < l.nextHeartbeat {
		return
	}
	l.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
	l.caughtUpIndex, l.commitAtHeartbeat = l.commitAtHeartbeat, c.commit
	if l.transferee != "" {
		c.sendTimeoutNow()
	}
	for _, p := range l.progress {
		p.heartbeatDue = true
		if p.state == stateReplicate && len(p.inflight) > 0 && c.now >= p.lastContact+maxSilentHeartbeats*c.cfg.HeartbeatInterval {
			p.startProbe(0)
		}
	}
}

// LeaderTerm reports whether this node leads, and in which term.
func (c *Core) LeaderTerm() (term uint64, ok bool) { return c.hardState.Term, c.role == Leader }

// LastContact returns when this leader last received a message of a member; of one without any, when it began to send to it.
// ok is false on a node that does not lead and for one that is no member.
func (c *Core) LastContact(now time.Duration, id string) (at time.Duration, ok bool) {
	c.advanceClock(now)
	if c.role != Leader {
		return 0, false
	}
	if id == c.cfg.ID {
		return c.now, true
	}
	p := c.leadership.progress[id]
	if p == nil {
		return 0, false
	}
	return p.lastContact, true
}

// sendAppends makes the appends that are due. Everything proposed since the last one goes together.
func (c *Core) sendAppends() {
	if c.leadership.awaitOwnSync {
		return
	}
	for _, m := range c.members() {
		if p := c.leadership.progress[m.ID]; p != nil {
			c.sendTo(m.ID, p)
		}
	}
}

func (c *Core) sendTo(id string, p *progress) {
	if p.state == stateReplicate && p.next <= c.log.offset { // compacted meanwhile
		p.startProbe(p.next)
	}
	for p.state == stateReplicate && p.next <= c.log.last() && len(p.inflight) < c.cfg.MaxInflightAppends {
		n := c.sendAppend(id, p, c.cfg.MaxAppendBytes)
		p.next += n
		p.inflight = append(p.inflight, p.next-1)
	}
	switch {
	case p.state == stateReplicate:
		if p.heartbeatDue || p.sentCommit < c.commit && len(p.inflight) < c.cfg.MaxInflightAppends {
			c.sendAppend(id, p, 0)
		}
	case p.paused && !p.heartbeatDue:
	case p.next <= c.log.offset:
		s := c.snapshot
		c.messages = append(c.messages, Message{Kind: Snapshot, From: c.cfg.ID, To: id, Term: c.hardState.Term, Sent: c.now, Meta: &s, Addr: c.leaderAddr})
		p.state, p.paused = stateSnapshot, true
	default:
		bytes := c.cfg.MaxAppendBytes
		if c.now >= p.lastContact+c.cfg.ElectionTimeout { // away: do not ship the same entries at every heartbeat
			bytes = 0
		}
		p.state = stateProbe
		c.sendAppend(id, p, bytes)
		p.paused = true
	}
	p.heartbeatDue = false
}

// sendAppend makes one append from p.next on, empty if bytes is 0, and returns the number of entries.
func (c *Core) sendAppend(id string, p *progress, bytes int) uint64 {
	m := Message{Kind: Append, From: c.cfg.ID, To: id, Term: c.hardState.Term, PrevIndex: p.next - 1, Commit: c.commit, Sent: c.now}
	m.PrevTerm, _ = c.log.term(m.PrevIndex)
	if bytes > 0 {
		m.Entries = c.log.sliceUpTo(p.next, c.log.last(), bytes)
	}
	p.sentCommit, p.heartbeatDue = c.commit, false
	c.messages = append(c.messages, m)
	return uint64(len(m.Entries))
}

// onReply takes the answer to an append or snapshot of this term.
func (c *Core) onReply(m Message) {
	p := c.leadership.progress[m.From]
	if p == nil || m.Match > c.log.last() {
		return
	}
	p.lastContact, p.ackedSendTime, p.blank = c.now, max(p.ackedSendTime, min(m.Sent, c.now)), m.Blank
	if m.Reject {
		// One that arrived out of order, or whose place was settled since, is old.
		if m.PrevIndex > p.match && (p.state == stateReplicate && m.PrevIndex < p.next || p.state == stateProbe && m.PrevIndex == p.next-1) {
			p.startProbe(min(m.Hint+1, m.PrevIndex))
		}
		return
	}
	if m.Match < p.match || m.Match == 0 {
		return
	}
	moved := m.Match > p.match
	p.match = m.Match
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.state != stateReplicate && p.match >= c.log.offset && (p.state == stateProbe || moved) {
		p.state, p.inflight, p.paused, p.next = stateReplicate, nil, false, p.match+1
	}
	p.next = max(p.next, p.match+1)
	if moved {
		c.advanceCommit()
		if c.role == Leader && m.From == c.leadership.transferee && !c.leadership.timeoutNowSent {
			c.sendTimeoutNow()
		}
	}
}

// Synced reports that the entries up to index, the last one of term, are synced here. Only then does a leader
// count itself. Entries of an older term need no count: they are committed through one of the leader's own.
func (c *Core) Synced(now time.Duration, index, term uint64) {
	c.advanceClock(now)
	if c.role != Leader || term != c.hardState.Term || index > c.log.last() || index < c.leadership.firstIndex {
		return
	}
	c.leadership.synced = max(c.leadership.synced, index)
	c.leadership.awaitOwnSync = false
	c.advanceCommit()
}

// advanceCommit commits the entries that a majority has stored, if they are of the leader's own term. A leader that is
// no member any more steps down.
func (c *Core) advanceCommit() {
	n := majority(c.members(), func(id string) uint64 {
		if p := c.leadership.progress[id]; p != nil {
			return p.match
		}
		return c.leadership.synced
	})
	if n <= c.commit || n < c.leadership.firstIndex {
		return
	}
	c.commitTo(n)
	if f := c.configurations[len(c.configurations)-1]; f.index <= c.commit && !isVoter(f.members, c.cfg.ID) {
		c.sendAppends() // the others learn of the commit
		for _, m := range f.members {
			if p := c.leadership.progress[m.ID]; !m.Learner && p != nil && p.match == c.log.last() {
				c.leadership.transferee = m.ID
				c.sendTimeoutNow()
				break
			}
		}
		c.becomeFollower(c.hardState.Term, "")
	}
}
