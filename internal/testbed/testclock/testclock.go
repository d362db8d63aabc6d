// Package testclock provides a clock for tests of code that waits: its timers fire immediately. Tests that control when
// time passes use clock.Virtual instead.
package testclock

import (
	"sync"
	"time"

	"crosstide/internal/clock"
)

// Elapsing is a clock whose timers fire when they are set, as if their duration had passed. The zero value starts at 0.
// It is safe for concurrent use.
type Elapsing struct {
	mu  sync.Mutex // guards now
	now time.Duration
}

// Now returns the sum of the durations of all timers set so far.
func (c *Elapsing) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Wall returns the Unix epoch plus Now.
func (c *Elapsing) Wall() time.Time { return time.Unix(0, int64(c.Now())) }

// Set advances the clock by d, if d is positive, and calls call before it returns.
func (c *Elapsing) Set(d time.Duration, call func()) clock.Stopper {
	c.mu.Lock()
	c.now += max(d, 0)
	c.mu.Unlock()
	call()
	return firedTimer{}
}

// fired is a timer that has fired.
type firedTimer struct{}

// Stop returns false because the timer has already fired.
func (firedTimer) Stop() bool { return false }
