package scheduler

import (
	"context"
	"time"

	"crosstide/internal/jobs"
)

// StartOrder is the order to start one run. It is marshalled in the answers to heartbeats: a field that is renamed
// keeps the name in its tag.
type StartOrder struct {
	Key     jobs.RunKey    `json:"Key"`
	Payload string         `json:"Payload"`
	Needs   jobs.Resources `json:"Needs"` // what the run takes of the worker's capacity
	// LeaseDeadline is when the lease of all runs on the worker expires, on the worker's clock.
	LeaseDeadline time.Duration `json:"Deadline"`
	Token         uint64        `json:"Token"`      // fencing token: the term of the leader
	Checkpoint    string        `json:"Checkpoint"` // to resume from; empty: start from the beginning
}

// StopOrder is the order to stop one run, and never to start it later.
type StopOrder struct {
	Key   jobs.RunKey
	Token uint64 // fencing token
}

// LeaseRenewal renews a worker's lease, acknowledges ends, and asks for the lists of running and ended runs.
type LeaseRenewal struct {
	Token            uint64        // fencing token
	AcknowledgedUpTo uint64        // the worker may forget the ends numbered up to it: they are committed
	LeaseDeadline    time.Duration // end of the new lease, on the worker's clock; 0: none is granted
	Wait             time.Duration // how long the worker may hold the answer until a run ends
}

// Refusal is the reason for which a worker refused a start; empty if it accepted it. The values are part of the wire
// format.
type Refusal string

// The refusals of a worker. In each case the run has not started and this order never starts it.
const (
	RefusedFenced    Refusal = "fence"     // the worker has seen a higher token
	RefusedStale     Refusal = "old"       // a run of its task with this number or a higher one has ended
	RefusedExpired   Refusal = "late"      // the lease deadline of the order has passed
	RefusedCapacity  Refusal = "room"      // the run's needs exceed what is free on the worker
	RefusedInvalid   Refusal = "invalid"   // the order can't be read
	RefusedUnhealthy Refusal = "unhealthy" // the worker accepts nothing now
)

// StartAnswer is a worker's answer to a start order.
type StartAnswer struct {
	Clock   time.Duration // the worker's clock; 0: unknown
	Refusal Refusal
}

// ListedRun is a run that a worker lists as running.
type ListedRun struct {
	Key        jobs.RunKey `json:"Key"`
	Checkpoint string      `json:"Checkpoint"` // the newest one; empty: none
	Percent    int         `json:"Percent"`    // its progress
}

// EndedRun is an end that a worker lists until it is acknowledged.
type EndedRun struct {
	Sequence   uint64         `json:"Sequence"` // from 1, rising, within one incarnation of the worker
	Key        jobs.RunKey    `json:"Key"`
	Reason     jobs.EndReason `json:"How"`
	Checkpoint string         `json:"Checkpoint"`
}

// RenewalAnswer is a worker's answer to a lease renewal. It is marshalled in heartbeats, with the runs in it: a field
// that is renamed keeps the name in its tag.
type RenewalAnswer struct {
	Clock   time.Duration `json:"Clock"` // the worker's clock
	Running []ListedRun   `json:"Running"`
	Ended   []EndedRun    `json:"Ended"` // oldest first
	// Full is set if more ends are unacknowledged than an answer holds: a run that isn't listed may have ended.
	Full bool `json:"Full"`
}

// Workers sends calls to workers. Each call returns when the worker has answered or its context is done; calls may be
// concurrent. Their errors are:
//
//   - of kind errs.Unknown: another incarnation answers at the address, the worker is gone for good;
//   - one for which rpc.IsUnsent holds: nothing left this node;
//   - any other: the call may be carried out, now or later.
type Workers interface {
	// Start delivers a start order.
	Start(ctx context.Context, worker jobs.Worker, order StartOrder) (StartAnswer, error)
	// Stop delivers a stop order.
	Stop(ctx context.Context, worker jobs.Worker, order StopOrder) error
	// RenewLease renews the lease of all runs on a worker. The answer may take LeaseRenewal.Wait.
	RenewLease(ctx context.Context, worker jobs.Worker, call LeaseRenewal) (RenewalAnswer, error)
}
