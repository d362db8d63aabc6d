package storage

import "crosstide/internal/errs"

// Resume makes the store usable again after a write that failed because the disk was full. Like Open, it reads the
// folder, rewrites the last segment and syncs it. The records of the failed Append may or may not be in the log
// afterwards, so the caller must append them again. Resume has no effect on a usable store. Failures: Disk (if IsFull
// reports true, there is still no space and Resume may be called again later), Damaged, Stopped.
func (s *Store) Resume() error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.failure != nil && !IsFull(s.failure) {
		return errs.Pass(s.checkUsable(), "resume")
	}
	if s.failure == nil {
		return nil
	}
	next := newStore(s.disk, s.clock)
	if _, err := next.open(); err != nil {
		return errs.Pass(err, "resume")
	}
	if next.newest.Number < s.newest.Number {
		return errs.New(errs.Damaged, "snapshot %d is missing, the newest valid one is %d",
			s.newest.Number, next.newest.Number)
	}
	_ = s.log.file.Close() // open has rewritten its records to a new file
	s.log, s.newest, s.newestFile, s.failure = next.log, next.newest, next.newestFile, nil
	return nil
}
