package raft

import (
	"slices"
	"sort"
)

// memoryLog is the part of the log that is in memory; its owner is Core. Elements of entries are never overwritten, so
// the runtime may keep slices of it.
type memoryLog struct {
	offset     uint64  // index before that of entries[0]; all up to it is compacted
	offsetTerm uint64  // the term of the entry at offset
	entries    []Entry // without a gap in their indexes
}

// last returns the index of the newest entry; offset if there is none.
func (l *memoryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of the entry at an index; false if it is compacted or missing.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// lastTerm returns the term of the newest entry.
func (l *memoryLog) lastTerm() uint64 { term, _ := l.term(l.last()); return term }

// slice returns the entries from from to to, both included. They must be in memory.
func (l *memoryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	first, end := from-l.offset-1, to-l.offset
	return l.entries[first:end:end]
}

// sliceUpTo is slice, limited to a size but with one entry at least.
func (l *memoryLog) sliceUpTo(from, to uint64, limitBytes int) []Entry {
	entries := l.slice(from, to)
	for i, e := range entries {
		if limitBytes -= e.size(); limitBytes < 0 && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// truncate removes the entries at and after from. It cuts the capacity too, so that the next append allocates a new
// array.
func (l *memoryLog) truncate(from uint64) {
	n := from - l.offset - 1
	l.entries = l.entries[:n:n]
}

// compact removes the entries up to index. It copies the rest to a new array once that is at most as long as what is
// removed, so that the cost of copying is amortized.
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

// lastOfLowerTerm returns the newest index whose term is lower than that of index; offset if there is none in memory.
func (l *memoryLog) lastOfLowerTerm(index uint64) uint64 {
	term, _ := l.term(index)
	return l.offset + uint64(sort.Search(len(l.entries), func(n int) bool { return l.entries[n].Term >= term }))
}
