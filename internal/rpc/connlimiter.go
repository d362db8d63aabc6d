package rpc

import (
	"slices"
	"sync"

	"crosstide/internal/errs"
)

// ConnLimiter bounds the open connections of a process. It is divided into quotas: each has connections reserved to it
// that nobody else can take, and may have more while the rest of the limit allows it. It is safe for concurrent use.
type ConnLimiter struct {
	mu     sync.Mutex // guards quotas and what is in each of them
	limit  int        // fixed
	quotas []*ConnQuota
}

// NewConnLimiter makes a limiter of so many connections.
func NewConnLimiter(limit int) *ConnLimiter { return &ConnLimiter{limit: limit} }

// NewQuota adds a quota to which connections are reserved. Quotas that are added first are served first where several
// have waiters. A reservation beyond what is left of the limit is errs.Settings.
func (l *ConnLimiter) NewQuota(name string, reserved int) (*ConnQuota, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.limit
	for _, q := range l.quotas {
		left -= q.reserved
	}
	if reserved < 0 || reserved > left {
		return nil, errs.Field(errs.Settings, name, "%d connections cannot be reserved, %d are left", reserved, left)
	}
	q := &ConnQuota{limiter: l, name: name, reserved: reserved}
	l.quotas = append(l.quotas, q)
	return q, nil
}

// QuotaUsage is the state of a quota.
type QuotaUsage struct {
	Name     string
	Used     int    // connections that are open or being opened
	Reserved int    // reserved to it
	Waiting  int    // calls that wait for a connection
	Rejected uint64 // connections that found none free, since the start
}

// Usage returns the state of all quotas, in the order in which they were added.
func (l *ConnLimiter) Usage() []QuotaUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]QuotaUsage, 0, len(l.quotas))
	for _, q := range l.quotas {
		out = append(out, QuotaUsage{
			Name: q.name, Used: q.used, Reserved: q.reserved, Waiting: len(q.waiters), Rejected: q.rejected,
		})
	}
	return out
}

// canAcquire reports whether q may have one more connection. The caller holds mu.
func (l *ConnLimiter) canAcquire(q *ConnQuota) bool {
	if q.used < q.reserved {
		return true
	}
	free := l.limit
	for _, other := range l.quotas {
		free -= max(other.used, other.reserved)
	}
	return free > 0
}

// wakeWaiters lets waiters open a connection, as many as there are free. The caller holds mu.
func (l *ConnLimiter) wakeWaiters() {
	for _, q := range l.quotas {
		for len(q.waiters) > 0 && l.canAcquire(q) {
			q.waiters.wakeFirst()
			q.used++
		}
	}
}

// hasWaiters reports whether a call waits for a connection of any quota.
func (l *ConnLimiter) hasWaiters() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.quotas, func(q *ConnQuota) bool { return len(q.waiters) > 0 })
}

// evictOne closes an idle connection: one of q, or of a quota that uses more than is reserved to it.
func (l *ConnLimiter) evictOne(q *ConnQuota) bool {
	l.mu.Lock()
	var evictors []func() bool
	for _, other := range l.quotas {
		if other.evictIdle != nil && (other == q || other.used > other.reserved) {
			evictors = append(evictors, other.evictIdle)
		}
	}
	l.mu.Unlock() // an evictor releases what it closes, which locks mu
	return slices.ContainsFunc(evictors, func(evict func() bool) bool { return evict() })
}
