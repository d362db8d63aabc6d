package rpc

import (
	"cmp"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"crosstide/internal/errs"
)

// admission is a server's admission control: it knows the open connections and counts them in the server's quota. It is
// safe for concurrent use.
//
// For a connection beyond the quota, others are evicted: those that have waited longest without a request, of the
// address with the most connections first. If none can be evicted, the new connection is rejected: it stays open until
// its first request has been answered with errs.Unavailable. If it were closed without a response, the client would
// conclude that the node is down. Only maxRejected connections are open for that.
type admission struct {
	quota    *ConnQuota // nil: every connection is admitted and not counted
	open     *xsync.Map[*serverConn, struct{}]
	rejected atomic.Int32 // open connections beyond the quota
}

const (
	// maxRejected is the number of connections beyond the quota that are open at the same time.
	maxRejected = 16
	// evictionBatch is the number of connections that are evicted together, because the choice looks at all.
	evictionBatch = 16
	// minWait is how long a connection may wait for its first request before it can be evicted.
	minWait = 100 * time.Millisecond
	// minIdle is how long a connection that has had a request stays open without a further one.
	minIdle = time.Second
)

func newAdmission(quota *ConnQuota) *admission {
	return &admission{quota: quota, open: xsync.NewMap[*serverConn, struct{}]()}
}

// onOpen admits a new connection, rejects its requests, or ends it.
func (a *admission) onOpen(c *serverConn) {
	isAdmitted := a.quota.tryAcquire()
	if !isAdmitted && a.evict() {
		isAdmitted = a.quota.tryAcquire()
	}
	a.open.Store(c, struct{}{})
	if isAdmitted {
		c.quota.Store(int32(quotaAcquired))
		return
	}
	a.quota.countRejected()
	c.quota.Store(int32(quotaRejected))
	c.setTimer(lingerTimeout)
	if a.rejected.Add(1) > maxRejected {
		c.countRefusal(&connectionRefused)
		c.terminate()
	}
}

// onClose releases the quota of a connection.
func (a *admission) onClose(c *serverConn) {
	a.open.Delete(c)
	if quotaState(c.quota.Load()) == quotaRejected {
		a.rejected.Add(-1)
	}
	a.releaseQuota(c)
}

// releaseQuota releases the quota of a connection, if it holds one.
func (a *admission) releaseQuota(c *serverConn) {
	if c.quota.CompareAndSwap(int32(quotaAcquired), int32(quotaNone)) {
		a.quota.release()
	}
}

// check returns errs.Unavailable if the connection was not admitted, nil otherwise.
func (*admission) check(c *serverConn) error {
	if c == nil || quotaState(c.quota.Load()) != quotaRejected {
		return nil
	}
	err := errs.New(errs.Unavailable, "too many open connections on this node")
	errs.Of(err).RetryAfter = retryAfter
	return err
}

// quotaState tells how a connection counts in the server's quota.
type quotaState int32

const (
	quotaNone quotaState = iota // not, or no longer
	quotaAcquired
	quotaRejected // it is beyond the quota
)

// candidate is a connection that can be evicted.
type candidate struct {
	conn     *serverConn
	waiting  waiting
	served   bool // it has had a request
	reserved int64
	address  string
}

// candidates returns the connections that can be evicted, and the number of open connections by address.
func (a *admission) candidates() (found []candidate, byAddress map[string]int) {
	byAddress = map[string]int{}
	a.open.Range(func(c *serverConn, _ struct{}) bool {
		address := c.address()
		byAddress[address]++
		if quotaState(c.quota.Load()) != quotaAcquired {
			return true
		}
		if item, canEvict := c.evictable(); canEvict {
			item.address = address
			found = append(found, item)
		}
		return true
	})
	return found, byAddress
}

// evict ends connections that wait, and reports whether there were any. Their quota is released at once.
func (a *admission) evict() bool {
	found, byAddress := a.candidates()
	slices.SortFunc(found, func(x, y candidate) int {
		return cmp.Or(compareBools(x.served, y.served), cmp.Compare(byAddress[y.address], byAddress[x.address]),
			cmp.Compare(x.waiting.since, y.waiting.since))
	})
	count := 0
	for _, item := range found[:min(len(found), evictionBatch)] {
		if item.served && count > 0 {
			break // connections that ordinary callers keep are ended one by one
		}
		a.end(item.conn)
		count++
	}
	return count > 0
}

// evictLargest ends the connections that hold most memory for requests that have not arrived completely.
func (a *admission) evictLargest(except *serverConn) {
	found, _ := a.candidates()
	found = slices.DeleteFunc(found, func(item candidate) bool {
		return item.conn == except || item.reserved <= connectionBytes
	})
	slices.SortFunc(found, func(x, y candidate) int { return cmp.Compare(y.reserved, x.reserved) })
	for _, item := range found[:min(len(found), evictionBatch)] {
		a.end(item.conn)
	}
}

func (a *admission) end(c *serverConn) {
	c.countRefusal(&evicted)
	c.terminate()
	a.releaseQuota(c)
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// address returns the peer's address without its port.
func (c *serverConn) address() string {
	if tcp, isTCP := c.RemoteAddr().(*net.TCPAddr); isTCP {
		return string(tcp.IP)
	}
	return c.RemoteAddr().String()
}

// evictable returns the connection as a candidate, and reports whether it can be evicted now. One that only waits for
// its peer to close counts like one that has had no request.
func (c *serverConn) evictable() (candidate, bool) {
	phase := c.phase.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	item := candidate{conn: c, waiting: c.waiting, served: c.served, reserved: c.reserved}
	switch phase {
	case connLingering:
		item.served = false
		return item, c.requests == 0
	case connFlushing, connTerminated:
		return item, false
	}
	if c.requests > 0 {
		return item, false
	}
	shortest := minWait
	if c.served && c.waiting.reason == waitRequest {
		shortest = minIdle
	}
	return item, c.server.opt.Clock.Now()-c.waiting.since >= shortest
}
