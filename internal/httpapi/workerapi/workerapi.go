// Package workerapi is the contract between the leader of the store and a worker, in the product's own wire format:
// three calls, to start a run, to stop one, and to renew the worker's lease, as JSON over HTTP/1.1. The leader calls by
// a Client; a worker answers the endpoints. The package decides nothing and retries nothing.
//
// A worker is one incarnation of a process, under an ID that is never used again. Durations are whole nanoseconds;
// deadlines are readings of the worker's own clock, so that no two clocks are compared. Every call has the leader's
// fencing token: a worker refuses one with a lower token than it has seen.
//
// Begin with the endpoints at the end of workerapi.go, then Client.
package workerapi

import (
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// Run names one run of a task: round, step and index count from 0, number from 1.
type Run struct {
	Job    string `json:"job"`
	Round  int    `json:"round"`
	Step   int    `json:"step"`
	Index  int    `json:"index"`
	Number int    `json:"number"`
}

// RunOf returns the wire form of a run's key.
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
	Checkpoint string        `json:"checkpoint,omitempty"` // saved progress to go on from
	Deadline   time.Duration `json:"deadline"`             // new end of the lease of all that runs on the worker
	Token      uint64        `json:"token"`                // fencing token: the leader's term
}

// Needs are the resources that a run takes on a worker.
type Needs struct {
	MilliCPU int `json:"milli_cpu,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	GPUs     int `json:"gpus,omitempty"`
}

// needsOf returns the wire form of needs.
func needsOf(needs jobs.Resources) Needs {
	return Needs{MilliCPU: needs.MilliCPU, MemoryMB: needs.MemoryMB, GPUs: needs.GPUs}
}

// Resources returns needs as the job table has them.
func (n Needs) Resources() jobs.Resources {
	return jobs.Resources{MilliCPU: n.MilliCPU, MemoryMB: n.MemoryMB, GPUs: n.GPUs}
}

// StartAnswer acknowledges a start, or refuses it for the reason in Refused. A refused order never starts its run
// later.
type StartAnswer struct {
	Worker  string            `json:"worker"`
	Clock   time.Duration     `json:"clock"` // the worker's own
	Refused scheduler.Refusal `json:"refused,omitempty"`
}

// StopCall orders a worker to end one run, and never to start it later.
type StopCall struct {
	Worker string `json:"worker"`
	Run    Run    `json:"run"`
	Token  uint64 `json:"token"`
}

// StopAnswer acknowledges a stop. The run's end is listed once it is over.
type StopAnswer struct {
	Worker string `json:"worker"`
}

// RenewLeaseCall renews a worker's lease and asks for the lists of its running and ended runs.
type RenewLeaseCall struct {
	Worker           string        `json:"worker"`
	Token            uint64        `json:"token"`
	AcknowledgedUpTo uint64        `json:"seen"`               // the worker may forget ends numbered up to it
	Deadline         time.Duration `json:"deadline,omitempty"` // new end of the lease; 0: none
	Wait             time.Duration `json:"wait,omitempty"`     // how long the answer may be delayed until a run ends
}

// RunningRun is a run that is not over.
type RunningRun struct {
	Run        Run    `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Percent    int    `json:"percent,omitempty"`
}

// EndedRun is a run that is over. It is listed until a lease renewal acknowledges it.
type EndedRun struct {
	Sequence   uint64         `json:"sequence"` // from 1, rising within the worker's incarnation
	Run        Run            `json:"run"`
	EndReason  jobs.EndReason `json:"how"` // done, failed, stopped, lapsed, broken or alone
	Checkpoint string         `json:"checkpoint,omitempty"`
}

// RenewLeaseAnswer lists all runs on a worker and the ends that are not acknowledged yet, oldest first. More is set if
// there are further ends: then a run that is not listed may be over.
type RenewLeaseAnswer struct {
	Worker  string        `json:"worker"`
	Clock   time.Duration `json:"clock"`
	Running []RunningRun  `json:"running"`
	Ended   []EndedRun    `json:"ended"`
	More    bool          `json:"more,omitempty"`
}

// The calls that a worker answers. Their errors are, by kind:
//
//   - errs.Unknown: another incarnation answers, the named one is gone for good;
//   - errs.Stale: the worker has seen a higher token; nothing was done;
//   - errs.Malformed: the call cannot be read; nothing was done.
var (
	StartEndpoint      = rpc.Endpoint[StartCall, StartAnswer]{Path: "/v2/start"}
	StopEndpoint       = rpc.Endpoint[StopCall, StopAnswer]{Path: "/v2/stop"}
	RenewLeaseEndpoint = rpc.Endpoint[RenewLeaseCall, RenewLeaseAnswer]{Path: "/v2/hold"}
)
