package scheduler

import "time"

// contact tracks whether a worker is reachable, from the outcomes of calls and from heartbeats. Times are readings of
// the leader's clock.
type contact struct {
	heardAt time.Duration // when the newest answer or heartbeat came; 0: none under this term

	answeredAt   time.Duration // when the newest answer came; 0: none
	unansweredAt time.Duration // when the first call after answeredAt failed without an answer; 0: none did
	verifyAt     time.Duration // no starts are sent until an answer newer than this

	failures int           // consecutive calls without an answer
	retryAt  time.Duration // no renewals are sent before this time
	suspect  bool          // an order got no answer, and no call was answered since

	// throttledUntil is until when only one order may be in flight to the worker, see markUnanswered.
	throttledUntil time.Duration
}

// isReachable reports whether the newest call to the worker was answered.
func (t *contact) isReachable() bool { return t.failures == 0 && !t.suspect }

// hasStoppedAnswering reports whether a call after the newest answer got no answer.
func (t *contact) hasStoppedAnswering() bool { return t.unansweredAt > t.answeredAt }

// isSilent reports whether neither an answer nor a heartbeat came within the timeout before now.
func (t *contact) isSilent(now, timeout time.Duration) bool {
	return t.heardAt == 0 || now-t.heardAt > timeout
}

// isThrottled reports whether at most one order may be in flight.
func (t *contact) isThrottled(now time.Duration) bool { return now < t.throttledUntil }

// markAnswered records an answered call.
func (t *contact) markAnswered(now time.Duration) {
	t.heardAt, t.answeredAt = max(now, 1), max(now, 1)
	t.failures, t.retryAt, t.suspect = 0, 0, false
}

// backOff records a call without an answer. The back-off before the next renewal doubles with each consecutive one.
func (t *contact) backOff(now time.Duration, cfg Config) {
	t.failures++
	backoff := cfg.RetryMin << min(t.failures-1, 8)
	t.retryAt = now + min(backoff, cfg.RetryMax)
}

// throttlePeriod is how long after a call without an answer a worker is throttled.
const throttlePeriod = 10 * time.Second

// markUnanswered throttles a worker that didn't answer a call, and probes its zone if several of its workers stopped
// answering.
//
// A throttled worker gets one order at a time, and no renewal that would occupy the connection meant for the order.
// Connections abandoned behind a partition, or by a leader that lost power, stay open at the worker. As the worker
// accepts only a few connections and resets further ones, all calls must share the one that is left.
func (c *Core) markUnanswered(w *worker, now time.Duration) {
	w.contact.throttledUntil = now + throttlePeriod
	if !w.contact.hasStoppedAnswering() {
		w.contact.unansweredAt = max(now, 1)
		c.verifyZone(w, now)
	}
}

// orderUnanswered records that a start or stop order got no answer. The worker may still carry it out, now or later.
func (c *Core) orderUnanswered(w *worker) {
	c.markUnanswered(w, c.now)
	w.contact.suspect, w.renewal.probeDue = true, true
}

// Heartbeat handles a heartbeat of a worker, with the worker's clock (0: unknown). A heartbeat may be relayed by
// another node, so it doesn't prove that calls reach the worker: it renews no lease and doesn't end throttling.
func (c *Core) Heartbeat(now time.Duration, id string, clock time.Duration) {
	w := c.workers[id]
	if c.term == 0 || w == nil {
		return
	}
	silent := w.contact.failures > 0 || w.contact.isSilent(now, c.cfg.SilenceTimeout)
	if w.contact.retryAt > now+c.cfg.RetryMax {
		return // another incarnation answers at its address, see endReplacedWorker
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
