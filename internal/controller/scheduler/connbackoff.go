package scheduler

import "time"

// connBackoff is the back-off after calls that failed because this node has no free connections. No starts are planned
// until it ends: orders that can't be sent would only bind their tasks to workers.
type connBackoff struct {
	until time.Duration
	delay time.Duration // the latest delay; the next is twice as long, up to Config.RetryMax
}

// recordFailure records that a call found no connection. A failure during the back-off changes nothing; a later one
// starts a back-off that is twice as long.
func (b *connBackoff) recordFailure(cfg Config, now time.Duration) {
	if now < b.until {
		return
	}
	b.delay = min(max(2*b.delay, cfg.RetryMin), cfg.RetryMax)
	b.until = now + b.delay
}

// reset ends the back-off, as an order found a connection.
func (b *connBackoff) reset() { *b = connBackoff{} }
