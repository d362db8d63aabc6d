package scheduler

import (
	"time"
)

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
