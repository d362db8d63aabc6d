package storage

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// fullError marks the error of a write that failed because the disk was full or no file descriptor was free. Data that
// was synced before is intact.
type fullError struct{ error }

// Unwrap returns the error of the write.
func (f fullError) Unwrap() error { return f.error }

// fullErrors are the errors after which synced data is intact: no space on the disk, or no free file descriptor.
var fullErrors = []error{unix.ENOSPC, unix.EDQUOT, unix.EMFILE, unix.ENFILE}

// markFull wraps an error so that IsFull reports true for it, if it is one of fullErrors. It must be called only with
// errors of writes, creations and renames, never with the error of a sync.
func markFull(err error) error {
	if slices.ContainsFunc(fullErrors, func(target error) bool { return errors.Is(err, target) }) {
		return fullError{err}
	}
	return errs.Pass(err, "write")
}

// IsFull reports whether an error of Open, Append, WriteSnapshot or Resume was caused by a write that failed for lack
// of disk space or of a file descriptor. The process can continue after such an error: Resume makes the store usable
// again once there is space. IsFull returns false for a failed sync: it is unknown which data is durable then, so the
// store stays unusable.
func IsFull(err error) bool {
	var full fullError
	return errors.As(err, &full)
}
