package scheduler

import "time"

// contact tracks whether a worker can be reached, by the outcomes of calls and by heartbeats. Times are of the leader's
// clock.
type contact struct {
	heardAt time.Duration // of the newest answer or heartbeat; 0: none under this term

	answeredAt   time.Duration // of the newest answer; 0: none
	unansweredAt time.Duration // when the first call after answeredAt was found to have no answer; 0: none was
	verifyAt     time.Duration // the worker takes no starts before an answer that is newer than this

	failures int           // consecutive calls without an answer
	retryAt  time.Duration // no renewals before it
	suspect  bool          // an order got no answer, and no call was answered since

	// throttledUntil is the end of the time in which only one order may be in flight to the worker, see markUnanswered.
	throttledUntil time.Duration
}

// isReachable reports whether the newest call to the worker was answered.
func (t *contact) isReachable() bool { return t.failures == 0 && !t.suspect }

// hasStoppedAnswering reports whether a call after the newest answer got none.
func (t *contact) hasStoppedAnswering() bool { return t.unansweredAt > t.answeredAt }

// isSilent reports whether neither an answer nor a heartbeat came within the last timeout.
func (t *contact) isSilent(now, timeout time.Duration) bool {
	return t.heardAt == 0 || now-t.heardAt > timeout
}

// isThrottled reports whether only one order at a time may be in flight.
func (t *contact) isThrottled(now time.Duration) bool { return now < t.throttledUntil }

// answered records an answered call.
func (t *contact) answered(now time.Duration) {
	t.heardAt, t.answeredAt = max(now, 1), max(now, 1)
	t.failures, t.retryAt, t.suspect = 0, 0, false
}

// backOff records a call without an answer; the pause before the next one doubles with each.
func (t *contact) backOff(now time.Duration, cfg Config) {
	t.failures++
	pause := cfg.RetryMin << min(t.failures-1, 8)
	t.retryAt = now + min(pause, cfg.RetryMax)
}

// throttlePeriod is how long after a call without an answer a worker is throttled.
const throttlePeriod = 10 * time.Second

// markUnanswered throttles a worker that didn't answer a call, and probes its zone if several workers of it don't.
//
// A throttled worker gets one order at a time, and renewals that leave the connection free for it. A connection that is
// given up behind a partition, or whose leader lost power, stays open at the worker. The worker accepts few and resets
// further ones, so that all calls must share the one that is left.
func (c *Core) markUnanswered(w *worker, now time.Duration) {
	w.contact.throttledUntil = now + throttlePeriod
	if !w.contact.hasStoppedAnswering() {
		w.contact.unansweredAt = max(now, 1)
		c.verifyZone(w, now)
	}
}

// orderUnanswered records that a start or stop order got no answer: it may be carried out, now or later.
func (c *Core) orderUnanswered(w *worker) {
	c.markUnanswered(w, c.now)
	w.contact.suspect, w.renewal.probeDue = true, true
}

// Heartbeat handles a heartbeat of a worker, with the worker's clock (0: unknown). A heartbeat may come by way of
// another node, so it doesn't prove that calls get through: it renews no lease and ends no throttling.
func (c *Core) Heartbeat(now time.Duration, id string, clock time.Duration) {
	w := c.workers[id]
	if c.term == 0 || w == nil {
		return
	}
	silent := w.contact.failures > 0 || w.contact.isSilent(now, c.cfg.SilenceTimeout)
	if w.contact.retryAt > now+c.cfg.RetryMax {
		return // another incarnation has its address, see endReplacedWorker
	}
	w.contact.heardAt = max(now, 1)
	if !w.lease.clockKnown {
		w.lease.setClock(now, clock)
	}
	if silent {
		w.renewal.probeDue, w.contact.retryAt = true, min(w.contact.retryAt, now)
		c.placementDue = true
	}
}
