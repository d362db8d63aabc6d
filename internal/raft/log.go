package raft

import (
	"slices"
	"sort"
)

// memoryLog is the part of the log that is in memory. It is owned by Core. Elements of entries are never overwritten,
// so the runtime may retain slices of it.
type memoryLog struct {
	offset     uint64  // index of the last compacted entry; entries[0] is the next one
	offsetTerm uint64  // the term of the entry at offset
	entries    []Entry // with consecutive indexes
}

// last returns the index of the newest entry, or offset if entries is empty.
func (l *memoryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of the entry at an index from offset on. It returns false if the index is below offset or past
// the end.
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

// slice returns the entries from index from through index to, or nil if from > to. They must be in memory.
func (l *memoryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	first, end := from-l.offset-1, to-l.offset
	return l.entries[first:end:end]
}

// sliceUpTo is like slice, but limits the result to limitBytes and at least one entry.
func (l *memoryLog) sliceUpTo(from, to uint64, limitBytes int) []Entry {
	entries := l.slice(from, to)
	for i, e := range entries {
		if limitBytes -= e.size(); limitBytes < 0 && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// truncate removes the entry at index from and all later ones. It limits the capacity too, so that the next append
// allocates a new array and slices held by the runtime stay valid.
func (l *memoryLog) truncate(from uint64) {
	n := from - l.offset - 1
	l.entries = l.entries[:n:n]
}

// compact removes the entries up to index. It copies the remaining entries to a new array if they are at most as many
// as the removed ones, so that the cost of copying is amortized.
func (l *memoryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	l.offsetTerm, _ = l.term(index)
	removed := index - l.offset
	remaining := l.entries[removed:]
	if removed >= uint64(len(remaining)) {
		remaining = slices.Clone(remaining)
	}
	l.entries, l.offset = remaining, index
}

// lastOfLowerTerm returns the highest index whose term is lower than the term at index, or offset if no entry in memory
// has a lower term.
func (l *memoryLog) lastOfLowerTerm(index uint64) uint64 {
	term, _ := l.term(index)
	return l.offset + uint64(sort.Search(len(l.entries), func(n int) bool { return l.entries[n].Term >= term }))
}
