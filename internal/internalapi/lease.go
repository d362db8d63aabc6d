// Package internalapi holds the calls between crosstide's processes and their answers, as pairs of types.
package internalapi

import (
	"encoding/json"
	"time"

	"crosstide/internal/rpc"
)

// RenewLease is the call of the holder of sched to a minion: POST /v1/hold at the minion's address.
//
// Two connections lead to a minion. One carries calls without starts, which the minion may keep waiting up to
// Wait until there is something to say. The other carries calls with starts, one at a time, in run ID order,
// answered at once. The arrival of any call ends the wait of an older one. An answer names its call; the holder
// drops an answer that is older than one it has already handled.
var RenewLease = rpc.Endpoint[LeaseCall, LeaseAnswer]{Path: "/v1/hold"}

// LeaseCall tells a minion what to start, stop and forget. All clock values are readings of the minion's own
// clock (LeaseAnswer.Clock), in nanoseconds.
type LeaseCall struct {
	Call        uint64        `json:"call"`            // goes up with every call to this minion under Epoch
	Epoch       uint64        `json:"epoch"`           // of the duty sched; a minion that has seen a newer one refuses all
	Worker      string        `json:"minion"`          // whom the holder believes it is talking to
	Incarnation string        `json:"boot,omitempty"`  // the boot the holder knows; starts are void under another
	RenewUntil  time.Duration `json:"until,omitempty"` // runs of Renew may go on until the minion's clock shows this
	Renew       []uint64      `json:"renew,omitempty"` // run IDs whose hold is renewed up to Until
	Starts      []StartOrder  `json:"starts,omitempty"`
	Stops       []StopOrder   `json:"stops,omitempty"`
	Acked       []uint64      `json:"acked,omitempty"` // ends that are durable: need not be listed any more
	Floor       uint64        `json:"floor,omitempty"` // run IDs at or below it that were not started are void
	Wait        time.Duration `json:"wait,omitempty"`  // how long the answer may wait for something to say
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
	StartBy    time.Duration     `json:"void"`  // not to be started once the minion's clock is past it
	LeaseUntil time.Duration     `json:"until"` // the first hold: not to run past it unless renewed
}

// StopOrder stops a run. It may be sent again.
type StopOrder struct {
	RunID uint64 `json:"ticket"`
	Why   string `json:"why"`
}

// LeaseAnswer lists all that runs and all ends not yet acknowledged.
type LeaseAnswer struct {
	Call        uint64            `json:"call"`
	Epoch       uint64            `json:"epoch"` // the newest the minion has seen
	Incarnation string            `json:"boot"`
	Clock       time.Duration     `json:"clock"` // the minion's own clock, counting suspension; starts anew with a boot
	Seen        uint64            `json:"seen"`  // the highest run ID that came in an order
	Floor       uint64            `json:"floor"` // the highest floor it received
	Running     []uint64          `json:"running,omitempty"`
	Ended       []RunEnd          `json:"ended,omitempty"`
	Refused     []StartRefusal    `json:"refused,omitempty"` // of the starts of this very call
	Kind        string            `json:"kind"`              // obey or check
	Zone        string            `json:"zone"`
	Rack        string            `json:"rack,omitempty"`
	Labels      map[string]string `json:"labels,omitempty"`
	Cores       int               `json:"cores"`
	GPUs        int               `json:"gpus,omitempty"`
	Draining    bool              `json:"draining,omitempty"`
}

// Outcome a run ended.
const (
	OutcomeOK           = "ok"
	OutcomeFailed       = "fault"
	OutcomeStopped      = "stop"  // stopped on an order
	OutcomeLeaseExpired = "lapse" // its hold lapsed
)

// RunEnd is the end of a run; it is listed until it is acknowledged.
type RunEnd struct {
	RunID   uint64 `json:"ticket"`
	Outcome string `json:"how"`
	Reason  string `json:"reason,omitempty"`
}

// StartRefusal says why a start of this call was refused; a refused run ID will never run.
type StartRefusal struct {
	RunID uint64 `json:"ticket"`
	Why   string `json:"why"` // epoch, boot, run ID, floor, late, room, label, drain
}

// AnnounceWorker is a minion's announcement to any dplane: POST /v1/minions. It is repeated every few seconds.
var AnnounceWorker = rpc.Endpoint[AnnounceWorkerCall, AnnounceWorkerAnswer]{Path: "/v1/minions"}

// AnnounceWorkerCall says where a minion is and what it is.
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

// AnnounceWorkerAnswer reports how long to wait before announcing again.
type AnnounceWorkerAnswer struct {
	Interval time.Duration `json:"again"`
}
