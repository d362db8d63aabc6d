package rpc

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"crosstide/internal/clock"
)

// pool has the open connections of a client: those in use and, by address, the idle ones. Each counts in the quota from
// its dial until discard or close.
type pool struct {
	clock       clock.Clock
	maxIdle     int           // idle connections kept per address
	idleTimeout time.Duration // an idle connection is closed after it
	quota       *ConnQuota    // bounds the open connections; nil: nothing does

	mu        sync.Mutex               // guards the fields below
	idle      map[string][]*connection // by address, the last one used comes last; no empty lists
	idleByAge *list.List               // all idle connections, the longest idle first
	open      map[*connection]struct{} // all open connections, idle or in use
	closed    bool
}

func newPool(clock clock.Clock, maxIdle int, idleTimeout time.Duration, quota *ConnQuota) *pool {
	p := &pool{
		clock:       clock,
		maxIdle:     maxIdle,
		idleTimeout: idleTimeout,
		quota:       quota,
		idle:        map[string][]*connection{},
		idleByAge:   list.New(),
		open:        map[*connection]struct{}{},
	}
	quota.onEvict(p.evictOldestIdle)
	return p
}

// add adds a connection that was just opened and is in use; false: the pool is closed.
func (p *pool) add(conn *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[conn] = struct{}{}
	return true
}

// get returns an idle connection to addr, which is in use then; nil if there is none. One that is too old or was closed
// by the peer is discarded.
func (p *pool) get(addr string) *connection {
	for {
		conn := p.takeNewestIdle(addr)
		if conn == nil || p.clock.Now()-conn.idleSince < p.idleTimeout && conn.alive() {
			return conn
		}
		p.discard(conn)
	}
}

// takeNewestIdle removes the idle connection to addr that was used last from the idle ones; nil if there is none.
func (p *pool) takeNewestIdle(addr string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	p.removeIdle(conn)
	return conn
}

// put makes a connection idle that is not in use any more, and closes those that are too many then.
func (p *pool) put(conn *connection) {
	for _, surplus := range p.addIdle(conn) {
		p.discard(surplus)
	}
	if p.quota.hasWaiters() {
		p.evictOldestIdle()
	}
}

// addIdle makes conn idle and returns the connections that are to be discarded.
func (p *pool) addIdle(conn *connection) (surplus []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return []*connection{conn}
	}
	now := p.clock.Now()
	conn.idleSince = now
	conn.idleElement = p.idleByAge.PushBack(conn)
	p.idle[conn.addr] = append(p.idle[conn.addr], conn)
	if idle := p.idle[conn.addr]; len(idle) > p.maxIdle {
		surplus = append(surplus, idle[0])
		p.removeIdle(idle[0])
	}
	for oldest := p.oldestIdle(); oldest != nil && now-oldest.idleSince >= p.idleTimeout; oldest = p.oldestIdle() {
		surplus = append(surplus, oldest)
		p.removeIdle(oldest)
	}
	return surplus
}

// oldestIdle returns the connection that is idle for longest; nil if none is. The caller holds mu.
func (p *pool) oldestIdle() *connection {
	if front := p.idleByAge.Front(); front != nil {
		return front.Value.(*connection)
	}
	return nil
}

// removeIdle removes a connection from the idle ones. The caller holds mu.
func (p *pool) removeIdle(conn *connection) {
	p.idleByAge.Remove(conn.idleElement)
	conn.idleElement = nil
	idle := p.idle[conn.addr]
	if at := slices.Index(idle, conn); at >= 0 {
		idle = slices.Delete(idle, at, at+1)
	}
	if len(idle) == 0 {
		delete(p.idle, conn.addr)
		return
	}
	p.idle[conn.addr] = idle
}

// evictOldestIdle closes the connection that is idle for longest; false if none is idle.
func (p *pool) evictOldestIdle() bool {
	p.mu.Lock()
	conn := p.oldestIdle()
	if conn != nil {
		p.removeIdle(conn)
	}
	p.mu.Unlock()
	if conn == nil {
		return false
	}
	p.discard(conn)
	return true
}

// discard closes a connection that is not idle, with a reset.
func (p *pool) discard(conn *connection) {
	p.mu.Lock()
	_, isOpen := p.open[conn]
	delete(p.open, conn)
	p.mu.Unlock()
	conn.reset()
	if isOpen {
		p.quota.release()
	}
}

// close closes all connections, those in use too.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	open := p.open
	p.open, p.idle = map[*connection]struct{}{}, map[string][]*connection{}
	p.idleByAge.Init()
	p.mu.Unlock()
	for conn := range open {
		conn.reset()
		p.quota.release()
	}
}

func (p *pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}
