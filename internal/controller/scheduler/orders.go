package scheduler

import (
	"context"
	"time"

	"crosstide/internal/jobs"
)

// StartOrder tells a worker to start one run.
type StartOrder struct {
	Key           jobs.RunKey
	Payload       string
	Needs         jobs.Resources // what the run takes of the worker
	LeaseDeadline time.Duration  `json:"Deadline"` // the lease of everything on the worker, on the worker's clock
	Token         uint64         // fencing token: the term of the leader
	Checkpoint    string         // progress to go on from; empty: from the beginning
}

// StopOrder tells a worker to stop one run, and never to start it later.
type StopOrder struct {
	Key   jobs.RunKey
	Token uint64
}

// LeaseRenewal renews a worker's lease and asks what runs and what has ended.
type LeaseRenewal struct {
	Token            uint64
	AcknowledgedUpTo uint64        // ends numbered up to it are durable here
	LeaseDeadline    time.Duration // the new lease, on the worker's clock; 0: none
	Wait             time.Duration // how long the answer may be held until an end comes
}

// Refusal says why a worker did not take a start; empty: it took it.
type Refusal string

// The refusals of a worker. In each case the run has not started and this order never starts it.
const (
	RefusedFenced    Refusal = "fence"     // the worker has seen a higher token
	RefusedStale     Refusal = "old"       // the run is not above one that was stopped or ended there
	RefusedExpired   Refusal = "late"      // the deadline is over
	RefusedCapacity  Refusal = "room"      // it does not fit
	RefusedInvalid   Refusal = "invalid"   // the order cannot be read
	RefusedUnhealthy Refusal = "unhealthy" // the worker takes nothing now
)

// StartAnswer is a worker's answer to a start.
type StartAnswer struct {
	Clock   time.Duration // the worker's clock; 0 if not told
	Refusal Refusal
}

// ListedRun is one run that a worker lists as running.
type ListedRun struct {
	Key        jobs.RunKey
	Checkpoint string
	Percent    int
}

// EndedRun is one end that a worker lists until it is acknowledged.
type EndedRun struct {
	Sequence   uint64 // from 1, rising, within one life of the worker
	Key        jobs.RunKey
	Reason     jobs.EndReason `json:"How"`
	Checkpoint string
}

// RenewalAnswer is a worker's answer to a hold call.
type RenewalAnswer struct {
	Clock   time.Duration
	Running []ListedRun
	Ended   []EndedRun
	Full    bool // more ends wait than an answer holds: what is not listed may have ended
}

// Workers carries orders to workers. Failures: errs.Unknown: another life answers at the address, the worker is gone
// for good; errs.Unavailable with rpc.Unsent: nothing left; any other: the call may or may not be carried out, now
// or later.
type Workers interface {
	Start(ctx context.Context, worker jobs.Worker, order StartOrder) (StartAnswer, error)
	Stop(ctx context.Context, worker jobs.Worker, order StopOrder) error
	RenewLease(ctx context.Context, worker jobs.Worker, call LeaseRenewal) (RenewalAnswer, error)
}
