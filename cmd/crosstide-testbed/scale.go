package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/scale"
)

const scaleDescription = "" +
	"crosstide-testbed scale --fleet DIR --csv FILE [--running 30000] --rate 0 --rate 200 --rate 400\n\n" +
	"Appends one line for each role and step: processor time and memory from /proc of the processes in\n" +
	"DIR/pids, and messages, bytes and syncs from their /metrics. Ends early at a step that fails; the step's\n" +
	"note has the reason."

func scaleCommand() *cli.Command {
	return &cli.Command{
		Name:        "scale",
		Usage:       "measure the cost of each role of a fleet, step by step; scripts/scale varies the size",
		Description: scaleDescription,
		Flags: []cli.Flag{fleetFlag(),
			&cli.StringFlag{Name: "csv", Usage: "`FILE` to append to", Required: true},
			&cli.FloatSliceFlag{Name: "rate", Value: []float64{0},
				Usage: "task starts per second; each value is a step"},
			&cli.IntFlag{Name: "running", Usage: "number of long tasks that run all the time"},
			&cli.DurationFlag{Name: "fill", Value: 45 * time.Second, Usage: "timeout for the start of the long tasks"},
			&cli.DurationFlag{Name: "for", Value: 12 * time.Second, Usage: "duration of a step"},
			&cli.DurationFlag{Name: "settle", Value: 3 * time.Second,
				Usage: "warm-up at the start of a step, which is not measured"},
			&cli.IntFlag{Name: "tasks", Value: 20, Usage: "tasks per job"},
			&cli.IntFlag{Name: "ms", Value: 1000, Usage: "duration of a task in milliseconds"},
			&cli.DurationFlag{Name: "bound", Value: 4300 * time.Millisecond,
				Usage: "maximum 99th percentile of the time from acceptance to the first start"},
		},
		Action: runScale,
	}
}

func runScale(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	probe, err := scale.Open(cmd.String("fleet"), clock.Real{})
	if err != nil {
		return errs.Pass(err, "scale")
	}
	plan := scale.Plan{Dir: cmd.String("fleet"), Running: cmd.Int("running"), FillTimeout: cmd.Duration("fill"),
		Rates: cmd.FloatSlice("rate"), StepDuration: cmd.Duration("for"), WarmUp: cmd.Duration("settle"),
		Tasks: cmd.Int("tasks"), TaskDuration: time.Duration(cmd.Int("ms")) * time.Millisecond,
		MaxP99: cmd.Duration("bound")}
	if plan.WarmUp >= plan.StepDuration || plan.Tasks < 1 {
		err := errs.Field(errs.Settings, "for", "must be greater than settle, and tasks must be at least 1")
		return exitCode{err, exitUsage}
	}
	return errs.Pass(scale.Run(ctx, plan, probe, func(rows []scale.Row) error {
		for _, row := range rows {
			if err := printRow(cmd, row); err != nil {
				return errs.Pass(err, "row")
			}
		}
		return errs.Pass(scale.AppendRows(cmd.String("csv"), rows), "scale")
	}), "scale")
}

// printRow prints what one role cost in one step.
func printRow(cmd *cli.Command, row scale.Row) error {
	err := printf(cmd, "%5d minions %6.0f/s offered %6.0f/s given %6.0f out  %-15s cpu %7.3f%% %7.2f MB %8.2f msg/s"+
		" %9.3f KB/s %6.1f syncs/s %8.2f logKB/s  p99 %.0f ms, machine %.1f cores %s\n", row.Workers, row.Offered,
		row.Starts, row.Running, row.Role, row.CPU, row.MB, row.Msgs, row.SocketKB, row.Syncs, row.LogKB, row.P99,
		row.Cores, row.Note)
	return errs.Pass(err, "print")
}
