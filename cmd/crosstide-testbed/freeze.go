package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

const freezeDescription = "crosstide-testbed freeze --fleet DIR --node NAME --for 25s\n\n" +
	"SIGSTOP, then SIGCONT; also when this command is told to end. Journaled to DIR/journal/drill-freeze-NAME.jsonl."

func freezeCommand() *cli.Command {
	return &cli.Command{
		Name: "freeze", Usage: "stop a process for a while, as a machine that hangs, and let it go on",
		Description: freezeDescription,
		Flags: []cli.Flag{fleetFlag(), &cli.StringFlag{Name: "node", Required: true},
			&cli.DurationFlag{Name: "for", Required: true}},
		Action: runFreeze,
	}
}

func runFreeze(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	target, err := openFleet(cmd)
	if err != nil {
		return errs.Pass(err, "freeze")
	}
	return errs.Pass(target.Freeze(ctx, cmd.String("node"), cmd.Duration("for")), "freeze")
}
