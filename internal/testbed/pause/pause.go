// Package pause waits on a clock for the programs of the testbed: until a time has passed, a context has ended or, for
// those that watch a state, something has changed. It starts no goroutine; the clock's timer closes a channel.
package pause

import (
	"context"
	"time"

	"crosstide/internal/clock"
)

// For waits until d has passed on c; false if ctx ends first.
func For(ctx context.Context, c clock.Clock, d time.Duration) bool {
	return Until(ctx, c, d, nil)
}

// Until waits until d has passed on c or changed is closed; false if ctx ends first. A nil changed is never closed.
func Until(ctx context.Context, c clock.Clock, d time.Duration, changed <-chan struct{}) bool {
	elapsed := make(chan struct{})
	defer c.Set(d, func() { close(elapsed) }).Stop()
	select {
	case <-elapsed:
	case <-changed:
	case <-ctx.Done():
		return false
	}
	return true
}
