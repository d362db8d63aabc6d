// Package storage implements the durable storage of the control store in one folder: a segmented write-ahead log, and
// the newest two snapshots of the complete state in two files that are written alternately.
//
// Open returns the durable state (Recovered). Then the owner calls Append for each group of records, and periodically
// WriteSnapshot, which also removes obsolete segments. The package is independent of the consensus protocol: the Data
// of an entry and of the hard state is opaque to it, and the owner decides what to store and when.
//
// Only synced data counts as stored. Each file is written and synced under a temporary name and then renamed. Only the
// last segment is appended to in place, so a torn write can only be at its end. Any other invalid data is reported as
// errs.Damaged, and the folder must then no longer be used as a member's disk. After a failed sync a Store stays
// unusable, as it is unknown which data is durable. After a write that failed because the disk was full, Resume makes
// the Store usable again.
//
// Entry points: open.go (recovery of a folder) and append.go. snapshot.go writes and reads snapshots; record.go and
// snapshotfile.go define the formats, logstate.go the meaning of a sequence of records. disk.go has the interface of a
// folder; osdisk.go and memdisk.go implement it.
package storage

import (
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// Options are the settings of a Store.
type Options struct {
	Clock clock.Clock // measures the duration of syncs for Stats; default clock.Real
}

// Stats are counters and durations since Open.
type Stats struct {
	Syncs       uint64        // of files and of the folder
	Bytes       uint64        // written to all files
	Records     uint64        // appended
	Snapshots   uint64        // written
	Segments    uint64        // currently in the folder
	LastSync    time.Duration // duration of the sync in the last Append
	LongestSync time.Duration // duration of the longest sync in an Append
}

// Store manages the log and the snapshots in a folder. It is safe for concurrent use.
type Store struct {
	disk  Disk
	clock clock.Clock

	snapshotMu sync.Mutex // serializes WriteSnapshot, Resume and Close; locked before mu

	mu         sync.Mutex // guards the fields below; not held while the body of a snapshot is written
	log        appendLog
	buf        []byte   // buffer of Append, reused to avoid allocations
	newest     Snapshot // the newest snapshot, without Meta and Body; Number 0: none
	newestFile int      // index of its file in snapshotFileNames; the other file is written next
	failure    error    // the first error of a write or sync since Open or Resume; nil: the store is usable
	closed     bool     // Close was called

	statsMu sync.Mutex // guards stats; locked last
	stats   Stats
}

// appendLog is the log that a Store appends to. It is owned by Store.
type appendLog struct {
	file     File      // the last segment
	size     int       // its length in bytes
	segments []segment // in the folder, oldest first, with consecutive numbers; never empty once open
	state    logState  // its entries have no Data
}

// active returns the last segment, the one that Append writes to.
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

// updateStats calls update on the stats while holding their mutex.
func (s *Store) updateStats(update func(stats *Stats)) {
	s.statsMu.Lock()
	defer s.statsMu.Unlock()
	update(&s.stats)
}

// checkUsable returns nil if the store may be written to, or the error with which it must reject a write. The caller
// holds mu.
func (s *Store) checkUsable() error {
	if s.failure != nil {
		return errs.Wrap(s.failure, errs.Disk, "the store is unusable after an earlier failure")
	}
	if s.closed {
		return errs.New(errs.Stopped, "the store is closed")
	}
	return nil
}

// markFailed makes the store unusable after err, and returns err with kind Disk. Resume is possible if IsFull reports
// true for err. The caller holds mu.
func (s *Store) markFailed(err error) error {
	if s.failure == nil {
		s.failure = err
	}
	return errs.Wrap(err, errs.Disk, "the store failed")
}

// Close waits for a running WriteSnapshot and closes the store. Appended records are already durable. Later writes fail
// with errs.Stopped; a second Close has no effect.
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
