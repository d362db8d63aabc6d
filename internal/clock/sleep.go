package clock

import "time"

// Sleep pauses the calling goroutine for d on clk. It returns true after all of d has passed, and false as soon as done
// is closed. Example:
//
//	if !clock.Sleep(ctx.Done(), clk, retryInterval) {
//		return // ctx has ended
//	}
func Sleep(done <-chan struct{}, clk Clock, d time.Duration) bool {
	fired := make(chan struct{})
	timer := clk.Set(d, func() { close(fired) })
	select {
	case <-fired:
		return true
	case <-done:
		timer.Stop()
		return false
	}
}
