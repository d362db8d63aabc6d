package storage

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// fullError marks the error of a write that found the disk full or no descriptor left. What was synced before is
// intact.
type fullError struct{ error }

// Unwrap returns the error of the write.
func (f fullError) Unwrap() error { return f.error }

// fullErrors are the errors after which all that was synced is intact: no space on the disk, or no descriptor left.
var fullErrors = []error{unix.ENOSPC, unix.EDQUOT, unix.EMFILE, unix.ENFILE}

// markFull marks an error for IsFull if it is one of fullErrors. It is called with errors of writes, creations and
// renames, never with that of a sync.
func markFull(err error) error {
	if slices.ContainsFunc(fullErrors, func(target error) bool { return errors.Is(err, target) }) {
		return fullError{err}
	}
	return errs.Pass(err, "write")
}

// IsFull reports whether an error of Open, Append, WriteSnapshot or Resume is that of a write that lacked space on the
// disk or a descriptor. The process can continue after it: Resume makes the store usable again once there is space. It
// never holds for a failed sync: what that one left behind is unknown, so the store cannot be used again.
func IsFull(err error) bool {
	var full fullError
	return errors.As(err, &full)
}
