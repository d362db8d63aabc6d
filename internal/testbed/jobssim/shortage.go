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

// waitForRoom is how long a call waits for a connection before it is given up.
const waitForRoom = 300 * time.Millisecond

// urgentPart is how much more seldom a hold call or a stop finds no connection than a start, which comes after them.
const urgentPart = 0.1

// findsNoRoom tells whether a start finds no connection; it is given up after waitForRoom.
func (s *simulator) findsNoRoom() bool { return s.now < s.shortage.until && s.chance(s.shortage.share) }

// urgentFindsNoRoom tells the same of a hold call or a stop.
func (s *simulator) urgentFindsNoRoom() bool {
	return s.now < s.shortage.until && s.chance(s.shortage.share*urgentPart)
}

// shortStart gives up a start for want of a connection.
func (n *node) shortStart(answered func(scheduler.StartAnswer, scheduler.StartError)) {
	n.sim.report.Seen["short: start"]++
	n.do(waitForRoom, func() { answered(scheduler.StartAnswer{}, scheduler.StartNoConnection) })
}

// shortStop gives up a stop for want of a connection.
func (n *node) shortStop(told func(scheduler.StopError)) {
	n.sim.report.Seen["short: stop"]++
	failure := scheduler.StopNoConnection
	if n.sim.opt.Break == UnsentStopsCount {
		failure = scheduler.StopOK
	}
	n.do(waitForRoom, func() { told(failure) })
}

// shortHold gives up a hold call for want of a connection.
func (n *node) shortHold(told func(scheduler.RenewalAnswer, scheduler.RenewalError)) {
	n.sim.report.Seen["short: hold"]++
	n.do(waitForRoom, func() { told(scheduler.RenewalAnswer{}, scheduler.RenewalNoConnection) })
}
