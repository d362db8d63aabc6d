package load

import (
	"time"

	"crosstide/internal/errs"
)

// Options are the options of Run. Zero values are replaced by the defaults of SetDefaults.
type Options struct {
	Dir  string // folder of the fleet
	Seed uint64 // for all random draws: the arrivals and the choice of nodes

	// Arrivals.
	Rate     float64       // jobs per second on average, as a Poisson process
	Count    int           // if above 0: the number of jobs, countInterval apart, in place of Rate
	Duration time.Duration // period in which jobs arrive
	Prefix   string        // of the jobs' keys; the default differs for each load

	// Each job.
	Steps        int           // per job, executed one after the other, default 1
	Tasks        int           // per step, default 1
	TaskDuration time.Duration // in whole ms
	Cores        int           // of a task, default 1
	GPUs         int           // of a task
	Gang         bool          // the tasks of a step start together
	LongRunning  bool          // jobs run until they are cancelled, at about the end of Duration
	Type         string        // default "scan"
	Queue        string        // default "default"
	Team         string        // default "drill"
	Labels       map[string]string
	Retries      int // of a task

	// The clients.
	CancelProbability    float64       // that a job is cancelled, up to 1 s after it was accepted
	DuplicateProbability float64       // that a job is submitted a second time, at another node
	Clients              int           // each with its own journal, default 4
	MaxPollsPerSecond    float64       // of all clients together, default 1000
	EndTimeout           time.Duration // after Duration, for the accepted jobs to end, default 60s
	SubmitTimeout        time.Duration // for all attempts of a submission or a cancel, default 30s
}

// SetDefaults replaces zero values by the defaults, then validates the options. Failure: Invalid.
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
	isProbability := func(p float64) bool { return p >= 0 && p <= 1 }
	switch {
	case o.Rate <= 0 && o.Count <= 0 || o.Duration <= 0:
		return errs.Field(errs.Invalid, "rate", "rate (or count) and duration must be above 0")
	case !isProbability(o.CancelProbability) || !isProbability(o.DuplicateProbability):
		return errs.Field(errs.Invalid, "cancel", "cancel and dup must be from 0 to 1")
	case o.TaskDuration < 0 || o.EndTimeout < 0 || o.SubmitTimeout < 0:
		return errs.Field(errs.Invalid, "wait", "durations must not be negative")
	}
	return nil
}
