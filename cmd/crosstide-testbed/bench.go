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
	"crosstide/internal/storage"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/load"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:  "bench",
		Usage: "measure a fleet at rising rates of no-op tasks",
		Description: "crosstide-testbed bench --fleet DIR --rates 100,200,400 --tasks 5 --for 5s\n\n" +
			"One load after another, each of no-op tasks; prints a table: jobs and starts per second, accept and start\n" +
			"percentiles, tickets per sync of the store's leader, and processor time of the leader and of the holder of sched.",
		Flags: []cli.Flag{fleetFlag(),
			&cli.FloatSliceFlag{Name: "rates", Value: []float64{50, 100, 200, 400, 800}, Usage: "jobs per second"},
			&cli.IntFlag{Name: "tasks", Value: 5, Usage: "per job"},
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "of each rate"},
			&cli.DurationFlag{Name: "wait", Value: 30 * time.Second, Usage: "for the ends"},
		},
		Action: bench,
	}, &cli.Command{
		Name:  "disk",
		Usage: "measure how many syncs a second the disk gives, as the store does them",
		Flags: []cli.Flag{&cli.StringFlag{Name: "data", Required: true, Usage: "a new `FOLDER`, left behind"},
			&cli.DurationFlag{Name: "for", Value: 2 * time.Second}, &cli.IntFlag{Name: "bytes", Value: 256, Usage: "of a record"}},
		Action: disk,
	})
}

// sample is what the two that matter have counted.
type sample struct{ syncs, runIDs, leaderCPU, schedulerCPU float64 }

func takeSample(ctx context.Context, c *fleet.Caller, nodes fleet.Nodes) (sample, error) {
	who, err := fleet.FindLeaders(ctx, c, nodes)
	if err != nil {
		return sample{}, errs.Pass(err, "who holds what")
	}
	var s sample
	for _, n := range append(nodes.ControlPlanes, nodes.DataPlanes...) {
		if n.Name != who.Store && n.Name != who.Scheduler {
			continue
		}
		f, _, err := fleet.Scrape(ctx, c, n.Addr)
		if err != nil {
			return s, errs.Pass(err, "sample of %s", n.Name)
		}
		if n.Name == who.Store {
			s.syncs, s.leaderCPU = f.Sum("crosstide_store_sync_seconds_count"), f.Sum("process_cpu_seconds_total")
		} else {
			s.runIDs, s.schedulerCPU = f.Sum("crosstide_sched_run_ids_total"), f.Sum("process_cpu_seconds_total")
		}
	}
	return s, nil
}

func bench(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	nodes, err := fleet.Read(cmd.String("fleet"))
	if err != nil {
		return errs.Pass(err, "bench")
	}
	caller := fleet.NewCaller(4)
	out := cmd.Root().Writer
	fmt.Fprintln(out, "| jobs/s offered | accepted | done | starts/s | accept p50 / p99 ms | start p50 / p99 ms | syncs/s | tickets per sync | leader % core | holder % core |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for i, rate := range cmd.FloatSlice("rates") {
		before, err := takeSample(ctx, caller, nodes)
		if err != nil {
			return errs.Pass(err, "bench")
		}
		begun := clock.Real{}.Now()
		r, err := load.Run(ctx, load.Options{Dir: cmd.String("fleet"), Rate: rate, Duration: cmd.Duration("for"), Seed: uint64(i + 1),
			Tasks: cmd.Int("tasks"), EndTimeout: cmd.Duration("wait"), MaxPollsPerSecond: 2000, Clients: 8, Retries: 3})
		if err != nil {
			return errs.Pass(err, "load at %g", rate)
		}
		took := (clock.Real{}.Now() - begun).Seconds()
		after, err := takeSample(ctx, caller, nodes)
		if err != nil {
			return errs.Pass(err, "bench")
		}
		syncs, runIDs := after.syncs-before.syncs, after.runIDs-before.runIDs
		fmt.Fprintf(out, "| %.0f | %d | %d | %.0f | %.1f / %.1f | %.1f / %.1f | %.0f | %.1f | %.0f | %.0f |\n", rate, r.Accepted, r.Done,
			r.StartsPerS, r.Accept.P50, r.Accept.P99, r.ToStart.P50, r.ToStart.P99, syncs/took, runIDs/syncs,
			100*(after.leaderCPU-before.leaderCPU)/took, 100*(after.schedulerCPU-before.schedulerCPU)/took)
	}
	return nil
}

func disk(_ context.Context, cmd *cli.Command) error {
	folder, err := storage.OSDisk(cmd.String("data"))
	if err != nil {
		return errs.Pass(err, "disk")
	}
	s, _, err := storage.Open(folder, storage.Options{})
	if err != nil {
		return errs.Pass(err, "disk")
	}
	data := make([]byte, cmd.Int("bytes"))
	clock := clock.Real{}
	begun := clock.Now()
	var n uint64
	for clock.Now()-begun < cmd.Duration("for") {
		n++
		if err := s.Append([]storage.Record{{Term: 1, Index: n, Data: data}}); err != nil {
			return errs.Pass(err, "disk")
		}
	}
	fmt.Fprintf(cmd.Root().Writer, "%.0f syncs/s of one record of %d bytes\n", float64(n)/(clock.Now()-begun).Seconds(), len(data))
	return errs.Pass(s.Close(), "disk")
}
