package scheduler

import "time"

// shortage is a want of connections on this node, as the failures of calls tell of it. While it lasts nothing is planned:
// orders that cannot leave only tie their tasks to workers.
type shortage struct {
	until time.Duration // no starts are planned before it
	pause time.Duration // the last pause
}

// found takes in that a call found no room. The pause doubles with each time that it was not long enough.
func (s *shortage) found(cfg Config, now time.Duration) {
	if now < s.until {
		return
	}
	s.pause = min(max(2*s.pause, cfg.RetryMin), cfg.RetryMax)
	s.until = now + s.pause
}

// over takes in that an order found room.
func (s *shortage) over() { *s = shortage{} }

// ordered counts an order that leaves for a worker.
func (c *Core) ordered(w *worker) {
	w.orders++
	c.ordersOut++
}

// orderOver counts an order that is not under way any more.
func (c *Core) orderOver(w *worker) {
	if w.orders == 0 {
		return // of an earlier term
	}
	w.orders--
	c.ordersOut--
}

// orderRoom is how many starts more may be planned: those that are recorded and wait to leave count as under way.
func (c *Core) orderRoom() int { return c.cfg.MostOrdersOut - c.ordersOut - len(c.starts) }
