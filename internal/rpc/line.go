package rpc

import (
	"context"
	"crosstide/internal/errs"
	"sync"
	"time"
)

// Line is a dedicated connection to one address: one call at a time, dialed at need, shared with nothing else.
type Line struct {
	k    *Caller
	addr string
	turn chan struct{}

	mu     sync.Mutex
	link   *link
	closed bool
}

// NewLine makes a line to addr that is not dialed yet; k gives its options, counters and end.
func NewLine(k *Caller, addr string) *Line {
	return &Line{k: k, addr: addr, turn: make(chan struct{}, 1)}
}

// AskLine is Ask over l. Calls wait for their turn, within counts that too. before (nil for none) runs after
// dialing and encoding, immediately before each write(2) of the call: once as a rule, again only when the socket
// took a part. Its error stops the writing, closes the connection with a reset and comes back wrapped, its kind kept.
// Nothing ever waits in a user-space buffer. After any error but one answered by the peer the next call
// dials anew. Example:
//
//	answer, err := rpc.AskLine(ctx, line, Hold, orders, time.Second, lease.Check)
//	if rpc.Unsent(err) {
//		void(orders) // the minion surely has not seen them
//	}
func AskLine[C, A any](ctx context.Context, l *Line, p Pair[C, A], call C, within time.Duration, before func() error) (A, error) {
	var answer, none A
	if err := l.k.ask(ctx, l, l.addr, p.Path, call, &answer, within, before); err != nil {
		return none, errs.Pass(err, "line, ask %s", p.Path)
	}
	return answer, nil
}

// Close resets the line's connection; a call that runs fails, later ones are errs.Stopped.
func (l *Line) Close() {
	l.mu.Lock()
	held := l.link
	l.link, l.closed = nil, true
	l.mu.Unlock()
	if held != nil {
		l.k.drop(held)
	}
}

func (l *Line) take(ctx context.Context, _ string) (*link, error) {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.Timeout, "wait for the line")
	}
	l.mu.Lock()
	held, closed := l.link, l.closed
	l.mu.Unlock()
	if held != nil && !closed {
		if l.k.opt.Clock.Now()-held.since < l.k.opt.IdleFor && held.alive() {
			return held, nil
		}
		l.k.drop(held)
	}
	var fresh *link
	err := errs.New(errs.Stopped, "the line is closed")
	if !closed {
		fresh, err = l.k.dial(ctx, l.addr)
	}
	if err == nil {
		l.mu.Lock()
		l.link, closed = fresh, l.closed
		l.mu.Unlock()
		if !closed {
			return fresh, nil
		}
		l.k.drop(fresh)
		err = errs.New(errs.Stopped, "the line was closed")
	}
	<-l.turn
	return nil, errs.Pass(err, "line to %s", l.addr)
}

func (l *Line) give(used *link, whole bool) {
	l.mu.Lock()
	used.since = l.k.opt.Clock.Now()
	if l.closed || !whole {
		l.link, whole = nil, false
	}
	l.mu.Unlock()
	if !whole {
		l.k.drop(used)
	}
	<-l.turn
}

func (l *Line) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.k.ended()
}
