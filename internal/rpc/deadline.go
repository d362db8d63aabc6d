package rpc

import "time"

// waiting is what a connection waits for while it has no requests.
type waiting struct {
	reason waitReason
	since  time.Duration
}

// waitReason is the reason for which a connection waits.
type waitReason int

const (
	waitRequest waitReason = iota // for the first byte of a request
	waitHead                      // for the rest of a head
	waitBody                      // for the rest of a body
	waitPeer                      // for the peer to close
)

// timeout returns how long a connection may wait.
func (w waiting) timeout(limits Limits) time.Duration {
	switch w.reason {
	case waitHead:
		return limits.HeadTimeout
	case waitPeer:
		return lingerTimeout
	}
	return limits.IdleTimeout
}

// updateDeadline records what the connection waits for after bytes have arrived. Only the event loop calls it once the
// connection has been opened.
func (c *serverConn) updateDeadline(limits Limits) {
	next := waiting{reason: waitRequest, since: c.server.opt.Clock.Now()}
	if !c.incoming.isEmpty() {
		next.reason = waitBody
		if c.incoming.part == partHead {
			next.reason = waitHead
		}
	}
	c.mu.Lock()
	isSame := next.reason == c.waiting.reason && next.reason != waitRequest
	if c.waiting.reason != waitPeer && !isSame {
		c.waiting = next
	}
	hasTimer := c.timer != nil
	c.mu.Unlock()
	if !hasTimer || next.reason == waitHead && !isSame {
		c.setTimer(next.timeout(limits))
	}
}

// startLingering waits for the peer to close the connection, whose write side is shut down.
func (c *serverConn) startLingering() {
	c.mu.Lock()
	c.waiting = waiting{reason: waitPeer, since: c.server.opt.Clock.Now()}
	c.mu.Unlock()
	c.setTimer(lingerTimeout)
}

// setTimer makes checkDeadline run after d, or earlier if it is due earlier already.
func (c *serverConn) setTimer(d time.Duration) {
	clk := c.server.opt.Clock
	c.mu.Lock()
	defer c.mu.Unlock()
	at := clk.Now() + d
	if c.timer != nil {
		if c.timerAt <= at {
			return
		}
		c.timer.Stop()
	}
	c.timerAt = at
	c.timer = clk.Set(d, c.checkDeadline)
}

// checkDeadline ends the connection if it has waited for too long, and otherwise sets the timer for its deadline. The
// timer is not moved each time when the connection is used, so it runs about once per timeout.
func (c *serverConn) checkDeadline() {
	limits := c.server.limits()
	c.mu.Lock()
	c.timer = nil
	current := c.waiting
	isBusy := c.requests > 0 && current.reason != waitPeer
	c.mu.Unlock()
	if c.phase.Load() == connTerminated {
		return
	}
	allowed := current.timeout(limits)
	if quotaState(c.quota.Load()) == quotaRejected {
		allowed = lingerTimeout
	}
	remaining := current.since + allowed - c.server.opt.Clock.Now()
	switch {
	case isBusy:
		remaining = limits.IdleTimeout
	case remaining <= 0 && current.reason != waitPeer && c.hasUnread():
		remaining = lingerTimeout // the event loop is late, not the peer
	}
	if remaining > 0 {
		c.setTimer(remaining)
		return
	}
	if current.reason == waitHead || current.reason == waitBody {
		c.countRefusal(&timedOut)
	}
	c.terminate()
}

// hasUnread reports whether the socket has bytes that the event loop has not read yet.
func (c *serverConn) hasUnread() bool {
	n, err := peek(c.Conn)
	return err == nil && n > 0
}
