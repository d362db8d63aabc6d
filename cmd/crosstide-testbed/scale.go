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
	"Appends one line for each role and step: processor time and memory from /proc of the processes in DIR/pids,\n" +
	"messages, bytes and syncs from their /metrics. Ends early at a step that fails; its note says why."

func scaleCommand() *cli.Command {
	return &cli.Command{
		Name: "scale", Usage: "measure what each role of a fleet costs, step by step; scripts/scale sweeps over sizes",
		Description: scaleDescription,
		Flags: []cli.Flag{fleetFlag(),
			&cli.StringFlag{Name: "csv", Usage: "`FILE` to append to", Required: true},
			&cli.FloatSliceFlag{Name: "rate", Value: []float64{0}, Usage: "task starts a second, a step each"},
			&cli.IntFlag{Name: "running", Usage: "long tasks that run beside"},
			&cli.DurationFlag{Name: "fill", Value: 45 * time.Second, Usage: "bound on starting those"},
			&cli.DurationFlag{Name: "for", Value: 12 * time.Second, Usage: "of a step"},
			&cli.DurationFlag{Name: "settle", Value: 3 * time.Second, Usage: "left out at a step's start"},
			&cli.IntFlag{Name: "tasks", Value: 20, Usage: "of a job"},
			&cli.IntFlag{Name: "ms", Value: 1000, Usage: "of a task"},
			&cli.DurationFlag{Name: "bound", Value: 4300 * time.Millisecond,
				Usage: "of the 99th percentile from the yes to the first start"},
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
		return exitCode{errs.Field(errs.Settings, "for", "must be over settle, and tasks at least 1"), exitUsage}
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

func printRow(cmd *cli.Command, r scale.Row) error {
	err := printf(cmd, "%5d minions %6.0f/s offered %6.0f/s given %6.0f out  %-15s cpu %7.3f%% %7.2f MB %8.2f msg/s"+
		" %9.3f KB/s %6.1f syncs/s %8.2f logKB/s  p99 %.0f ms, machine %.1f cores %s\n", r.Workers, r.Offered, r.Starts,
		r.Running, r.Role, r.CPU, r.MB, r.Msgs, r.Net, r.Syncs, r.LogKB, r.P99, r.Cores, r.Note)
	return errs.Pass(err, "print")
}
