package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

const freezeDescription = "crosstide-testbed freeze --fleet DIR --node NAME --for 25s\n\n" +
	"Sends SIGSTOP, and SIGCONT after --for or when this command is interrupted. Both are recorded in\n" +
	"DIR/journal/drill-freeze-NAME.jsonl."

func freezeCommand() *cli.Command {
	return &cli.Command{
		Name: "freeze", Usage: "stop a process for a while, like a machine that hangs, then continue it",
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
