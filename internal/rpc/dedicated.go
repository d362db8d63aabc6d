package rpc

import (
	"context"
	"sync"
	"time"

	"crosstide/internal/errs"
)

// DedicatedConn is a connection to one address that is shared with nothing else. It carries one call at a time and is
// dialed when a call needs it.
type DedicatedConn struct {
	client *Client
	addr   string
	inUse  chan struct{}

	mu         sync.Mutex
	connection *connection
	closed     bool
}

// NewDedicatedConn makes a connection to addr that is not dialed yet. It takes the options and counters of k and is
// closed with k.
func NewDedicatedConn(k *Client, addr string) *DedicatedConn {
	return &DedicatedConn{client: k, addr: addr, inUse: make(chan struct{}, 1)}
}

// CallDedicated is Ask over l. Calls wait for their turn, within counts that too. before (nil for none) runs after
// dialing and encoding, immediately before each write(2) of the call: once as a rule, again only when the socket
// took a part. Its error stops the writing, closes the connection with a reset and comes back wrapped, its kind kept.
// Nothing ever waits in a user-space buffer. After any error but one answered by the peer the next call
// dials anew. Example:
//
//	answer, err := rpc.CallDedicated(ctx, conn, Hold, orders, time.Second, lease.Check)
//	if rpc.IsUnsent(err) {
//		void(orders) // the minion surely has not seen them
//	}
func CallDedicated[C, A any](ctx context.Context, l *DedicatedConn, p Endpoint[C, A], call C, timeout time.Duration, beforeWrite func() error) (A, error) {
	var answer, none A
	if err := l.client.call(ctx, l, l.addr, p.Path, call, &answer, timeout, beforeWrite); err != nil {
		return none, errs.Pass(err, "line, ask %s", p.Path)
	}
	return answer, nil
}

// Close resets the connection; a call that runs fails, later ones are errs.Stopped.
func (l *DedicatedConn) Close() {
	l.mu.Lock()
	current := l.connection
	l.connection, l.closed = nil, true
	l.mu.Unlock()
	if current != nil {
		l.client.pool.discard(current)
	}
}

func (l *DedicatedConn) acquire(ctx context.Context, _ string) (*connection, error) {
	select {
	case l.inUse <- struct{}{}:
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.Timeout, "wait for the line")
	}
	l.mu.Lock()
	current, closed := l.connection, l.closed
	l.mu.Unlock()
	if current != nil && !closed {
		if l.client.opt.Clock.Now()-current.idleSince < l.client.opt.IdleTimeout && current.alive() {
			return current, nil
		}
		l.client.pool.discard(current)
	}
	var fresh *connection
	err := errs.New(errs.Stopped, "the line is closed")
	if !closed {
		fresh, err = l.client.dial(ctx, l.addr)
	}
	if err == nil {
		l.mu.Lock()
		l.connection, closed = fresh, l.closed
		l.mu.Unlock()
		if !closed {
			return fresh, nil
		}
		l.client.pool.discard(fresh)
		err = errs.New(errs.Stopped, "the line was closed")
	}
	<-l.inUse
	return nil, errs.Pass(err, "line to %s", l.addr)
}

func (l *DedicatedConn) release(used *connection, reusable bool) {
	l.mu.Lock()
	used.idleSince = l.client.opt.Clock.Now()
	if l.closed || !reusable {
		l.connection, reusable = nil, false
	}
	l.mu.Unlock()
	if !reusable {
		l.client.pool.discard(used)
	}
	<-l.inUse
}

func (l *DedicatedConn) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.client.isClosed()
}
