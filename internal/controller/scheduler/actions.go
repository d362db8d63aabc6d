package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// Actions is what a pass wants done.
type Actions struct {
	Progress *jobs.Progress  // to be committed under its term; answered by Committed
	Starts   []StartAction   // each answered by StartAnswered
	Stops    []StopAction    // each answered by StopAnswered
	Renewals []RenewalAction // each answered by RenewalAnswered
	Next     time.Duration   // when the next pass is due at the latest
}

// StartAction is a start order to be sent.
type StartAction struct {
	Worker jobs.Worker
	Order  StartOrder
}

// StopAction is a stop order to be sent.
type StopAction struct {
	Worker jobs.Worker
	Order  StopOrder
}

// RenewalAction is a hold call to be sent. Number tells it from others to the same worker.
type RenewalAction struct {
	Worker jobs.Worker
	Number uint64
	Call   LeaseRenewal
}

// Counts are what a Core counted since it was made.
type Counts struct {
	Started, Done, Failed, Lost, Expired, Refused, Unconfirmed, Stopped, Preempted, Moved uint64
}
