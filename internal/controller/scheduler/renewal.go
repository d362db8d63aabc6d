package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// renewalState holds a worker's lease renewals in flight. There are two kinds, at most one of each at a time: a long
// poll, which the worker holds open until a run ends, and a probe, which it answers at once.
type renewalState struct {
	longPoll renewalCall
	probe    renewalCall
	probeDue bool // a probe must be sent as soon as the limits permit
}

// renewalCall is a renewal in flight.
type renewalCall struct {
	number uint64 // number of its RenewalAction; 0: no renewal is in flight
	ack    uint64 // highest number of the ends that it acknowledges
	sentAt time.Duration
}

// sendRenewals adds the lease renewals that are due. A new leader must probe every worker; it probes at most
// Config.MaxProbes at a time, as the store's heartbeats share its processor. throttled reports whether that limit
// postponed a probe.
func (c *Core) sendRenewals(now time.Duration, actions *Actions) (throttled bool) {
	probes := c.probesInFlight(now)
	for _, w := range c.workerList {
		if !w.renewal.probeDue && (w.renewal.longPoll.number != 0 || len(w.runs) == 0) || now < w.contact.retryAt {
			continue // nothing to send, which is the case for most workers in most passes
		}
		rec := w.record()
		if rec == nil || rec.Left && len(w.runs) == 0 && w.ends.acknowledged >= w.ends.durable {
			continue // it has deregistered, runs nothing, and all its durable ends are acknowledged
		}
		switch {
		case w.renewal.probeDue && w.renewal.probe.number == 0:
			if probes >= c.cfg.MaxProbes {
				throttled = true
				continue
			}
			probes++
			w.renewal.probeDue = false
			w.renewal.probe = c.renewLease(w, rec, 0, actions)
		case w.canLongPoll(c) && !c.hasUncommittedEnd(w):
			w.renewal.longPoll = c.renewLease(w, rec, w.renewalWait(c), actions)
		}
	}
	return throttled
}

// renewLease adds one renewal. A worker that didn't answer the newest call gets no new lease. Otherwise calls that may
// never arrive would defer the expiry forever.
func (c *Core) renewLease(w *worker, rec *jobs.Worker, wait time.Duration, actions *Actions) renewalCall {
	c.sequence++
	call := LeaseRenewal{Token: c.term, AcknowledgedUpTo: w.ends.durable, Wait: wait}
	if len(w.runs) > 0 && w.contact.failures == 0 {
		call.LeaseDeadline = w.lease.grant(c.now, c.cfg.Lease)
	}
	actions.Renewals = append(actions.Renewals, RenewalAction{Worker: *rec, Number: c.sequence, Call: call})
	return renewalCall{number: c.sequence, ack: w.ends.durable, sentAt: c.now}
}

// probeWindow is how long a probe counts towards Config.MaxProbes. A reachable worker answers within it. Unreachable
// workers must not keep the leader from probing the others.
const probeWindow = 50 * time.Millisecond

// probesInFlight counts the workers that were probed within probeWindow and have not answered.
func (c *Core) probesInFlight(now time.Duration) int {
	count := 0
	for _, w := range c.workerList {
		if w.renewal.probe.number != 0 && now-w.renewal.probe.sentAt < probeWindow {
			count++
		}
	}
	return count
}

// canLongPoll reports whether a long poll may be sent. A throttled worker gets one only if no other call is in flight
// or due, as it would occupy the connection.
func (w *worker) canLongPoll(c *Core) bool {
	if !w.contact.isReachable() || w.renewal.longPoll.number != 0 || len(w.runs) == 0 || !w.lease.fenced {
		return false
	}
	return !w.contact.isThrottled(c.now) || w.ordersInFlight == 0 && w.renewal.probe.number == 0 && !w.hasRunsToStop()
}

// hasRunsToStop reports whether a run on the worker, with or without a handle, must be stopped.
func (w *worker) hasRunsToStop() bool {
	for _, r := range w.runs {
		if r.needsStop() {
			return true
		}
	}
	return len(w.orphans) > 0
}

// Waits of long polls where Config.RenewalWait would be too long.
const (
	throttledWait = 250 * time.Millisecond // for a throttled worker
	overdueWait   = 400 * time.Millisecond // while a run takes longer than expected, as it may be stalled
)

// renewalWait returns how long the worker may hold the next long poll open.
func (w *worker) renewalWait(c *Core) time.Duration {
	switch {
	case w.contact.isThrottled(c.now):
		return min(c.cfg.RenewalWait, throttledWait)
	case w.hasOverdueRun(c):
		return min(c.cfg.RenewalWait, overdueWait)
	}
	return c.cfg.RenewalWait
}

// hasOverdueRun reports whether a run on the worker takes longer than expected and might be moved.
func (w *worker) hasOverdueRun(c *Core) bool {
	for _, r := range w.runs {
		if !r.ownTerm || !r.start.sent || r.longRunning || r.gang || r.ending {
			continue
		}
		if c.now-r.start.sentAt > c.speeds.expected(r.estimate) {
			return true
		}
	}
	return false
}

// RenewalOutcome is the outcome of a lease renewal.
type RenewalOutcome int

// The outcomes of a lease renewal. RenewalNoConnection is a shortage of this node, not a fault of the worker.
const (
	RenewalOK               RenewalOutcome = iota // it was answered
	RenewalFailed                                 // it got no answer
	RenewalOtherIncarnation                       // another incarnation answered: the worker is gone for good
	RenewalFenced                                 // the worker has seen a higher token: this leader was replaced
	RenewalNoConnection                           // it was never sent: this node has no free connection
)

// RenewalAnswered handles the answer to the renewal with the number, or its failure.
func (c *Core) RenewalAnswered(
	now time.Duration, id string, number uint64, answer RenewalAnswer, outcome RenewalOutcome,
) {
	c.now = now
	w := c.workers[id]
	if c.term == 0 || w == nil {
		return
	}
	var acknowledged uint64
	switch number {
	case w.renewal.longPoll.number:
		acknowledged, w.renewal.longPoll = w.renewal.longPoll.ack, renewalCall{}
	case w.renewal.probe.number:
		acknowledged, w.renewal.probe = w.renewal.probe.ack, renewalCall{}
	default:
		return // the renewal was sent under an earlier term
	}
	if outcome != RenewalOK {
		c.renewalFailed(w, outcome)
		return
	}
	w.markAnswered(now, answer.Clock)
	w.ends.acknowledged = max(w.ends.acknowledged, acknowledged)
	w.lease.fence(answer.Clock, c.cfg)
	c.placementDue = true
	c.recordEnds(w, answer.Ended)
	c.reconcileRunning(w, number, answer)
}

// renewalFailed handles the failure of a renewal.
func (c *Core) renewalFailed(w *worker, outcome RenewalOutcome) {
	switch outcome {
	case RenewalNoConnection:
		c.connBackoff.recordFailure(c.cfg, c.now)
		w.contact.retryAt = max(w.contact.retryAt, c.connBackoff.until)
		w.renewal.probeDue = w.renewal.probeDue || !w.lease.fenced
	case RenewalOtherIncarnation:
		c.endReplacedWorker(w)
	case RenewalFailed, RenewalFenced:
		c.markUnanswered(w, c.now)
		w.contact.backOff(c.now, c.cfg)
		w.renewal.probeDue = w.renewal.probeDue || len(w.runs) > 0 || !w.lease.fenced
	}
}
