package storage

// logView is what a sequence of records comes to.
type logView struct {
	entries []Record // the entries that stand, indexes without a hole
	hard    *Record
	floor   uint64 // the list says nothing of entries up to here; only an image does
	base    Record // the last kindBase
}

// lastIndex is the index of the newest entry.
func (t *logView) lastIndex() uint64 {
	if n := len(t.entries); n > 0 {
		return max(t.entries[n-1].Index, t.floor)
	}
	return t.floor
}

// add takes the next record in; false is a hole in the indexes.
func (t *logView) add(r Record) bool {
	switch r.Kind {
	case KindHard:
		t.hard = &r
	case kindBase:
		t.rebase(r)
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

// rebase takes in that an image was written. Entries that lead up to it and past it stand; entries that the
// image contradicts, or that end before it, fall (the image came from another member).
func (t *logView) rebase(b Record) {
	t.base = b
	if len(t.entries) > 0 {
		first := t.entries[0].Index
		if first > b.Index {
			return
		}
		if at := b.Index - first; at < uint64(len(t.entries)) && t.entries[at].Term == b.Term {
			return
		}
	}
	t.entries, t.floor = nil, max(t.floor, b.Index)
}

// entriesAfter gives the entries after an image of index; false if the log does not follow it without a hole.
func (t *logView) entriesAfter(index uint64) ([]Record, bool) {
	if t.floor > index {
		return nil, false
	}
	for i, r := range t.entries {
		if r.Index > index {
			return t.entries[i:], r.Index == index+1
		}
	}
	return nil, true
}
