package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// sendStarts gives the start orders of the handles just recorded. One for a worker that has stopped answering meanwhile
// never leaves: its task is due again at once, and no doubt can come of it.
func (c *Core) sendStarts(out *Actions) {
	var later []jobs.RunKey
	for _, key := range c.unsentStarts {
		r := c.runs[key]
		if r == nil || r.sent || r.ending {
			continue
		}
		w := c.workers[r.worker]
		j := c.table.Jobs[key.Task.Job]
		if w == nil || w.record() == nil || !w.isReachable() || j == nil || j.State.IsTerminal() || r.toStop {
			c.endRun(r, jobs.EndLost, "") // it never left
			continue
		}
		if !w.canOrder(c) {
			later = append(later, key)
			continue
		}
		r.sent, r.sentAt = true, c.now
		c.orderSent(w)
		task := j.Rounds[key.Task.Round][key.Task.Step][key.Task.Index]
		out.Starts = append(out.Starts, StartAction{Worker: *w.record(), Order: StartOrder{
			Key: key, Payload: j.Spec.Payload, Needs: r.needs, LeaseDeadline: w.grantLease(c, c.now), Token: c.term, Checkpoint: task.Checkpoint}})
		c.Counts.Started++
	}
	c.unsentStarts = later
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
