package storage

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// fullError marks a write that was rejected because the disk or the descriptors are used up. What was synced before is
// as it was.
type fullError struct{ error }

// Unwrap returns the write's own error.
func (f fullError) Unwrap() error { return f.error }

// fullErrors are the errors of writes that leave all that was synced as it was: no space on the disk, or no descriptor
// for the file.
var fullErrors = []error{unix.ENOSPC, unix.EDQUOT, unix.EMFILE, unix.ENFILE}

// markFull marks the error of a write, not of a sync, for IsFull if it is one of fullErrors.
func markFull(err error) error {
	if slices.ContainsFunc(fullErrors, func(target error) bool { return errors.Is(err, target) }) {
		return fullError{err}
	}
	return errs.Pass(err, "write")
}

// IsFull reports whether a failure of Open, Append or WriteSnapshot is a write that was rejected for lack of space on
// the disk or of descriptors. The process can go on after it: Resume makes the store usable again once there is space.
// A failed sync is never one: nobody knows what it left behind, so it ends the use of the store for good.
func IsFull(err error) bool {
	var full fullError
	return errors.As(err, &full)
}
