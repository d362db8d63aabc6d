package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/golden"
)

// TestGoldenCommands pins the program's commands and flags.
func TestGoldenCommands(t *testing.T) {
	golden.Compare(t, "commands", golden.MainCommands(t, main))
}

// TestGoldenExits pins the exit code of each kind of error and that of wrong usage.
func TestGoldenExits(t *testing.T) {
	var lines []string
	for _, kind := range append(errs.Kinds(), "no such kind") {
		failing := withExitCodes(&cli.Command{Action: func(context.Context, *cli.Command) error {
			return errs.New(kind, "text")
		}})
		err := failing[0].Action(t.Context(), nil)
		lines = append(lines, fmt.Sprintf("%s %d, as it came %d, printed %q",
			kind, exitCode(err), exitCode(errs.New(kind, "text")), err))
	}
	slices.Sort(lines)
	lines = append(lines, fmt.Sprint("usage ", exitCode(errors.New("text"))))
	golden.Compare(t, "exits", golden.Lines("exit codes", lines...))
}

// TestGoldenProcess pins the exit codes of the program when it runs as a process.
func TestGoldenProcess(t *testing.T) {
	golden.Compare(t, "processes", golden.ExitCodes(t, main,
		"", "--help", "--no-such-flag", "no-such-command", "run", "check --settings no-such-file", "who",
		"account create", "bundle sign", "bundle sign --addr 127.0.0.1:1 --key no-such-file 1"))
}
