package rpc

import (
	"container/list"
	"sync"
	"time"

	"crosstide/internal/clock"
)

// pool keeps the open connections of a caller: those in use and, by address, the idle ones.
type pool struct {
	clock       clock.Clock
	maxIdle     int           // idle connections kept per address
	idleTimeout time.Duration // an idle connection is closed after it
	quota       *ConnQuota    // bounds the open connections; nil: nothing does

	mu        sync.Mutex
	idle      map[string][]*connection // the last one used comes last
	idleByAge *list.List               // all idle connections, idle for longest first
	open      map[*connection]struct{} // all open connections
	closed    bool
}

func newPool(clock clock.Clock, most int, idleFor time.Duration, quota *ConnQuota) *pool {
	p := &pool{clock: clock, maxIdle: most, idleTimeout: idleFor, quota: quota, idle: map[string][]*connection{}, idleByAge: list.New(),
		open: map[*connection]struct{}{}}
	quota.onEvict(p.evictOldestIdle)
	return p
}

// add takes a connection that was just opened; false: the pool is closed.
func (p *pool) add(l *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[l] = struct{}{}
	return true
}

// acquire gives an idle connection to addr; nil if there is none. What is too old or was closed by the peer is dropped.
func (p *pool) get(addr string) *connection {
	for {
		p.mu.Lock()
		l := p.newestIdle(addr)
		if l != nil {
			p.removeIdle(l)
		}
		p.mu.Unlock()
		if l == nil || p.clock.Now()-l.idleSince < p.idleTimeout && l.alive() {
			return l
		}
		p.discard(l)
	}
}

// newestIdle gives the idle connection to addr that was used last; nil if there is none. The mutex is held.
func (p *pool) newestIdle(addr string) *connection {
	if kept := p.idle[addr]; len(kept) > 0 {
		return kept[len(kept)-1]
	}
	return nil
}

// put keeps a connection that is not in use any more, and closes those for which there is no place.
func (p *pool) put(l *connection) {
	for _, surplus := range p.addIdle(l) {
		p.discard(surplus)
	}
	if p.quota.hasWaiters() {
		p.evictOldestIdle()
	}
}

// addIdle makes l idle and gives the connections that are to be dropped.
func (p *pool) addIdle(l *connection) (surplus []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return []*connection{l}
	}
	l.idleSince = p.clock.Now()
	l.idleElement = p.idleByAge.PushBack(l)
	p.idle[l.addr] = append(p.idle[l.addr], l)
	if kept := p.idle[l.addr]; len(kept) > p.maxIdle {
		surplus = append(surplus, kept[0])
		p.removeIdle(kept[0])
	}
	for oldest := p.oldestIdle(); oldest != nil && l.idleSince-oldest.idleSince >= p.idleTimeout; oldest = p.oldestIdle() {
		surplus = append(surplus, oldest)
		p.removeIdle(oldest)
	}
	return surplus
}

// oldestIdle gives the connection that is idle for longest; nil if none is. The mutex is held.
func (p *pool) oldestIdle() *connection {
	if front := p.idleByAge.Front(); front != nil {
		return front.Value.(*connection)
	}
	return nil
}

// removeIdle takes a connection off the idle ones. The mutex is held.
func (p *pool) removeIdle(l *connection) {
	p.idleByAge.Remove(l.idleElement)
	l.idleElement = nil
	kept := p.idle[l.addr]
	for i, other := range kept {
		if other == l {
			kept = append(kept[:i], kept[i+1:]...)
			break
		}
	}
	if len(kept) == 0 {
		delete(p.idle, l.addr)
		return
	}
	p.idle[l.addr] = kept
}

// evictOldestIdle closes the connection that is idle for longest; false if none is idle.
func (p *pool) evictOldestIdle() bool {
	p.mu.Lock()
	l := p.oldestIdle()
	if l != nil {
		p.removeIdle(l)
	}
	p.mu.Unlock()
	if l == nil {
		return false
	}
	p.discard(l)
	return true
}

// discard closes a connection that is not idle, with a reset.
func (p *pool) discard(l *connection) {
	p.mu.Lock()
	_, open := p.open[l]
	delete(p.open, l)
	p.mu.Unlock()
	l.reset()
	if open {
		p.quota.release()
	}
}

// close closes all connections, those in use too.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	live := p.open
	p.open, p.idle = map[*connection]struct{}{}, map[string][]*connection{}
	p.idleByAge.Init()
	p.mu.Unlock()
	for l := range live {
		l.reset()
		p.quota.release()
	}
}

func (p *pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}
