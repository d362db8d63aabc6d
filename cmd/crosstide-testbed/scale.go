package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/scale"
)

func init() {
	commands = append(commands,
		&cli.Command{
			Name: "scale", Usage: "measure what each role of a fleet costs, step by step; scripts/scale sweeps over sizes",
			Description: "crosstide-testbed scale --fleet DIR --csv FILE [--running 30000] --rate 0 --rate 200 --rate 400\n\n" +
				"Appends one line for each role and step: processor time and memory from /proc of the processes in DIR/pids,\n" +
				"messages, bytes and syncs from their /metrics. Ends early at a step that fails; its note says why.",
			Flags: []cli.Flag{fleetFlag(),
				&cli.StringFlag{Name: "csv", Usage: "`FILE` to append to", Required: true},
				&cli.FloatSliceFlag{Name: "rate", Value: []float64{0}, Usage: "task starts a second, a step each"},
				&cli.IntFlag{Name: "running", Usage: "long tasks that run beside"},
				&cli.DurationFlag{Name: "fill", Value: 45 * time.Second, Usage: "bound on starting those"},
				&cli.DurationFlag{Name: "for", Value: 12 * time.Second, Usage: "of a step"},
				&cli.DurationFlag{Name: "settle", Value: 3 * time.Second, Usage: "left out at a step's start"},
				&cli.IntFlag{Name: "tasks", Value: 20, Usage: "of a job"},
				&cli.IntFlag{Name: "ms", Value: 1000, Usage: "of a task"},
				&cli.DurationFlag{Name: "bound", Value: 4300 * time.Millisecond, Usage: "of the 99th percentile from the yes to the first start"},
			},
			Action: runScale,
		},
		&cli.Command{
			Name: "plot", Usage: "draw a PNG of what crosstide-testbed scale has measured, and print the slopes at idle",
			Flags: []cli.Flag{&cli.StringFlag{Name: "csv", Required: true}, &cli.StringFlag{Name: "png", Required: true}},
			Action: func(_ context.Context, cmd *cli.Command) error {
				rows, err := scale.ReadRows(cmd.String("csv"))
				if err != nil {
					return errs.Pass(err, "plot")
				}
				slopes(cmd, rows)
				return errs.Pass(scale.Plot(cmd.String("png"), rows), "plot")
			},
		})
}

func runScale(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	probe, err := scale.Open(cmd.String("fleet"), clock.Real{})
	if err != nil {
		return errs.Pass(err, "scale")
	}
	plan := scale.Plan{Dir: cmd.String("fleet"), Running: cmd.Int("running"), FillTimeout: cmd.Duration("fill"), Rates: cmd.FloatSlice("rate"),
		StepDuration: cmd.Duration("for"), WarmUp: cmd.Duration("settle"), Tasks: cmd.Int("tasks"),
		TaskDuration: time.Duration(cmd.Int("ms")) * time.Millisecond, MaxP99: cmd.Duration("bound")}
	if plan.WarmUp >= plan.StepDuration || plan.Tasks < 1 {
		return exitCode{errs.Field(errs.Settings, "for", "must be over settle, and tasks at least 1"), 2}
	}
	return errs.Pass(scale.Run(ctx, plan, probe, func(rows []scale.Row) error {
		for _, r := range rows {
			fmt.Fprintf(cmd.Root().Writer, "%5d minions %6.0f/s offered %6.0f/s given %6.0f out  %-15s cpu %7.3f%% %7.2f MB %8.2f msg/s %9.3f KB/s %6.1f syncs/s %8.2f logKB/s  p99 %.0f ms, machine %.1f cores %s\n",
				r.Workers, r.Offered, r.Starts, r.Running, r.Role, r.CPU, r.MB, r.Msgs, r.Net, r.Syncs, r.LogKB, r.P99, r.Cores, r.Note)
		}
		return errs.Pass(scale.AppendRows(cmd.String("csv"), rows), "scale")
	}), "scale")
}

// slopes prints, for each role, what the idle cost grows by with a minion, and what it is at the letter's size.
func slopes(cmd *cli.Command, rows []scale.Row) {
	for _, role := range scale.Roles {
		for _, of := range []struct {
			name string
			at   func(scale.Row) float64
		}{{"cpu %", func(r scale.Row) float64 { return r.CPU }}, {"MB", func(r scale.Row) float64 { return r.MB }},
			{"KB/s", func(r scale.Row) float64 { return r.Net }}, {"msg/s", func(r scale.Row) float64 { return r.Msgs }},
			{"loopback KB/s", func(r scale.Row) float64 { return r.LoopKB }}} {
			var x, y []float64
			for _, r := range rows {
				if of.name == "loopback KB/s" && role != scale.SchedulerLeader {
					continue
				}
				if r.Role == role && r.Offered == 0 && r.Running == 0 {
					x, y = append(x, float64(r.Workers)), append(y, of.at(r))
				}
			}
			if base, slope, ok := scale.FitLine(x, y); ok {
				fmt.Fprintf(cmd.Root().Writer, "%-15s %-13s at idle: %10.4f + %9.6f a minion\n", role, of.name, base, slope)
			}
		}
	}
}
