package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// Actions are the calls and the commit that a pass asks of the owner of the Core.
type Actions struct {
	Progress *jobs.Progress  // to be committed under its term, answered by Committed; nil: nothing to commit
	Starts   []StartAction   // each answered by StartAnswered
	Stops    []StopAction    // each answered by StopAnswered
	Renewals []RenewalAction // each answered by RenewalAnswered
	Next     time.Duration   // when the next pass is due at the latest
}

// StartAction is a start order to be sent to a worker.
type StartAction struct {
	Worker jobs.Worker
	Order  StartOrder
}

// StopAction is a stop order to be sent to a worker.
type StopAction struct {
	Worker jobs.Worker
	Order  StopOrder
}

// RenewalAction is a lease renewal to be sent to a worker. Two may be in flight to a worker at once; Number identifies
// the one that an answer belongs to.
type RenewalAction struct {
	Worker jobs.Worker
	Number uint64
	Call   LeaseRenewal
}
