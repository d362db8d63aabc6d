package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/bench"
)

const benchDescription = "crosstide-testbed bench --fleet DIR --rates 100,200,400 --tasks 5 --for 5s\n\n" +
	"Runs one load of no-op tasks per rate and prints a table: jobs and starts per second, percentiles of the\n" +
	"accept and start latency, tickets (run IDs) per sync of the store's leader, and processor time of the\n" +
	"store's leader and of the scheduler."

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measure a fleet at rising rates of no-op tasks",
		Description: benchDescription,
		Flags: []cli.Flag{fleetFlag(),
			&cli.FloatSliceFlag{Name: "rates", Value: []float64{50, 100, 200, 400, 800}, Usage: "jobs per second"},
			&cli.IntFlag{Name: "tasks", Value: 5, Usage: "tasks per job"},
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "duration of the load at each rate"},
			&cli.DurationFlag{Name: "wait", Value: 30 * time.Second, Usage: "how long to wait for jobs to end"},
		},
		Action: runBench,
	}
}

func runBench(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	err := printf(cmd, "| jobs/s offered | accepted | done | starts/s | accept p50 / p99 ms | start p50 / p99 ms |"+
		" syncs/s | tickets per sync | leader %% core | holder %% core |\n|---|---|---|---|---|---|---|---|---|---|\n")
	if err != nil {
		return errs.Pass(err, "bench")
	}
	options := bench.Options{Dir: cmd.String("fleet"), Rates: cmd.FloatSlice("rates"), Tasks: cmd.Int("tasks"),
		Duration: cmd.Duration("for"), EndTimeout: cmd.Duration("wait")}
	return errs.Pass(bench.Run(ctx, options, func(row bench.Row) error {
		jobs := row.Load
		err := printf(cmd, "| %.0f | %d | %d | %.0f | %.1f / %.1f | %.1f / %.1f | %.0f | %.1f | %.0f | %.0f |\n",
			row.Rate, jobs.Accepted, jobs.Done, jobs.StartsPerS, jobs.Accept.P50, jobs.Accept.P99, jobs.ToStart.P50,
			jobs.ToStart.P99, row.SyncsPerSecond, row.RunIDsPerSync, row.LeaderCPU, row.SchedulerCPU)
		return errs.Pass(err, "row")
	}), "bench")
}
