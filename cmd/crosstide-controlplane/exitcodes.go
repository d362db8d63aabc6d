package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

// Exit codes of the operators' commands, for scripts.
const (
	exitOther       = 1 // any other failure, of the daemons too
	exitUsage       = 2 // arguments, files or settings that cannot be used
	exitConflict    = 3 // another change came first, or the order ID is that of another order
	exitRefused     = 4 // invalid, unknown, or without the signature that it needs
	exitUnavailable = 5 // the same command may be retried
)

// exitCodes maps kinds of errors to exit codes; exitOther is that of all other kinds.
var exitCodes = map[errs.Kind]int{
	errs.Conflict: exitConflict, errs.Stale: exitConflict,
	errs.Malformed: exitRefused, errs.Invalid: exitRefused, errs.TooLarge: exitRefused, errs.Unknown: exitRefused,
	errs.Forbidden:  exitRefused,
	errs.Overloaded: exitUnavailable, errs.Unavailable: exitUnavailable, errs.NotLeader: exitUnavailable,
	errs.Timeout: exitUnavailable, errs.Stopped: exitUnavailable,
	errs.Settings: exitUsage, errs.Disk: exitUsage,
}

// exitError is the failure of a command with the exit code for it.
type exitError struct {
	error
	code int
}

// Unwrap returns the failure.
func (e exitError) Unwrap() error { return e.error }

// Error returns kind, field and message, without the trace of where the failure came from.
func (e exitError) Error() string {
	failure := errs.Of(e.error)
	if failure.Field != "" {
		return string(failure.Kind) + ": " + failure.Field + ": " + failure.Message
	}
	return string(failure.Kind) + ": " + failure.Message
}

// withExitCodes makes all actions of the command trees return an exitError on failure, and returns the commands.
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

// exitCode returns the exit code for an error of the program. An error without a kind is from cli, on wrong usage.
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
