package internalapi

import (
	"encoding/json"
	"time"

	"crosstide/internal/rpc"
)

// RenewLease is the scheduler's call to a worker: POST /v1/hold at the worker's address. The scheduler is the node that
// has the role sched.
//
// The scheduler uses two connections to a worker. One carries polls: calls without starts, whose answers the worker may
// delay by up to Wait until it has something to report. The other carries orders: calls with starts, one at a time, in
// the order of run IDs, which the worker answers at once. The arrival of any call ends the wait of an older one. An
// answer names its call; the scheduler drops an answer that is older than one it has already handled.
var RenewLease = rpc.Endpoint[LeaseCall, LeaseAnswer]{Path: "/v1/hold"}

// LeaseCall orders starts and stops, acknowledges ends, and renews leases. All clock values are readings of the
// worker's own clock (LeaseAnswer.Clock), in nanoseconds.
type LeaseCall struct {
	Call        uint64        `json:"call"`            // increases with every call to this worker under Epoch
	Epoch       uint64        `json:"epoch"`           // fencing token: a worker refuses calls with an older one
	Worker      string        `json:"minion"`          // the worker that the scheduler means to call
	Incarnation string        `json:"boot,omitempty"`  // as known to the scheduler; starts are invalid under another
	RenewUntil  time.Duration `json:"until,omitempty"` // runs in Renew may continue until the worker's clock reads this
	Renew       []uint64      `json:"renew,omitempty"` // run IDs whose leases are renewed up to RenewUntil
	Starts      []StartOrder  `json:"starts,omitempty"`
	Stops       []StopOrder   `json:"stops,omitempty"`
	Acked       []uint64      `json:"acked,omitempty"` // ends that are durable: the worker may forget them
	Floor       uint64        `json:"floor,omitempty"` // run IDs at or below it that were not started are invalid
	Wait        time.Duration `json:"wait,omitempty"`  // how long the answer may be delayed
}

// StartOrder starts one run. It is never sent twice.
type StartOrder struct {
	RunID      uint64            `json:"ticket"`
	Job        string            `json:"job"`
	Step       string            `json:"step"`
	Task       int               `json:"task"`
	Type       string            `json:"type"`
	Queue      string            `json:"queue"`
	Cores      int               `json:"cores"`
	GPUs       int               `json:"gpus,omitempty"`
	Labels     map[string]string `json:"labels,omitempty"`
	Run        json.RawMessage   `json:"run,omitempty"`
	StartBy    time.Duration     `json:"void"`  // must not start once the worker's clock is past it
	LeaseUntil time.Duration     `json:"until"` // end of the first lease: must not run past it unless renewed
}

// StopOrder stops a run. It may be sent repeatedly.
type StopOrder struct {
	RunID uint64 `json:"ticket"`
	Why   string `json:"why"`
}

// LeaseAnswer lists all runs of a worker and all ends not yet acknowledged.
type LeaseAnswer struct {
	Call        uint64            `json:"call"`
	Epoch       uint64            `json:"epoch"` // the newest that the worker has seen
	Incarnation string            `json:"boot"`
	Clock       time.Duration     `json:"clock"` // the worker's, in this incarnation; includes suspended time
	Seen        uint64            `json:"seen"`  // the highest run ID that the worker received in an order
	Floor       uint64            `json:"floor"` // the highest floor that it received
	Running     []uint64          `json:"running,omitempty"`
	Ended       []RunEnd          `json:"ended,omitempty"`
	Refused     []StartRefusal    `json:"refused,omitempty"` // starts of the answered call that it refused
	Kind        string            `json:"kind"`              // obey (carries out any start) or check (checks it first)
	Zone        string            `json:"zone"`
	Rack        string            `json:"rack,omitempty"`
	Labels      map[string]string `json:"labels,omitempty"`
	Cores       int               `json:"cores"`
	GPUs        int               `json:"gpus,omitempty"`
	Draining    bool              `json:"draining,omitempty"`
}

// Outcomes of runs.
const (
	OutcomeOK           = "ok"
	OutcomeFailed       = "fault"
	OutcomeStopped      = "stop"  // by a StopOrder
	OutcomeLeaseExpired = "lapse" // the lease was not renewed in time
)

// RunEnd is the end of a run. The worker lists it until the scheduler has acknowledged it.
type RunEnd struct {
	RunID   uint64 `json:"ticket"`
	Outcome string `json:"how"`
	Reason  string `json:"reason,omitempty"`
}

// StartRefusal is a start of the answered call that the worker refused. The worker must never run it later.
type StartRefusal struct {
	RunID uint64 `json:"ticket"`
	Why   string `json:"why"` // epoch, boot, run ID, floor, late, room, label, drain
}

// AnnounceWorker is a worker's announcement to any data-plane node, repeated every few seconds: POST /v1/minions.
var AnnounceWorker = rpc.Endpoint[AnnounceWorkerCall, AnnounceWorkerAnswer]{Path: "/v1/minions"}

// AnnounceWorkerCall describes a worker: its address, location, labels and capacity.
type AnnounceWorkerCall struct {
	Name        string            `json:"name"`
	Addr        string            `json:"addr"`
	Incarnation string            `json:"boot"`
	Kind        string            `json:"kind"`
	Zone        string            `json:"zone"`
	Rack        string            `json:"rack,omitempty"`
	Labels      map[string]string `json:"labels,omitempty"`
	Cores       int               `json:"cores"`
	GPUs        int               `json:"gpus,omitempty"`
}

// AnnounceWorkerAnswer holds the interval until the next announcement.
type AnnounceWorkerAnswer struct {
	Interval time.Duration `json:"again"`
}
