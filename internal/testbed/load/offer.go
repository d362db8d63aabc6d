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
	Dir   string        // of the fleet
	Rate  float64       // jobs per second on average, arrivals as of many independent clients
	For   time.Duration // how long jobs are offered
	Seed  uint64
	Tasks int           // tasks per step, default 1
	Run   time.Duration // of a task, in whole ms
	Steps int           // steps per job, one after the other, default 1
	Cores int           // of a task, default 1
	GPUs  int           // of a task
	Count int           // exactly so many jobs, one after the other at the start, in place of Rate
	Gang  bool          // the tasks of a step start together
	// Standing jobs run for good; each is cancelled when the offers end.
	Standing bool
	Type     string // default scan
	Queue    string // default "default"
	Team     string // default drill
	Labels   map[string]string
	Retries  int           // of a task
	Cancel   float64       // probability that a job is cancelled some time after its yes
	Dup      float64       // probability that a job is handed in once more at another node
	Prefix   string        // of the keys; default is new with each load
	Workers  int           // clients, each with its own journal, default 4
	Polls    float64       // polls per second of all clients, at most, default 1000
	Wait     time.Duration // after For, until every accepted job has ended, default 60s
	GiveUp   time.Duration // how long a job is offered to one node after another, default 30s
}

// Fill puts the defaults in and tells what is wrong. Failure: Invalid.
func (o *Options) Fill() error {
	for _, n := range []*int{&o.Tasks, &o.Steps, &o.Cores} {
		*n = max(*n, 1)
	}
	for s, v := range map[*string]string{&o.Type: "scan", &o.Queue: "default", &o.Team: "drill"} {
		if *s == "" {
			*s = v
		}
	}
	for d, v := range map[*time.Duration]time.Duration{&o.Wait: time.Minute, &o.GiveUp: 30 * time.Second} {
		if *d == 0 {
			*d = v
		}
	}
	if o.Workers < 1 {
		o.Workers = 4
	}
	if o.Polls <= 0 {
		o.Polls = 1000
	}
	switch {
	case o.Rate <= 0 && o.Count <= 0 || o.For <= 0:
		return errs.Field(errs.Invalid, "rate", "rate and duration must be above 0")
	case o.Cancel < 0 || o.Cancel > 1 || o.Dup < 0 || o.Dup > 1:
		return errs.Field(errs.Invalid, "cancel", "cancel and dup are probabilities")
	case o.Run < 0 || o.Wait < 0 || o.GiveUp < 0:
		return errs.Field(errs.Invalid, "wait", "durations must not be below 0")
	}
	return nil
}

// offer is one job to come; all chance in it is of the seed.
type offer struct {
	at     time.Duration // since the start of the load
	spec   state.Spec
	cancel time.Duration // after the yes; below 0: never
	dup    bool
	seed   uint64 // of the choice of nodes
}

// plan returns the offers of o in order: the same seed gives the same ones.
func plan(o Options) []offer {
	luck := rand.New(rand.NewPCG(o.Seed, 1))
	ms := o.Run.Milliseconds()
	if o.Standing {
		ms = -1
	}
	run, err := json.Marshal(map[string]any{"ms": ms, "ok": true})
	if err != nil {
		panic(err) // a number and a bool
	}
	var out []offer
	for at := time.Duration(0); ; {
		if o.Count > 0 {
			at += 20 * time.Millisecond
		} else {
			at += time.Duration(luck.ExpFloat64() / o.Rate * float64(time.Second))
		}
		if at >= o.For || o.Count > 0 && len(out) == o.Count {
			return out
		}
		of := offer{at: at, cancel: -1, seed: luck.Uint64()}
		if luck.Float64() < o.Cancel {
			of.cancel = time.Duration(luck.Float64() * float64(time.Second))
		}
		if o.Standing {
			of.cancel = o.For - at
		}
		of.dup = luck.Float64() < o.Dup
		of.spec = state.Spec{Key: fmt.Sprintf("%s-%d", o.Prefix, len(out)), Team: o.Team, Queue: o.Queue}
		for i := range o.Steps {
			step := state.StepSpec{Name: fmt.Sprintf("s%d", i+1), Type: o.Type, Tasks: o.Tasks, Cores: o.Cores,
				GPUs: o.GPUs, Gang: o.Gang, LongRunning: o.Standing, Labels: o.Labels, Retries: o.Retries, Run: run}
			if i > 0 {
				step.After = []string{fmt.Sprintf("s%d", i)}
			}
			of.spec.Steps = append(of.spec.Steps, step)
		}
		out = append(out, of)
	}
}
