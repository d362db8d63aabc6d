package scheduler

import (
	"cmp"
	"slices"
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

func sortedRuns(runs map[jobs.RunKey]*run) []jobs.RunKey {
	keys := make([]jobs.RunKey, 0, len(runs))
	for key := range runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, jobs.RunKey.Compare)
	return keys
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
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

// stopGang stops the other members of a run that has ended: they can do nothing alone.
func (c *Core) stopGang(ended *run) {
	j := c.table.Jobs[ended.key.Task.Job]
	if j == nil || j.Rounds == nil {
		return
	}
	key := ended.key
	for i := range j.Rounds[key.Task.Round][key.Task.Step] {
		key.Task.Index = i
		if r := c.runs[key]; r != nil && !r.ending {
			c.requestStop(r, CauseGang)
		}
	}
}

// queueStop puts a run that is to be stopped on the list that sendStops goes through. The sweep adds those that were
// marked in another way.
func (c *Core) queueStop(r *run) { c.runsToStop[r.key] = r }

// needsStop tells whether a stop order is wanted for the run and was not answered yet.
func (r *run) needsStop() bool {
	return (r.toStop || r.missing && !r.listed) && !r.ending && r.stopped == 0
}

// sendStops gives the stop orders that are due. It looks only at the runs and workers on its lists: most runs are never
// stopped, and there is a pass for each answer of a worker.
func (c *Core) sendStops(out *Actions) {
	for _, key := range sortedRuns(c.runsToStop) {
		r := c.runsToStop[key]
		w := c.workers[r.worker]
		if c.runs[key] != r || w == nil || !r.needsStop() {
			delete(c.runsToStop, key)
			continue
		}
		rec := w.record()
		if rec == nil || !r.sent || r.stopInFlight || c.now < r.retryAt || !w.canOrder(c) {
			continue
		}
		r.stopInFlight = true
		c.orderSent(w)
		out.Stops = append(out.Stops, StopAction{Worker: *rec, Order: StopOrder{Key: key, Token: c.term}})
		c.Counts.Stopped++
	}
	for _, id := range sortedKeys(c.workersWithOrphans) {
		if w := c.workers[id]; w == nil || len(w.orphans) == 0 {
			delete(c.workersWithOrphans, id)
		} else {
			c.stopOrphans(w, out)
		}
	}
}

// stopOrphans gives the stop orders for runs on a worker that the table does not have.
func (c *Core) stopOrphans(w *worker, out *Actions) {
	rec := w.record()
	if rec == nil {
		return
	}
	for _, key := range w.orphanKeys() {
		if s := w.orphans[key]; !s.stopInFlight && c.now >= s.retryAt && w.canOrder(c) {
			s.stopInFlight = true
			c.orderSent(w)
			out.Stops = append(out.Stops, StopAction{Worker: *rec, Order: StopOrder{Key: key, Token: c.term}})
		}
	}
}

// StartAnswered takes in the answer to a start order.
func (c *Core) StartAnswered(now time.Duration, workerID string, key jobs.RunKey, answer StartAnswer, err StartError) {
	c.now = now
	w, r := c.workers[workerID], c.runs[key]
	if c.term == 0 || w == nil {
		return
	}
	c.orderDone(w)
	c.sequence++
	switch err {
	case StartNoConnection:
		c.connBackoff.failed(c.cfg, now)
		if r != nil && r.sent && !r.listed {
			c.endRun(r, jobs.EndLost, "")
		}
		return
	case StartOtherIncarnation:
		c.endReplacedWorker(w)
		return
	case StartUnsent:
		c.markUnanswered(w, now)
		w.markFailed(c, now)
		if r != nil && r.sent && !r.listed {
			c.endRun(r, jobs.EndLost, "")
		}
		return
	case StartUnknown:
		c.markUnanswered(w, now)
		w.suspect, w.probeDue = true, true
		if r != nil && !r.listed {
			r.unconfirmed, r.unconfirmedAt = true, c.sequence
			c.Counts.Unconfirmed++
		}
		return
	}
	w.markHeard(c, now, answer.Clock)
	c.connBackoff.reset()
	if r == nil {
		return
	}
	if answer.Refusal == "" {
		r.accepted, r.acceptedAt = c.sequence, now
		return
	}
	c.Counts.Refused++
	w.markRefused(c, now, answer.Refusal)
	if !r.listed {
		c.endRun(r, jobs.EndLost, "")
		c.avoidWorker[key.Task] = workerID
	}
}

// StartError says how a start order without an answer failed.
type StartError int

// The failures of a start order.
const (
	StartOK               StartError = iota // it was answered
	StartUnsent                             // no byte of it left: it never starts
	StartUnknown                            // it may be carried out, now or later
	StartOtherIncarnation                   // another life answered: the worker is gone for good
	StartNoConnection                       // no byte of it left, for want of a connection here: it says nothing of the worker
)

// StopError says how a stop order without an answer failed.
type StopError int

// The failures of a stop order.
const (
	StopOK           StopError = iota // it was answered
	StopFailed                        // no answer
	StopNoConnection                  // it never left, for want of a connection here: it says nothing of the worker
)

// StopAnswered takes in the answer to a stop order.
func (c *Core) StopAnswered(now time.Duration, workerID string, key jobs.RunKey, err StopError) {
	c.now = now
	w := c.workers[workerID]
	if c.term == 0 || w == nil {
		return
	}
	c.orderDone(w)
	c.sequence++
	retry := now + c.cfg.RetryMin
	if s := w.orphans[key]; s != nil {
		if s.stopInFlight, s.retryAt = false, retry; err == StopOK {
			delete(w.orphans, key)
		}
	}
	r := w.runs[key]
	if r == nil {
		return
	}
	r.stopInFlight = false
	switch err {
	case StopNoConnection:
		r.retryAt = retry
		return
	case StopFailed:
		c.markUnanswered(w, now)
		w.suspect, w.probeDue = true, true
		r.retryAt = retry
		return
	}
	r.stopped = c.sequence
	w.probeDue = true
}
