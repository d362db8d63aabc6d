package jobs

import (
	"encoding/json"
	"time"
)

// This file declares the records of the table, changes.go its changes. Neither file contains logic: package platform
// may use only the types of these two files, which its boundary test checks.

// Resources are the needs of a task, or the capacity of a worker.
type Resources struct {
	MilliCPU int `json:"c,omitempty"` // thousandths of a core
	MemoryMB int `json:"m,omitempty"`
	GPUs     int `json:"g,omitempty"`
}

// Location is the host and path to which a client submitted a job. It has the host in lower case and without a port.
type Location struct {
	Host string `json:"h"`
	Path string `json:"p"`
}

// Spec is a job as its client submitted it.
type Spec struct {
	ID    string `json:"id"`
	Queue string `json:"q"` // the name of the queue that accepted the job; Table.QueueOf returns its present queue
	// Location is set if the client addressed the queue by host and path instead of by name. Only commands proposed
	// under SchemaLocations or later have it.
	Location *Location     `json:"at,omitempty"`
	Payload  string        `json:"p,omitempty"` // sent to the worker with each start
	Steps    []Step        `json:"s"`
	Rounds   int           `json:"k,omitempty"` // how often the steps are run; 0: once, immediately
	FirstRun time.Time     `json:"f,omitzero"`  // when round 0 is due
	Interval time.Duration `json:"i,omitempty"` // round k is due at FirstRun + k*Interval
}

// Step is one step of a job: Count equal tasks.
type Step struct {
	Count         int           `json:"n"`
	Needs         Resources     `json:"r"`            // of each task
	Estimate      time.Duration `json:"e,omitempty"`  // rough estimate of a task's run time
	After         []int         `json:"a,omitempty"`  // indexes of earlier steps that must be done first
	Label         string        `json:"l,omitempty"`  // required of the worker
	PreferredRack string        `json:"d,omitempty"`  // the rack with the data; tasks take longer in other racks
	MaxPerWorker  int           `json:"x,omitempty"`  // limit of the step's tasks (of one round) on a worker; 0: none
	Checkpoints   bool          `json:"k,omitempty"`  // tasks save checkpoints
	Gang          bool          `json:"gg,omitempty"` // all tasks of the step start together and end together
	SameRack      bool          `json:"sr,omitempty"` // the gang is faster in one rack
	Speculative   bool          `json:"sp,omitempty"` // copies of a task may run concurrently
	LongRunning   bool          `json:"ls,omitempty"` // tasks run until the job is cancelled
}

// JobState is the state of a job. Only Table.setState changes it.
type JobState string

// The states of a job. The last three are terminal. The strings are stored.
const (
	Queued    JobState = "queued"    // no task has been started
	Running   JobState = "running"   // at least one task has been started
	Succeeded JobState = "succeeded" // all tasks are done
	Failed    JobState = "failed"    // a task has failed Queue.MaxAttempts times
	Cancelled JobState = "cancelled" // by its client
)

// IsTerminal reports whether a job in this state never leaves it.
func (s JobState) IsTerminal() bool { return s == Succeeded || s == Failed || s == Cancelled }

// TaskRef identifies a task.
type TaskRef struct {
	Job   string `json:"j"`
	Round int    `json:"k,omitempty"`
	Step  int    `json:"s,omitempty"`
	Index int    `json:"i,omitempty"`
}

// RunKey identifies one run of a task.
type RunKey struct {
	Task   TaskRef `json:"t"`
	Number int     `json:"n"`
}

// Handle is the durable record of a run that may be active. It is recorded before the run's start order is sent, and
// kept until the run's end is reported or the run is known to be dead. Until then the task is not started again.
type Handle struct {
	Number int    `json:"n"`
	Worker string `json:"w"` // worker ID
	Term   uint64 `json:"t"` // leader's term when it was recorded; the fencing token of the start order
}

// Task is one task of a round.
type Task struct {
	Done       bool     `json:"d,omitempty"`
	LastRun    int      `json:"r,omitempty"`  // number of the newest run; numbers ascend and are never reused
	Failures   int      `json:"f,omitempty"`  // number of failed runs; those of a gang are counted in its first member
	FailedRun  int      `json:"fr,omitempty"` // in a gang's first member: the newest run that was counted as failed
	Checkpoint string   `json:"k,omitempty"`  // newest checkpoint
	Handles    []Handle `json:"h,omitempty"`  // at most one
}

// Job is the record of a job.
type Job struct {
	Spec       Spec      `json:"spec"`   // without Payload, Steps and Location once Rounds is nil
	Digest     string    `json:"digest"` // of the submission; distinguishes a repetition from another job with this ID
	State      JobState  `json:"state"`
	Sequence   uint64    `json:"seq"` // position in the order of acceptance, from 1 on
	AcceptedAt time.Time `json:"at"`
	EndedAt    time.Time `json:"ended,omitzero"`

	// Rounds holds the tasks by round, step and index. It is nil once the job is retired: terminal and without handles.
	Rounds [][][]Task `json:"rounds,omitempty"`

	// LastQueue is the queue that served the job last, without its Document. It is nil while a queue of the
	// configuration serves the job, and once Rounds is nil.
	LastQueue *Queue `json:"last,omitempty"`

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
	Draining bool      `json:"draining,omitempty"` // once true it stays true
	Left     bool      `json:"left,omitempty"`     // the worker reported its shutdown; once true it stays true
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
	Host        string `json:"host"`               // clients address the queue by Host and Prefix
	Prefix      string `json:"prefix"`             // of the request path
	Service     string `json:"service"`            // the workers of this service run the queue's tasks
	Priority    int    `json:"priority,omitempty"` // 0 is the highest
	MaxAttempts int    `json:"attempts"`           // a job fails when a task has failed this many times

	// LatencyFactor and LatencyTarget are the latency objective of a job's round: LatencyFactor times the estimate of
	// its critical path, plus LatencyTarget. The objective of a long-running task is to start within LatencyTarget.
	LatencyFactor float64       `json:"stretch"`
	LatencyTarget time.Duration `json:"target"`

	Timeout  time.Duration   `json:"timeout"` // above 0
	Document json.RawMessage `json:"doc"`     // the item as the operator sent it
}

// Service is one service of the configuration: a kind of worker.
type Service struct {
	Name           string          `json:"name"`
	ChecksCapacity bool            `json:"guards,omitempty"` // its workers check capacity, the table does not
	Document       json.RawMessage `json:"doc"`              // the item as the operator sent it
}
