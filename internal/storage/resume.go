package storage

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// fullError marks a write that was refused because there is no room. What was synced before is as it was.
type fullError struct{ error }

// Unwrap gives the refused write's own error.
func (f fullError) Unwrap() error { return f.error }

// IsFull tells whether a failure of Open, Append or WriteSnapshot is a write that was refused for want of room on the disk or
// of descriptors. The
// process can go on after it: Resume makes the store usable again once there is room. A failed sync is never one: nobody
// knows what it left behind, so it ends the use of the store for good.
func IsFull(err error) bool {
	var full fullError
	return errors.As(err, &full)
}

// fullErrors are the errors of writes that leave all that was synced as it was: there is no room on the disk, or the process
// is out of descriptors for the file.
var fullErrors = []error{unix.ENOSPC, unix.EDQUOT, unix.EMFILE, unix.ENFILE}

// markFull marks the error of a write, not of a sync, if it is one of refusals.
func markFull(err error) error {
	if slices.ContainsFunc(fullErrors, func(fullErr error) bool { return errors.Is(err, fullErr) }) {
		return fullError{err}
	}
	return errs.Pass(err, "write")
}

// Resume makes the store usable again after a write that found the disk full, as a start of the process would: it reads
// the folder, and writes the last segment of the log anew and syncs it. It changes nothing while the store is usable.
// Records of the refused Append may or may not be in the log afterwards; the caller appends them again. Failures: Disk
// (IsFull: there is still no room, call it again later), Damaged, Stopped.
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
	next := &Store{disk: s.disk, clock: s.clock, newestFile: 1}
	if _, err := next.open(); err != nil {
		return errs.Pass(err, "resume")
	}
	if next.newest.Number < s.newest.Number {
		return errs.New(errs.Damaged, "slot %d is not there any more", s.newest.Number)
	}
	_ = s.file.Close() // what counts of it is in the new file
	s.file, s.size, s.segments = next.file, next.size, next.segments
	s.log, s.newest, s.newestFile, s.failure = next.log, next.newest, next.newestFile, nil
	return nil
}

// removeUnfinished removes what a refused write left of a file that has no name yet, so that it takes no room.
func (s *Store) removeUnfinished(name string) error {
	names, err := s.disk.List()
	if err != nil {
		return errs.Pass(err, "remove an unfinished file")
	}
	for _, other := range names {
		if other == name+unfinishedSuffix {
			return errs.Pass(s.disk.Remove(other), "remove an unfinished file")
		}
	}
	return nil
}
