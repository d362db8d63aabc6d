package storage

import (
	"errors"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// fullError marks a write that the disk refused because there is no room. What was synced before is as it was.
type fullError struct{ error }

// Unwrap gives the refused write's own error.
func (f fullError) Unwrap() error { return f.error }

// IsFull tells whether a failure of Open, Append or WriteSlot is a write that was refused because the disk is full. The
// process can go on after it: Resume makes the store usable again once there is room. A failed sync is never one: nobody
// knows what it left behind, so it ends the use of the store for good.
func IsFull(err error) bool {
	var full fullError
	return errors.As(err, &full)
}

// refused marks the error of a write, not of a sync, if it says that there is no room.
func refused(err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return fullError{err}
	}
	return errs.Pass(err, "write")
}

// Resume makes the store usable again after a write that found the disk full, as a start of the process would: it reads
// the folder, and writes the last segment of the log anew and syncs it. It changes nothing while the store is usable.
// Records of the refused Append may or may not be in the log afterwards; the caller appends them again. Failures: Disk
// (IsFull: there is still no room, call it again later), Damaged, Stopped.
func (s *Store) Resume() error {
	s.slots.Lock()
	defer s.slots.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.broken != nil && !IsFull(s.broken) {
		return errs.Pass(s.usable(), "resume")
	}
	if s.broken == nil {
		return nil
	}
	next := &Store{disk: s.disk, clock: s.clock, at: 1}
	if _, err := next.open(); err != nil {
		return errs.Pass(err, "resume")
	}
	if next.newest.Number < s.newest.Number {
		return errs.New(errs.Damaged, "slot %d is not there any more", s.newest.Number)
	}
	_ = s.file.Close() // what counts of it is in the new file
	s.file, s.size, s.segments = next.file, next.size, next.segments
	s.tale, s.newest, s.at, s.broken = next.tale, next.newest, next.at, nil
	return nil
}

// dropLoose removes what a refused write left of a file that has no name yet, so that it takes no room.
func (s *Store) dropLoose(name string) error {
	names, err := s.disk.List()
	if err != nil {
		return errs.Pass(err, "drop a loose file")
	}
	for _, other := range names {
		if other == name+loose {
			return errs.Pass(s.disk.Remove(other), "drop a loose file")
		}
	}
	return nil
}
