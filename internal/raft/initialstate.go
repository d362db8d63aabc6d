package raft

import (
	"cmp"
	"slices"

	"crosstide/internal/errs"
)

// InitialState is the durable state at the start of the process. The zero value is that of an empty data folder.
type InitialState struct {
	HardState HardState
	Snapshot  Meta    // newest durable snapshot; zero: none
	Entries   []Entry // the stored log, with consecutive indexes; it may start before the snapshot
}

// Bootstrap returns the initial state of every bootstrap member at the first start of a cluster: a snapshot of the
// empty state at index 1, term 1, with the members in order of ID. The log starts at index 2. Every member must pass
// the same set. The runtime stores the snapshot (its body is the empty state) as the first durable one, so that a node
// that joins later can fetch it. Example:
//
//	core, err := raft.New(cfg, raft.Bootstrap(settings.Members), now)
func Bootstrap(members []Member) InitialState {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return InitialState{HardState: HardState{Term: 1}, Snapshot: Meta{Index: 1, Term: 1, Members: sorted}}
}

// loadEntries loads the stored entries after the snapshot into the log. If the stored entries end before the snapshot
// or contradict it, the log stays empty and the next Ready resets the stored log. Failure: Damaged if the entries have
// a gap, a decreasing term or an invalid member set.
func (c *Core) loadEntries(entries []Entry) error {
	snapshot := c.snapshot
	if i := slices.IndexFunc(entries, func(e Entry) bool { return e.Index >= snapshot.Index }); i < 0 {
		c.logReset, entries = len(entries) > 0, nil // all entries are before the snapshot
	} else if entries[i].Index == snapshot.Index {
		if entries[i].Term == snapshot.Term {
			entries = entries[i+1:]
		} else {
			c.logReset, entries = true, nil
		}
	}
	term := snapshot.Term
	for n, e := range entries {
		if e.Index != snapshot.Index+1+uint64(n) || e.Term < term {
			return errs.New(errs.Damaged, "stored entry %d of term %d does not follow index %d, term %d",
				e.Index, e.Term, snapshot.Index+uint64(n), term)
		}
		term = e.Term
	}
	configurations, err := configurationsOf(entries)
	if err != nil {
		return errs.Wrap(err, errs.Damaged, "members")
	}
	c.configurations = append(c.configurations, configurations...)
	c.log.entries = slices.Clone(entries)
	c.firstUnstable = c.log.last() + 1
	if c.hardState.Term < term { // no vote in that term was synced or sent, so the node may still vote
		c.hardState = HardState{Term: term, VotesUnknown: c.hardState.VotesUnknown}
		c.hardStateChanged = true
	}
	return nil
}
