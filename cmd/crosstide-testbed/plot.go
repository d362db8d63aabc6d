package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/scale"
)

func plotCommand() *cli.Command {
	return &cli.Command{
		Name: "plot", Usage: "plot the CSV of crosstide-testbed scale as a PNG, and print the idle cost per minion",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "csv", Required: true}, &cli.StringFlag{Name: "png", Required: true}},
		Action: runPlot,
	}
}

func runPlot(_ context.Context, cmd *cli.Command) error {
	rows, err := scale.ReadRows(cmd.String("csv"))
	if err != nil {
		return errs.Pass(err, "plot")
	}
	for _, slope := range scale.IdleSlopes(rows) {
		err := printf(cmd, "%-15s %-13s at idle: %10.4f + %9.6f a minion\n", slope.Role, slope.Cost,
			slope.Base, slope.PerWorker)
		if err != nil {
			return errs.Pass(err, "plot")
		}
	}
	return errs.Pass(scale.Plot(cmd.String("png"), rows), "plot")
}
