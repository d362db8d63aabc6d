package rpc

import (
	"context"
	"sync"

	"crosstide/internal/errs"
)

// addressLimiter limits the number of concurrent calls to each address; further calls wait in FIFO order. It is safe
// for concurrent use.
type addressLimiter struct {
	limit int // maximum number of concurrent calls to one address; 0: no limit

	mu      sync.Mutex           // guards the fields below
	running map[string]int       // number of concurrent calls by address; no zero entries
	waiting map[string]waitQueue // calls that wait, by address; no empty queues
}

func newAddressLimiter(limit int) *addressLimiter {
	return &addressLimiter{limit: limit, running: map[string]int{}, waiting: map[string]waitQueue{}}
}

// acquire waits until a call to addr may run; the caller must then call release once. Failure: Timeout if ctx ends
// first.
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
		return nil // release woke the call at the moment when ctx ended: it may run
	}
	l.setWaiting(addr, queue)
	return errs.Wrap(ctx.Err(), errs.Timeout, "wait for earlier calls to %s", addr)
}

// release ends a call to addr. If others wait, it wakes the one that has waited longest, which takes the place of the
// ended call: running does not change.
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

// setWaiting sets the queue of an address, and removes the entry if the queue is empty. The caller holds mu.
func (l *addressLimiter) setWaiting(addr string, queue waitQueue) {
	if len(queue) == 0 {
		delete(l.waiting, addr)
		return
	}
	l.waiting[addr] = queue
}
