package rpc

import (
	"slices"
	"sync"

	"crosstide/internal/errs"
)

// ConnLimiter bounds the open connections of a process. It is divided into quotas: each has a number of connections
// reserved that no other can take, and may have more as long as all reservations can still be met. It is safe for
// concurrent use.
type ConnLimiter struct {
	limit int // most connections of all quotas together

	mu     sync.Mutex   // guards quotas, and the fields of each
	quotas []*ConnQuota // in the order in which they were added
}

// NewConnLimiter returns a limiter without quotas.
func NewConnLimiter(limit int) *ConnLimiter { return &ConnLimiter{limit: limit} }

// NewQuota adds a quota with a number of connections reserved. If several quotas have waiters, those of the one added
// first come first. Failure: Settings for a reservation that is more than what is left of the limit.
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

// QuotaUsage is the state of a quota, for metrics and operators.
type QuotaUsage struct {
	Name     string
	Used     int    // connections that are open or being opened
	Reserved int    // connections that no other quota can take
	Waiting  int    // calls that wait for a connection
	Rejected uint64 // connections and calls that got none, since the start
}

// Usage returns the state of each quota, in the order in which they were added.
func (l *ConnLimiter) Usage() []QuotaUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usages := make([]QuotaUsage, 0, len(l.quotas))
	for _, q := range l.quotas {
		usages = append(usages, QuotaUsage{
			Name: q.name, Used: q.used, Reserved: q.reserved, Waiting: len(q.waiters), Rejected: q.rejected,
		})
	}
	return usages
}

// canAcquire reports whether q may have one more connection: of those reserved to it, or beyond all reservations. The
// caller holds mu.
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

// wakeWaiters wakes as many waiters as there are free connections, and counts one as used by each. The caller holds mu.
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

// evictOne closes an idle connection, of q or of a quota that uses more than is reserved to it. It reports false if
// there is none. The caller does not hold mu.
func (l *ConnLimiter) evictOne(q *ConnQuota) bool {
	l.mu.Lock()
	var evictors []func() bool
	for _, other := range l.quotas {
		if other.evictIdle != nil && (other == q || other.used > other.reserved) {
			evictors = append(evictors, other.evictIdle)
		}
	}
	l.mu.Unlock() // an evictor releases what it closes, and release locks mu
	return slices.ContainsFunc(evictors, func(evict func() bool) bool { return evict() })
}
