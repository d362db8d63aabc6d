package scheduler

import "time"

// leaseState bounds the leases that may be in force on a worker. Lease deadlines are readings of the worker's own
// clock, so that a renewal that is delivered late doesn't extend the lease.
type leaseState struct {
	// fenced is set once the worker has answered a renewal under this term: it rejects the calls of earlier leaders.
	fenced bool

	clock      time.Duration // newest known reading of the worker's clock
	clockAt    time.Duration // leader's clock when the reading arrived
	clockKnown bool

	until time.Duration // end of the latest lease that may be in force, on the worker's clock; 0: not known
}

// setClock records a reading of the worker's clock, unless it is 0 (unknown) or not newer than the known reading.
func (l *leaseState) setClock(now, clock time.Duration) {
	if clock > 0 && (!l.clockKnown || clock > l.clock) {
		l.clock, l.clockAt, l.clockKnown = clock, now, true
	}
}

// grant returns the deadline of a new lease and records that it may be in force. It returns 0 if the worker's clock
// isn't known.
func (l *leaseState) grant(now, lease time.Duration) time.Duration {
	if !l.clockKnown {
		return 0
	}
	deadline := l.clock + (now - l.clockAt) + lease
	l.until = max(l.until, deadline)
	return deadline
}

// fence records the first answer to a renewal under this term. From then on no earlier leader can renew the lease. A
// lease granted by an earlier leader ends by until, as all leaders have the same settings.
func (l *leaseState) fence(clock time.Duration, cfg Config) {
	if !l.fenced {
		l.fenced = true
		l.until = max(l.until, clock+cfg.Lease+cfg.ExpiryMargin)
	}
}

// minClock returns the lowest reading that the worker's clock can have at now.
func (l *leaseState) minClock(now time.Duration, slack float64) time.Duration {
	return l.clock + time.Duration(float64(now-l.clockAt)*(1-slack))
}

// leaseExpired reports whether every lease that may have been granted to the worker has certainly expired and its runs
// are killed. Heartbeats are ignored: they may be relayed by another node while no call reaches the worker.
func (w *worker) leaseExpired(c *Core, now time.Duration) bool {
	// An earlier leader may have granted a full lease just before this term began.
	sinceTerm := time.Duration(float64(now-c.leaderSince) * (1 - c.cfg.ClockSlack))
	if !w.lease.fenced && sinceTerm <= c.cfg.Lease+2*c.cfg.ExpiryMargin {
		return false
	}
	if !w.lease.fenced && w.lease.until == 0 {
		return true // this leader has granted no lease, and those of earlier leaders have expired
	}
	return w.lease.minClock(now, c.cfg.ClockSlack) > w.lease.until+c.cfg.ExpiryMargin
}
