package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"crosstide/internal/fault"
)

// Exit codes of the operators' commands, for scripts.
const (
	exitOther       = 1
	exitUsage       = 2
	exitConflict    = 3 // someone else was first, or the order id is another order's
	exitRefused     = 4 // invalid, unknown, not signed as it must be
	exitUnavailable = 5 // send the same again
)

// exits is the table from kind to code; what is not in it is exitOther.
var exits = map[fault.Kind]int{
	fault.Conflict: exitConflict, fault.Stale: exitConflict,
	fault.Malformed: exitRefused, fault.Invalid: exitRefused, fault.TooLarge: exitRefused, fault.Unknown: exitRefused,
	fault.Forbidden: exitRefused,
	fault.Pressure:  exitUnavailable, fault.Unavailable: exitUnavailable, fault.NotLeader: exitUnavailable,
	fault.Timeout: exitUnavailable, fault.Stopped: exitUnavailable,
	fault.Settings: exitUsage, fault.Disk: exitUsage,
}

// coded is an error with the program's exit code.
type coded struct {
	error
	code int
}

// Unwrap gives the fault.
func (c coded) Unwrap() error { return c.error }

// Error is the field and the message: an operator needs no trace of where it came from.
func (c coded) Error() string {
	f := fault.Of(c.error)
	if f.Field != "" {
		return string(f.Kind) + ": " + f.Field + ": " + f.Message
	}
	return string(f.Kind) + ": " + f.Message
}

// codes gives every command of a tree exit codes of the table.
func codes(commands ...*cli.Command) []*cli.Command {
	for _, c := range commands {
		codes(c.Commands...)
		do := c.Action
		if do == nil {
			continue
		}
		c.Action = func(ctx context.Context, cmd *cli.Command) error {
			err := do(ctx, cmd)
			if err == nil {
				return nil
			}
			code, ok := exits[fault.KindOf(err)]
			if !ok {
				code = exitOther
			}
			return coded{err, code}
		}
	}
	return commands
}

// exitOf gives the exit code of an error: an error that is no fault is cli's own word on the usage.
func exitOf(err error) int {
	var c coded
	var f *fault.Fault
	if errors.As(err, &c) {
		return c.code
	}
	if errors.As(err, &f) {
		return exitOther
	}
	return exitUsage
}
