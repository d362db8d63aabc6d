package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

// Exit codes of the operators' commands. Scripts depend on them.
const (
	exitOther       = 1 // any other failure, including those of the daemons
	exitUsage       = 2 // invalid arguments, files or settings
	exitConflict    = 3 // another change came first, or the order ID belongs to another order
	exitRefused     = 4 // invalid, unknown, or without a required signature
	exitUnavailable = 5 // temporary failure: the same command may be retried
)

// exitCodes maps kinds of errors to exit codes. All other kinds have exitOther.
var exitCodes = map[errs.Kind]int{
	errs.Conflict: exitConflict, errs.Stale: exitConflict,
	errs.Malformed: exitRefused, errs.Invalid: exitRefused, errs.TooLarge: exitRefused, errs.Unknown: exitRefused,
	errs.Forbidden:  exitRefused,
	errs.Overloaded: exitUnavailable, errs.Unavailable: exitUnavailable, errs.NotLeader: exitUnavailable,
	errs.Timeout: exitUnavailable, errs.Stopped: exitUnavailable,
	errs.Settings: exitUsage, errs.Disk: exitUsage,
}

// exitError is the failure of a command with its exit code.
type exitError struct {
	error
	code int
}

// Unwrap returns the failure.
func (e exitError) Unwrap() error { return e.error }

// Error returns the kind, the field and the message of the failure, without its causes and its trace.
func (e exitError) Error() string {
	failure := errs.Of(e.error)
	if failure.Field != "" {
		return string(failure.Kind) + ": " + failure.Field + ": " + failure.Message
	}
	return string(failure.Kind) + ": " + failure.Message
}

// withExitCodes wraps every action of the command trees to return an exitError on failure. It returns the commands.
func withExitCodes(commands ...*cli.Command) []*cli.Command {
	for _, command := range commands {
		withExitCodes(command.Commands...)
		if command.Action != nil {
			command.Action = withExitCode(command.Action)
		}
	}
	return commands
}

func withExitCode(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		err := action(ctx, cmd)
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

// exitCode returns the program's exit code for err. An error without a kind comes from package cli: wrong usage.
func exitCode(err error) int {
	var coded exitError
	var failure *errs.Error
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &failure):
		return exitOther
	}
	return exitUsage
}
