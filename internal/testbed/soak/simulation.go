package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// leaseTTL is the lease of all runs.
const leaseTTL = 20 * time.Second

// incarnation is the incarnation of all workers.
const incarnation = "b"

// simulation holds the replicated state and the work that is not due yet.
type simulation struct {
	options Options
	state   *state.State
	rng     *rand.Rand // the only source of randomness: the order of draws determines the simulation
	now     time.Time
	workers []string
	epoch   uint64 // of the scheduler's leader
	runs    []run  // in progress
	serial  int    // of the newest job or order

	jobsDue, ordersDue float64 // accumulated fractions not yet submitted; below 1 after each tick

	// Of the current day.
	bytes   int // of log data
	entries int // log entries
}

type run struct {
	runID  uint64
	endsAt time.Time
}

// apply counts a command as an entry of the log and applies it.
func (s *simulation) apply(c command.Command) (any, error) {
	data, err := command.Encode(s.now, c)
	if err != nil {
		return nil, errs.Pass(err, "month")
	}
	s.bytes += len(data)
	s.entries++
	answer, err := command.Apply(s.state, s.state.Index+1, 1, data)
	return answer, errs.Pass(err, "%s", c.Op())
}

// bootstrap announces the workers, grants the scheduler role and applies a plan that names the workers' incarnation.
func (s *simulation) bootstrap() error {
	for i := range s.options.Workers {
		w := state.Worker{Name: fmt.Sprintf("m%04d", i), Addr: "10.0.0.1:7000", Kind: "check",
			Zone: "z" + strconv.Itoa(i%8), Cores: 1 << 20}
		s.workers = append(s.workers, w.Name)
		if _, err := s.apply(&command.Announce{Worker: w}); err != nil {
			return errs.Pass(err, "found")
		}
	}
	if _, err := s.apply(&command.GrantRole{Role: "sched", Holder: "d1"}); err != nil {
		return errs.Pass(err, "found")
	}
	s.epoch = s.state.Index
	plan := s.newPlan()
	for _, name := range s.workers {
		w := *s.state.Workers[name]
		w.Incarnation = incarnation
		plan.Workers = append(plan.Workers, w)
	}
	_, err := s.apply(plan)
	return errs.Pass(err, "found")
}

// runDay simulates one day.
func (s *simulation) runDay() error {
	s.bytes, s.entries = 0, 0
	for end := s.now.Add(24 * time.Hour); s.now.Before(end); s.now = s.now.Add(tick) {
		if err := s.submitDue(); err != nil {
			return errs.Pass(err, "work")
		}
		if err := s.schedule(); err != nil {
			return errs.Pass(err, "schedule")
		}
	}
	return nil
}

// submitDue submits the jobs and orders that are due in a tick.
func (s *simulation) submitDue() error {
	perTick := func(perDay int) float64 { return float64(perDay) * tick.Hours() / 24 }
	for s.jobsDue += perTick(s.options.Jobs); s.jobsDue >= 1; s.jobsDue-- {
		s.serial++
		if err := s.submitJob(); err != nil {
			return errs.Pass(err, "job")
		}
	}
	for s.ordersDue += perTick(s.options.Orders); s.ordersDue >= 1; s.ordersDue-- {
		s.serial++
		worker := s.workers[s.rng.IntN(len(s.workers))]
		if _, err := s.apply(&command.CloseWorker{Order: "o-" + strconv.Itoa(s.serial), Worker: worker}); err != nil {
			return errs.Pass(err, "order")
		}
	}
	return nil
}

func (s *simulation) submitJob() error {
	spec := state.Spec{Key: "job-" + strconv.Itoa(s.serial), Team: "team-" + strconv.Itoa(s.serial%20),
		Queue: "default", Steps: []state.StepSpec{{Name: "s1", Type: "scan", Tasks: s.options.Tasks, Cores: 1,
			Retries: 3, Run: json.RawMessage(`{"ms":60000,"ok":true}`)}}}
	digest := fmt.Sprintf("%064x", xxhash.Sum64String(spec.Key))
	_, err := s.apply(&command.Submit{Spec: spec, Digest: digest, Bound: s.options.Keep.QueueLimit})
	return errs.Pass(err, "submit")
}

func (s *simulation) newPlan() *command.Plan {
	return &command.Plan{Epoch: s.epoch, BundleVersion: s.state.Bundle.Version}
}

// schedule applies the plans of a tick as the scheduler's leader would, and the purge as the store's leader would.
func (s *simulation) schedule() error {
	submitted := append([]string(nil), s.state.Inbox...)
	if err := s.endRuns(); err != nil {
		return errs.Pass(err, "ends")
	}
	if err := s.startTasks(submitted); err != nil {
		return errs.Pass(err, "starts")
	}
	keep := s.options.Keep
	tombstonesBefore := s.now.Add(-keep.KeepTombstonesFor)
	_, err := s.apply(&command.Purge{JobsBefore: s.now.Add(-keep.KeepEndedFor), JobsKeep: keep.KeepEnded,
		TombstonesBefore: tombstonesBefore, TombstonesKeep: keep.KeepTombstones, OrdersBefore: tombstonesBefore})
	return errs.Pass(err, "tidy")
}

// endRuns applies a plan with the ends of all runs that have ended by now.
func (s *simulation) endRuns() error {
	plan := s.newPlan()
	plan.LeaseTTL, plan.Seq = leaseTTL, s.state.Seq
	var remaining []run
	for _, r := range s.runs {
		if r.endsAt.After(s.now) {
			remaining = append(remaining, r)
			continue
		}
		plan.Ends = append(plan.Ends, command.End{RunID: r.runID, OK: true})
	}
	s.runs = remaining
	_, err := s.apply(plan)
	return errs.Pass(err, "plan")
}

// startTasks starts all tasks of jobs, each on a worker drawn at random, and reports them as running.
func (s *simulation) startTasks(jobs []string) error {
	plan := s.newPlan()
	plan.LeaseTTL = leaseTTL
	for _, key := range jobs {
		for i := range s.state.Jobs[key].Tasks[0] {
			plan.Starts = append(plan.Starts, command.Start{Ref: state.TaskRef{Job: key, Task: i},
				Worker: s.workers[s.rng.IntN(len(s.workers))], Incarnation: incarnation})
		}
	}
	answer, err := s.apply(plan)
	if err != nil {
		return errs.Pass(err, "plan")
	}
	planned, running := answer.(command.Planned), s.newPlan()
	for i, runID := range planned.RunIDs {
		if runID == 0 {
			return errs.New(errs.Internal, "start refused: %s", planned.Refused[i])
		}
		running.Running = append(running.Running, runID)
		duration := time.Duration(s.rng.ExpFloat64() * float64(s.options.TaskDuration))
		s.runs = append(s.runs, run{runID, s.now.Add(duration)})
	}
	_, err = s.apply(running)
	return errs.Pass(err, "running")
}
