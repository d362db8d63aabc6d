// Package soak lets a state live through simulated days at a rate of jobs, by the commands and the letting go of the
// daemons, and tells how large it is at the end of each day.
package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// Options are what the days are made of.
type Options struct {
	Days         int
	Jobs         int           // a day
	Tasks        int           // of a job
	TaskDuration time.Duration // of a task, mean
	Workers      int
	Orders       int // operators' orders a day
	Seed         uint64
	Keep         config.ControlPlane // keep_ended and keep_tombs, as the cplanes have them
}

// Day is the state at the end of a day.
type Day struct {
	Day        int `json:"day"`
	Jobs       int `json:"jobs"`
	Open       int `json:"open"` // jobs not over
	Ended      int `json:"ended"`
	Tombstones int `json:"tombs"`
	Handles    int `json:"handles"`
	Orders     int `json:"orders"`
	Revisions  int `json:"bundles"` // versions kept
	Bytes      int `json:"bytes"`   // encoded
	HeapMB     int `json:"heap_mb"` // of this one replica and the work of the simulation, after a collection
	Entries    int `json:"entries"` // of the log, that day
	LogKB      int `json:"log_kb"`  // their data
}

// simulation is the state with the work that is to come.
type simulation struct {
	options Options
	st      *state.State
	rng     *rand.Rand
	workers []string
	epoch   uint64
	runs    []run // out, in order of their ends
	bytes   int
	entries int
}

type run struct {
	runID uint64
	ends  time.Time
}

// step is how far time goes at once: what falls into it is one plan.
const step = 30 * time.Second

// Run lives through the days and gives each day's end to tell. The same options give the same days. Faults: Invalid,
// those of the commands, those of tell. Example:
//
//	err := soak.Run(soak.Options{Days: 30, Jobs: 21000, Tasks: 20, Last: time.Minute, Minions: 1600, Keep: config.DefaultCplane()}, print)
func Run(o Options, report func(Day) error) error {
	if o.Days < 1 || o.Jobs < 1 || o.Tasks < 1 || o.Workers < 1 || o.TaskDuration <= 0 {
		return errs.Field(errs.Invalid, "days", "days, jobs, tasks, minions and the length of a task must be above 0")
	}
	s := &simulation{options: o, st: state.New(), rng: rand.New(rand.NewPCG(o.Seed, 1))}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if err := s.bootstrap(now); err != nil {
		return errs.Pass(err, "begin")
	}
	perStep, perOrder := float64(o.Jobs)*step.Hours()/24, float64(o.Orders)*step.Hours()/24
	jobs, orders, nth := 0.0, 0.0, 0
	for day := 1; day <= o.Days; day++ {
		s.bytes, s.entries = 0, 0
		for end := now.Add(24 * time.Hour); now.Before(end); now = now.Add(step) {
			for jobs += perStep; jobs >= 1; jobs-- {
				nth++
				if err := s.submit(now, nth); err != nil {
					return errs.Pass(err, "day %d", day)
				}
			}
			for orders += perOrder; orders >= 1; orders-- {
				nth++
				m := s.workers[s.rng.IntN(len(s.workers))]
				if _, err := s.apply(now, &command.CloseWorker{Order: "o-" + strconv.Itoa(nth), Worker: m}); err != nil {
					return errs.Pass(err, "day %d", day)
				}
			}
			if err := s.runPass(now); err != nil {
				return errs.Pass(err, "day %d", day)
			}
		}
		data, err := s.st.Encode()
		if err != nil {
			return errs.Pass(err, "day %d", day)
		}
		var mem runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&mem)
		d := Day{Day: day, Jobs: len(s.st.Jobs), Open: len(s.st.Jobs) - len(s.st.EndedJobs), Ended: len(s.st.EndedJobs), Tombstones: len(s.st.Tombstones),
			Handles: len(s.st.Handles), Orders: len(s.st.Orders), Revisions: len(s.st.Revisions), Bytes: len(data), HeapMB: int((mem.HeapAlloc - uint64(cap(data))) / 1e6), Entries: s.entries, LogKB: s.bytes / 1000}
		if err := report(d); err != nil {
			return errs.Pass(err, "tell")
		}
	}
	return nil
}

