package raft

// Ready is the output since the last Ready.
type Ready struct {
	HardState *HardState // to store, if not nil
	// ResetLog: every stored entry is invalid, as a snapshot took their place. To be done before Entries are stored.
	ResetLog bool
	// Entries are to be stored, in place of the stored entries at and after Entries[0].Index.
	Entries  []Entry
	Messages []Message // may be sent before the sync
	// MessagesAfterSync may be sent only once HardState, ResetLog and Entries are synced.
	MessagesAfterSync []Message
	Commit            uint64 // the commit index
	// CommittedEntries are newly committed, in order, each once; after a start from the snapshot on. They may not be
	// synced here yet.
	CommittedEntries []Entry
	Fetch            *FetchSnapshot // nil: nothing to fetch
}

// FetchSnapshot asks the runtime to fetch a snapshot body at the address From, at or after Meta, to sync and apply it
// and to call SnapshotInstalled with the Meta of what it received. It is repeated from time to time: a fetch that runs
// already is left to run.
type FetchSnapshot struct {
	Meta Meta
	From string
}

// output is what the next Ready will hand out, besides entries. Every step adds to it; only Ready empties it.
type output struct {
	hardStateChanged  bool
	logReset          bool
	messages          []Message
	messagesAfterSync []Message
	fetchRequest      *FetchSnapshot
}

// Ready takes all pending output. Call it after each burst of calls.
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

// recordCommit puts the commit index into the hard state that is stored with entries, as they are synced anyway. It
// stays below them: were they torn, older ones that were never committed would stand in their place.
func (c *Core) recordCommit(stored []Entry) {
	if len(stored) == 0 {
		return
	}
	if known := min(c.commit, stored[0].Index-1); known > c.hardState.Commit {
		c.hardState.Commit, c.hardStateChanged = known, true
	}
}
