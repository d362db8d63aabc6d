package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// startState is the state of a run's start order. Owned by this file; reconcile.go sets missing.
type startState struct {
	sent   bool          // the order may have been sent, under this term or an earlier one
	sentAt time.Duration // when it was sent; 0: not under this term

	acceptedSeq uint64 // Core.sequence when the worker accepted the order; 0: not accepted
	acceptedAt  time.Duration

	unconfirmedSeq uint64 // Core.sequence when the order failed without an answer; 0: it did not

	// missing is set if the start is unconfirmed and the answer to a later renewal didn't list the run. The run is
	// stopped, as the order may be carried out late.
	missing bool
}

// sendStarts adds the start orders of handles that were committed. A run is ended instead if, since its placement, its
// worker has become unreachable, drains, was evacuated or deleted, its job has ended, or its stop was requested. As its
// order was never sent, no start is unconfirmed, and the task of a job that goes on is due again at once.
func (c *Core) sendStarts(actions *Actions) {
	var unsent []jobs.RunKey
	for _, key := range c.unsentStarts {
		r := c.runs[key]
		if r == nil || r.start.sent || r.ending {
			continue
		}
		w := c.workers[r.worker]
		j := c.table.Jobs[key.Task.Job]
		if w == nil || !c.acceptsStarts(w) || j == nil || j.State.IsTerminal() || r.stop.requested {
			c.endRun(r, jobs.EndLost, "")
			continue
		}
		if !w.canOrder(c) {
			unsent = append(unsent, key)
			continue
		}
		r.start.sent, r.start.sentAt = true, c.now
		c.orderSent(w)
		actions.Starts = append(actions.Starts, StartAction{Worker: *w.record(), Order: StartOrder{
			Key:           key,
			Payload:       j.Spec.Payload,
			Needs:         r.needs,
			LeaseDeadline: w.lease.grant(c.now, c.cfg.Lease),
			Token:         c.term,
			Checkpoint:    j.Rounds[key.Task.Round][key.Task.Step][key.Task.Index].Checkpoint,
		}})
		c.Counts.Started++
	}
	c.unsentStarts = unsent
}

// acceptsStarts reports whether a start order may be sent to a worker now.
func (c *Core) acceptsStarts(w *worker) bool {
	rec := w.record()
	return rec != nil && w.contact.isReachable() && !isLeaving(rec) && !c.table.Evacuated[rec.Zone]
}

// StartOutcome is the outcome of a start order.
type StartOutcome int

// The outcomes of a start order. StartNoConnection is a shortage of this node, not a fault of the worker.
const (
	StartOK               StartOutcome = iota // it was answered
	StartUnsent                               // no byte of it was sent: it is never carried out
	StartUnconfirmed                          // it may be carried out, now or later
	StartOtherIncarnation                     // another incarnation answered: the worker is gone for good
	StartNoConnection                         // no byte of it was sent: this node has no free connection
)

// StartAnswered handles the answer to a start order, or its failure.
func (c *Core) StartAnswered(
	now time.Duration, workerID string, key jobs.RunKey, answer StartAnswer, outcome StartOutcome,
) {
	c.now = now
	w, r := c.workers[workerID], c.runs[key]
	if c.term == 0 || w == nil {
		return
	}
	c.orderDone(w)
	c.sequence++
	if outcome != StartOK {
		c.startFailed(w, r, outcome)
		return
	}
	w.markAnswered(now, answer.Clock)
	c.connBackoff.reset()
	if r == nil {
		return
	}
	if answer.Refusal == "" {
		r.start.acceptedSeq, r.start.acceptedAt = c.sequence, now
		return
	}
	c.Counts.Refused++
	w.markRefused(now, answer.Refusal)
	if !r.progress.listed {
		c.endRun(r, jobs.EndLost, "")
		c.history.avoid[key.Task] = workerID
	}
}

// startFailed handles the failure of a start order; r is nil if its handle has left the table.
func (c *Core) startFailed(w *worker, r *run, outcome StartOutcome) {
	switch outcome {
	case StartNoConnection:
		c.connBackoff.recordFailure(c.cfg, c.now)
		c.endUndeliveredRun(r)
	case StartOtherIncarnation:
		c.endReplacedWorker(w)
	case StartUnsent:
		c.markUnanswered(w, c.now)
		w.contact.backOff(c.now, c.cfg)
		c.endUndeliveredRun(r)
	case StartUnconfirmed:
		c.orderUnanswered(w)
		if r != nil && !r.progress.listed {
			r.start.unconfirmedSeq = c.sequence
			c.Counts.Unconfirmed++
		}
	}
}
