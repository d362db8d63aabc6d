package controller

import (
	"context"
	"time"

	"crosstide/internal/clock"
)

// sleep waits for d on the clock, or until ctx ends.
func sleep(ctx context.Context, clk clock.Clock, d time.Duration) { clock.Sleep(ctx.Done(), clk, d) }

// withTimeout returns a context that ends after timeout on clk. The caller must call the CancelFunc.
func withTimeout(ctx context.Context, clk clock.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	timer := clk.Set(timeout, cancel)
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}
