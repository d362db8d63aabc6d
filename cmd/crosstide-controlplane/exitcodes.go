package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

// Exit codes of the operators' commands, for scripts.
const (
	exitOther       = 1
	exitUsage       = 2
	exitConflict    = 3 // someone else was first, or the order id is another order's
	exitRefused     = 4 // invalid, unknown, not signed as it must be
	exitUnavailable = 5 // send the same again
)

// exitCodes is the table from kind to code; what is not in it is exitOther.
var exitCodes = map[errs.Kind]int{
	errs.Conflict: exitConflict, errs.Stale: exitConflict,
	errs.Malformed: exitRefused, errs.Invalid: exitRefused, errs.TooLarge: exitRefused, errs.Unknown: exitRefused,
	errs.Forbidden:  exitRefused,
	errs.Overloaded: exitUnavailable, errs.Unavailable: exitUnavailable, errs.NotLeader: exitUnavailable,
	errs.Timeout: exitUnavailable, errs.Stopped: exitUnavailable,
	errs.Settings: exitUsage, errs.Disk: exitUsage,
}

// exitError is an error with the program's exit code.
type exitError struct {
	error
	code int
}

// Unwrap returns the failure.
func (c exitError) Unwrap() error { return c.error }

// Error is the field and the message: an operator needs no trace of where it came from.
func (c exitError) Error() string {
	f := errs.Of(c.error)
	if f.Field != "" {
		return string(f.Kind) + ": " + f.Field + ": " + f.Message
	}
	return string(f.Kind) + ": " + f.Message
}

// withExitCodes returns every command of a tree exit codes of the table.
func withExitCodes(commands ...*cli.Command) []*cli.Command {
	for _, c := range commands {
		withExitCodes(c.Commands...)
		do := c.Action
		if do == nil {
			continue
		}
		c.Action = func(ctx context.Context, cmd *cli.Command) error {
			err := do(ctx, cmd)
			if err == nil {
				return nil
			}
			code, ok := exitCodes[errs.KindOf(err)]
			if !ok {
				code = exitOther
			}
			return exitError{err, code}
		}
	}
	return commands
}

// exitCode returns the exit code of an error: an error without a kind is cli's message on wrong usage.
func exitCode(err error) int {
	var c exitError
	var f *errs.Error
	if errors.As(err, &c) {
		return c.code
	}
	if errors.As(err, &f) {
		return exitOther
	}
	return exitUsage
}
