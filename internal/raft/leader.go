package raft

import (
	"encoding/json"
	"time"
)

// leaderState is what only a leader has; its owner is Core. becomeLeader makes it, becomeFollower clears it.
type leaderState struct {
	progress      map[string]*progress // of every other member of the set in force, learners included
	synced        uint64               // newest entry of the own term that is durable here
	firstIndex    uint64               // of the term's Noop: until it is committed there are no lease reads
	nextHeartbeat time.Duration
	// caughtUpIndex is a commit index from at least one heartbeat interval ago: a member that has it is caught up.
	caughtUpIndex     uint64
	commitAtHeartbeat uint64 // commit index at the last heartbeat, the next caughtUpIndex
	// awaitOwnSync is set while the vote for itself may not be durable yet: nothing may be sent.
	awaitOwnSync bool

	transferee       string        // the voter to which leadership is transferred; empty: none
	transferDeadline time.Duration // when the transfer is abandoned; valid with a transferee
	timeoutNowSent   bool          // the transferee may campaign: this leader has no lease any more in its term
}

// becomeLeader makes the node the leader of its term, and appends the term's Noop. With awaitOwnSync it sends nothing
// before its own sync: it won without the vote of another node, so its term may not be durable anywhere yet.
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

// updateProgress tracks the other members of the set in force, and no one else.
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

// appendOwn appends an entry of the own term to the log; the next Ready sends it and hands it out for storing.
func (c *Core) appendOwn(kind EntryKind, data json.RawMessage) {
	entry := Entry{Term: c.hardState.Term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.entries = append(c.log.entries, entry)
}

// tickLeader steps down if no majority answered within an election time-out (check-quorum) or if a transferee that was
// asked to campaign has not won in time. It abandons a transfer that took too long before that, and makes heartbeats
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

// LeaderTerm returns the term of this node, and reports whether it leads in it.
func (c *Core) LeaderTerm() (term uint64, ok bool) { return c.hardState.Term, c.role == Leader }

// LastContact returns when this leader last received a reply of a member; before the first one, when it began to track
// it. ok is false on a node that does not lead, and for an ID that is no member's.
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

// Synced tells the core that the entries up to index, whose last one is of term, are durable here. Only then does a
// leader count itself for them. A report of another term than the leader's changes nothing: older entries are
// committed through one of the leader's own.
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

// advanceCommit commits the entries that a majority of the voters has stored, once one of the leader's own term is
// among them. A leader that is no voter any more steps down once the set without it is committed.
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

// stepDownAfterRemoval ends the leadership of a node whose removal is committed, and asks a voter that has the whole
// log to campaign at once, so that nobody waits for an election time-out.
func (c *Core) stepDownAfterRemoval(members []Member) {
	c.sendAppends() // with the commit index that commits the removal
	for _, m := range members {
		if p := c.leadership.progress[m.ID]; !m.Learner && p != nil && p.match == c.log.last() {
			c.leadership.transferee = m.ID
			c.sendTimeoutNow()
			break
		}
	}
	c.becomeFollower(c.hardState.Term, "")
}
