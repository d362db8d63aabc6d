// Package bench measures a fleet at increasing rates of tasks that do nothing (Run), and the syncs of a disk (Disk). It
// judges nothing: no rate is a failure.
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
	retries        = 3 // of a task
)

// Options are the loads under which a fleet is measured.
type Options struct {
	Dir        string        // of the fleet
	Rates      []float64     // jobs per second, one load after the other
	Tasks      int           // per job
	Duration   time.Duration // of each rate
	EndTimeout time.Duration
}

// Row is what was measured at one rate.
type Row struct {
	Rate           float64
	Load           load.Report
	SyncsPerSecond float64 // of the store's leader
	RunIDsPerSync  float64
	LeaderCPU      float64 // of the store's leader, % of a core
	SchedulerCPU   float64 // of the scheduler's leader, % of a core
}

// Run measures one rate after the other and passes each row to report. Failures: those of load.Run, of reading the
// leaders' metrics, of report.
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
		began := clock.Real{}.Now()
		jobs, err := load.Run(ctx, load.Options{Dir: options.Dir, Rate: rate, Duration: options.Duration,
			Seed: uint64(i + 1), Tasks: options.Tasks, EndTimeout: options.EndTimeout,
			MaxPollsPerSecond: pollsPerSecond, Clients: clients, Retries: retries})
		if err != nil {
			return errs.Pass(err, "load at %g", rate)
		}
		seconds := (clock.Real{}.Now() - began).Seconds()
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

// sample has the counters of the leaders of the store and of the scheduler, since the start of their processes.
type sample struct{ syncs, runIDs, leaderCPU, schedulerCPU float64 }

func takeSample(ctx context.Context, caller *fleet.Caller, nodes fleet.Nodes) (sample, error) {
	leaders, err := fleet.FindLeaders(ctx, caller, nodes)
	if err != nil {
		return sample{}, errs.Pass(err, "who holds what")
	}
	var s sample
	for _, n := range slices.Concat(nodes.ControlPlanes, nodes.DataPlanes) {
		if n.Name != leaders.Store && n.Name != leaders.Scheduler {
			continue
		}
		metrics, _, err := fleet.Scrape(ctx, caller, n.Addr)
		if err != nil {
			return s, errs.Pass(err, "sample of %s", n.Name)
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
