package scheduler

import "time"

// connBackoff is the back-off while this node lacks connections, which failures of calls show. Until it ends no starts
// are planned: orders that can't leave would only bind their tasks to workers.
type connBackoff struct {
	until time.Duration
	delay time.Duration // the last one; the next is twice as long, up to Config.RetryMax
}

// failed records that a call found no connection. The delay doubles each time that it was not long enough.
func (b *connBackoff) failed(cfg Config, now time.Duration) {
	if now < b.until {
		return
	}
	b.delay = min(max(2*b.delay, cfg.RetryMin), cfg.RetryMax)
	b.until = now + b.delay
}

// reset records that an order found a connection.
func (b *connBackoff) reset() { *b = connBackoff{} }
