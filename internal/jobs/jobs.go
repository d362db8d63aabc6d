// Package jobs is the replicated table of jobs, workers and configuration that the scheduler on the core works from.
// It is part of the replicated state: it changes only by the methods of Table that package command calls, in the order
// of the log, and is the same on every node that applied the same entries. It reads no clock: every change carries its
// time.
package jobs

import (
	"encoding/json"
	"time"
)

// Resources are what a task takes on a worker, and what a worker has.
type Resources struct {
	MilliCPU int `json:"c,omitempty"` // thousandths of a core
	MemoryMB int `json:"m,omitempty"`
	GPUs     int `json:"g,omitempty"`
}

// Step is one step of a job: Count equal tasks.
type Step struct {
	Count         int           `json:"n"`
	Needs         Resources     `json:"r"`
	Estimate      time.Duration `json:"e,omitempty"`  // rough guess of how long a task takes
	After         []int         `json:"a,omitempty"`  // earlier steps, counted from 0, that must be done first
	Label         string        `json:"l,omitempty"`  // a label that the worker must have
	PreferredRack string        `json:"d,omitempty"`  // rack that holds the data; elsewhere tasks take longer
	MaxPerWorker  int           `json:"x,omitempty"`  // most tasks of the step (of one round) on a worker; 0: no bound
	Checkpoints   bool          `json:"k,omitempty"`  // tasks save their progress
	Gang          bool          `json:"gg,omitempty"` // all tasks of a run start together and end together
	SameRack      bool          `json:"sr,omitempty"` // a gang is faster in one rack
	Speculative   bool          `json:"sp,omitempty"` // copies may run side by side
	LongRunning   bool          `json:"ls,omitempty"` // tasks run until the job is cancelled
}

// Spec is a job as its client handed it in.
type Spec struct {
	ID       string        `json:"id"`
	Queue    string        `json:"q"`
	Payload  string        `json:"p,omitempty"` // handed to the worker with each start
	Steps    []Step        `json:"s"`
	Rounds   int           `json:"k,omitempty"` // 0: once, at once; else the number of times the steps are run
	FirstRun time.Time     `json:"f,omitzero"`  // when round 0 is due
	Interval time.Duration `json:"i,omitempty"` // round k is due at FirstRun + k*Interval
}

// JobState is where a job stands.
type JobState string

// The states of a job. The last three are final.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Succeeded JobState = "succeeded"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// IsTerminal tells whether the state is final.
func (s JobState) IsTerminal() bool { return s == Succeeded || s == Failed || s == Cancelled }

// TaskRef names a task.
type TaskRef struct {
	Job   string `json:"j"`
	Round int    `json:"k,omitempty"`
	Step  int    `json:"s,omitempty"`
	Index int    `json:"i,omitempty"`
}

// RunKey names one run of a task.
type RunKey struct {
	Task   TaskRef `json:"t"`
	Number int     `json:"n"`
}

// Run is the durable run handle: recorded before its start order leaves, and kept until its end is listed or it is
// proved dead.
type Run struct {
	Number int    `json:"n"`
	Worker string `json:"w"` // worker ID
	Term   uint64 `json:"t"` // leadership term in which it was recorded: the fencing token of its start order
}

// Task is one task of a round.
type Task struct {
	Done       bool   `json:"d,omitempty"`
	LastRun    int    `json:"r,omitempty"`  // newest run number given
	Failures   int    `json:"f,omitempty"`  // runs that ended failed; of a gang: counted at its first member
	FailedRun  int    `json:"fr,omitempty"` // of a gang's first member: the newest run number that counted as failed
	Checkpoint string `json:"k,omitempty"`
	Runs       []Run  `json:"h,omitempty"` // handles that are out; at most one
}

// Job is a job in the table.
type Job struct {
	Spec       Spec       `json:"spec"`
	Digest     string     `json:"digest"`
	State      JobState   `json:"state"`
	Sequence   uint64     `json:"seq"` // order of acceptance
	AcceptedAt time.Time  `json:"at"`
	EndedAt    time.Time  `json:"ended,omitzero"`
	Rounds     [][][]Task `json:"rounds,omitempty"` // by round, step, index; nil once it is over and no handle is out

	index jobIndex
}

// Worker is what is durable of a worker: one life of it, under an ID that is never used again.
type Worker struct {
	ID       string    `json:"id"`
	Address  string    `json:"addr"`
	Service  string    `json:"service"`
	Zone     string    `json:"zone"`
	Rack     string    `json:"rack,omitempty"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"cap"`
	Draining bool      `json:"draining,omitempty"`
	Left     bool      `json:"left,omitempty"` // it said that it ends
}

// Queue is one queue of the configuration.
type Queue struct {
	Name        string          `json:"name"`
	Host        string          `json:"host"`
	Prefix      string          `json:"prefix"`
	Service     string          `json:"service"`
	Priority    int             `json:"priority,omitempty"` // 0 goes first
	MaxAttempts int             `json:"attempts"`
	Stretch     float64         `json:"stretch"`
	Target      time.Duration   `json:"target"`
	Timeout     time.Duration   `json:"timeout"`
	Document    json.RawMessage `json:"doc"` // the item as the operator sent it
}

// Service is one service of the configuration: a kind of worker.
type Service struct {
	Name           string          `json:"name"`
	ChecksCapacity bool            `json:"guards,omitempty"` // its workers refuse what does not fit
	Document       json.RawMessage `json:"doc"`
}

// Config is the operators' configuration in force.
type Config struct {
	Version  uint64          `json:"version"`
	Queues   []Queue         `json:"queues,omitempty"`   // in the order they were sent
	Services []Service       `json:"services,omitempty"` // in the order they were sent
	Limits   json.RawMessage `json:"limits,omitempty"`
}

// Queue finds a queue by name; nil if there is none.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Service finds a service by name; nil if there is none.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
