package rpc

import (
	"context"
	"slices"
	"sync"

	"crosstide/internal/errs"
)

// addressLimiter bounds the concurrent calls to each address; further calls wait, first come, first served.
type addressLimiter struct {
	limit int // calls to one address; 0: any number

	mu      sync.Mutex                 // guards the fields below
	running map[string]int             // by address; no zero entries
	waiting map[string][]chan struct{} // by address, the longest waiting first; closed when the call may run
}

func newAddressLimiter(limit int) *addressLimiter {
	return &addressLimiter{limit: limit, running: map[string]int{}, waiting: map[string][]chan struct{}{}}
}

// acquire waits until a call to addr may run, at most until ctx ends: then it is errs.Timeout. After nil, release is
// due.
func (l *addressLimiter) acquire(ctx context.Context, addr string) error {
	if l.limit <= 0 {
		return nil
	}
	l.mu.Lock()
	if l.running[addr] < l.limit {
		l.running[addr]++
		l.mu.Unlock()
		return nil
	}
	acquired := make(chan struct{})
	l.waiting[addr] = append(l.waiting[addr], acquired)
	l.mu.Unlock()
	select {
	case <-acquired:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := slices.Index(l.waiting[addr], acquired); at >= 0 {
		l.setWaiting(addr, slices.Delete(l.waiting[addr], at, at+1))
		return errs.Wrap(ctx.Err(), errs.Timeout, "earlier calls to %s are not over", addr)
	}
	return nil // acquired at the same moment
}

// release ends a call to addr: the longest waiting one may run.
func (l *addressLimiter) release(addr string) {
	if l.limit <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if next := l.waiting[addr]; len(next) > 0 {
		close(next[0])
		l.setWaiting(addr, next[1:])
		return
	}
	if l.running[addr]--; l.running[addr] == 0 {
		delete(l.running, addr)
	}
}

// setWaiting keeps no entry for an address without waiting calls. The caller holds mu.
func (l *addressLimiter) setWaiting(addr string, waiting []chan struct{}) {
	if len(waiting) == 0 {
		delete(l.waiting, addr)
		return
	}
	l.waiting[addr] = waiting
}
