package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/faults"
)

// Exit codes beside 0 and the 1 of any failure.
const (
	exitViolated = 1 // an invariant is violated, or something else was amiss
	exitUsage    = 2 // a flag or an argument is wrong
)

// exitCode is an error that ends the program with the given exit code, after its message.
type exitCode struct {
	error
	code int
}

// ExitCode implements cli.ExitCoder.
func (e exitCode) ExitCode() int { return e.code }

// Unwrap returns the error.
func (e exitCode) Unwrap() error { return e.error }

// interruptible returns a context that ends with SIGINT or SIGTERM.
func interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}

// fleetFlag returns the flag for the folder of a command's fleet.
func fleetFlag() cli.Flag {
	return &cli.StringFlag{Name: "fleet", Usage: "`DIR` of the fleet", Required: true}
}

// scriptFlag returns the flag for the script that openFleet uses.
func scriptFlag() cli.Flag {
	return &cli.StringFlag{Name: "script",
		Usage: "scripts/`fleet`, which starts processes again (default: beside this program's folder)"}
}

// openFleet opens the fleet that a command's flags name, to inject faults into.
func openFleet(cmd *cli.Command) (*faults.Target, error) {
	script := cmd.String("script")
	if script == "" {
		script = filepath.Join(binDir(), "..", "scripts", "fleet")
	}
	target, err := faults.Open(cmd.String("fleet"), script)
	return target, errs.Pass(err, "fleet")
}

// binDir returns the folder of this program, where the other programs are, too.
func binDir() string {
	self, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(self)
}

// printJSON prints one value as a line of JSON.
func printJSON(cmd *cli.Command, v any) error {
	return errs.Wrap(json.NewEncoder(cmd.Root().Writer).Encode(v), errs.Disk, "print")
}

// printf prints to the standard output.
func printf(cmd *cli.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(cmd.Root().Writer, format, args...)
	return errs.Wrap(err, errs.Disk, "print")
}

// setFlag sets *to from a flag, if it was given.
func setFlag[T any](cmd *cli.Command, name string, to *T, get func(string) T) {
	if cmd.IsSet(name) {
		*to = get(name)
	}
}
