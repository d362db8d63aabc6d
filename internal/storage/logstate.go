package storage

import "slices"

// logState is the result of applying a sequence of records: the current entries and hard state. Open builds it from the
// records that it reads, and a Store updates it with each record that it appends.
type logState struct {
	entries      []Record // the current entries, with consecutive indexes
	hardState    *Record  // the last KindHardState; nil: none
	lastSnapshot Record   // the last kindSnapshot; zero: none
	compactedTo  uint64   // the entries up to this index are only in a snapshot
}

// lastIndex returns the index of the newest entry in the log or in a snapshot.
func (l *logState) lastIndex() uint64 {
	if n := len(l.entries); n > 0 {
		return max(l.entries[n-1].Index, l.compactedTo)
	}
	return l.compactedTo
}

// apply applies the next record of the log. It returns false, and changes nothing, if the record is an entry with index
// 0 or one that would leave a gap in the indexes.
func (l *logState) apply(r Record) bool {
	switch r.Kind {
	case KindHardState:
		l.hardState = &r
	case kindSnapshot:
		l.applySnapshot(r)
	default:
		n := len(l.entries)
		if n > 0 && r.Index > l.entries[n-1].Index+1 || r.Index == 0 {
			return false
		}
		for n > 0 && l.entries[n-1].Index >= r.Index {
			n--
		}
		l.entries = append(l.entries[:n], r)
	}
	return true
}

// applySnapshot applies the record of a snapshot. The entries stay if one of them has the index and the term of the
// snapshot, or if all are after it. Otherwise they contradict the snapshot or end before it, which means that the
// snapshot came from another member, and they are removed.
func (l *logState) applySnapshot(snap Record) {
	l.lastSnapshot = snap
	if len(l.entries) > 0 {
		first := l.entries[0].Index
		if first > snap.Index {
			return
		}
		if at := snap.Index - first; at < uint64(len(l.entries)) && l.entries[at].Term == snap.Term {
			return
		}
	}
	l.entries, l.compactedTo = nil, max(l.compactedTo, snap.Index)
}

// compact removes the entries up to index. If none remain, the log continues from the snapshot at index newest.
func (l *logState) compact(index, newest uint64) {
	l.entries = slices.DeleteFunc(l.entries, func(r Record) bool { return r.Index <= index })
	if len(l.entries) == 0 {
		l.compactedTo = max(l.compactedTo, newest)
	}
}

// entriesAfter returns the entries after a snapshot at index. It returns false if there is a gap between the snapshot
// and the entries.
func (l *logState) entriesAfter(index uint64) ([]Record, bool) {
	if l.compactedTo > index {
		return nil, false
	}
	for i, r := range l.entries {
		if r.Index > index {
			return l.entries[i:], r.Index == index+1
		}
	}
	return nil, true
}
