package scheduler

import (
	"cmp"
	"time"

	"crosstide/internal/jobs"
)

// requestStop marks a run to be stopped; the first cause counts.
func (c *Core) requestStop(r *run, cause Cause) {
	r.toStop = true
	r.cause = cmp.Or(r.cause, cause)
	c.queueStop(r)
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
