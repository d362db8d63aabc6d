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
	"Runs no processes: applies the commands of the log one after the other at simulated times, and purges\n" +
	"ended jobs, tombstones and orders as a leader with the default settings does."

func monthCommand() *cli.Command {
	return &cli.Command{
		Name:        "month",
		Usage:       "simulate days of jobs on the store's state and print its size after each, as JSON lines",
		Description: monthDescription,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "days", Value: 30},
			&cli.IntFlag{Name: "jobs", Value: 21000, Usage: "jobs per day"},
			&cli.IntFlag{Name: "tasks", Value: 20, Usage: "tasks per job"},
			&cli.DurationFlag{Name: "last", Value: time.Hour, Usage: "mean duration of a task"},
			&cli.IntFlag{Name: "minions", Value: 1600},
			&cli.IntFlag{Name: "orders", Value: 670, Usage: "operators' orders per day"},
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
