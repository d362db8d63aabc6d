// Package bench measures the throughput of a fleet under loads of no-op tasks at increasing rates (Run), and the sync
// rate of a disk (Disk). It sets no targets: no result counts as a failure.
package bench

import (
	"context"
	"slices"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/load"
)

const (
	connsPerNode   = 4
	pollsPerSecond = 2000
	clients        = 8
	retries        = 3 // per task
)

// Options describes the loads that Run applies to a fleet.
type Options struct {
	Dir        string        // directory of the fleet
	Rates      []float64     // jobs per second; each rate is a separate load
	Tasks      int           // per job
	Duration   time.Duration // of the load at each rate
	EndTimeout time.Duration // for the jobs to end after the load
}

// Row holds the results at one rate.
type Row struct {
	Rate           float64
	Load           load.Report
	SyncsPerSecond float64 // of the store's leader
	RunIDsPerSync  float64 // run IDs that the scheduler assigned, per sync of the store's leader
	LeaderCPU      float64 // of the store's leader, % of a core
	SchedulerCPU   float64 // of the scheduler's leader, % of a core
}

// Run applies the rates one after the other and passes the results of each to report. It returns the errors of
// load.Run and report, and those of reading the leaders' metrics.
func Run(ctx context.Context, options Options, report func(Row) error) error {
	nodes, err := fleet.Read(options.Dir)
	if err != nil {
		return errs.Pass(err, "bench")
	}
	caller := fleet.NewCaller(connsPerNode)
	for i, rate := range options.Rates {
		before, err := takeSample(ctx, caller, nodes)
		if err != nil {
			return errs.Pass(err, "bench")
		}
		startedAt := clock.Real{}.Now()
		jobs, err := load.Run(ctx, load.Options{Dir: options.Dir, Rate: rate, Duration: options.Duration,
			Seed: uint64(i + 1), Tasks: options.Tasks, EndTimeout: options.EndTimeout,
			MaxPollsPerSecond: pollsPerSecond, Clients: clients, Retries: retries})
		if err != nil {
			return errs.Pass(err, "load at %g", rate)
		}
		seconds := (clock.Real{}.Now() - startedAt).Seconds()
		after, err := takeSample(ctx, caller, nodes)
		if err != nil {
			return errs.Pass(err, "bench")
		}
		if err := report(newRow(rate, jobs, before, after, seconds)); err != nil {
			return errs.Pass(err, "report")
		}
	}
	return nil
}

func newRow(rate float64, jobs load.Report, before, after sample, seconds float64) Row {
	syncs, runIDs := after.syncs-before.syncs, after.runIDs-before.runIDs
	return Row{Rate: rate, Load: jobs, SyncsPerSecond: syncs / seconds, RunIDsPerSync: runIDs / syncs,
		LeaderCPU:    100 * (after.leaderCPU - before.leaderCPU) / seconds,
		SchedulerCPU: 100 * (after.schedulerCPU - before.schedulerCPU) / seconds}
}

// sample holds counters of the leaders of the store and of the scheduler, counted since their processes started.
type sample struct{ syncs, runIDs, leaderCPU, schedulerCPU float64 }

func takeSample(ctx context.Context, caller *fleet.Caller, nodes fleet.Nodes) (sample, error) {
	leaders, err := fleet.FindLeaders(ctx, caller, nodes)
	if err != nil {
		return sample{}, errs.Pass(err, "find leaders")
	}
	var s sample
	for _, n := range slices.Concat(nodes.ControlPlanes, nodes.DataPlanes) {
		if n.Name != leaders.Store && n.Name != leaders.Scheduler {
			continue
		}
		metrics, _, err := fleet.Scrape(ctx, caller, n.Addr)
		if err != nil {
			return s, errs.Pass(err, "scrape metrics of %s", n.Name)
		}
		cpu := metrics.Sum("process_cpu_seconds_total")
		if n.Name == leaders.Store {
			s.syncs, s.leaderCPU = metrics.Sum("crosstide_store_sync_seconds_count"), cpu
		} else {
			s.runIDs, s.schedulerCPU = metrics.Sum("crosstide_sched_run_ids_total"), cpu
		}
	}
	return s, nil
}
