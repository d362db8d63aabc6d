package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/audit"
)

func lagsCommand() *cli.Command {
	return &cli.Command{
		Name:      "lags",
		Usage:     "print how long a fleet took to carry out cancels, drains and evacuations, by its journals",
		ArgsUsage: "DIR",
		Action:    runLags,
	}
}

func runLags(_ context.Context, cmd *cli.Command) error {
	history, err := audit.Read(cmd.Args().First())
	if err != nil {
		return errs.Pass(err, "lags")
	}
	for _, lag := range audit.Lags(history) {
		err := printf(cmd, "%-32s %5d cases  p50 %7.1f ms  p99 %7.1f ms  max %7.1f ms\n", lag.Name, lag.Cases,
			lag.P50.Seconds()*1000, lag.P99.Seconds()*1000, lag.Max.Seconds()*1000)
		if err != nil {
			return errs.Pass(err, "lags")
		}
	}
	return nil
}
