package scheduler

import (
	"cmp"
	"time"

	"crosstide/internal/jobs"
)

// run is what the leader knows of a run whose handle is in the table.
type run struct {
	key     jobs.RunKey
	worker  string
	ownTerm bool // recorded under this term
	sent    bool // its order may have left
	sentAt  time.Duration
	// accepted is the sequence at which its start was answered well; 0: not.
	accepted    uint64
	acceptedAt  time.Duration
	unconfirmed bool // its start got no answer
	// unconfirmedAt is the sequence at which that was known.
	unconfirmedAt uint64
	// missing: a hold call sent after that did not list it, so it is stopped, lest it start late.
	missing    bool
	listed     bool // the worker listed it as running
	checkpoint string
	percent    int
	// progressAt is when the progress was listed.
	progressAt time.Duration
	// advancedAt is when it was first listed, or last listed with more progress than before.
	advancedAt   time.Duration
	toStop       bool   // it is to be stopped
	cause        Cause  // why; empty: not stopped
	stopInFlight bool   // a stop order is under way
	stopped      uint64 // sequence at which a stop order was answered; 0: not
	retryAt      time.Duration
	ending       bool // its end waits to be committed
	gang         bool
	longRunning  bool
	estimate     time.Duration
	priority     int
	needs        jobs.Resources
}

// trackRun notes a handle of the table; nil if its worker or job is not known.
func (c *Core) trackRun(key jobs.RunKey, workerID string, mine bool) *run {
	if r := c.runs[key]; r != nil {
		return r
	}
	j := c.table.Jobs[key.Task.Job]
	if j == nil {
		return nil
	}
	r := &run{key: key, worker: workerID, ownTerm: mine, sent: !mine}
	if key.Task.Step < len(j.Spec.Steps) {
		step := &j.Spec.Steps[key.Task.Step]
		r.gang, r.longRunning, r.estimate, r.needs = step.Gang, step.LongRunning, step.Estimate, step.Needs
	}
	if q := c.table.Config.Queue(j.Spec.Queue); q != nil {
		r.priority = q.Priority
	}
	c.runs[key] = r
	w := c.trackWorker(workerID)
	w.runs[key] = r
	return r
}

// untrackRun forgets a run whose handle has left the table.
func (c *Core) untrackRun(r *run) {
	delete(c.runs, r.key)
	if w := c.workers[r.worker]; w != nil {
		delete(w.runs, r.key)
	}
}

// endRun puts a run's end into the next Progress.
func (c *Core) endRun(r *run, reason jobs.EndReason, checkpoint string) {
	if r.ending {
		return
	}
	r.ending = true
	c.placementDue = true
	c.discard(r, reason, checkpoint)
	c.pendingEnds = append(c.pendingEnds, jobs.End{Key: r.key, Worker: r.worker, Reason: reason, Checkpoint: cmp.Or(checkpoint, r.checkpoint)})
	switch reason {
	case jobs.EndDone:
		c.Counts.Done++
	case jobs.EndFailed:
		c.Counts.Failed++
		c.avoidWorker[r.key.Task] = r.worker
	case jobs.EndLost:
		c.Counts.Lost++
	}
	if r.gang {
		c.stopGang(r)
	}
}
