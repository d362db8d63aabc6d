package raft

// Ready lists the work for the runtime that has accumulated since the last Ready. The runtime must not modify its
// slices.
type Ready struct {
	HardState *HardState // to be stored; nil: unchanged
	// ResetLog is set if a snapshot replaces all stored entries. They must be removed before Entries are stored.
	ResetLog bool
	// Entries must be stored. They replace the stored entries from Entries[0].Index on.
	Entries  []Entry
	Messages []Message // may be sent at once
	// MessagesAfterSync may be sent only once HardState, ResetLog and Entries are synced.
	MessagesAfterSync []Message
	Commit            uint64 // the commit index
	// CommittedEntries must be applied. Each committed entry is returned once and in order; after a start, the first
	// one is that after the snapshot. They may not be synced on this node yet.
	CommittedEntries []Entry
	Fetch            *FetchSnapshot // nil: no fetch is requested
}

// FetchSnapshot asks the runtime to fetch the body of the snapshot Meta or of a later one, to sync and apply it, and to
// call SnapshotInstalled with the Meta of the snapshot that it received. The request is repeated periodically; it must
// not restart a fetch in progress.
type FetchSnapshot struct {
	Meta Meta
	From string // address of the leader
}

// output holds the content of the next Ready except for entries. Any call may add to it; only Ready clears it.
type output struct {
	hardStateChanged  bool
	logReset          bool
	messages          []Message
	messagesAfterSync []Message
	fetchRequest      *FetchSnapshot
}

// Ready returns the pending output, all of which the caller must process. It is called after each burst of calls: a
// leader creates its appends here, so that a burst of proposals is sent to each member in one append.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.sendAppends()
	}
	entries := c.log.slice(c.firstUnstable, c.log.last())
	c.recordCommit(entries)
	r := Ready{
		ResetLog:          c.logReset,
		Entries:           entries,
		Messages:          c.messages,
		MessagesAfterSync: c.messagesAfterSync,
		Commit:            c.commit,
		CommittedEntries:  c.log.slice(c.applied+1, c.commit),
		Fetch:             c.fetchRequest,
	}
	if c.hardStateChanged {
		hardState := c.hardState
		r.HardState = &hardState
	}
	c.firstUnstable, c.applied = c.log.last()+1, c.commit
	c.output = output{}
	return r
}

// recordCommit updates the commit index in the hard state whenever entries are stored, as this needs no additional
// sync. The stored value stays below the index of those entries: if their write is torn, older entries that were never
// committed may remain at these indexes.
func (c *Core) recordCommit(stored []Entry) {
	if len(stored) == 0 {
		return
	}
	if known := min(c.commit, stored[0].Index-1); known > c.hardState.Commit {
		c.hardState.Commit, c.hardStateChanged = known, true
	}
}
