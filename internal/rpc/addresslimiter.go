package rpc

import (
	"context"
	"sync"

	"crosstide/internal/errs"
)

// addressLimiter bounds the concurrent calls to each address; further calls wait, first come, first served.
type addressLimiter struct {
	limit int // calls to one address; 0: any number

	mu      sync.Mutex           // guards the fields below
	running map[string]int       // by address; no zero entries
	waiting map[string]waitQueue // by address; a call that is woken may run; no empty queues
}

func newAddressLimiter(limit int) *addressLimiter {
	return &addressLimiter{limit: limit, running: map[string]int{}, waiting: map[string]waitQueue{}}
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
	queue := l.waiting[addr]
	acquired := queue.join()
	l.waiting[addr] = queue
	l.mu.Unlock()
	select {
	case <-acquired:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	queue = l.waiting[addr]
	if !queue.leave(acquired) {
		return nil // acquired at the same moment
	}
	l.setWaiting(addr, queue)
	return errs.Wrap(ctx.Err(), errs.Timeout, "earlier calls to %s are not over", addr)
}

// release ends a call to addr: the longest waiting one may run.
func (l *addressLimiter) release(addr string) {
	if l.limit <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if queue := l.waiting[addr]; len(queue) > 0 {
		queue.wakeFirst()
		l.setWaiting(addr, queue)
		return
	}
	if l.running[addr]--; l.running[addr] == 0 {
		delete(l.running, addr)
	}
}

// setWaiting keeps no entry for an address without waiting calls. The caller holds mu.
func (l *addressLimiter) setWaiting(addr string, queue waitQueue) {
	if len(queue) == 0 {
		delete(l.waiting, addr)
		return
	}
	l.waiting[addr] = queue
}
