package scheduler

import (
	"time"
)

// throttlePeriod is how long after a call without an answer a worker is called with care.
const throttlePeriod = 10 * time.Second

// markUnanswered notes that a call to the worker got no answer.
//
// From then on the worker is called with care for a while: one order at a time, and hold calls that leave the connection
// free for it. A connection that is given up behind a cut, or whose leader lost its power, stays open at the worker; it
// takes only so many and resets new ones, so that what is left must do for everything.
func (c *Core) markUnanswered(w *worker, now time.Duration) {
	w.throttledUntil = now + throttlePeriod
	if w.unansweredAt <= w.answeredAt {
		w.unansweredAt = max(now, 1)
		c.verifyZone(w, now)
	}
}

// orderSent counts an order that leaves for a worker.
func (c *Core) orderSent(w *worker) {
	w.ordersInFlight++
	c.ordersInFlight++
}

// orderDone counts an order that is not under way any more.
func (c *Core) orderDone(w *worker) {
	if w.ordersInFlight == 0 {
		return // of an earlier term
	}
	w.ordersInFlight--
	c.ordersInFlight--
}

// orderBudget is how many starts more may be planned: those that are recorded and wait to leave count as under way.
func (c *Core) orderBudget() int {
	return c.cfg.MaxOrdersInFlight - c.ordersInFlight - len(c.unsentStarts)
}

// canOrder tells whether one more order may be under way to the worker.
func (w *worker) canOrder(c *Core) bool {
	if c.now < w.throttledUntil {
		return w.ordersInFlight == 0
	}
	return w.ordersInFlight < c.cfg.MaxOrdersPerWorker
}
