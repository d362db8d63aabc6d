// Package testclock has the clock of tests whose code under test waits: each wait takes no time. It is for tests only.
// Tests that must decide when time passes use clock.Virtual.
package testclock

import (
	"sync"
	"time"

	"crosstide/internal/clock"
)

// Elapsing is a clock on which every timer fires while it is set, as if its time had passed. The zero value starts
// at 0.
type Elapsing struct {
	mu  sync.Mutex
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

// Set advances the clock by d and calls call.
func (c *Elapsing) Set(d time.Duration, call func()) clock.Stopper {
	c.mu.Lock()
	c.now += max(d, 0)
	c.mu.Unlock()
	call()
	return fired{}
}

// fired is a timer that has fired.
type fired struct{}

// Stop returns false: the timer has fired already.
func (fired) Stop() bool { return false }
