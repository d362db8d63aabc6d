package storage

import "crosstide/internal/errs"

// Resume makes the store usable again after a write that found the disk full, as a start of the process would: it reads
// the folder, and writes the last segment of the log anew and syncs it. It changes nothing while the store is usable.
// Records of the rejected Append may or may not be in the log afterwards; the caller appends them again. Failures: Disk
// (IsFull: there is still no space, call it again later), Damaged, Stopped.
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
	_ = s.log.file.Close() // what counts of it is in the new file
	s.log, s.newest, s.newestFile, s.failure = next.log, next.newest, next.newestFile, nil
	return nil
}
