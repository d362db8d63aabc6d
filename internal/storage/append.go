package storage

import (
	"slices"
	"time"

	"crosstide/internal/errs"
)

// maxRetainedBuffer is the largest capacity in bytes of a buffer that Append reuses in the next call.
const maxRetainedBuffer = maxData / 16

// Append writes records with one write and one sync, and returns once they are durable. An entry replaces the entry
// with the same index and all later ones. Its index must be at most one after that of the last entry and higher than
// that of the newest snapshot. Failures: Invalid and TooLarge (nothing was written), Stopped, Disk (this or an earlier
// write or sync failed: the records may or may not be stored, and the process must exit, or call Resume if IsFull
// reports true). Example:
//
//	err := store.Append([]storage.Record{{Kind: storage.KindHardState, Data: vote}, {Term: 2, Index: 9, Data: order}})
func (s *Store) Append(records []Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return errs.Pass(err, "append %d records", len(records))
	}
	if len(records) == 0 {
		return nil
	}
	if err := s.checkRecords(records); err != nil {
		return errs.Pass(err, "append %d records", len(records))
	}
	s.buf = s.buf[:0]
	for _, r := range records {
		s.buf = appendRecord(s.buf, s.log.active().number, s.log.size, r)
	}
	syncTime, err := s.writeLog(s.buf)
	if err != nil {
		return errs.Pass(s.markFailed(err), "append %d records", len(records))
	}
	s.log.size += len(s.buf)
	for _, r := range records {
		s.log.active().track(r)
		s.log.state.apply(r.inMemory())
	}
	s.updateStats(func(stats *Stats) {
		stats.Syncs++
		stats.Bytes += uint64(len(s.buf))
		stats.Records += uint64(len(records))
		stats.LastSync, stats.LongestSync = syncTime, max(stats.LongestSync, syncTime)
	})
	if cap(s.buf) > maxRetainedBuffer {
		s.buf = nil
	}
	return nil
}

// checkRecords validates a group of records before it is written. The caller holds mu.
func (s *Store) checkRecords(records []Record) error {
	last := max(s.log.state.lastIndex(), s.newest.Index)
	for _, r := range records {
		switch {
		case len(r.Data) > maxData:
			return errs.New(errs.TooLarge, "record data of %d bytes exceeds the limit of %d", len(r.Data), maxData)
		case r.Kind == kindSnapshot:
			return errs.Field(errs.Invalid, "kind", "kind %d is reserved for the store", r.Kind)
		case r.Kind == KindHardState:
		case r.Index > last+1 || r.Index <= s.newest.Index:
			return errs.Field(errs.Invalid, "index",
				"entry %d must follow entry %d or replace one after the snapshot at %d", r.Index, last, s.newest.Index)
		default:
			last = r.Index
		}
	}
	return nil
}

// writeLog appends data to the active segment and syncs it. It returns the duration of the sync. The caller holds mu.
func (s *Store) writeLog(data []byte) (syncTime time.Duration, err error) {
	if _, err := s.log.file.Write(data); err != nil {
		return 0, errs.Wrap(markFull(err), errs.Disk, "write the log")
	}
	start := s.clock.Now()
	if err := s.log.file.Sync(); err != nil {
		return 0, errs.Wrap(err, errs.Disk, "sync the log")
	}
	return s.clock.Now() - start, nil
}

// inMemory returns the form of a record that the store holds in memory: a copy of a hard state, or an entry without its
// Data.
func (r Record) inMemory() Record {
	if r.Kind == KindHardState {
		r.Data = slices.Clone(r.Data)
	} else {
		r.Data = nil
	}
	return r
}
