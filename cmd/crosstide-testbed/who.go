package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

func whoCommand() *cli.Command {
	return &cli.Command{
		Name:   "who",
		Usage:  "print the store's leader and the scheduler, as store NAME and sched NAME",
		Flags:  []cli.Flag{fleetFlag()},
		Action: runWho,
	}
}

func runWho(ctx context.Context, cmd *cli.Command) error {
	nodes, err := fleet.Read(cmd.String("fleet"))
	if err != nil {
		return errs.Pass(err, "who")
	}
	leaders, err := fleet.FindLeaders(ctx, fleet.NewCaller(1), nodes)
	if err != nil {
		return errs.Pass(err, "who")
	}
	return errs.Pass(printf(cmd, "store %s\nsched %s\n", leaders.Store, leaders.Scheduler), "who")
}
