package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// Actions are the calls and the commit that the owner of the Core must carry out after a pass.
type Actions struct {
	Progress *jobs.Progress  // to be committed under its term, then reported by Committed; nil: nothing to commit
	Starts   []StartAction   // the outcome of each is reported by StartAnswered
	Stops    []StopAction    // the outcome of each is reported by StopAnswered
	Renewals []RenewalAction // the outcome of each is reported by RenewalAnswered
	Next     time.Duration   // latest time of the next pass
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

// RenewalAction is a lease renewal to be sent to a worker. Two may be in flight to a worker at once; Number matches an
// answer to its renewal.
type RenewalAction struct {
	Worker jobs.Worker
	Number uint64
	Call   LeaseRenewal
}
