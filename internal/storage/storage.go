// Package storage is the durable storage of the control store: a snapshot of the whole state in one of two files
// (slots) that are written in turn, and a write-ahead log in segments. Only synced data counts. Each file is written
// and synced under a temporary name and then renamed; only the last segment of the log is written in place, so a
// torn write can be found only there.
//
// open.go reads a folder, append.go writes the log, snapshot.go and snapshotfile.go the snapshots; record.go has the
// log's format, logview.go the meaning of a sequence of records. disk.go and memdisk.go are the folders.
package storage

import (
	"io"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

const (
	unfinishedSuffix = ".tmp" // of the name of a file that may not be synced yet
	segmentPrefix    = "log-" // of the name of a segment, before its number
)

// snapshotFileNames are the files of the two snapshots.
var snapshotFileNames = [2]string{"slot-a", "slot-b"}

// Options are the settings of a Store.
type Options struct {
	Clock clock.Clock // times the syncs for Stats; nil takes clock.Real
}

// Recovered is what Open read.
type Recovered struct {
	Snapshot  *Snapshot // the newest snapshot that the log follows; nil if none was ever written
	Records   []Record  // the last KindHardState if there is one, then the entries after Image, without a gap
	Fresh     bool      // the folder holds no image, no hard state and no entry
	TornBytes int64     // bytes of torn tail that were cut
}

// Stats counts since Open.
type Stats struct {
	Syncs, Bytes, Records, Snapshots, Segments uint64        // Bytes are all bytes written; Segments those in the folder
	LastSync, LongestSync                      time.Duration // of Append
}

// Store is an open folder. Append, WriteSlot, NewestSlot and Stats may run at the same time.
type Store struct {
	disk       Disk
	clock      clock.Clock
	snapshotMu sync.Mutex // held by one WriteSlot

	mu         sync.Mutex // guards the log and the fields below; never held while a snapshot is written
	file       File       // the last segment
	size       int
	buf        []byte
	segments   []segment
	log        logState // entries without Data
	failure    error
	newest     Snapshot // without Meta and Body
	newestFile int      // the newest slot's place in snapshotFileNames
	closed     bool

	countMu sync.Mutex
	stats   Stats
}

func (s *Store) readFile(name string) ([]byte, error) {
	file, err := s.disk.Open(name)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open %s", name)
	}
	defer file.Close()
	all, err := io.ReadAll(file)
	return all, errs.Wrap(err, errs.Disk, "read %s", name)
}

func (s *Store) updateStats(add func(c *Stats)) {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	add(&s.stats)
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

// markFailed ends the use of the store for good; called under mu.
func (s *Store) markFailed(err error) error {
	if s.failure == nil {
		s.failure = err
	}
	return errs.Wrap(err, errs.Disk, "the store failed")
}

// Stats returns the counters since Open.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	segments := uint64(len(s.segments))
	s.mu.Unlock()
	s.countMu.Lock()
	defer s.countMu.Unlock()
	out := s.stats
	out.Segments = segments
	return out
}

// Close ends the use of the store, after a WriteSlot that is under way. All that was appended is durable already.
func (s *Store) Close() error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	return errs.Wrap(s.file.Close(), errs.Disk, "close the log")
}
