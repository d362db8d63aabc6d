package rpc

import (
	"container/list"
	"sync"
	"time"

	"crosstide/internal/clock"
)

// pool keeps the open connections of a caller: those in use and, by address, the idle ones.
type pool struct {
	clock   clock.Clock
	most    int           // idle connections kept per address
	idleFor time.Duration // an idle connection is closed after it
	share   *Share        // bounds the open connections; nil: nothing does

	mu     sync.Mutex
	idle   map[string][]*connection // the last one used comes last
	byAge  *list.List               // all idle connections, idle for longest first
	live   map[*connection]struct{} // all open connections
	closed bool
}

func newPool(clock clock.Clock, most int, idleFor time.Duration, share *Share) *pool {
	p := &pool{clock: clock, most: most, idleFor: idleFor, share: share, idle: map[string][]*connection{}, byAge: list.New(),
		live: map[*connection]struct{}{}}
	share.onReclaim(p.closeOldest)
	return p
}

// add takes a connection that was just opened; false: the pool is closed.
func (p *pool) add(l *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.live[l] = struct{}{}
	return true
}

// take gives an idle connection to addr; nil if there is none. What is too old or was closed by the peer is dropped.
func (p *pool) take(addr string) *connection {
	for {
		p.mu.Lock()
		l := p.newest(addr)
		if l != nil {
			p.forget(l)
		}
		p.mu.Unlock()
		if l == nil || p.clock.Now()-l.idleSince < p.idleFor && l.alive() {
			return l
		}
		p.drop(l)
	}
}

// newest gives the idle connection to addr that was used last; nil if there is none. The mutex is held.
func (p *pool) newest(addr string) *connection {
	if kept := p.idle[addr]; len(kept) > 0 {
		return kept[len(kept)-1]
	}
	return nil
}

// put keeps a connection that is not in use any more, and closes those for which there is no place.
func (p *pool) put(l *connection) {
	for _, surplus := range p.keep(l) {
		p.drop(surplus)
	}
	if p.share.isAwaited() {
		p.closeOldest()
	}
}

// keep makes l idle and gives the connections that are to be dropped.
func (p *pool) keep(l *connection) (surplus []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return []*connection{l}
	}
	l.idleSince = p.clock.Now()
	l.aged = p.byAge.PushBack(l)
	p.idle[l.addr] = append(p.idle[l.addr], l)
	if kept := p.idle[l.addr]; len(kept) > p.most {
		surplus = append(surplus, kept[0])
		p.forget(kept[0])
	}
	for oldest := p.oldest(); oldest != nil && l.idleSince-oldest.idleSince >= p.idleFor; oldest = p.oldest() {
		surplus = append(surplus, oldest)
		p.forget(oldest)
	}
	return surplus
}

// oldest gives the connection that is idle for longest; nil if none is. The mutex is held.
func (p *pool) oldest() *connection {
	if front := p.byAge.Front(); front != nil {
		return front.Value.(*connection)
	}
	return nil
}

// forget takes a connection off the idle ones. The mutex is held.
func (p *pool) forget(l *connection) {
	p.byAge.Remove(l.aged)
	l.aged = nil
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

// closeOldest closes the connection that is idle for longest; false if none is idle.
func (p *pool) closeOldest() bool {
	p.mu.Lock()
	l := p.oldest()
	if l != nil {
		p.forget(l)
	}
	p.mu.Unlock()
	if l == nil {
		return false
	}
	p.drop(l)
	return true
}

// drop closes a connection that is not idle, with a reset.
func (p *pool) drop(l *connection) {
	p.mu.Lock()
	_, open := p.live[l]
	delete(p.live, l)
	p.mu.Unlock()
	l.reset()
	if open {
		p.share.release()
	}
}

// close closes all connections, those in use too.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	live := p.live
	p.live, p.idle = map[*connection]struct{}{}, map[string][]*connection{}
	p.byAge.Init()
	p.mu.Unlock()
	for l := range live {
		l.reset()
		p.share.release()
	}
}

func (p *pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}
