package main

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

func readyCommand() *cli.Command {
	return &cli.Command{
		Name:  "ready",
		Usage: "wait until a fleet is ready; on timeout print the nodes that are not ready and exit 1",
		Description: "A fleet is ready if /readyz of every control-plane and data-plane node returns 200 and the\n" +
			"store knows an incarnation of every minion.",
		Flags:  []cli.Flag{fleetFlag(), &cli.DurationFlag{Name: "for", Value: 20 * time.Second}},
		Action: runReady,
	}
}

// readyPollInterval is the pause between two checks of a fleet.
const readyPollInterval = 200 * time.Millisecond

func runReady(ctx context.Context, cmd *cli.Command) error {
	nodes, err := fleet.Read(cmd.String("fleet"))
	if err != nil {
		return errs.Pass(err, "ready")
	}
	caller, clk := fleet.NewCaller(2), clock.Real{}
	for deadline := clk.Now() + cmd.Duration("for"); ; {
		notReady := fleet.NotReady(ctx, caller, nodes)
		if len(notReady) == 0 {
			return nil
		}
		if clk.Now() >= deadline {
			return errs.New(errs.Unavailable, "not ready: %s", strings.Join(notReady, " "))
		}
		if !clock.Sleep(ctx.Done(), clk, readyPollInterval) {
			return errs.Wrap(ctx.Err(), errs.Stopped, "ready")
		}
	}
}
