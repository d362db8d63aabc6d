package raft

import (
	"slices"
	"sort"
)

// memoryLog is the log in memory: entries[0] has index offset+1. Elements are never overwritten, so slices of it may be kept.
type memoryLog struct {
	offset, offsetTerm uint64
	entries            []Entry
}

func (l *memoryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of index i, false if it is not known here.
func (l *memoryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.offset:
		return l.offsetTerm, true
	case i < l.offset || i > l.last():
		return 0, false
	}
	return l.entries[i-l.offset-1].Term, true
}

func (l *memoryLog) lastTerm() uint64 { t, _ := l.term(l.last()); return t }

// slice returns the entries from..to, both included.
func (l *memoryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	a, b := from-l.offset-1, to-l.offset
	return l.entries[a:b:b]
}

// sliceUpTo is cut up to a size, at least one entry.
func (l *memoryLog) sliceUpTo(from, to uint64, bytes int) []Entry {
	all := l.slice(from, to)
	for i, e := range all {
		if bytes -= e.size(); bytes < 0 && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// truncate drops the entries at and after from; what is appended next takes a new array.
func (l *memoryLog) truncate(from uint64) {
	n := from - l.offset - 1
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to i. The array is copied once half of it is void, so the cost is spread.
func (l *memoryLog) compact(i uint64) {
	if i <= l.offset {
		return
	}
	l.offsetTerm, _ = l.term(i)
	n := i - l.offset
	rest := l.entries[n:]
	if n >= uint64(len(rest)) {
		rest = slices.Clone(rest)
	}
	l.entries, l.offset = rest, i
}

// lastOfLowerTerm returns the newest index under i of a term lower than that of i.
func (l *memoryLog) lastOfLowerTerm(i uint64) uint64 {
	t, _ := l.term(i)
	return l.offset + uint64(sort.Search(len(l.entries), func(n int) bool { return l.entries[n].Term >= t }))
}
