package scheduler

import (
	"time"
)

// grantLease gives the deadline of a new lease, on the worker's clock, and notes that it may be in force.
func (w *worker) grantLease(c *Core, now time.Duration) time.Duration {
	if !w.clockOK {
		return 0
	}
	deadline := w.clock + (now - w.clockAt) + c.cfg.Lease
	w.leaseUntil = max(w.leaseUntil, deadline)
	return deadline
}

// minClock is the least that the worker's clock shows at now.
func (w *worker) minClock(c *Core, now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockAt)*(1-c.cfg.ClockSlack))
}

// leaseExpired tells whether every lease that may have been given to the worker is surely over. Heartbeats say nothing of it:
// they may come by way of another node while no call gets through.
func (w *worker) leaseExpired(c *Core, now time.Duration) bool {
	// An earlier leader may have granted a whole lease just before this term began.
	if !w.answered && time.Duration(float64(now-c.leaderSince)*(1-c.cfg.ClockSlack)) <= c.cfg.Lease+2*c.cfg.ExpiryMargin {
		return false
	}
	if !w.answered && w.leaseUntil == 0 {
		return true
	}
	return w.minClock(c, now) > w.leaseUntil+c.cfg.ExpiryMargin
}
