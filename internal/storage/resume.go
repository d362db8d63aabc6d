package storage

import "crosstide/internal/errs"

// Resume makes the store usable again after a write that found the disk full. As a start of the process would, it reads
// the folder, writes the last segment again and syncs it. The records of the failed Append may or may not be in the log
// afterwards: the caller appends them again. While the store is usable it does nothing. Failures: Disk (with IsFull
// there is still no space, and Resume may be called again later), Damaged, Stopped.
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
		return errs.New(errs.Damaged, "slot %d is not there any more", s.newest.Number)
	}
	_ = s.log.file.Close() // open has written its records to a new file
	s.log, s.newest, s.newestFile, s.failure = next.log, next.newest, next.newestFile, nil
	return nil
}
