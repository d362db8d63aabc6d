package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/scale"
)

func plotCommand() *cli.Command {
	return &cli.Command{
		Name: "plot", Usage: "draw a PNG of what crosstide-testbed scale has measured, and print the slopes at idle",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "csv", Required: true}, &cli.StringFlag{Name: "png", Required: true}},
		Action: runPlot,
	}
}

func runPlot(_ context.Context, cmd *cli.Command) error {
	rows, err := scale.ReadRows(cmd.String("csv"))
	if err != nil {
		return errs.Pass(err, "plot")
	}
	for _, s := range scale.IdleSlopes(rows) {
		err := printf(cmd, "%-15s %-13s at idle: %10.4f + %9.6f a minion\n", s.Role, s.Cost, s.Base, s.PerWorker)
		if err != nil {
			return errs.Pass(err, "plot")
		}
	}
	return errs.Pass(scale.Plot(cmd.String("png"), rows), "plot")
}
