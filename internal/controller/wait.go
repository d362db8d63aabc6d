package controller

import (
	"context"
	"time"

	"crosstide/internal/clock"
)

// sleep waits for d on the clock, or until ctx ends.
func sleep(ctx context.Context, on clock.Clock, d time.Duration) {
	over := make(chan struct{})
	timer := on.Set(d, func() { close(over) })
	defer timer.Stop()
	select {
	case <-over:
	case <-ctx.Done():
	}
}

// withTimeout bounds a context by the clock.
func withTimeout(ctx context.Context, on clock.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	timer := on.Set(timeout, cancel)
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}
