package raft

import (
	"slices"
	"time"
)

func (c *Core) onSnapshot(m Message) {
	if m.Meta == nil || validateMembers(m.Meta.Members) != nil {
		return
	}
	s := *m.Meta
	c.leaderAddr = m.Addr
	if t, ok := c.log.term(s.Index); ok && t == s.Term && s.Index > c.commit {
		c.commitTo(s.Index)
	}
	if s.Index <= c.commit {
		c.reply(m, Message{Kind: SnapshotReply, Match: c.commit})
		return
	}
	if s.Index > c.fetching.Index || m.Addr != c.fetchFrom || c.now >= c.fetchAt+c.cfg.ElectionTimeout {
		c.fetching, c.fetchFrom, c.fetchAt = s, m.Addr, c.now
		c.fetchRequest = &FetchSnapshot{Meta: s, From: m.Addr}
	}
	c.reply(m, Message{Kind: SnapshotReply}) // alive, and busy with it
}

// SnapshotInstalled reports that the snapshot meta is synced and applied here in place of the state before.
// One at or before the commit index changes nothing: the runtime must then not apply it.
func (c *Core) SnapshotInstalled(now time.Duration, meta Meta) {
	c.advanceClock(now)
	c.fetching, c.fetchFrom, c.fetchRequest = Meta{}, "", nil
	if meta.Index <= c.commit || validateMembers(meta.Members) != nil {
		return
	}
	if c.role != Follower {
		c.becomeFollower(c.hardState.Term, "")
	}
	if t, ok := c.log.term(meta.Index); ok && t == meta.Term {
		c.log.compact(meta.Index)
	} else {
		c.log = memoryLog{offset: meta.Index, offsetTerm: meta.Term}
		c.configurations, c.logReset = nil, true
		c.firstUnstable = meta.Index + 1
	}
	c.firstUnstable = max(c.firstUnstable, meta.Index+1)
	c.configurations = slices.DeleteFunc(c.configurations, func(f configuration) bool { return f.index <= meta.Index })
	c.configurations = slices.Insert(c.configurations, 0, configuration{meta.Index, meta.Members})
	c.commit, c.applied, c.snapshot = meta.Index, meta.Index, meta
	if meta.Term > c.hardState.Term {
		c.becomeFollower(meta.Term, "")
	}
	c.clearBlank(meta.Members)
	if c.leader != "" {
		c.reply(Message{From: c.leader, Sent: never}, Message{Kind: SnapshotReply, Match: meta.Index})
	}
}

// SnapshotPersisted sets the newest durable snapshot of this node; it is offered to followers behind the log.
func (c *Core) SnapshotPersisted(meta Meta) {
	if meta.Index > c.snapshot.Index && meta.Index <= c.applied && validateMembers(meta.Members) == nil {
		c.snapshot = meta
	}
}

// Compact lets the log up to index go from memory, never beyond the newest durable snapshot. Keep a tail (call
// it with less than the snapshot's index), so that followers a little behind need no snapshot.
func (c *Core) Compact(index uint64) {
	c.log.compact(min(index, c.snapshot.Index, c.applied, c.firstUnstable-1))
}
