package storage

import "slices"

// logState is the outcome of a sequence of records. Store has the one of its log; reading a folder builds another.
type logState struct {
	entries      []Record // those that were not replaced, indexes without a gap
	hardState    *Record  // the last KindHardState
	lastSnapshot Record   // the last kindSnapshot
	compactedTo  uint64   // entries up to here are known only through a snapshot
}

// lastIndex is the index of the newest entry.
func (t *logState) lastIndex() uint64 {
	if n := len(t.entries); n > 0 {
		return max(t.entries[n-1].Index, t.compactedTo)
	}
	return t.compactedTo
}

// apply applies the next record; false means a gap in the indexes.
func (t *logState) apply(r Record) bool {
	switch r.Kind {
	case KindHardState:
		t.hardState = &r
	case kindSnapshot:
		t.applySnapshot(r)
	default:
		n := len(t.entries)
		if n > 0 && r.Index > t.entries[n-1].Index+1 || r.Index == 0 {
			return false
		}
		for n > 0 && t.entries[n-1].Index >= r.Index {
			n--
		}
		t.entries = append(t.entries[:n], r)
	}
	return true
}

// applySnapshot records that a snapshot was written. Entries that include its index with its term stay. Entries that
// the snapshot contradicts, or that end before it, are removed: it came from another member.
func (t *logState) applySnapshot(snap Record) {
	t.lastSnapshot = snap
	if len(t.entries) > 0 {
		first := t.entries[0].Index
		if first > snap.Index {
			return
		}
		if at := snap.Index - first; at < uint64(len(t.entries)) && t.entries[at].Term == snap.Term {
			return
		}
	}
	t.entries, t.compactedTo = nil, max(t.compactedTo, snap.Index)
}

// compact removes the entries up to index. If none is left, the log continues from the snapshot at newest.
func (t *logState) compact(index, newest uint64) {
	t.entries = slices.DeleteFunc(t.entries, func(r Record) bool { return r.Index <= index })
	if len(t.entries) == 0 {
		t.compactedTo = max(t.compactedTo, newest)
	}
}

// entriesAfter returns the entries after a snapshot at index; false if the log does not follow it without a gap.
func (t *logState) entriesAfter(index uint64) ([]Record, bool) {
	if t.compactedTo > index {
		return nil, false
	}
	for i, r := range t.entries {
		if r.Index > index {
			return t.entries[i:], r.Index == index+1
		}
	}
	return nil, true
}
