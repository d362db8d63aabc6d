package quorum

import (
	"slices"
	"sort"
)

// journal is the log in memory: ents[0] has index off+1. Slots are never overwritten, slices of it may be kept.
type journal struct {
	off, offTerm uint64
	ents         []Entry
}

func (l *journal) last() uint64 { return l.off + uint64(len(l.ents)) }

// term gives the term of index i, false if it is not known here.
func (l *journal) term(i uint64) (uint64, bool) {
	switch {
	case i == l.off:
		return l.offTerm, true
	case i < l.off || i > l.last():
		return 0, false
	}
	return l.ents[i-l.off-1].Term, true
}

func (l *journal) lastTerm() uint64 { t, _ := l.term(l.last()); return t }

// cut gives the entries from..to, both included.
func (l *journal) cut(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	a, b := from-l.off-1, to-l.off
	return l.ents[a:b:b]
}

// limited is cut up to a size, at least one entry.
func (l *journal) limited(from, to uint64, bytes int) []Entry {
	all := l.cut(from, to)
	for i, e := range all {
		if bytes -= e.size(); bytes < 0 && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// truncate drops the entries at and after from; what is appended next takes a new array.
func (l *journal) truncate(from uint64) {
	n := from - l.off - 1
	l.ents = l.ents[:n:n]
}

// compact drops the entries up to i. The array is copied once half of it is void, so the cost is spread.
func (l *journal) compact(i uint64) {
	if i <= l.off {
		return
	}
	l.offTerm, _ = l.term(i)
	n := i - l.off
	rest := l.ents[n:]
	if n >= uint64(len(rest)) {
		rest = slices.Clone(rest)
	}
	l.ents, l.off = rest, i
}

// before gives the newest index under i of a term lower than that of i.
func (l *journal) before(i uint64) uint64 {
	t, _ := l.term(i)
	return l.off + uint64(sort.Search(len(l.ents), func(n int) bool { return l.ents[n].Term >= t }))
}
