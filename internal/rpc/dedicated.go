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
	caller *Caller
	addr   string
	turn   chan struct{}

	mu         sync.Mutex
	connection *connection
	closed     bool
}

// NewDedicatedConn makes a connection to addr that is not dialed yet. It takes the options and counters of k and is
// closed with k.
func NewDedicatedConn(k *Caller, addr string) *DedicatedConn {
	return &DedicatedConn{caller: k, addr: addr, turn: make(chan struct{}, 1)}
}

// AskDedicated is Ask over l. Calls wait for their turn, within counts that too. before (nil for none) runs after
// dialing and encoding, immediately before each write(2) of the call: once as a rule, again only when the socket
// took a part. Its error stops the writing, closes the connection with a reset and comes back wrapped, its kind kept.
// Nothing ever waits in a user-space buffer. After any error but one answered by the peer the next call
// dials anew. Example:
//
//	answer, err := rpc.AskDedicated(ctx, conn, Hold, orders, time.Second, lease.Check)
//	if rpc.Unsent(err) {
//		void(orders) // the minion surely has not seen them
//	}
func AskDedicated[C, A any](ctx context.Context, l *DedicatedConn, p Pair[C, A], call C, within time.Duration, before func() error) (A, error) {
	var answer, none A
	if err := l.caller.ask(ctx, l, l.addr, p.Path, call, &answer, within, before); err != nil {
		return none, errs.Pass(err, "line, ask %s", p.Path)
	}
	return answer, nil
}

// Close resets the connection; a call that runs fails, later ones are errs.Stopped.
func (l *DedicatedConn) Close() {
	l.mu.Lock()
	held := l.connection
	l.connection, l.closed = nil, true
	l.mu.Unlock()
	if held != nil {
		l.caller.pool.drop(held)
	}
}

func (l *DedicatedConn) take(ctx context.Context, _ string) (*connection, error) {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.Timeout, "wait for the line")
	}
	l.mu.Lock()
	held, closed := l.connection, l.closed
	l.mu.Unlock()
	if held != nil && !closed {
		if l.caller.opt.Clock.Now()-held.idleSince < l.caller.opt.IdleFor && held.alive() {
			return held, nil
		}
		l.caller.pool.drop(held)
	}
	var fresh *connection
	err := errs.New(errs.Stopped, "the line is closed")
	if !closed {
		fresh, err = l.caller.dial(ctx, l.addr)
	}
	if err == nil {
		l.mu.Lock()
		l.connection, closed = fresh, l.closed
		l.mu.Unlock()
		if !closed {
			return fresh, nil
		}
		l.caller.pool.drop(fresh)
		err = errs.New(errs.Stopped, "the line was closed")
	}
	<-l.turn
	return nil, errs.Pass(err, "line to %s", l.addr)
}

func (l *DedicatedConn) release(used *connection, whole bool) {
	l.mu.Lock()
	used.idleSince = l.caller.opt.Clock.Now()
	if l.closed || !whole {
		l.connection, whole = nil, false
	}
	l.mu.Unlock()
	if !whole {
		l.caller.pool.drop(used)
	}
	<-l.turn
}

func (l *DedicatedConn) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.caller.isClosed()
}
