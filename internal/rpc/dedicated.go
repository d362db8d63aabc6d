package rpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"crosstide/internal/errs"
)

// DedicatedConn is a connection to one address that is not in the client's pool: only its own calls use it. It carries
// one call at a time and is dialed when a call needs it. It is safe for concurrent use.
type DedicatedConn struct {
	client *Client
	addr   string
	inUse  chan struct{} // a semaphore of one: the call that holds it may use the connection

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
// dialing and encoding, right before each write(2) of the call: once, unless the socket accepted only a part. If it
// returns an error, nothing more is written, the connection is reset, and the error is returned wrapped, with its kind.
// Bytes are never buffered in user space. After an error other than one that the peer returned, the next call dials
// again. Example:
//
//	answer, err := rpc.CallDedicated(ctx, conn, RenewLease, orders, time.Second, lease.Check)
//	if rpc.IsUnsent(err) {
//		invalidate(orders) // the worker cannot have seen them
//	}
func CallDedicated[C, A any](
	ctx context.Context, d *DedicatedConn, e Endpoint[C, A], call C, timeout time.Duration, beforeWrite func() error,
) (A, error) {
	var answer, zero A
	t := transfer{addr: d.addr, path: e.Path, method: http.MethodPost, timeout: timeout, beforeWrite: beforeWrite}
	if err := d.client.roundTrip(ctx, d, t, call, &answer); err != nil {
		return zero, errs.Pass(err, "dedicated call %s", e.Path)
	}
	return answer, nil
}

// Close resets the connection. A running call and all later ones fail as errs.Stopped.
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
		return nil, errs.Wrap(ctx.Err(), errs.Timeout, "wait for the dedicated connection")
	}
	conn, err := d.connect(ctx)
	if err != nil {
		<-d.inUse
		return nil, errs.Pass(err, "dedicated connection to %s", d.addr)
	}
	return conn, nil
}

// connect returns the connection if it is still usable, and dials otherwise. The caller has acquired inUse.
func (d *DedicatedConn) connect(ctx context.Context) (*connection, error) {
	d.mu.Lock()
	current, closed := d.connection, d.closed
	d.mu.Unlock()
	if closed {
		return nil, errs.New(errs.Stopped, "the dedicated connection is closed")
	}
	if current != nil {
		if d.client.opt.Clock.Now()-current.idleSince < d.client.opt.IdleTimeout && current.alive() {
			return current, nil
		}
		d.client.pool.discard(current)
	}
	dialed, err := d.client.dial(ctx, d.addr)
	if err != nil {
		return nil, errs.Pass(err, "open a new connection")
	}
	d.mu.Lock()
	d.connection, closed = dialed, d.closed
	d.mu.Unlock()
	if closed {
		d.client.pool.discard(dialed)
		return nil, errs.New(errs.Stopped, "the dedicated connection was closed while dialing")
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
