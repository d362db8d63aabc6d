package rpc

import "time"

// touch records that bytes have arrived on the connection, or that it was opened.
func (c *serverConn) touch() {
	c.mu.Lock()
	c.quietSince = c.clock.Now()
	hasTimer := c.timer != nil
	c.mu.Unlock()
	if !hasTimer {
		c.setTimer(idleTimeout)
	}
}

// startLingering waits for the peer to close the connection, whose write side is shut down.
func (c *serverConn) startLingering() {
	c.mu.Lock()
	c.lingerUntil = c.clock.Now() + lingerTimeout
	c.mu.Unlock()
	c.setTimer(lingerTimeout)
}

// setTimer makes checkDeadline run after d, or earlier if it is due earlier already.
func (c *serverConn) setTimer(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.clock.Now() + d
	if c.timer != nil {
		if c.timerAt <= at {
			return
		}
		c.timer.Stop()
	}
	c.timerAt = at
	c.timer = c.clock.Set(d, c.checkDeadline)
}

// checkDeadline ends the connection if its deadline has passed, and otherwise sets the timer for it. The timer is not
// moved each time when the connection is used, so it runs about once per timeout.
func (c *serverConn) checkDeadline() {
	c.mu.Lock()
	c.timer = nil
	remaining := c.deadline() - c.clock.Now()
	c.mu.Unlock()
	if c.phase.Load() == connTerminated {
		return
	}
	if remaining <= 0 {
		c.terminate()
		return
	}
	c.setTimer(remaining)
}

// deadline returns when the connection ends unless it is used before. The caller holds mu.
func (c *serverConn) deadline() time.Duration {
	switch {
	case c.phase.Load() == connLingering:
		return c.lingerUntil
	case c.requests > 0:
		return c.clock.Now() + idleTimeout
	}
	return c.quietSince + idleTimeout
}
