package rpc

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"crosstide/internal/clock"
)

// pool holds the open connections of a client: those in use and, by address, the idle ones. Each counts in the quota
// from its dial until discard or close. A pool is safe for concurrent use.
type pool struct {
	clock       clock.Clock
	maxIdle     int           // maximum number of idle connections per address
	idleTimeout time.Duration // age at which an idle connection is closed
	quota       *ConnQuota    // limits the open connections; nil: no limit

	mu        sync.Mutex               // guards the fields below
	idle      map[string][]*connection // by address, the most recently used last; no empty lists
	idleByAge *list.List               // the same connections, the longest idle first
	open      map[*connection]struct{} // all open connections, idle or in use
	closed    bool                     // close was called
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

// add adds a new connection, which is in use. It reports false if the pool is closed.
func (p *pool) add(conn *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[conn] = struct{}{}
	return true
}

// get returns an idle connection to addr, which is then in use, or nil. It discards idle connections that are too old
// or that the peer has closed.
func (p *pool) get(addr string) *connection {
	for {
		conn := p.takeNewestIdle(addr)
		if conn == nil || p.clock.Now()-conn.idleSince < p.idleTimeout && conn.alive() {
			return conn
		}
		p.discard(conn)
	}
}

// takeNewestIdle returns the most recently used idle connection to addr, which is then in use, or nil.
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

// put makes a connection idle after its use. It discards idle connections beyond maxIdle or older than idleTimeout, and
// one more if a call is waiting for the quota.
func (p *pool) put(conn *connection) {
	for _, surplus := range p.addIdle(conn) {
		p.discard(surplus)
	}
	if p.quota.hasWaiters() {
		p.evictOldestIdle()
	}
}

// addIdle makes conn idle, and returns the connections that the caller must discard.
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

// oldestIdle returns the connection that has been idle longest, or nil. The caller holds mu.
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

// evictOldestIdle closes the connection that has been idle longest. It reports false if no connection is idle.
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

// discard resets a connection that is not idle, and releases its quota unless close has done so.
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

// close resets all connections, including those in use, and releases their quota. From then on, add rejects connections
// and put discards them.
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

// isClosed reports whether close was called.
func (p *pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}
