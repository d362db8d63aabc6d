package raft

import (
	"encoding/json"
	"time"
)

// leaderState is what only a leader has; its owner is Core, and becomeFollower ends it.
type leaderState struct {
	progress      map[string]*progress // of every other member in force, learners included
	synced        uint64               // own entries of the term that are durable here
	firstIndex    uint64               // of the term's Noop; nothing is confirmed before it is committed
	nextHeartbeat time.Duration
	// caughtUpIndex is the commit index of two heartbeats ago at least: a member that has it is caught up.
	caughtUpIndex     uint64
	commitAtHeartbeat uint64 // commit index at the last heartbeat, the next caughtUpIndex
	// awaitOwnSync: the vote for itself may not be durable yet, so nothing may be sent.
	awaitOwnSync bool

	transferee       string        // the voter that leadership is transferred to; empty: none
	transferDeadline time.Duration // the transfer is abandoned then
	timeoutNowSent   bool          // the transferee may campaign: no lease any more in this term
}

// becomeLeader makes the node the leader of its term. With awaitOwnSync it sends nothing before its own sync: no other
// node voted, so its term may not be durable yet.
func (c *Core) becomeLeader(awaitOwnSync bool) {
	c.role, c.leader, c.election.votes = Leader, c.cfg.ID, nil
	c.hardState.Leader, c.hardStateChanged = c.cfg.ID, true
	c.leadership = leaderState{
		progress:          map[string]*progress{},
		firstIndex:        c.log.last() + 1,
		nextHeartbeat:     c.now + c.cfg.HeartbeatInterval,
		caughtUpIndex:     c.commit,
		commitAtHeartbeat: c.commit,
		awaitOwnSync:      awaitOwnSync,
	}
	c.appendOwn(Noop, nil)
	c.updateProgress()
}

// updateProgress makes the tracked members match the members in force.
func (c *Core) updateProgress() {
	for _, conf := range c.configurations {
		if m, ok := findMember(conf.members, c.cfg.ID); ok {
			c.leaderAddr = m.Addr // an older set has it while this leader commits its own removal
		}
	}
	tracked := c.leadership.progress
	for id := range tracked {
		if _, ok := findMember(c.members(), id); !ok {
			delete(tracked, id)
		}
	}
	for _, m := range c.members() {
		if m.ID != c.cfg.ID && tracked[m.ID] == nil {
			tracked[m.ID] = &progress{
				next: c.leadership.firstIndex, lastContact: c.now, ackedSendTime: never, blank: true}
		}
	}
}

// appendOwn appends an entry of the own term.
func (c *Core) appendOwn(kind EntryKind, data json.RawMessage) {
	entry := Entry{Term: c.hardState.Term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.entries = append(c.log.entries, entry)
}

// tickLeader steps down without a majority (check-quorum), ends a transfer that took too long, and makes heartbeats
// due.
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
		if p.state == stateReplicate && len(p.inflight) > 0 &&
			c.now >= p.lastContact+maxSilentHeartbeats*c.cfg.HeartbeatInterval {
			p.startProbe(0)
		}
	}
}

// LeaderTerm reports whether this node leads, and in which term.
func (c *Core) LeaderTerm() (term uint64, ok bool) { return c.hardState.Term, c.role == Leader }

// LastContact returns when this leader last received a message of a member; before the first one, when it began to send
// to it. ok is false on a node that does not lead and for a node that is no member.
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

// Synced reports that the entries up to index, the last one of term, are durable here. Only then does a leader count
// itself. Entries of an older term need no count: they are committed through one of the leader's own.
func (c *Core) Synced(now time.Duration, index, term uint64) {
	c.advanceClock(now)
	l := &c.leadership
	if c.role != Leader || term != c.hardState.Term || index > c.log.last() || index < l.firstIndex {
		return
	}
	l.synced = max(l.synced, index)
	l.awaitOwnSync = false
	c.advanceCommit()
}

// advanceCommit commits the entries that a majority has stored, if they are of the leader's own term. A leader that is
// no voter any more steps down once that is committed.
func (c *Core) advanceCommit() {
	stored := majority(c.members(), func(id string) uint64 {
		if p := c.leadership.progress[id]; p != nil {
			return p.match
		}
		return c.leadership.synced
	})
	if stored <= c.commit || stored < c.leadership.firstIndex {
		return
	}
	c.commitTo(stored)
	if conf := c.latestConfiguration(); conf.index <= c.commit && !isVoter(conf.members, c.cfg.ID) {
		c.stepDownAfterRemoval(conf.members)
	}
}

// stepDownAfterRemoval ends the leadership of a node whose removal is committed, and lets a voter with the whole log
// campaign at once.
func (c *Core) stepDownAfterRemoval(members []Member) {
	c.sendAppends() // the others learn of the commit
	for _, m := range members {
		if p := c.leadership.progress[m.ID]; !m.Learner && p != nil && p.match == c.log.last() {
			c.leadership.transferee = m.ID
			c.sendTimeoutNow()
			break
		}
	}
	c.becomeFollower(c.hardState.Term, "")
}
