package scheduler

import "time"

// connBackoff is a want of connections on this node, as the failures of calls tell of it. While it lasts nothing is planned:
// orders that cannot leave only tie their tasks to workers.
type connBackoff struct {
	until time.Duration // no starts are planned before it
	delay time.Duration // the last pause
}

// failed takes in that a call found no room. The pause doubles with each time that it was not long enough.
func (s *connBackoff) failed(cfg Config, now time.Duration) {
	if now < s.until {
		return
	}
	s.delay = min(max(2*s.delay, cfg.RetryMin), cfg.RetryMax)
	s.until = now + s.delay
}

// reset takes in that an order found room.
func (s *connBackoff) reset() { *s = connBackoff{} }

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
