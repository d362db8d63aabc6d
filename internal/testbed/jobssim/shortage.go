package jobssim

import (
	"time"

	"crosstide/internal/controller/scheduler"
)

// shortage is a time in which a share of the leader's calls finds no connection. It is no disruption of any machine: rules
// hold as if there were none.
type shortage struct {
	until time.Duration
	share float64
}

// A shortage ends of itself: a call that waits is served before later ones, so that no worker or job is left out for long.
const (
	longestShortage = 2 * time.Second
	shortagePause   = 3 * time.Second
)

// beginShortage begins a shortage, unless one was lately.
func (s *simulator) beginShortage() bool {
	if s.now < s.shortage.until+shortagePause {
		return false
	}
	s.shortage = shortage{until: s.now + s.between(longestShortage/10, longestShortage), share: 0.3 + 0.6*s.rng.Float64()}
	return true
}

// connectionWait is how long a call waits for a connection before it is given up.
const connectionWait = 300 * time.Millisecond

// urgentPart is how much more seldom a hold call or a stop finds no connection than a start, which comes after them.
const urgentPart = 0.1

// startFindsNoConnection tells whether a start finds no connection; it is given up after connectionWait.
func (s *simulator) startFindsNoConnection() bool {
	return s.now < s.shortage.until && s.chance(s.shortage.share)
}

// urgentFindsNoConnection tells the same of a hold call or a stop.
func (s *simulator) urgentFindsNoConnection() bool {
	return s.now < s.shortage.until && s.chance(s.shortage.share*urgentPart)
}

// failStart gives up a start for want of a connection.
func (n *node) failStart(answered func(scheduler.StartAnswer, scheduler.StartError)) {
	n.sim.report.Seen["short: start"]++
	n.do(connectionWait, func() { answered(scheduler.StartAnswer{}, scheduler.StartNoConnection) })
}

// failStop gives up a stop for want of a connection.
func (n *node) failStop(done func(scheduler.StopError)) {
	n.sim.report.Seen["short: stop"]++
	failure := scheduler.StopNoConnection
	if n.sim.opt.Break == UnsentStopsCount {
		failure = scheduler.StopOK
	}
	n.do(connectionWait, func() { done(failure) })
}

// failLeaseRenewal gives up a hold call for want of a connection.
func (n *node) failLeaseRenewal(done func(scheduler.RenewalAnswer, scheduler.RenewalError)) {
	n.sim.report.Seen["short: hold"]++
	n.do(connectionWait, func() { done(scheduler.RenewalAnswer{}, scheduler.RenewalNoConnection) })
}
