package scheduler

import (
	"context"
	"time"

	"crosstide/internal/jobs"
)

// StartOrder is the order to start one run. It is marshalled in the answers to heartbeats: a renamed field keeps the
// old name in its tag.
type StartOrder struct {
	Key     jobs.RunKey    `json:"Key"`
	Payload string         `json:"Payload"`
	Needs   jobs.Resources `json:"Needs"` // resources of the worker that the run uses
	// LeaseDeadline is when the lease of all runs on the worker expires, on the worker's clock.
	LeaseDeadline time.Duration `json:"Deadline"`
	Token         uint64        `json:"Token"`      // fencing token: the term of the leader
	Checkpoint    string        `json:"Checkpoint"` // checkpoint to resume from; empty: start from the beginning
}

// StopOrder is the order to stop one run. The worker must not start the run afterwards.
type StopOrder struct {
	Key   jobs.RunKey
	Token uint64 // fencing token
}

// LeaseRenewal renews a worker's lease, acknowledges ends, and requests the lists of running and ended runs.
type LeaseRenewal struct {
	Token            uint64        // fencing token
	AcknowledgedUpTo uint64        // the worker may forget the ends up to this number: they are committed
	LeaseDeadline    time.Duration // end of the new lease, on the worker's clock; 0: no lease is granted
	Wait             time.Duration // how long the worker may hold the answer until a run ends
}

// Refusal is why a worker refused a start order; empty if it accepted the order. The values are part of the wire
// format.
type Refusal string

// The refusals of a worker. In each case the run has not started and the refused order never starts it.
const (
	RefusedFenced    Refusal = "fence"     // the worker has seen a higher token
	RefusedStale     Refusal = "old"       // a run of its task with this number or a higher one has ended
	RefusedExpired   Refusal = "late"      // the lease deadline of the order has passed
	RefusedCapacity  Refusal = "room"      // the run's needs exceed the free capacity of the worker
	RefusedInvalid   Refusal = "invalid"   // the order can't be decoded
	RefusedUnhealthy Refusal = "unhealthy" // the worker currently accepts no starts
)

// StartAnswer is a worker's answer to a start order.
type StartAnswer struct {
	Clock   time.Duration // the worker's clock; 0: unknown
	Refusal Refusal
}

// ListedRun is a run that a worker lists as running.
type ListedRun struct {
	Key        jobs.RunKey `json:"Key"`
	Checkpoint string      `json:"Checkpoint"` // newest checkpoint; empty: none
	Percent    int         `json:"Percent"`    // progress
}

// EndedRun is an end that a worker lists until it is acknowledged.
type EndedRun struct {
	Sequence   uint64         `json:"Sequence"` // increases from 1 within one incarnation of the worker
	Key        jobs.RunKey    `json:"Key"`
	Reason     jobs.EndReason `json:"How"`
	Checkpoint string         `json:"Checkpoint"`
}

// RenewalAnswer is a worker's answer to a lease renewal. It is marshalled in heartbeats, with ListedRun and EndedRun: a
// renamed field keeps the old name in its tag.
type RenewalAnswer struct {
	Clock   time.Duration `json:"Clock"` // the worker's clock
	Running []ListedRun   `json:"Running"`
	Ended   []EndedRun    `json:"Ended"` // oldest first
	// Full is set if an answer can't hold all unacknowledged ends: a run that isn't listed may have ended.
	Truncated bool `json:"Full"`
}

// Workers sends calls to workers. Each call returns when the worker has answered or its context is done. Calls may be
// concurrent. A call returns one of these errors:
//
//   - an error of kind errs.Unknown: another incarnation answers at the address, the worker is gone for good;
//   - an error for which rpc.IsUnsent holds: no byte of the call was sent;
//   - any other error: the worker may carry out the call, now or later.
type Workers interface {
	// Start delivers a start order.
	Start(ctx context.Context, worker jobs.Worker, order StartOrder) (StartAnswer, error)
	// Stop delivers a stop order.
	Stop(ctx context.Context, worker jobs.Worker, order StopOrder) error
	// RenewLease renews the lease of all runs on a worker. The answer may take LeaseRenewal.Wait.
	RenewLease(ctx context.Context, worker jobs.Worker, call LeaseRenewal) (RenewalAnswer, error)
}
