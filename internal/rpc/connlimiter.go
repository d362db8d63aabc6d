package rpc

import (
	"slices"
	"sync"

	"crosstide/internal/errs"
)

// ConnLimiter limits the open connections of a process. It is divided into quotas. Each quota has a number of reserved
// connections that no other quota can use, and may use more as long as the reservations of all others can still be met.
// It is safe for concurrent use.
type ConnLimiter struct {
	limit int // maximum number of connections of all quotas together

	mu     sync.Mutex   // guards quotas, and the fields of each
	quotas []*ConnQuota // in the order in which they were added
}

// NewConnLimiter returns a limiter without quotas.
func NewConnLimiter(limit int) *ConnLimiter { return &ConnLimiter{limit: limit} }

// NewQuota adds a quota with a number of reserved connections. If several quotas have waiters, those of the quota that
// was added first are served first. Failure: Settings if reserved is negative or exceeds the unreserved connections.
func (l *ConnLimiter) NewQuota(name string, reserved int) (*ConnQuota, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unreserved := l.limit
	for _, q := range l.quotas {
		unreserved -= q.reserved
	}
	if reserved < 0 || reserved > unreserved {
		return nil, errs.Field(errs.Settings, name,
			"cannot reserve %d connections, %d are unreserved", reserved, unreserved)
	}
	q := &ConnQuota{limiter: l, name: name, reserved: reserved}
	l.quotas = append(l.quotas, q)
	return q, nil
}

// QuotaUsage is the state of a quota, for metrics and operators.
type QuotaUsage struct {
	Name     string
	Used     int    // connections that are open or being opened
	Reserved int    // connections that no other quota can use
	Waiting  int    // calls that wait for a connection
	Rejected uint64 // connections and calls rejected since the process started
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

// canAcquire reports whether q may use one more connection: one of its reserved connections, or one that is neither
// used nor reserved by any quota. The caller holds mu.
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

// wakeWaiters wakes as many waiters as there are free connections, and counts a connection as used for each. The caller
// holds mu.
func (l *ConnLimiter) wakeWaiters() {
	for _, q := range l.quotas {
		for len(q.waiters) > 0 && l.canAcquire(q) {
			q.waiters.wakeFirst()
			q.used++
		}
	}
}

// hasWaiters reports whether a call is waiting for a connection, of any quota.
func (l *ConnLimiter) hasWaiters() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.quotas, func(q *ConnQuota) bool { return len(q.waiters) > 0 })
}

// evictOne closes an idle connection of q, or of another quota that uses more than its reservation, and reports whether
// there was one. The caller must not hold mu.
func (l *ConnLimiter) evictOne(q *ConnQuota) bool {
	l.mu.Lock()
	var evictors []func() bool
	for _, other := range l.quotas {
		if other.evictIdle != nil && (other == q || other.used > other.reserved) {
			evictors = append(evictors, other.evictIdle)
		}
	}
	l.mu.Unlock() // an evictor calls release, which locks mu
	return slices.ContainsFunc(evictors, func(evict func() bool) bool { return evict() })
}
