package main

import (
	"context"
	"errors"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
)

func init() {
	commands = append(commands, &cli.Command{
		Name: "freeze", Usage: "stop a process for a while, as a machine that hangs, and let it go on",
		Description: "crosstide-testbed freeze --fleet DIR --node NAME --for 25s\n\n" +
			"SIGSTOP, then SIGCONT; also when this command is told to end. Journaled to DIR/journal/drill-freeze-NAME.jsonl.",
		Flags: []cli.Flag{fleetFlag(), &cli.StringFlag{Name: "node", Required: true}, &cli.DurationFlag{Name: "for", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return errs.Pass(freeze(ctx, cmd.String("fleet"), cmd.String("node"), cmd.Duration("for")), "freeze")
		},
	})
}

// freeze stops a node for d, or until ctx ends; it always wakes it. Faults: Unknown (it does not run), Disk.
func freeze(ctx context.Context, dir, name string, d time.Duration) error {
	pid, err := fleet.PID(dir, name)
	if err != nil {
		return errs.Pass(err, "freeze %s", name)
	}
	writer, err := journal.Open(filepath.Join(dir, "journal", "drill-freeze-"+name+".jsonl"))
	if err != nil {
		return errs.Pass(err, "drill's journal")
	}
	defer writer.Close()
	if err := recordAction(writer, audit.Freeze, name, "SIGSTOP"); err != nil {
		return errs.Pass(err, "freeze %s", name)
	}
	if err := unix.Kill(pid, unix.SIGSTOP); err != nil {
		return errs.Wrap(err, errs.Unknown, "freeze %s, pid %d", name, pid)
	}
	pause(ctx, d)
	woken := errs.Pass(fleet.Signal(dir, name, unix.SIGCONT), "thaw") // unless it was killed, and the pid is another's
	return errors.Join(woken, recordAction(writer, "thaw", name, "SIGCONT"))
}

// notef writes what is done to a node into a journal of the drill, for the audit.
func recordAction(writer *journal.Writer, ev, node, kind string) error {
	err := writer.Append(map[string]any{"at": clock.Real{}.Wall().UnixNano(), "ev": ev, "node": node, "how": kind})
	return errs.Pass(err, "drill's journal")
}

// pause waits for d, false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	elapsed := make(chan struct{})
	defer clock.Real{}.Set(d, func() { close(elapsed) }).Stop()
	select {
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}
