// Package workerapi is the protocol between the leader of the store and a worker, as JSON over HTTP/1.1. It has three
// calls: start a run, stop a run, and renew the worker's lease. The leader uses a Client; a worker serves the
// endpoints. The package makes no decisions and does not retry.
//
// A worker is one incarnation of a process, with an ID that is never reused. Durations are integers in nanoseconds.
// Deadlines are times of the worker's own clock, so clocks of different machines are never compared. Every call has the
// leader's fencing token: a worker refuses a call whose token is lower than one that it has seen.
//
// Entry points: the endpoints at the end of workerapi.go, then Client.
package workerapi

import (
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// Run identifies one run of a task: round, step and index count from 0, number from 1.
type Run struct {
	Job    string `json:"job"`
	Round  int    `json:"round"`
	Step   int    `json:"step"`
	Index  int    `json:"index"`
	Number int    `json:"number"`
}

// RunOf returns the JSON form of a run's key.
func RunOf(key jobs.RunKey) Run {
	return Run{Job: key.Task.Job, Round: key.Task.Round, Step: key.Task.Step, Index: key.Task.Index, Number: key.Number}
}

// Key returns the run's key in the job table.
func (r Run) Key() jobs.RunKey {
	return jobs.RunKey{Task: jobs.TaskRef{Job: r.Job, Round: r.Round, Step: r.Step, Index: r.Index}, Number: r.Number}
}

// StartCall orders a worker to start one run.
type StartCall struct {
	Worker     string        `json:"worker"`
	Run        Run           `json:"run"`
	Needs      Needs         `json:"needs"`
	Payload    string        `json:"payload,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"` // saved progress to resume from
	Deadline   time.Duration `json:"deadline"`             // new end of the worker's lease, which covers all its runs
	Token      uint64        `json:"token"`                // fencing token: the leader's term
}

// Needs are the resources that a run requires.
type Needs struct {
	MilliCPU int `json:"milli_cpu,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	GPUs     int `json:"gpus,omitempty"`
}

// needsOf returns the JSON form of needs.
func needsOf(needs jobs.Resources) Needs {
	return Needs{MilliCPU: needs.MilliCPU, MemoryMB: needs.MemoryMB, GPUs: needs.GPUs}
}

// Resources returns the needs in the job table's form.
func (n Needs) Resources() jobs.Resources {
	return jobs.Resources{MilliCPU: n.MilliCPU, MemoryMB: n.MemoryMB, GPUs: n.GPUs}
}

// StartAnswer acknowledges a start, or refuses it for the reason in Refused. The worker never starts the run of a
// refused order later.
type StartAnswer struct {
	Worker  string            `json:"worker"`
	Clock   time.Duration     `json:"clock"` // of the worker
	Refused scheduler.Refusal `json:"refused,omitempty"`
}

// StopCall orders a worker to end one run, and not to start it later.
type StopCall struct {
	Worker string `json:"worker"`
	Run    Run    `json:"run"`
	Token  uint64 `json:"token"`
}

// StopAnswer acknowledges a stop. The run is listed as ended once it has ended.
type StopAnswer struct {
	Worker string `json:"worker"`
}

// RenewLeaseCall renews a worker's lease and asks for the lists of its running and ended runs.
type RenewLeaseCall struct {
	Worker           string        `json:"worker"`
	Token            uint64        `json:"token"`
	AcknowledgedUpTo uint64        `json:"seen"`               // the worker may drop ended runs up to this Sequence
	Deadline         time.Duration `json:"deadline,omitempty"` // new end of the lease; 0: not renewed
	Wait             time.Duration `json:"wait,omitempty"`     // how long the answer may be delayed until a run ends
}

// RunningRun is a run that has not ended.
type RunningRun struct {
	Run        Run    `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Percent    int    `json:"percent,omitempty"`
}

// EndedRun is a run that has ended. It is listed until a lease renewal acknowledges it.
type EndedRun struct {
	Sequence   uint64         `json:"sequence"` // from 1, increasing within the worker's incarnation
	Run        Run            `json:"run"`
	EndReason  jobs.EndReason `json:"how"` // done, failed, stopped, lapsed, broken or alone
	Checkpoint string         `json:"checkpoint,omitempty"`
}

// RenewLeaseAnswer lists all running runs of a worker, and the ended ones that are not acknowledged yet, oldest first.
// More is set if further ended runs are omitted: then a run that is not listed may have ended.
type RenewLeaseAnswer struct {
	Worker  string        `json:"worker"`
	Clock   time.Duration `json:"clock"`
	Running []RunningRun  `json:"running"`
	Ended   []EndedRun    `json:"ended"`
	More    bool          `json:"more,omitempty"`
}

// The calls that a worker answers. Their errors are, by kind:
//
//   - errs.Unknown: another incarnation answers, the named one no longer exists;
//   - errs.Stale: the worker has seen a higher token; nothing was done;
//   - errs.Malformed: the call cannot be parsed; nothing was done.
var (
	StartEndpoint      = rpc.Endpoint[StartCall, StartAnswer]{Path: "/v2/start"}
	StopEndpoint       = rpc.Endpoint[StopCall, StopAnswer]{Path: "/v2/stop"}
	RenewLeaseEndpoint = rpc.Endpoint[RenewLeaseCall, RenewLeaseAnswer]{Path: "/v2/hold"}
)
