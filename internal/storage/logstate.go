package storage

// logState is the outcome of a sequence of records.
type logState struct {
	entries      []Record // the entries that were not replaced, indexes without a gap
	hardState    *Record
	compactedTo  uint64 // entries up to here are known only through a snapshot
	lastSnapshot Record // the last kindSnapshot
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

// applySnapshot records that a snapshot was written. Entries that include its index with its term stay. Entries that the
// snapshot contradicts, or that end before it, are dropped: it came from another member.
func (t *logState) applySnapshot(b Record) {
	t.lastSnapshot = b
	if len(t.entries) > 0 {
		first := t.entries[0].Index
		if first > b.Index {
			return
		}
		if at := b.Index - first; at < uint64(len(t.entries)) && t.entries[at].Term == b.Term {
			return
		}
	}
	t.entries, t.compactedTo = nil, max(t.compactedTo, b.Index)
}

// entriesAfter returns the entries after an image of index; false if the log does not follow it without a gap.
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
