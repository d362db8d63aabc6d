package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Options are what a load is made of. Zero values take the defaults of Fill.
type Options struct {
	Dir          string        // of the fleet
	Rate         float64       // jobs per second on average, arrivals as of many independent clients
	Duration     time.Duration // how long jobs are offered
	Seed         uint64
	Tasks        int           // tasks per step, default 1
	TaskDuration time.Duration // of a task, in whole ms
	Steps        int           // steps per job, one after the other, default 1
	Cores        int           // of a task, default 1
	GPUs         int           // of a task
	Count        int           // exactly so many jobs, one after the other at the start, in place of Rate
	Gang         bool          // the tasks of a step start together
	// Standing jobs run for good; each is cancelled when the offers end.
	LongRunning          bool
	Type                 string // default scan
	Queue                string // default "default"
	Team                 string // default drill
	Labels               map[string]string
	Retries              int           // of a task
	CancelProbability    float64       // probability that a job is cancelled some time after its yes
	DuplicateProbability float64       // probability that a job is handed in once more at another node
	Prefix               string        // of the keys; default is new with each load
	Clients              int           // clients, each with its own journal, default 4
	MaxPollsPerSecond    float64       // polls per second of all clients, at most, default 1000
	EndTimeout           time.Duration // after For, until every accepted job has ended, default 60s
	SubmitTimeout        time.Duration // how long a job is offered to one node after another, default 30s
}

// SetDefaults puts the defaults in and tells what is wrong. Failure: Invalid.
func (o *Options) SetDefaults() error {
	for _, n := range []*int{&o.Tasks, &o.Steps, &o.Cores} {
		*n = max(*n, 1)
	}
	for s, v := range map[*string]string{&o.Type: "scan", &o.Queue: "default", &o.Team: "drill"} {
		if *s == "" {
			*s = v
		}
	}
	for d, v := range map[*time.Duration]time.Duration{&o.EndTimeout: time.Minute, &o.SubmitTimeout: 30 * time.Second} {
		if *d == 0 {
			*d = v
		}
	}
	if o.Clients < 1 {
		o.Clients = 4
	}
	if o.MaxPollsPerSecond <= 0 {
		o.MaxPollsPerSecond = 1000
	}
	switch {
	case o.Rate <= 0 && o.Count <= 0 || o.Duration <= 0:
		return errs.Field(errs.Invalid, "rate", "rate and duration must be above 0")
	case o.CancelProbability < 0 || o.CancelProbability > 1 || o.DuplicateProbability < 0 || o.DuplicateProbability > 1:
		return errs.Field(errs.Invalid, "cancel", "cancel and dup are probabilities")
	case o.TaskDuration < 0 || o.EndTimeout < 0 || o.SubmitTimeout < 0:
		return errs.Field(errs.Invalid, "wait", "durations must not be below 0")
	}
	return nil
}

// arrival is one job to come; all chance in it is of the seed.
type arrival struct {
	at     time.Duration // since the start of the load
	spec   state.Spec
	cancel time.Duration // after the yes; below 0: never
	dup    bool
	seed   uint64 // of the choice of nodes
}

// planArrivals returns the offers of o in order: the same seed gives the same ones.
func planArrivals(o Options) []arrival {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	ms := o.TaskDuration.Milliseconds()
	if o.LongRunning {
		ms = -1
	}
	run, err := json.Marshal(map[string]any{"ms": ms, "ok": true})
	if err != nil {
		panic(err) // a number and a bool
	}
	var out []arrival
	for at := time.Duration(0); ; {
		if o.Count > 0 {
			at += 20 * time.Millisecond
		} else {
			at += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		}
		if at >= o.Duration || o.Count > 0 && len(out) == o.Count {
			return out
		}
		of := arrival{at: at, cancel: -1, seed: rng.Uint64()}
		if rng.Float64() < o.CancelProbability {
			of.cancel = time.Duration(rng.Float64() * float64(time.Second))
		}
		if o.LongRunning {
			of.cancel = o.Duration - at
		}
		of.dup = rng.Float64() < o.DuplicateProbability
		of.spec = state.Spec{Key: fmt.Sprintf("%s-%d", o.Prefix, len(out)), Team: o.Team, Queue: o.Queue}
		for i := range o.Steps {
			step := state.StepSpec{Name: fmt.Sprintf("s%d", i+1), Type: o.Type, Tasks: o.Tasks, Cores: o.Cores,
				GPUs: o.GPUs, Gang: o.Gang, LongRunning: o.LongRunning, Labels: o.Labels, Retries: o.Retries, Run: run}
			if i > 0 {
				step.After = []string{fmt.Sprintf("s%d", i)}
			}
			of.spec.Steps = append(of.spec.Steps, step)
		}
		out = append(out, of)
	}
}
