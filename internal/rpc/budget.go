package rpc

import (
	"context"
	"slices"
	"sync"
	"time"

	"crosstide/internal/errs"
)

// Budget bounds the connections of a process. It is cut into shares: each has a number of connections that nobody else
// can take, and may have more while the rest of the budget allows it. A Budget is safe for any number of goroutines.
type Budget struct {
	mu     sync.Mutex
	total  int
	shares []*Share
}

// Share is one use of a Budget. A nil Share bounds nothing.
type Share struct {
	budget  *Budget
	name    string
	least   int
	used    int
	waiting []chan struct{} // of acquire, the longest waiting first; closed when the connection may be opened
	reclaim func() bool     // closes an idle connection of this share; nil: it has none
	refused uint64          // connections that found no room
}

// NewBudget makes a budget of total connections.
func NewBudget(total int) *Budget { return &Budget{total: total} }

// Share adds a share to which least connections are reserved. Shares that are added first go first where several wait.
// More than is left of the budget is errs.Settings.
func (b *Budget) Share(name string, least int) (*Share, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.total
	for _, s := range b.shares {
		left -= s.least
	}
	if least < 0 || least > left {
		return nil, errs.Field(errs.Settings, name, "%d connections cannot be reserved, %d are left", least, left)
	}
	s := &Share{budget: b, name: name, least: least}
	b.shares = append(b.shares, s)
	return s, nil
}

// ShareUse tells how a share stands.
type ShareUse struct {
	Name    string
	Used    int    // connections that are open or being opened
	Least   int    // reserved to it
	Waiting int    // calls that wait for a connection
	Refused uint64 // connections that found no room, since the start
}

// Use tells how all shares stand, in the order in which they were added.
func (b *Budget) Use() []ShareUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]ShareUse, 0, len(b.shares))
	for _, s := range b.shares {
		out = append(out, ShareUse{Name: s.name, Used: s.used, Least: s.least, Waiting: len(s.waiting), Refused: s.refused})
	}
	return out
}

// mayTake tells whether s may have one more. The mutex is held.
func (b *Budget) mayTake(s *Share) bool {
	if s.used < s.least {
		return true
	}
	rest := b.total
	for _, other := range b.shares {
		rest -= max(other.used, other.least)
	}
	return rest > 0
}

// wake lets those that wait open a connection, as far as there is room. The mutex is held.
func (b *Budget) wake() {
	for _, s := range b.shares {
		for len(s.waiting) > 0 && b.mayTake(s) {
			close(s.waiting[0])
			s.waiting = s.waiting[1:]
			s.used++
		}
	}
}

// isAwaited tells whether a call waits for a connection.
func (b *Budget) isAwaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.shares, func(s *Share) bool { return len(s.waiting) > 0 })
}

// tryTake takes a connection for s if there is room.
func (b *Budget) tryTake(s *Share) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(s.waiting) > 0 || !b.mayTake(s) {
		return false
	}
	s.used++
	return true
}

// reclaimOne closes an idle connection: one of s, or of a share that has more than is reserved to it.
func (b *Budget) reclaimOne(s *Share) bool {
	b.mu.Lock()
	var from []func() bool
	for _, other := range b.shares {
		if other.reclaim != nil && (other == s || other.used > other.least) {
			from = append(from, other.reclaim)
		}
	}
	b.mu.Unlock()
	return slices.ContainsFunc(from, func(reclaim func() bool) bool { return reclaim() })
}

// tryAcquire takes room for one connection. Idle connections are closed for it.
func (s *Share) tryAcquire() bool {
	if s == nil {
		return true
	}
	for {
		if s.budget.tryTake(s) {
			return true
		}
		if !s.budget.reclaimOne(s) {
			return false
		}
	}
}

// comeBack is told to whoever found no room.
const comeBack = time.Second

// acquire takes room for one connection and waits for it until ctx ends: then it is errs.Overloaded.
func (s *Share) acquire(ctx context.Context) error {
	if s.tryAcquire() {
		return nil
	}
	turn := make(chan struct{})
	s.budget.mu.Lock()
	s.waiting = append(s.waiting, turn)
	s.budget.wake() // room may have come up meanwhile
	s.budget.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	return errs.Pass(s.giveUp(turn), "no room for a connection")
}

// giveUp takes a call off the list of those that wait; nil if its turn came at the same moment.
func (s *Share) giveUp(turn chan struct{}) error {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	at := slices.Index(s.waiting, turn)
	if at < 0 {
		return nil
	}
	s.waiting = slices.Delete(s.waiting, at, at+1)
	s.refused++
	err := errs.New(errs.Overloaded, "%s: %d connections are open", s.name, s.used)
	errs.Of(err).After = comeBack
	return err
}

// refuse counts a connection that found no room.
func (s *Share) refuse() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.refused++
}

// release gives the room of a connection back.
func (s *Share) release() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.used--
	s.budget.wake()
}

// onReclaim sets what closes an idle connection of the share; it tells whether there was one.
func (s *Share) onReclaim(close func() bool) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.reclaim = close
}

// isAwaited tells whether a call waits for a connection of the budget.
func (s *Share) isAwaited() bool { return s != nil && s.budget.isAwaited() }
