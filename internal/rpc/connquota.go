package rpc

import (
	"context"
	"time"

	"crosstide/internal/errs"
)

// retryAfter is the retry time of connections and calls that are rejected for lack of a free connection.
const retryAfter = time.Second

// ConnQuota is a share of a ConnLimiter: a semaphore for the connections of one server or client. A nil ConnQuota has
// no limit. The limiter's mutex guards the fields from used on.
type ConnQuota struct {
	limiter   *ConnLimiter
	name      string
	reserved  int         // connections that no other quota can use
	used      int         // connections that are open or being opened
	waiters   waitQueue   // calls of acquire that wait; a call that is woken has a connection, counted in used
	evictIdle func() bool // closes an idle connection of this quota, see onEvict; nil: idle connections are not kept
	rejected  uint64      // connections and calls that were rejected
}

// tryAcquire acquires a connection if one is free, or can be freed by closing idle ones, and reports whether it did. It
// does not wait.
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

// takeFree acquires a connection if one is free and no call is waiting for this quota, and reports whether it did.
func (q *ConnQuota) takeFree() bool {
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	if len(q.waiters) > 0 || !q.limiter.canAcquire(q) {
		return false
	}
	q.used++
	return true
}

// acquire acquires a connection, and waits for it if none is free. Failure: Overloaded if ctx ends first.
func (q *ConnQuota) acquire(ctx context.Context) error {
	if q.tryAcquire() {
		return nil
	}
	q.limiter.mu.Lock()
	acquired := q.waiters.join()
	q.limiter.wakeWaiters() // a connection may have been released since tryAcquire
	q.limiter.mu.Unlock()
	select {
	case <-acquired:
		return nil
	case <-ctx.Done():
	}
	return errs.Pass(q.cancelWait(acquired), "acquire a connection")
}

// cancelWait removes a waiter and returns its error, or nil if it was woken at the same time and has its connection.
func (q *ConnQuota) cancelWait(acquired chan struct{}) error {
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	if !q.waiters.leave(acquired) {
		return nil
	}
	q.rejected++
	err := errs.New(errs.Overloaded, "%s: connection quota exhausted, %d in use", q.name, q.used)
	errs.Of(err).RetryAfter = retryAfter
	return err
}

// countRejected counts a connection that a server rejects.
func (q *ConnQuota) countRejected() {
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	q.rejected++
}

// release returns a connection to the quota, and wakes the waiters that can now be served.
func (q *ConnQuota) release() {
	if q == nil {
		return
	}
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	q.used--
	q.limiter.wakeWaiters()
}

// onEvict sets the function that closes an idle connection of the quota and reports whether there was one. It is called
// without the limiter's mutex.
func (q *ConnQuota) onEvict(evict func() bool) {
	if q == nil {
		return
	}
	q.limiter.mu.Lock()
	defer q.limiter.mu.Unlock()
	q.evictIdle = evict
}

// hasWaiters reports whether a call is waiting for a connection, of any quota of the limiter.
func (q *ConnQuota) hasWaiters() bool { return q != nil && q.limiter.hasWaiters() }
