package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// RenewalError says how a hold call without an answer failed.
type RenewalError int

// The failures of a hold call.
const (
	RenewalOK               RenewalError = iota // it was answered
	RenewalFailed                               // no answer
	RenewalOtherIncarnation                     // another life answered: the worker is gone for good
	RenewalFenced                               // the worker has seen a higher token: this leader is an old one
	RenewalNoConnection                         // it never left, for want of a connection here: it says nothing of the worker
)

// sendRenewals gives the hold calls that are due. A new leader asks every worker at once; it does so a few at a time, as the
// store's heartbeats share its processor. It tells whether some must wait for that.
func (c *Core) sendRenewals(now time.Duration, out *Actions) (waiting bool) {
	probes := c.probesInFlight(now)
	for _, w := range c.workerList {
		if !w.probeDue && (w.longPoll != 0 || len(w.runs) == 0) || now < w.retryAt {
			continue // nothing to ask: the rule for most workers in most passes
		}
		rec := w.record()
		if rec == nil || rec.Left && len(w.runs) == 0 && w.acknowledgedEnd >= w.durableEnd {
			continue // it takes no starts any more, and nothing of it is waited for
		}
		if w.probeDue && w.probeCall == 0 {
			if probes < c.cfg.MaxProbes {
				w.probeDue, w.probeSentAt, w.probeAck = false, now, w.durableEnd
				w.probeCall = c.renewLease(w, rec, 0, out)
				probes++
			} else {
				waiting = true
			}
			continue
		}
		_, pending := c.highestEnd[w.id]
		committing := c.inFlight != nil && c.inFlight.highestEnd[w.id] > 0
		if w.canLongPoll(c) && !pending && !committing {
			w.longPoll, w.longPollAck = c.renewLease(w, rec, w.renewalWait(c), out), w.durableEnd
		}
	}
	return waiting
}

// renewal makes one hold call and gives its number. A worker that did not answer the call before gets no new lease: a call
// that may or may not have arrived must not put the lapse off for ever.
func (c *Core) renewLease(w *worker, rec *jobs.Worker, wait time.Duration, out *Actions) uint64 {
	c.sequence++
	call := LeaseRenewal{Token: c.term, AcknowledgedUpTo: w.durableEnd, Wait: wait}
	if len(w.runs) > 0 && w.failures == 0 {
		call.LeaseDeadline = w.grantLease(c, c.now)
	}
	out.Renewals = append(out.Renewals, RenewalAction{Worker: *rec, Number: c.sequence, Call: call})
	return c.sequence
}

// probeWindow is how long a hold call that asks at once counts as under way for Config.MaxProbes: a worker that is there
// answers within it, and those that are not must not keep the leader from asking the others.
const probeWindow = 50 * time.Millisecond

// probesInFlight counts the workers that were asked at once just now and have not answered.
func (c *Core) probesInFlight(now time.Duration) int {
	count := 0
	for _, w := range c.workerList {
		if w.probeCall != 0 && now-w.probeSentAt < probeWindow {
			count++
		}
	}
	return count
}

// ackDelay is how long an end that is durable may wait for a call that tells the worker so. Mostly the next run brings one.
const ackDelay = 1500 * time.Millisecond

// needsAck tells whether a worker on which nothing runs waits to hear that its last ends are durable.
func (w *worker) needsAck(now time.Duration) bool {
	calling := w.longPoll != 0 || w.probeCall != 0
	return w.durableEnd > w.acknowledgedEnd && len(w.runs) == 0 && !calling && now-w.durableAt >= ackDelay
}

// canLongPoll tells whether a hold call that waits for an end may be sent.
func (w *worker) canLongPoll(c *Core) bool {
	if !w.isReachable() || w.longPoll != 0 || len(w.runs) == 0 || !w.answered {
		return false
	}
	return c.now >= w.throttledUntil || w.ordersInFlight == 0 && w.probeCall == 0 && !w.hasRunsToStop()
}

// hasRunsToStop tells whether a run on the worker is to be stopped.
func (w *worker) hasRunsToStop() bool {
	for _, r := range w.runs {
		if r.needsStop() {
			return true
		}
	}
	return len(w.orphans) > 0
}

// Shorter waits of hold calls.
const (
	throttledWait = 250 * time.Millisecond // at a worker that is called with care
	overdueWait   = 400 * time.Millisecond // while a run takes longer than expected: it may stand still
)

// renewalWait is how long the next hold call waits.
func (w *worker) renewalWait(c *Core) time.Duration {
	switch {
	case c.now < w.throttledUntil:
		return min(c.cfg.RenewalWait, throttledWait)
	case w.isOverdue(c):
		return min(c.cfg.RenewalWait, overdueWait)
	}
	return c.cfg.RenewalWait
}

// isOverdue tells whether a run on the worker takes longer than expected and might be moved.
func (w *worker) isOverdue(c *Core) bool {
	for _, r := range w.runs {
		if r.ownTerm && r.sent && !r.longRunning && !r.gang && !r.ending && c.now-r.sentAt > c.expected(r.estimate) {
			return true
		}
	}
	return false
}

// RenewalAnswered takes in the answer to the hold call of a number.
func (c *Core) RenewalAnswered(now time.Duration, id string, number uint64, answer RenewalAnswer, err RenewalError) {
	c.now = now
	w := c.workers[id]
	if c.term == 0 || w == nil || number != w.longPoll && number != w.probeCall {
		return
	}
	acknowledged := w.probeAck
	if number == w.longPoll {
		w.longPoll, acknowledged = 0, w.longPollAck
	} else {
		w.probeCall = 0
	}
	switch err {
	case RenewalNoConnection:
		c.connBackoff.failed(c.cfg, now)
		w.retryAt = max(w.retryAt, c.connBackoff.until)
		w.probeDue = w.probeDue || !w.answered
		return
	case RenewalOtherIncarnation:
		c.endReplacedWorker(w)
		return
	case RenewalFailed, RenewalFenced:
		c.markUnanswered(w, now)
		w.markFailed(c, now)
		w.probeDue = w.probeDue || len(w.runs) > 0 || !w.answered
		return
	}
	w.markHeard(c, now, answer.Clock)
	w.acknowledgedEnd = max(w.acknowledgedEnd, acknowledged)
	if !w.answered {
		w.answered = true
		// No earlier leader can renew from here on; what one granted ends by then, as all go by the same settings.
		w.leaseUntil = max(w.leaseUntil, answer.Clock+c.cfg.Lease+c.cfg.ExpiryMargin)
	}
	c.placementDue = true
	c.recordEnds(w, answer.Ended)
	c.reconcileRunning(w, number, answer)
}
