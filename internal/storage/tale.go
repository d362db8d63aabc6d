package storage

// tale is what a sequence of records comes to.
type tale struct {
	list  []Record // the entries that stand, indexes without a hole
	hard  *Record
	floor uint64 // the list says nothing of entries up to here; only an image does
	base  Record // the last kindBase
}

// last is the index of the newest entry.
func (t *tale) last() uint64 {
	if n := len(t.list); n > 0 {
		return max(t.list[n-1].Index, t.floor)
	}
	return t.floor
}

// add takes the next record in; false is a hole in the indexes.
func (t *tale) add(r Record) bool {
	switch r.Kind {
	case KindHard:
		t.hard = &r
	case kindBase:
		t.rebase(r)
	default:
		n := len(t.list)
		if n > 0 && r.Index > t.list[n-1].Index+1 || r.Index == 0 {
			return false
		}
		for n > 0 && t.list[n-1].Index >= r.Index {
			n--
		}
		t.list = append(t.list[:n], r)
	}
	return true
}

// rebase takes in that an image was written. Entries that lead up to it and past it stand; entries that the
// image contradicts, or that end before it, fall (the image came from another member).
func (t *tale) rebase(b Record) {
	t.base = b
	if len(t.list) > 0 {
		first := t.list[0].Index
		if first > b.Index {
			return
		}
		if at := b.Index - first; at < uint64(len(t.list)) && t.list[at].Term == b.Term {
			return
		}
	}
	t.list, t.floor = nil, max(t.floor, b.Index)
}

// after gives the entries after an image of index; false if the log does not follow it without a hole.
func (t *tale) after(index uint64) ([]Record, bool) {
	if t.floor > index {
		return nil, false
	}
	for i, r := range t.list {
		if r.Index > index {
			return t.list[i:], r.Index == index+1
		}
	}
	return nil, true
}
