package raft

import (
	"slices"
	"sort"
)

// memoryLog is the log in memory. Elements of entries are never overwritten, so slices of it may be kept by others.
type memoryLog struct {
	offset     uint64  // the last index that is not in entries; entries[0] has offset+1
	offsetTerm uint64  // the term of offset
	entries    []Entry // indexes without a gap
}

// last is the index of the newest entry, offset if there is none.
func (l *memoryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of an index, false if it is not known here.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *memoryLog) lastTerm() uint64 { term, _ := l.term(l.last()); return term }

// slice returns the entries from..to, both included.
func (l *memoryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	first, end := from-l.offset-1, to-l.offset
	return l.entries[first:end:end]
}

// sliceUpTo is slice, cut to a size but not under one entry.
func (l *memoryLog) sliceUpTo(from, to uint64, bytes int) []Entry {
	all := l.slice(from, to)
	for i, e := range all {
		if bytes -= e.size(); bytes < 0 && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// truncate removes the entries at and after from. The capacity ends there too: the next append takes a new array.
func (l *memoryLog) truncate(from uint64) {
	n := from - l.offset - 1
	l.entries = l.entries[:n:n]
}

// compact removes the entries up to index. The array is copied once half of it is unused, so that the cost is spread.
func (l *memoryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	l.offsetTerm, _ = l.term(index)
	removed := index - l.offset
	rest := l.entries[removed:]
	if removed >= uint64(len(rest)) {
		rest = slices.Clone(rest)
	}
	l.entries, l.offset = rest, index
}

// lastOfLowerTerm returns the newest index under index of a term lower than that of index.
func (l *memoryLog) lastOfLowerTerm(index uint64) uint64 {
	term, _ := l.term(index)
	return l.offset + uint64(sort.Search(len(l.entries), func(n int) bool { return l.entries[n].Term >= term }))
}
