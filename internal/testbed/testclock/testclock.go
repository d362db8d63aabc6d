// Package testclock is a clock for the testbed's own tests: a test that waits on it takes no time.
package testclock

import (
	"sync"
	"time"

	"crosstide/internal/clock"
)

// Elapsing is a clock on which every timer fires while it is set: its time has passed. The zero value starts at 0.
type Elapsing struct {
	mu  sync.Mutex
	now time.Duration
}

// Now is the time that all timers so far have taken.
func (c *Elapsing) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Wall is Now since the beginning of Unix time.
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

// Stop reports that the timer had fired already.
func (fired) Stop() bool { return false }
