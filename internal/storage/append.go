package storage

import (
	"slices"
	"time"

	"crosstide/internal/errs"
)

// bufferKept is the capacity up to which Append keeps its buffer for the next call.
const bufferKept = maxData / 16

// Append writes records with one write and one sync, and returns once they are durable. An entry replaces the one of
// its index and all after it; it must follow the last entry without a gap and be past the newest snapshot. Failures:
// Invalid and TooLarge (nothing was written), Stopped, Disk (a write or sync failed, now or before: the records may or
// may not be there, and the process has to end, or to call Resume if IsFull holds). Example:
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
		s.log.state.apply(r.kept())
	}
	s.updateStats(func(stats *Stats) {
		stats.Syncs++
		stats.Bytes += uint64(len(s.buf))
		stats.Records += uint64(len(records))
		stats.LastSync, stats.LongestSync = syncTime, max(stats.LongestSync, syncTime)
	})
	if cap(s.buf) > bufferKept {
		s.buf = nil
	}
	return nil
}

// checkRecords checks a group of records before anything of it is written. The caller holds mu.
func (s *Store) checkRecords(records []Record) error {
	last := max(s.log.state.lastIndex(), s.newest.Index)
	for _, r := range records {
		switch {
		case len(r.Data) > maxData:
			return errs.New(errs.TooLarge, "a record of %d bytes, at most %d", len(r.Data), maxData)
		case r.Kind == kindSnapshot:
			return errs.Field(errs.Invalid, "kind", "%d is the store's own", r.Kind)
		case r.Kind == KindHardState:
		case r.Index > last+1 || r.Index <= s.newest.Index:
			return errs.Field(errs.Invalid, "index", "entry %d after %d, image at %d", r.Index, last, s.newest.Index)
		default:
			last = r.Index
		}
	}
	return nil
}

// writeLog writes to the active segment and syncs it, and returns how long the sync took. The caller holds mu.
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

// kept returns what the store keeps of a record in memory: a copy of a hard state, an entry without its Data.
func (r Record) kept() Record {
	if r.Kind == KindHardState {
		r.Data = slices.Clone(r.Data)
	} else {
		r.Data = nil
	}
	return r
}
