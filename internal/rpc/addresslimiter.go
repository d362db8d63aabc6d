package rpc

import (
	"context"
	"slices"
	"sync"

	"crosstide/internal/errs"
)

// addressLimiter lets so many calls to an address run at a time; the others wait, first come, first served.
type addressLimiter struct {
	limit int // 0: any number

	mu      sync.Mutex
	running map[string]int
	waiting map[string][]chan struct{} // closed when the turn comes
}

func newAddressLimiter(most int) *addressLimiter {
	return &addressLimiter{limit: most, running: map[string]int{}, waiting: map[string][]chan struct{}{}}
}

// acquire waits for a turn at addr until ctx ends: then it is errs.Timeout. Each turn is to be released.
func (t *addressLimiter) acquire(ctx context.Context, addr string) error {
	if t.limit <= 0 {
		return nil
	}
	t.mu.Lock()
	if t.running[addr] < t.limit {
		t.running[addr]++
		t.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	t.waiting[addr] = append(t.waiting[addr], turn)
	t.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := slices.Index(t.waiting[addr], turn); at >= 0 {
		t.setWaiting(addr, slices.Delete(t.waiting[addr], at, at+1))
		return errs.Wrap(ctx.Err(), errs.Timeout, "earlier calls to %s are not over", addr)
	}
	return nil // the turn came at the same moment
}

// release passes a turn at addr on.
func (t *addressLimiter) release(addr string) {
	if t.limit <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if next := t.waiting[addr]; len(next) > 0 {
		close(next[0])
		t.setWaiting(addr, next[1:])
		return
	}
	if t.running[addr]--; t.running[addr] == 0 {
		delete(t.running, addr)
	}
}

// setWaiting keeps no entry for an address at which nobody waits. The mutex is held.
func (t *addressLimiter) setWaiting(addr string, waiting []chan struct{}) {
	if len(waiting) == 0 {
		delete(t.waiting, addr)
		return
	}
	t.waiting[addr] = waiting
}
