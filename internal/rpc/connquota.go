package rpc

import (
	"context"
	"time"

	"crosstide/internal/errs"
)

// retryAfter is when those that found no free connection are asked to try again.
const retryAfter = time.Second

// ConnQuota is one use's part of a ConnLimiter, a semaphore. A nil ConnQuota bounds nothing. The limiter's mutex guards
// its fields.
type ConnQuota struct {
	limiter   *ConnLimiter
	name      string
	reserved  int         // connections that no other quota can take
	used      int         // connections that are open or being opened
	waiters   waitQueue   // of acquire; a call that is woken has its connection
	evictIdle func() bool // closes an idle connection of this quota; nil: it has none
	rejected  uint64      // connections that found none free
}

// tryAcquire takes one connection of the quota if one is free. Idle connections are closed for it.
func (q *ConnQuota) tryAcquire() bool {
	if q == nil {
		return true
	}
	for {
		if q.takeFree() {
			return true
		}
		if !q.limiter.evictOne(q) {
			return false
		}
	}
}

// takeFree takes one connection if one is free and no earlier call waits for it.
func (q *ConnQuota) takeFree() bool {
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	if len(q.waiters) > 0 || !q.limiter.canAcquire(q) {
		return false
	}
	q.used++
	return true
}

// acquire takes one connection of the quota and waits for it until ctx ends: then it is errs.Overloaded.
func (q *ConnQuota) acquire(ctx context.Context) error {
	if q.tryAcquire() {
		return nil
	}
	q.limiter.mu.Lock()
	acquired := q.waiters.join()
	q.limiter.wakeWaiters() // a connection may have been released meanwhile
	q.limiter.mu.Unlock()
	select {
	case <-acquired:
		return nil
	case <-ctx.Done():
	}
	return errs.Pass(q.cancelWait(acquired), "no room for a connection")
}

// cancelWait removes a waiter; nil if it was woken at the same moment, and so has its connection.
func (q *ConnQuota) cancelWait(acquired chan struct{}) error {
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	if !q.waiters.leave(acquired) {
		return nil
	}
	q.rejected++
	err := errs.New(errs.Overloaded, "%s: %d connections are open", q.name, q.used)
	errs.Of(err).After = retryAfter
	return err
}

// countRejected counts a connection that found none free.
func (q *ConnQuota) countRejected() {
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	q.rejected++
}

// release returns one connection to the quota.
func (q *ConnQuota) release() {
	if q == nil {
		return
	}
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	q.used--
	q.limiter.wakeWaiters()
}

// onEvict sets what closes an idle connection of the quota; it reports whether there was one. It is called without
// locks.
func (q *ConnQuota) onEvict(evict func() bool) {
	if q == nil {
		return
	}
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	q.evictIdle = evict
}

// hasWaiters reports whether a call waits for a connection of any quota of the limiter.
func (q *ConnQuota) hasWaiters() bool { return q != nil && q.limiter.hasWaiters() }