func (s *simulation) apply(now time.Time, c command.Command) (any, error) {
	data, err := command.Encode(now, c)
	if err != nil {
		return nil, errs.Pass(err, "month")
	}
	s.bytes += len(data)
	s.entries++
	answer, err := command.Apply(s.st, s.st.Index+1, 1, data)
	return answer, errs.Pass(err, "%s", c.Op())
}

func (s *simulation) bootstrap(now time.Time) error {
	for i := range s.options.Workers {
		m := state.Worker{Name: fmt.Sprintf("m%04d", i), Addr: "10.0.0.1:7000", Kind: "check", Zone: "z" + strconv.Itoa(i%8), Cores: 1 << 20}
		s.workers = append(s.workers, m.Name)
		if _, err := s.apply(now, &command.Announce{Worker: m}); err != nil {
			return errs.Pass(err, "found")
		}
	}
	if _, err := s.apply(now, &command.GrantRole{Role: "sched", Holder: "d1"}); err != nil {
		return errs.Pass(err, "found")
	}
	s.epoch = s.st.Index
	p := &command.Plan{Epoch: s.epoch, BundleVersion: s.st.Bundle.Version}
	for _, name := range s.workers {
		m := *s.st.Workers[name]
		m.Incarnation = "b"
		p.Workers = append(p.Workers, m)
	}
	_, err := s.apply(now, p)
	return errs.Pass(err, "found")
}

func (s *simulation) submit(now time.Time, nth int) error {
	spec := state.Spec{Key: "job-" + strconv.Itoa(nth), Team: "team-" + strconv.Itoa(nth%20), Queue: "default", Steps: []state.StepSpec{
		{Name: "s1", Type: "scan", Tasks: s.options.Tasks, Cores: 1, Retries: 3, Run: json.RawMessage(`{"ms":60000,"ok":true}`)}}}
	_, err := s.apply(now, &command.Submit{Spec: spec, Digest: fmt.Sprintf("%064x", xxhash.Sum64String(spec.Key)), Bound: s.options.Keep.QueueLimit})
	return errs.Pass(err, "submit")
}

// runPass is a plan as the holder of sched makes it, and the letting go as the leader does it.
func (s *simulation) runPass(now time.Time) error {
	p := &command.Plan{Epoch: s.epoch, BundleVersion: s.st.Bundle.Version, LeaseTTL: 20 * time.Second, Seq: s.st.Seq}
	fresh := append([]string(nil), s.st.Inbox...)
	var left []run
	for _, r := range s.runs {
		if r.ends.After(now) {
			left = append(left, r)
			continue
		}
		p.Ends = append(p.Ends, command.End{RunID: r.runID, OK: true})
	}
	s.runs = left
	if _, err := s.apply(now, p); err != nil {
		return errs.Pass(err, "ends")
	}
	p = &command.Plan{Epoch: s.epoch, BundleVersion: s.st.Bundle.Version, LeaseTTL: 20 * time.Second}
	for _, key := range fresh {
		for i := range s.st.Jobs[key].Tasks[0] {
			p.Starts = append(p.Starts, command.Start{Ref: state.TaskRef{Job: key, Task: i}, Worker: s.workers[s.rng.IntN(len(s.workers))], Incarnation: "b"})
		}
	}
	answer, err := s.apply(now, p)
	if err != nil {
		return errs.Pass(err, "starts")
	}
	running := &command.Plan{Epoch: s.epoch, BundleVersion: s.st.Bundle.Version}
	for i, t := range answer.(command.Planned).RunIDs {
		if t == 0 {
			return errs.New(errs.Internal, "a start is refused: %s", answer.(command.Planned).Refused[i])
		}
		running.Running = append(running.Running, t)
		s.runs = append(s.runs, run{t, now.Add(time.Duration(s.rng.ExpFloat64() * float64(s.options.TaskDuration)))})
	}
	if _, err := s.apply(now, running); err != nil {
		return errs.Pass(err, "running")
	}
	k := s.options.Keep
	_, err = s.apply(now, &command.Purge{JobsBefore: now.Add(-k.KeepEndedFor), JobsKeep: k.KeepEnded, TombstonesBefore: now.Add(-k.KeepTombstonesFor),
		TombstonesKeep: k.KeepTombstones, OrdersBefore: now.Add(-k.KeepTombstonesFor)})
	return errs.Pass(err, "tidy")
}
