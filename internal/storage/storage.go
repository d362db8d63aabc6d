// Package storage is the durable storage of the control store in one folder: a write-ahead log in segments, and the
// newest two snapshots of the whole state in two files that are written in turn.
//
// Open returns the durable state (Recovered). Then the owner calls Append for each group of records, and WriteSnapshot
// from time to time, which also removes segments that are not needed any more. The package knows nothing of consensus:
// the Data of an entry and of the hard state is opaque to it, and it never decides what to store or when.
//
// Only synced data counts. Each file is written and synced under a temporary name and then renamed. Only the last
// segment is appended to in place, so a torn write can be nowhere else: anything else that is invalid is errs.Damaged,
// and the folder must not be used as a member's disk any more. After a failed sync a Store stays unusable, as what the
// sync left behind is unknown. After a write that found the disk full, Resume makes it usable again.
//
// Begin to read at open.go (how a folder is recovered) and append.go. snapshot.go writes and reads snapshots; record.go
// and snapshotfile.go have the formats, logstate.go the meaning of a sequence of records. disk.go has the interface of
// a folder; osdisk.go and memdisk.go implement it.
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

// Stats are counters and times since Open.
type Stats struct {
	Syncs       uint64
	Bytes       uint64        // written to all files
	Records     uint64        // appended
	Snapshots   uint64        // written
	Segments    uint64        // in the folder now
	LastSync    time.Duration // how long the sync of the last Append took
	LongestSync time.Duration // how long the longest sync of an Append took
}

// Store is the log and the snapshots in an open folder. It is safe for concurrent use.
type Store struct {
	disk  Disk
	clock clock.Clock

	snapshotMu sync.Mutex // serializes WriteSnapshot, Resume and Close; locked before mu

	mu         sync.Mutex // guards the fields below; not held while the body of a snapshot is written
	log        appendLog
	buf        []byte   // of Append, kept to avoid allocations
	newest     Snapshot // the newest snapshot, without Meta and Body; Number 0: none
	newestFile int      // its index in snapshotFileNames; the other file is the next to be written
	failure    error    // the first error of a write or sync since Open or Resume; nil: the store is usable
	closed     bool     // Close was called

	statsMu sync.Mutex // guards stats; locked last
	stats   Stats
}

// appendLog is the log that a Store appends to; its owner is Store.
type appendLog struct {
	file     File      // the last segment
	size     int       // its length in bytes
	segments []segment // in the folder, oldest first, with consecutive numbers; never empty once open
	state    logState  // its entries have no Data
}

// active returns the last segment, to which Append writes.
func (l *appendLog) active() *segment { return &l.segments[len(l.segments)-1] }

// Stats returns the counters since Open.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	segments := uint64(len(s.log.segments))
	s.mu.Unlock()
	s.statsMu.Lock()
	defer s.statsMu.Unlock()
	stats := s.stats
	stats.Segments = segments
	return stats
}

// updateStats runs update on the stats, under their mutex.
func (s *Store) updateStats(update func(stats *Stats)) {
	s.statsMu.Lock()
	defer s.statsMu.Unlock()
	update(&s.stats)
}

// checkUsable returns the error for a write that the store must reject, nil if it may write. The caller holds mu.
func (s *Store) checkUsable() error {
	if s.failure != nil {
		return errs.Wrap(s.failure, errs.Disk, "the store failed before")
	}
	if s.closed {
		return errs.New(errs.Stopped, "the store is closed")
	}
	return nil
}

// markFailed makes the store unusable after err; Resume is possible if IsFull holds for it. The caller holds mu.
func (s *Store) markFailed(err error) error {
	if s.failure == nil {
		s.failure = err
	}
	return errs.Wrap(err, errs.Disk, "the store failed")
}

// Close closes the store, once a WriteSnapshot that runs has returned. All that was appended is durable already. Later
// writes fail as errs.Stopped; a second Close does nothing.
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
