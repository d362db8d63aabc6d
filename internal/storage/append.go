package storage

import (
	"slices"

	"crosstide/internal/errs"
)

// Append writes recs with one write and one sync and returns when they are durable. An entry replaces the one of its
// index and all after it; it must follow the last entry without a gap and lie past the newest snapshot. Failures:
// Invalid and TooLarge (nothing was written), Stopped, Disk (a write or sync failed, now or before: end the
// process, or call Resume if IsFull; what recs became is unknown). Example:
//
//	err := store.Append([]storage.Record{{Kind: storage.KindHardState, Data: vote}, {Term: 2, Index: 9, Data: order}})
func (s *Store) Append(recs []Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return errs.Pass(err, "append %d records", len(recs))
	}
	if len(recs) == 0 {
		return nil
	}
	last := max(s.log.lastIndex(), s.newest.Index)
	s.buf = s.buf[:0]
	for _, r := range recs {
		switch {
		case len(r.Data) > MaxData:
			return errs.New(errs.TooLarge, "a record of %d bytes, at most %d", len(r.Data), MaxData)
		case r.Kind == kindSnapshot:
			return errs.Field(errs.Invalid, "kind", "%d is the store's own", r.Kind)
		case r.Kind != KindHardState && (r.Index > last+1 || r.Index <= s.newest.Index):
			return errs.Field(errs.Invalid, "index", "entry %d after %d, image at %d", r.Index, last, s.newest.Index)
		case r.Kind != KindHardState:
			last = r.Index
		}
		s.buf = appendRecord(s.buf, s.segments[len(s.segments)-1].number, s.size, r)
	}
	if _, err := s.file.Write(s.buf); err != nil {
		return errs.Pass(s.markFailed(errs.Wrap(markFull(err), errs.Disk, "write the log")), "append %d records", len(recs))
	}
	from := s.clock.Now()
	if err := s.file.Sync(); err != nil {
		return errs.Pass(s.markFailed(errs.Wrap(err, errs.Disk, "sync the log")), "append %d records", len(recs))
	}
	took := s.clock.Now() - from
	s.size += len(s.buf)
	for _, r := range recs {
		s.segments[len(s.segments)-1].track(r)
		if r.Data = slices.Clone(r.Data); r.Kind != KindHardState {
			r.Data = nil
		}
		s.log.apply(r)
	}
	s.updateStats(func(c *Stats) {
		c.Syncs, c.Bytes, c.Records = c.Syncs+1, c.Bytes+uint64(len(s.buf)), c.Records+uint64(len(recs))
		c.LastSync, c.LongestSync = took, max(c.LongestSync, took)
	})
	if cap(s.buf) > MaxData/16 {
		s.buf = nil
	}
	return nil
}
