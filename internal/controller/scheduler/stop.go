package scheduler

import (
	"cmp"
	"time"

	"crosstide/internal/jobs"
)

// stopState is the state of a run's stop. Owned by this file.
type stopState struct {
	requested   bool
	cause       Cause // first cause; empty: none. Also set for some runs that end without a stop
	order       orderRetry
	answeredSeq uint64 // Core.sequence when a stop order was answered; 0: none was answered
}

// orderRetry holds when a stop order may be sent, for the first time or again.
type orderRetry struct {
	inFlight bool
	retryAt  time.Duration
}

// isDue reports whether the order may be sent at now.
func (o *orderRetry) isDue(now time.Duration) bool { return !o.inFlight && now >= o.retryAt }

// requestStop marks a run to be stopped. Only the first cause counts.
func (c *Core) requestStop(r *run, cause Cause) {
	r.stop.requested = true
	r.stop.cause = cmp.Or(r.stop.cause, cause)
	c.queueStop(r)
}

// stopGang stops the other members of the gang of a run that has ended, as they can't work without it.
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

// queueStop adds a run to runsToStop, which sendStops scans. The sweep adds runs that were marked without queueStop.
func (c *Core) queueStop(r *run) { c.runsToStop[r.key] = r }

// needsStop reports whether a stop order must be sent for the run and none was answered yet.
func (r *run) needsStop() bool {
	return (r.stop.requested || r.start.missing && !r.progress.listed) && !r.ending && r.stop.answeredSeq == 0
}

// sendStops adds the stop orders that are due. It scans only runsToStop and workersWithOrphans instead of all runs, as
// most runs are never stopped and each answer of a worker causes a pass.
func (c *Core) sendStops(actions *Actions) {
	for _, key := range sortedRuns(c.runsToStop) {
		r := c.runsToStop[key]
		w := c.workers[r.worker]
		if c.runs[key] != r || w == nil || !r.needsStop() {
			delete(c.runsToStop, key)
			continue
		}
		if r.start.sent && c.sendStop(w, key, &r.stop.order, actions) {
			c.Counts.Stopped++
		}
	}
	for _, id := range sortedKeys(c.workersWithOrphans) {
		w := c.workers[id]
		if w == nil || len(w.orphans) == 0 {
			delete(c.workersWithOrphans, id)
			continue
		}
		for _, key := range sortedRuns(w.orphans) {
			c.sendStop(w, key, w.orphans[key], actions)
		}
	}
}

// sendStop adds a stop order if it is due and one more order may be in flight to the worker. It reports whether it
// added the order.
func (c *Core) sendStop(w *worker, key jobs.RunKey, order *orderRetry, actions *Actions) bool {
	rec := w.record()
	if rec == nil || !order.isDue(c.now) || !w.canOrder(c) {
		return false
	}
	order.inFlight = true
	c.orderSent(w)
	actions.Stops = append(actions.Stops, StopAction{Worker: *rec, Order: StopOrder{Key: key, Token: c.term}})
	return true
}

// StopOutcome is the outcome of a stop order.
type StopOutcome int

// The outcomes of a stop order. StopNoConnection is a shortage of this node, not a fault of the worker.
const (
	StopOK           StopOutcome = iota // it was answered
	StopFailed                          // it got no answer: it may be carried out, now or later
	StopNoConnection                    // it was never sent: this node has no free connection
)

// StopAnswered handles the answer to a stop order, or its failure.
func (c *Core) StopAnswered(now time.Duration, workerID string, key jobs.RunKey, outcome StopOutcome) {
	c.now = now
	w := c.workers[workerID]
	if c.term == 0 || w == nil {
		return
	}
	c.orderDone(w)
	c.sequence++
	retryAt := now + c.cfg.RetryMin
	if order := w.orphans[key]; order != nil {
		order.inFlight, order.retryAt = false, retryAt
		if outcome == StopOK {
			delete(w.orphans, key)
		}
	}
	r := w.runs[key]
	if r == nil {
		return
	}
	r.stop.order.inFlight = false
	switch outcome {
	case StopNoConnection:
		r.stop.order.retryAt = retryAt
	case StopFailed:
		c.orderUnanswered(w)
		r.stop.order.retryAt = retryAt
	default:
		r.stop.answeredSeq = c.sequence
		w.renewal.probeDue = true // if the answer to this later renewal doesn't list the run, the run is proved dead
	}
}
