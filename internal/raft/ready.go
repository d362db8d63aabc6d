package raft

// Ready is what the runtime has to do since the last Ready. Its slices must not be changed.
type Ready struct {
	HardState *HardState // to be stored; nil: it has not changed
	// ResetLog is set if every stored entry is invalid, as a snapshot replaces them: they are removed before Entries
	// are stored.
	ResetLog bool
	// Entries are to be stored in place of the stored entries at and after Entries[0].Index.
	Entries  []Entry
	Messages []Message // may be sent at once
	// MessagesAfterSync may be sent only once HardState, ResetLog and Entries are synced.
	MessagesAfterSync []Message
	Commit            uint64 // the commit index
	// CommittedEntries are to be applied: each committed entry once, in order, after a start from the snapshot on.
	// They may not be synced here yet.
	CommittedEntries []Entry
	Fetch            *FetchSnapshot // nil: nothing is to be fetched
}

// FetchSnapshot asks the runtime to fetch the body of a snapshot at or after Meta, to sync and apply it, and to call
// SnapshotInstalled with the Meta of what it received. The request is repeated from time to time; a fetch that runs
// already continues.
type FetchSnapshot struct {
	Meta Meta
	From string // address of the leader
}

// output is what the next Ready hands out, besides entries. Any call may add to it; only Ready empties it.
type output struct {
	hardStateChanged  bool
	logReset          bool
	messages          []Message
	messagesAfterSync []Message
	fetchRequest      *FetchSnapshot
}

// Ready returns the pending output, and the caller must carry out all of it. It is called after each burst of calls:
// a leader makes its appends here, so that a burst of proposals is one append to each member.
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

// recordCommit puts the commit index into the hard state whenever entries are stored, as those are synced in any case.
// It stays below them: if their write is torn, older entries that were never committed may still be in their place.
func (c *Core) recordCommit(stored []Entry) {
	if len(stored) == 0 {
		return
	}
	if known := min(c.commit, stored[0].Index-1); known > c.hardState.Commit {
		c.hardState.Commit, c.hardStateChanged = known, true
	}
}
