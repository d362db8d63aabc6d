package jobs

import (
	"encoding/json"
	"time"
)

// This file declares the records of the table, changes.go its changes. Neither has anything that decides: package
// platform may use the types of these two files, and nothing else of this package, as its test of boundaries checks.

// Resources are the needs of a task, or the capacity of a worker.
type Resources struct {
	MilliCPU int `json:"c,omitempty"` // thousandths of a core
	MemoryMB int `json:"m,omitempty"`
	GPUs     int `json:"g,omitempty"`
}

// Spec is a job as its client submitted it.
type Spec struct {
	ID       string        `json:"id"`
	Queue    string        `json:"q"`
	Payload  string        `json:"p,omitempty"` // sent to the worker with each start
	Steps    []Step        `json:"s"`
	Rounds   int           `json:"k,omitempty"` // 0: once, at once; else the number of times the steps are run
	FirstRun time.Time     `json:"f,omitzero"`  // when round 0 is due
	Interval time.Duration `json:"i,omitempty"` // round k is due at FirstRun + k*Interval
}

// Step is one step of a job: Count equal tasks.
type Step struct {
	Count         int           `json:"n"`
	Needs         Resources     `json:"r"`            // of each task
	Estimate      time.Duration `json:"e,omitempty"`  // rough guess of how long a task takes
	After         []int         `json:"a,omitempty"`  // earlier steps, counted from 0, that must be done first
	Label         string        `json:"l,omitempty"`  // the worker must have it
	PreferredRack string        `json:"d,omitempty"`  // the rack with the data; elsewhere tasks take longer
	MaxPerWorker  int           `json:"x,omitempty"`  // most tasks of the step (of one round) on a worker; 0: no bound
	Checkpoints   bool          `json:"k,omitempty"`  // tasks save their progress
	Gang          bool          `json:"gg,omitempty"` // all tasks of a run start together and end together
	SameRack      bool          `json:"sr,omitempty"` // a gang is faster in one rack
	Speculative   bool          `json:"sp,omitempty"` // copies may run side by side
	LongRunning   bool          `json:"ls,omitempty"` // tasks run until the job is cancelled
}

// JobState is the state of a job. Only Table.setState changes it.
type JobState string

// The states of a job. The last three are terminal. The strings are stored.
const (
	Queued    JobState = "queued"  // none of its tasks was started yet
	Running   JobState = "running" // from the first start on
	Succeeded JobState = "succeeded"
	Failed    JobState = "failed"    // a task failed as often as the queue allows
	Cancelled JobState = "cancelled" // by its client
)

// IsTerminal reports whether a job stays in the state.
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

// Handle is the durable handle of a run: recorded before its start order is sent, and kept until its end is reported
// or it is proved dead. Until then its task is not started again.
type Handle struct {
	Number int    `json:"n"`
	Worker string `json:"w"` // worker ID
	Term   uint64 `json:"t"` // leadership term in which it was recorded: the fencing token of its start order
}

// Task is one task of a round.
type Task struct {
	Done       bool     `json:"d,omitempty"`
	LastRun    int      `json:"r,omitempty"`  // newest run number issued; numbers ascend and are never reused
	Failures   int      `json:"f,omitempty"`  // runs that ended failed; of a gang: counted at its first member
	FailedRun  int      `json:"fr,omitempty"` // of a gang's first member: the newest run number that counted as failed
	Checkpoint string   `json:"k,omitempty"`  // newest saved progress
	Handles    []Handle `json:"h,omitempty"`  // handles; at most one
}

// Job is the record of a job.
type Job struct {
	Spec       Spec      `json:"spec"`   // without payload and steps once Rounds is nil
	Digest     string    `json:"digest"` // of the submission: tells a repeated one from another job
	State      JobState  `json:"state"`
	Sequence   uint64    `json:"seq"` // order of acceptance
	AcceptedAt time.Time `json:"at"`
	EndedAt    time.Time `json:"ended,omitzero"`

	// Rounds holds the tasks by round, step, index; nil once the job is terminal and has no handle.
	Rounds [][][]Task `json:"rounds,omitempty"`

	index jobIndex
}

// Worker is the record of one incarnation of a worker, under an ID that is never reused. A stored Worker is never
// changed, only replaced (Register).
type Worker struct {
	ID       string    `json:"id"`
	Address  string    `json:"addr"`
	Service  string    `json:"service"`
	Zone     string    `json:"zone"`
	Rack     string    `json:"rack,omitempty"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"cap"`
	Draining bool      `json:"draining,omitempty"` // never withdrawn
	Left     bool      `json:"left,omitempty"`     // it reported that it ends; never withdrawn
}

// Config is the operators' configuration in force.
type Config struct {
	Version  uint64          `json:"version"`
	Queues   []Queue         `json:"queues,omitempty"`   // in the order they were sent
	Services []Service       `json:"services,omitempty"` // in the order they were sent
	Limits   json.RawMessage `json:"limits,omitempty"`   // as the operator sent them; the table does not read them
}

// Queue is one queue of the configuration.
type Queue struct {
	Name        string `json:"name"`
	Host        string `json:"host"`               // with Prefix: where clients find it
	Prefix      string `json:"prefix"`             // of the path of a call
	Service     string `json:"service"`            // whose workers serve it
	Priority    int    `json:"priority,omitempty"` // 0 goes first
	MaxAttempts int    `json:"attempts"`           // of a task, after which its job has failed

	// Stretch and Target are the latency objective of a job's round: Stretch times the estimate of its critical path,
	// plus Target. A long-running task has Target alone, to its start.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`

	Timeout  time.Duration   `json:"timeout"` // above 0
	Document json.RawMessage `json:"doc"`     // the item as the operator sent it
}

// Service is one service of the configuration: a kind of worker.
type Service struct {
	Name           string          `json:"name"`
	ChecksCapacity bool            `json:"guards,omitempty"` // its workers refuse what does not fit, the table does not
	Document       json.RawMessage `json:"doc"`              // the item as the operator sent it
}
