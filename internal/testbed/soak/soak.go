// Package soak is the soak test of the replicated state of the policy deployment: it applies the commands of simulated
// days at a rate of jobs, with the purges of the leader, and reports how large the state is at the end of each day.
//
// No process runs and nothing is persisted: Run applies the commands one after the other under simulated times
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
	Jobs         int           // a day
	Tasks        int           // of a job
	TaskDuration time.Duration // mean
	Workers      int
	Orders       int // of operators, a day
	Seed         uint64
	Keep         config.ControlPlane // keep_ended and keep_tombs, as the control planes have them
}

func (o Options) check() error {
	if o.Days < 1 || o.Jobs < 1 || o.Tasks < 1 || o.Workers < 1 || o.TaskDuration <= 0 {
		return errs.Field(errs.Invalid, "days", "days, jobs, tasks, minions and the length of a task must be above 0")
	}
	return nil
}

// Day is the state at the end of a day.
type Day struct {
	Day        int `json:"day"`
	Jobs       int `json:"jobs"`
	Open       int `json:"open"` // jobs that have not ended
	Ended      int `json:"ended"`
	Tombstones int `json:"tombs"`
	Handles    int `json:"handles"`
	Orders     int `json:"orders"`
	Revisions  int `json:"bundles"` // versions that are kept
	Bytes      int `json:"bytes"`   // encoded
	HeapMB     int `json:"heap_mb"` // of this one replica and the work of the simulation, after a collection
	Entries    int `json:"entries"` // of the log, that day
	LogKB      int `json:"log_kb"`  // their data
}

// tick is the step of the simulated time: what is due within it becomes one plan.
const tick = 30 * time.Second

// Run simulates the days and passes each day's end to report. The same options make the same days. Failures: Invalid,
// those of the commands, those of report. Example:
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
