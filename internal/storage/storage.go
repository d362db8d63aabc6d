// Package storage is the durable storage of the control store in one folder: a write-ahead log in segments, and the
// newest two snapshots of the whole state in two files that are written in turn.
//
// Open returns what is durable (Recovered); after that the owner calls Append for each group of records and
// WriteSnapshot now and then, which also removes the segments that are not needed any more. The package knows nothing
// of consensus: the Data of an entry and of the hard state is the caller's, and it never decides what to keep.
//
// Only synced data counts. Each file is written and synced under a temporary name and then renamed; only the last
// segment of the log is written in place, so a torn write can be found only there. Anything else that is amiss is
// errs.Damaged: the folder must not be used as a member's disk any more. After a failed sync a Store is unusable for
// good, as nobody knows what the sync left behind; after a write that found the disk full, Resume makes it usable
// again.
//
// Begin to read at open.go (what a folder means) and append.go. snapshot.go writes and reads snapshots; record.go and
// snapshotfile.go have the formats, logstate.go the meaning of a sequence of records. osdisk.go and memdisk.go are the
// folders.
package storage

import (
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// Options are the settings of a Store.
type Options struct {
	Clock clock.Clock // times the syncs for Stats; default clock.Real
}

// Stats counts since Open.
type Stats struct {
	Syncs       uint64
	Bytes       uint64 // written, of all files
	Records     uint64
	Snapshots   uint64
	Segments    uint64        // in the folder now
	LastSync    time.Duration // of Append
	LongestSync time.Duration // of Append
}

// Store is an open folder. Append, WriteSnapshot, NewestSnapshot and Stats may run at the same time.
type Store struct {
	disk  Disk
	clock clock.Clock

	snapshotMu sync.Mutex // serializes WriteSnapshot, Resume and Close; locked before mu

	mu         sync.Mutex // guards the fields below; never held while a snapshot is written
	log        appendLog
	buf        []byte   // of Append, kept to save allocations
	newest     Snapshot // the newest snapshot, without Meta and Body; Number 0: none
	newestFile int      // its index in snapshotFileNames; the other file is the next to be written
	failure    error    // the first one of a write or sync; nil: none, or Resume was called since
	closed     bool

	statsMu sync.Mutex // guards stats; locked last
	stats   Stats
}

// appendLog is the log that a Store appends to; its owner is Store.
type appendLog struct {
	file     File      // the last segment
	size     int       // bytes in it
	segments []segment // in the folder, oldest first; never empty once open
	state    logState  // entries without Data
}

// active is the segment that is written to.
func (l *appendLog) active() *segment { return &l.segments[len(l.segments)-1] }

// Stats returns the counters since Open.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	segments := uint64(len(s.log.segments))
	s.mu.Unlock()
	s.statsMu.Lock()
	defer s.statsMu.Unlock()
	out := s.stats
	out.Segments = segments
	return out
}

func (s *Store) updateStats(update func(stats *Stats)) {
	s.statsMu.Lock()
	defer s.statsMu.Unlock()
	update(&s.stats)
}

// checkUsable returns why the store may not write any more, nil if it may. The caller holds mu.
func (s *Store) checkUsable() error {
	if s.failure != nil {
		return errs.Wrap(s.failure, errs.Disk, "the store failed before")
	}
	if s.closed {
		return errs.New(errs.Stopped, "the store is closed")
	}
	return nil
}

// markFailed makes the store unusable; only a failure that IsFull can be resumed from. The caller holds mu.
func (s *Store) markFailed(err error) error {
	if s.failure == nil {
		s.failure = err
	}
	return errs.Wrap(err, errs.Disk, "the store failed")
}

// Close ends the use of the store, after a WriteSnapshot that runs. All that was appended is durable already.
func (s *Store) Close() error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	return errs.Wrap(s.log.file.Close(), errs.Disk, "close the log")
}
