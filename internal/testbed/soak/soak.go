// Package soak is the soak test of the replicated state of the policy deployment: it applies the commands of simulated
// days at a given rate of jobs, with the purges of the leader, and reports the size of the state after each day.
//
// It starts no process and persists nothing: Run applies the commands one after the other at simulated times
// (simulation.go).
package soak

import (
	"math/rand/v2"
	"runtime"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Options are the load of the simulated days.
type Options struct {
	Days         int
	Jobs         int           // per day
	Tasks        int           // of a job
	TaskDuration time.Duration // mean, exponentially distributed
	Workers      int
	Orders       int // of operators, per day
	Seed         uint64
	Keep         config.ControlPlane // its retention (keep_ended, keep_tombs) and queue limit apply
}

func (o Options) check() error {
	if o.Days < 1 || o.Jobs < 1 || o.Tasks < 1 || o.Workers < 1 || o.TaskDuration <= 0 {
		return errs.Field(errs.Invalid, "days", "days, jobs, tasks, minions and the duration of a task must be above 0")
	}
	return nil
}

// Day is the size of the state at the end of a day.
type Day struct {
	Day        int `json:"day"`
	Jobs       int `json:"jobs"`
	Open       int `json:"open"` // jobs that have not ended
	Ended      int `json:"ended"`
	Tombstones int `json:"tombs"`
	Handles    int `json:"handles"`
	Orders     int `json:"orders"`
	Revisions  int `json:"bundles"` // versions retained
	Bytes      int `json:"bytes"`   // size of the encoded state
	HeapMB     int `json:"heap_mb"` // of this replica and the simulation, after a garbage collection
	Entries    int `json:"entries"` // of the log, on that day
	LogKB      int `json:"log_kb"`  // size of the data of those entries
}

// tick is the step of the simulated time. All ends that are due within a tick form one plan, and so do all starts.
const tick = 30 * time.Second

// Run simulates the days and passes the state at the end of each day to report. The same options produce the same days.
// Failures: Invalid, those of the commands, those of report. Example:
//
//	err := soak.Run(soak.Options{Days: 30, Jobs: 21000, Tasks: 20, TaskDuration: time.Minute, Workers: 1600,
//		Keep: config.DefaultControlPlane()}, print)
func Run(o Options, report func(Day) error) error {
	if err := o.check(); err != nil {
		return errs.Pass(err, "options")
	}
	s := &simulation{options: o, state: state.New(), rng: rand.New(rand.NewPCG(o.Seed, 1)),
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	if err := s.bootstrap(); err != nil {
		return errs.Pass(err, "begin")
	}
	for day := 1; day <= o.Days; day++ {
		if err := s.runDay(); err != nil {
			return errs.Pass(err, "day %d", day)
		}
		end, err := s.endOfDay(day)
		if err != nil {
			return errs.Pass(err, "day %d", day)
		}
		if err := report(end); err != nil {
			return errs.Pass(err, "tell")
		}
	}
	return nil
}

// endOfDay returns the size of the state.
func (s *simulation) endOfDay(day int) (Day, error) {
	data, err := s.state.Encode()
	if err != nil {
		return Day{}, errs.Pass(err, "encode")
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	st := s.state
	return Day{Day: day, Jobs: len(st.Jobs), Open: len(st.Jobs) - len(st.EndedJobs), Ended: len(st.EndedJobs),
		Tombstones: len(st.Tombstones), Handles: len(st.Handles), Orders: len(st.Orders), Revisions: len(st.Revisions),
		Bytes: len(data), HeapMB: int((memory.HeapAlloc - uint64(cap(data))) / 1e6),
		Entries: s.entries, LogKB: s.bytes / 1000}, nil
}
