package jobssim

import (
	"time"

	"crosstide/internal/controller/scheduler"
)

// shortage is a period in which a share of the leader's calls find no free connection. It is not a disruption of a
// machine: the invariants hold without any excuse.
type shortage struct {
	until time.Duration
	share float64
}

// A shortage ends without intervention: a waiting call gets a connection before later ones, so that no worker or job
// waits for long.
const (
	maxShortage         = 2 * time.Second
	minShortageInterval = 3 * time.Second
)

// beginShortage begins a shortage, unless the last one ended less than minShortageInterval ago.
func (s *simulator) beginShortage() bool {
	if s.now < s.shortage.until+minShortageInterval {
		return false
	}
	s.shortage = shortage{until: s.now + s.between(maxShortage/10, maxShortage),
		share: 0.3 + 0.6*s.rng.Float64()}
	return true
}

// connectionWait is the time for which a call waits for a connection before it fails.
const connectionWait = 300 * time.Millisecond

// urgentShare is the probability that a lease renewal or a stop finds no connection, relative to that of a start, which
// has a lower priority.
const urgentShare = 0.1

// startFindsNoConnection reports whether a start finds no connection. Such a call fails after connectionWait.
func (s *simulator) startFindsNoConnection() bool {
	return s.now < s.shortage.until && s.chance(s.shortage.share)
}

// urgentFindsNoConnection reports whether a lease renewal or a stop finds no connection.
func (s *simulator) urgentFindsNoConnection() bool {
	return s.now < s.shortage.until && s.chance(s.shortage.share*urgentShare)
}

// failStart fails a start that found no connection.
func (n *node) failStart(answered func(scheduler.StartAnswer, scheduler.StartOutcome)) {
	n.sim.report.Counts["start without a connection"]++
	n.after(connectionWait, func() { answered(scheduler.StartAnswer{}, scheduler.StartNoConnection) })
}

// failStop fails a stop that found no connection.
func (n *node) failStop(done func(scheduler.StopOutcome)) {
	n.sim.report.Counts["stop without a connection"]++
	failure := scheduler.StopNoConnection
	if n.sim.options.WithoutGuard == UnsentStopsCount {
		failure = scheduler.StopOK
	}
	n.after(connectionWait, func() { done(failure) })
}

// failLeaseRenewal fails a lease renewal that found no connection.
func (n *node) failLeaseRenewal(done func(scheduler.RenewalAnswer, scheduler.RenewalOutcome)) {
	n.sim.report.Counts["lease renewal without a connection"]++
	n.after(connectionWait, func() { done(scheduler.RenewalAnswer{}, scheduler.RenewalNoConnection) })
}
