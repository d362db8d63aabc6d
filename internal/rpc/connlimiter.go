package rpc

import (
	"context"
	"slices"
	"sync"
	"time"

	"crosstide/internal/errs"
)

// ConnLimiter bounds the connections of a process. It is cut into shares: each has a number of connections that nobody else
// can take, and may have more while the rest of the budget allows it. A Budget is safe for any number of goroutines.
type ConnLimiter struct {
	mu     sync.Mutex
	total  int
	quotas []*ConnQuota
}

// Quota is one use of a Budget. A nil Share bounds nothing.
type ConnQuota struct {
	limiter   *ConnLimiter
	name      string
	reserved  int
	used      int
	waiters   []chan struct{} // of acquire, the longest waiting first; closed when the connection may be opened
	evictIdle func() bool     // closes an idle connection of this share; nil: it has none
	rejected  uint64          // connections that found no room
}

// NewConnLimiter makes a budget of total connections.
func NewConnLimiter(total int) *ConnLimiter { return &ConnLimiter{total: total} }

// Quota adds a share to which least connections are reserved. Shares that are added first go first where several wait.
// More than is left of the budget is errs.Settings.
func (b *ConnLimiter) NewQuota(name string, reserved int) (*ConnQuota, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.total
	for _, s := range b.quotas {
		left -= s.reserved
	}
	if reserved < 0 || reserved > left {
		return nil, errs.Field(errs.Settings, name, "%d connections cannot be reserved, %d are left", reserved, left)
	}
	s := &ConnQuota{limiter: b, name: name, reserved: reserved}
	b.quotas = append(b.quotas, s)
	return s, nil
}

// QuotaUsage tells how a share stands.
type QuotaUsage struct {
	Name     string
	Used     int    // connections that are open or being opened
	Reserved int    // reserved to it
	Waiting  int    // calls that wait for a connection
	Rejected uint64 // connections that found no room, since the start
}

// Usage tells how all shares stand, in the order in which they were added.
func (b *ConnLimiter) Usage() []QuotaUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]QuotaUsage, 0, len(b.quotas))
	for _, s := range b.quotas {
		out = append(out, QuotaUsage{Name: s.name, Used: s.used, Reserved: s.reserved, Waiting: len(s.waiters), Rejected: s.rejected})
	}
	return out
}

// canAcquire tells whether s may have one more. The mutex is held.
func (b *ConnLimiter) canAcquire(s *ConnQuota) bool {
	if s.used < s.reserved {
		return true
	}
	rest := b.total
	for _, other := range b.quotas {
		rest -= max(other.used, other.reserved)
	}
	return rest > 0
}

// wake lets those that wait open a connection, as far as there is room. The mutex is held.
func (b *ConnLimiter) wake() {
	for _, s := range b.quotas {
		for len(s.waiters) > 0 && b.canAcquire(s) {
			close(s.waiters[0])
			s.waiters = s.waiters[1:]
			s.used++
		}
	}
}

// hasWaiters tells whether a call waits for a connection.
func (b *ConnLimiter) hasWaiters() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.quotas, func(s *ConnQuota) bool { return len(s.waiters) > 0 })
}

// tryAcquire takes a connection for s if there is room.
func (b *ConnLimiter) tryAcquire(s *ConnQuota) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(s.waiters) > 0 || !b.canAcquire(s) {
		return false
	}
	s.used++
	return true
}

// evictOne closes an idle connection: one of s, or of a share that has more than is reserved to it.
func (b *ConnLimiter) evictOne(s *ConnQuota) bool {
	b.mu.Lock()
	var from []func() bool
	for _, other := range b.quotas {
		if other.evictIdle != nil && (other == s || other.used > other.reserved) {
			from = append(from, other.evictIdle)
		}
	}
	b.mu.Unlock()
	return slices.ContainsFunc(from, func(reclaim func() bool) bool { return reclaim() })
}

// tryAcquire takes room for one connection. Idle connections are closed for it.
func (s *ConnQuota) tryAcquire() bool {
	if s == nil {
		return true
	}
	for {
		if s.limiter.tryAcquire(s) {
			return true
		}
		if !s.limiter.evictOne(s) {
			return false
		}
	}
}

// retryAfter is told to whoever found no room.
const retryAfter = time.Second

// acquire takes room for one connection and waits for it until ctx ends: then it is errs.Overloaded.
func (s *ConnQuota) acquire(ctx context.Context) error {
	if s.tryAcquire() {
		return nil
	}
	turn := make(chan struct{})
	s.limiter.mu.Lock()
	s.waiters = append(s.waiters, turn)
	s.limiter.wake() // room may have come up meanwhile
	s.limiter.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	return errs.Pass(s.cancelWait(turn), "no room for a connection")
}

// cancelWait takes a call off the list of those that wait; nil if its turn came at the same moment.
func (s *ConnQuota) cancelWait(turn chan struct{}) error {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	at := slices.Index(s.waiters, turn)
	if at < 0 {
		return nil
	}
	s.waiters = slices.Delete(s.waiters, at, at+1)
	s.rejected++
	err := errs.New(errs.Overloaded, "%s: %d connections are open", s.name, s.used)
	errs.Of(err).After = retryAfter
	return err
}

// countRejected counts a connection that found no room.
func (s *ConnQuota) countRejected() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.rejected++
}

// release gives the room of a connection back.
func (s *ConnQuota) release() {
	if s == nil {
		return
	}
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.used--
	s.limiter.wake()
}

// onEvict sets what closes an idle connection of the share; it tells whether there was one.
func (s *ConnQuota) onEvict(close func() bool) {
	if s == nil {
		return
	}
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.evictIdle = close
}

// hasWaiters tells whether a call waits for a connection of the budget.
func (s *ConnQuota) hasWaiters() bool { return s != nil && s.limiter.hasWaiters() }
