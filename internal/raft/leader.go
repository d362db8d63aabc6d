package raft

import (
	"encoding/json"
	"time"
)

// leaderState is the state that only a leader has. It is owned by Core; becomeLeader creates it and becomeFollower
// clears it.
type leaderState struct {
	progress      map[string]*progress // of all other current members, learners included, by ID
	synced        uint64               // highest index of this leader's term that is durable here
	firstIndex    uint64               // index of the term's Noop; no lease reads until it is committed
	nextHeartbeat time.Duration
	// caughtUpIndex is the commit index at a time at least one heartbeat interval ago. A member that has the entries up
	// to it counts as caught up.
	caughtUpIndex     uint64
	commitAtHeartbeat uint64 // commit index at the last heartbeat, the next caughtUpIndex
	// awaitOwnSync is set while this node's vote for itself may not be durable yet. Until then nothing may be sent.
	awaitOwnSync bool

	transferee       string        // the voter to which leadership is transferred; empty: none
	transferDeadline time.Duration // when the transfer is abandoned; valid with a transferee
	timeoutNowSent   bool          // the transferee may campaign: this leader has no lease for the rest of its term
}

// becomeLeader makes the node the leader of its term, and appends the term's Noop. awaitOwnSync is set if the node won
// without the vote of another one. Its term may not be durable anywhere then, so it sends nothing before its own sync.
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

// updateProgress makes the leader track the progress of exactly the other current members, and sets leaderAddr to its
// own address.
func (c *Core) updateProgress() {
	for _, conf := range c.configurations {
		if m, ok := findMember(conf.members, c.cfg.ID); ok {
			c.leaderAddr = m.Addr // from an older set while this leader commits its own removal
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
				next: c.leadership.firstIndex, lastContact: c.now, ackedSendTime: never, votesUnknown: true}
		}
	}
}

// appendOwn appends an entry of the leader's term to the log. The next Ready sends it and returns it for storing.
func (c *Core) appendOwn(kind EntryKind, data json.RawMessage) {
	entry := Entry{Term: c.hardState.Term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.entries = append(c.log.entries, entry)
}

// tickLeader steps down if no majority replied within an election time-out (check-quorum), or if a transferee that
// received TimeoutNow has not won by the transfer deadline. It abandons a transfer whose TimeoutNow was not sent by
// then, and makes heartbeats due.
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

// LeaderTerm returns the current term of this node, and whether the node is its leader.
func (c *Core) LeaderTerm() (term uint64, ok bool) { return c.hardState.Term, c.role == Leader }

// LastContact returns the time at which this leader last received a reply from a member or, before the first reply,
// started to track it. ok is false if this node is not the leader or the ID is not that of a member.
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

// Synced reports that the entries up to index, whose last one has the given term, are durable on this node. Only then
// does a leader count itself towards the majority that commits them. A report for another term than the leader's is
// ignored: entries of older terms are committed only through one of the leader's own term.
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

// advanceCommit commits the entries that a majority of the voters has stored, provided that an entry of the leader's
// own term is among them. A leader that was removed from the voters steps down once that change is committed.
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

// stepDownAfterRemoval makes a leader whose removal is committed a follower. It first asks a voter that has the
// complete log, if there is one, to campaign at once, so that the cluster need not wait for an election time-out.
func (c *Core) stepDownAfterRemoval(members []Member) {
	c.sendAppends() // tells the members the commit index that includes the removal
	for _, m := range members {
		if p := c.leadership.progress[m.ID]; !m.Learner && p != nil && p.match == c.log.last() {
			c.leadership.transferee = m.ID
			c.sendTimeoutNow()
			break
		}
	}
	c.becomeFollower(c.hardState.Term, "")
}
