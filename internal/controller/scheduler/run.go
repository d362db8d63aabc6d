package scheduler

import (
	"cmp"
	"time"

	"crosstide/internal/jobs"
)

// run is the record of a run whose handle is in the table. It exists as long as the handle.
type run struct {
	key     jobs.RunKey
	worker  string // ID
	ownTerm bool   // its handle was recorded under this term

	// Copied from the job when the run was first seen.
	gang        bool
	longRunning bool
	estimate    time.Duration
	needs       jobs.Resources
	priority    int // priority of its queue; lower is more urgent

	backfilled  bool      // it uses capacity that was set aside, see backfill.go
	latestStart time.Time // of a backfilled run: that of its unit

	start    startState
	progress runProgress
	stop     stopState
	ending   bool // its end was recorded and isn't committed yet
}

// runProgress is the progress of a run as its worker lists it. Owned by reconcile.go.
type runProgress struct {
	listed     bool // the worker has listed it as running
	checkpoint string
	percent    int
	listedAt   time.Duration // when the worker last listed it as running
	advancedAt time.Duration // when its start was accepted or it was first listed, or when percent last increased
}

// trackRun returns the record of the run with a handle in the table, which it creates if it is missing. It returns nil
// if the table doesn't have the job.
func (c *Core) trackRun(key jobs.RunKey, workerID string, ownTerm bool) *run {
	if r := c.runs[key]; r != nil {
		return r
	}
	j := c.table.Jobs[key.Task.Job]
	if j == nil {
		return nil
	}
	// An earlier leader may have sent the order.
	r := &run{key: key, worker: workerID, ownTerm: ownTerm, start: startState{sent: !ownTerm}}
	if key.Task.Step < len(j.Spec.Steps) {
		step := &j.Spec.Steps[key.Task.Step]
		r.gang, r.longRunning, r.estimate, r.needs = step.Gang, step.LongRunning, step.Estimate, step.Needs
	}
	if queue := c.table.QueueOf(j); queue != nil {
		r.priority = queue.Priority
	}
	c.runs[key] = r
	c.trackWorker(workerID).runs[key] = r
	return r
}

// untrackRun drops the record of a run whose handle has left the table.
func (c *Core) untrackRun(r *run) {
	delete(c.runs, r.key)
	if w := c.workers[r.worker]; w != nil {
		delete(w.runs, r.key)
	}
}

// endRun adds a run's end to the next proposal. Only the first end of a run counts.
func (c *Core) endRun(r *run, reason jobs.EndReason, checkpoint string) {
	if r.ending {
		return
	}
	r.ending = true
	c.placementDue = true
	c.countDiscarded(r, reason, checkpoint)
	c.pendingEnds = append(c.pendingEnds, jobs.End{
		Key: r.key, Worker: r.worker, Reason: reason, Checkpoint: cmp.Or(checkpoint, r.progress.checkpoint),
	})
	switch reason {
	case jobs.EndDone:
		c.Counts.Done++
	case jobs.EndFailed:
		c.Counts.Failed++
		c.history.avoid[r.key.Task] = r.worker
	case jobs.EndLost:
		c.Counts.Lost++
	}
	if r.gang {
		c.stopGang(r)
	}
}

// endUndeliveredRun ends a run as lost if its start order will certainly never be carried out. r may be nil.
func (c *Core) endUndeliveredRun(r *run) {
	if r != nil && r.start.sent && !r.progress.listed {
		c.endRun(r, jobs.EndLost, "")
	}
}
