package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/soak"
)

const monthDescription = "" +
	"No process runs: the commands of the log are applied one after the other under simulated times, with the\n" +
	"letting go of ended jobs, tombstones and orders as a leader proposes it under its default settings."

func monthCommand() *cli.Command {
	return &cli.Command{
		Name:        "month",
		Usage:       "let a state live through days of jobs and print its size at the end of each, as JSON lines",
		Description: monthDescription,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "days", Value: 30},
			&cli.IntFlag{Name: "jobs", Value: 21000, Usage: "a day"},
			&cli.IntFlag{Name: "tasks", Value: 20, Usage: "of a job"},
			&cli.DurationFlag{Name: "last", Value: time.Hour, Usage: "of a task, mean"},
			&cli.IntFlag{Name: "minions", Value: 1600},
			&cli.IntFlag{Name: "orders", Value: 670, Usage: "of operators, a day"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: runMonth,
	}
}

func runMonth(_ context.Context, cmd *cli.Command) error {
	options := soak.Options{Days: cmd.Int("days"), Jobs: cmd.Int("jobs"), Tasks: cmd.Int("tasks"),
		TaskDuration: cmd.Duration("last"), Workers: cmd.Int("minions"), Orders: cmd.Int("orders"),
		Seed: cmd.Uint64("seed"), Keep: config.DefaultControlPlane()}
	return errs.Pass(soak.Run(options, func(day soak.Day) error {
		return errs.Pass(printJSON(cmd, day), "day")
	}), "month")
}
