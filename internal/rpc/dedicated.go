package rpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"crosstide/internal/errs"
)

// DedicatedConn is a connection to one address that is shared with nothing else. It carries one call at a time and is
// dialed when a call needs it. It is safe for concurrent use.
type DedicatedConn struct {
	client *Client
	addr   string
	inUse  chan struct{} // a semaphore of one: the call that has sent to it may use the connection

	mu         sync.Mutex  // guards the fields below
	connection *connection // nil: the next call dials
	closed     bool
}

// NewDedicatedConn returns a connection to addr that is not dialed yet. It has the options, the quota and the metrics
// of c, and is closed with it.
func NewDedicatedConn(c *Client, addr string) *DedicatedConn {
	return &DedicatedConn{client: c, addr: addr, inUse: make(chan struct{}, 1)}
}

// CallDedicated is Call over d. Calls wait for each other within their timeout. beforeWrite (nil: none) runs after
// dialing and encoding, right before each write(2) of the call: once, unless the socket took only a part. Its error
// stops the writing, closes the connection with a reset and is returned wrapped, with its kind. No bytes ever wait in a
// user-space buffer. After any error but one answered by the peer the next call dials again. Example:
//
//	answer, err := rpc.CallDedicated(ctx, conn, RenewLease, orders, time.Second, lease.Check)
//	if rpc.IsUnsent(err) {
//		invalidate(orders) // the worker cannot have seen them
//	}
func CallDedicated[C, A any](
	ctx context.Context, d *DedicatedConn, e Endpoint[C, A], call C, timeout time.Duration, beforeWrite func() error,
) (A, error) {
	var answer, none A
	t := transfer{addr: d.addr, path: e.Path, method: http.MethodPost, timeout: timeout, beforeWrite: beforeWrite}
	if err := d.client.roundTrip(ctx, d, t, call, &answer); err != nil {
		return none, errs.Pass(err, "line, ask %s", e.Path)
	}
	return answer, nil
}

// Close resets the connection. A call that runs fails, and so do later ones, as errs.Stopped.
func (d *DedicatedConn) Close() {
	d.mu.Lock()
	current := d.connection
	d.connection, d.closed = nil, true
	d.mu.Unlock()
	if current != nil {
		d.client.pool.discard(current)
	}
}

// acquire implements connectionSource.
func (d *DedicatedConn) acquire(ctx context.Context, _ string) (*connection, error) {
	select {
	case d.inUse <- struct{}{}:
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.Timeout, "wait for the line")
	}
	conn, err := d.connect(ctx)
	if err != nil {
		<-d.inUse
		return nil, errs.Pass(err, "line to %s", d.addr)
	}
	return conn, nil
}

// connect returns the connection if it is still usable, and dials otherwise. The caller has acquired inUse.
func (d *DedicatedConn) connect(ctx context.Context) (*connection, error) {
	d.mu.Lock()
	current, closed := d.connection, d.closed
	d.mu.Unlock()
	if closed {
		return nil, errs.New(errs.Stopped, "the line is closed")
	}
	if current != nil {
		if d.client.opt.Clock.Now()-current.idleSince < d.client.opt.IdleTimeout && current.alive() {
			return current, nil
		}
		d.client.pool.discard(current)
	}
	dialed, err := d.client.dial(ctx, d.addr)
	if err != nil {
		return nil, errs.Pass(err, "dedicated connection")
	}
	d.mu.Lock()
	d.connection, closed = dialed, d.closed
	d.mu.Unlock()
	if closed {
		d.client.pool.discard(dialed)
		return nil, errs.New(errs.Stopped, "the line was closed")
	}
	return dialed, nil
}

// release implements connectionSource.
func (d *DedicatedConn) release(conn *connection, reusable bool) {
	d.mu.Lock()
	conn.idleSince = d.client.opt.Clock.Now()
	if d.closed || !reusable {
		d.connection, reusable = nil, false
	}
	d.mu.Unlock()
	if !reusable {
		d.client.pool.discard(conn)
	}
	<-d.inUse
}

// isClosed implements connectionSource.
func (d *DedicatedConn) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed || d.client.isClosed()
}
