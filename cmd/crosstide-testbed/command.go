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

// Exit codes besides 0 for success. An error that is not an exitCode exits with 1 too.
const (
	exitViolated = 1 // an invariant was violated, or another check failed
	exitUsage    = 2 // a flag or an argument is invalid
)

// exitCode is an error with the exit code that the program ends with.
type exitCode struct {
	error
	code int
}

// ExitCode implements cli.ExitCoder.
func (e exitCode) ExitCode() int { return e.code }

// Unwrap returns the error without the exit code.
func (e exitCode) Unwrap() error { return e.error }

// interruptible returns a context that ends with ctx, or on SIGINT or SIGTERM.
func interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}

// fleetFlag returns the flag for the folder of the fleet.
func fleetFlag() cli.Flag {
	return &cli.StringFlag{Name: "fleet", Usage: "`DIR` of the fleet", Required: true}
}

// scriptFlag returns the flag for the path of scripts/fleet, which openFleet needs.
func scriptFlag() cli.Flag {
	return &cli.StringFlag{Name: "script",
		Usage: "path of scripts/`fleet`, which restarts processes (default: next to this program's folder)"}
}

// openFleet opens the fleet that --fleet names, for the injection of faults.
func openFleet(cmd *cli.Command) (*faults.Target, error) {
	script := cmd.String("script")
	if script == "" {
		script = filepath.Join(binDir(), "..", "scripts", "fleet")
	}
	target, err := faults.Open(cmd.String("fleet"), script)
	return target, errs.Pass(err, "fleet")
}

// binDir returns the folder of this program, which also has the other programs.
func binDir() string {
	self, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(self)
}

// printJSON prints v as one line of JSON.
func printJSON(cmd *cli.Command, v any) error {
	return errs.Wrap(json.NewEncoder(cmd.Root().Writer).Encode(v), errs.Disk, "print")
}

// printf prints to the standard output.
func printf(cmd *cli.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(cmd.Root().Writer, format, args...)
	return errs.Wrap(err, errs.Disk, "print")
}

// setFlag sets *to from a flag if the flag is given.
func setFlag[T any](cmd *cli.Command, name string, to *T, get func(string) T) {
	if cmd.IsSet(name) {
		*to = get(name)
	}
}
