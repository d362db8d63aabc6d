// Package clock holds the clock and its timers: Real for the daemons, Virtual for tests and simulators. All else gets
// its time from a Clock, so that a test or a simulator decides what the time is.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start that counts suspension and never goes back, and sets timers.
type Clock interface {
	// Now is the time since the clock's start. It counts the time a machine was suspended.
	Now() time.Duration
	// Wall is the time of day, for log lines and the ages of records, never for leases.
	Wall() time.Time
	// Set calls call once after d, on a goroutine of the clock. Stop of the result cancels that.
	Set(d time.Duration, call func()) Stopper
}

// Stopper cancels a timer. Stop reports whether that kept it from firing.
type Stopper interface{ Stop() bool }

// Real is the machine's clock (CLOCK_BOOTTIME).
type Real struct{}

// Now reads CLOCK_BOOTTIME, which goes on while the machine or the process is suspended.
func (Real) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall is time.Now.
func (Real) Wall() time.Time { return time.Now() }

// Set is time.AfterFunc.
func (Real) Set(d time.Duration, call func()) Stopper { return time.AfterFunc(d, call) }
