package raft

import (
	"slices"
	"time"
)

// snapshotFetch is the fetch that a follower has requested from its runtime. It is owned by Core. The zero value means
// that no fetch is requested.
type snapshotFetch struct {
	meta Meta
	from string        // address of the leader
	at   time.Duration // time of the last request
}

// onSnapshot handles the leader's offer of a snapshot. If the log already has the entries up to it, they are committed
// and no fetch is needed. A fetch of the same snapshot is requested again only after an election time-out, in case the
// runtime failed to fetch it.
func (c *Core) onSnapshot(m Message) {
	if m.Meta == nil || validateMembers(m.Meta.Members) != nil {
		return
	}
	meta := *m.Meta
	c.leaderAddr = m.Addr
	if term, ok := c.log.term(meta.Index); ok && term == meta.Term && meta.Index > c.commit {
		c.commitTo(meta.Index)
	}
	if meta.Index <= c.commit {
		c.reply(m, Message{Kind: SnapshotReply, Match: c.commit})
		return
	}
	if meta.Index > c.fetch.meta.Index || m.Addr != c.fetch.from || c.now >= c.fetch.at+c.cfg.ElectionTimeout {
		c.fetch = snapshotFetch{meta: meta, from: m.Addr, at: c.now}
		c.fetchRequest = &FetchSnapshot{Meta: meta, From: m.Addr}
	}
	c.reply(m, Message{Kind: SnapshotReply}) // keeps the contact with the leader alive during the fetch
}

// SnapshotInstalled reports that a fetched snapshot is synced on this node and has replaced the applied state. A
// snapshot at or before the commit index is ignored, and the runtime must not apply it either. If the log contradicts
// the snapshot or ends before it, its entries are discarded and the next Ready resets the stored log.
func (c *Core) SnapshotInstalled(now time.Duration, meta Meta) {
	c.advanceClock(now)
	c.fetch.meta, c.fetch.from, c.fetchRequest = Meta{}, "", nil
	if meta.Index <= c.commit || validateMembers(meta.Members) != nil {
		return
	}
	if c.role != Follower {
		c.becomeFollower(c.hardState.Term, "")
	}
	if term, ok := c.log.term(meta.Index); ok && term == meta.Term {
		c.log.compact(meta.Index)
	} else {
		c.log = memoryLog{offset: meta.Index, offsetTerm: meta.Term}
		c.configurations, c.logReset = nil, true
		c.firstUnstable = meta.Index + 1
	}
	c.firstUnstable = max(c.firstUnstable, meta.Index+1)
	c.configurations = slices.DeleteFunc(c.configurations, func(conf configuration) bool {
		return conf.index <= meta.Index
	})
	c.configurations = slices.Insert(c.configurations, 0, configuration{meta.Index, meta.Members})
	c.commit, c.applied, c.snapshot = meta.Index, meta.Index, meta
	if meta.Term > c.hardState.Term {
		c.becomeFollower(meta.Term, "")
	}
	c.clearVotesUnknown(meta.Members)
	if c.leader != "" {
		// Sent is never: this answers no message of the leader, so it must not extend the lease.
		c.reply(Message{From: c.leader, Sent: never}, Message{Kind: SnapshotReply, Match: meta.Index})
	}
}

// SnapshotPersisted reports that a snapshot of this node's own state is durable. A leader offers it to members that
// need entries which are no longer in memory. A snapshot that is not newer than the last one, or is past the applied
// index, is ignored.
func (c *Core) SnapshotPersisted(meta Meta) {
	if meta.Index > c.snapshot.Index && meta.Index <= c.applied && validateMembers(meta.Members) == nil {
		c.snapshot = meta
	}
}
