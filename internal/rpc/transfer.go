package rpc

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"crosstide/internal/errs"
)

// connectionSource provides calls with connections: a Client from its pool, or a DedicatedConn.
type connectionSource interface {
	// acquire returns a connection to addr for exclusive use until release. It waits for one until ctx ends.
	acquire(ctx context.Context, addr string) (*connection, error)
	// release ends the use of a connection. reusable is true if the response was read completely; otherwise the
	// source closes the connection.
	release(conn *connection, reusable bool)
	// isClosed reports whether the source was closed, which breaks the connections in use.
	isClosed() bool
}

// errTimeout is the cause of a context that was cancelled by the timeout of a call.
var errTimeout = errors.New("the call timed out")

// transfer is one request in its encoded form, and the buffer for the body of its response.
type transfer struct {
	addr, path, method string
	request            []byte // head and body
	response           *bytes.Buffer
	timeout            time.Duration
	beforeWrite        func() error // called right before each write(2); an error prevents it; nil: no check
}

// transfer sends a request once over a connection of source, and reads the whole response, of any status.
func (c *Client) transfer(ctx context.Context, source connectionSource, t transfer) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if t.timeout <= 0 {
		cancel(errTimeout)
	} else {
		defer c.opt.Clock.Set(t.timeout, func() { cancel(errTimeout) }).Stop()
	}
	conn, err := source.acquire(ctx, t.addr)
	if err != nil {
		return nil, errs.Pass(t.classifyError(ctx, source, &marked[unsent]{err}), "connect")
	}
	reusable := false
	stop := context.AfterFunc(ctx, conn.reset)
	defer func() { source.release(conn, stop() && reusable) }()

	sent, prevented, err := t.write(ctx, conn)
	c.metrics.out.Add(float64(sent))
	if prevented != nil {
		return nil, errs.Pass(markUnsent(prevented, sent), "%s at %s: check before the write", t.path, t.addr)
	}
	if err != nil {
		return nil, errs.Pass(t.classifyError(ctx, source, markUnsent(err, sent)), "write the call")
	}
	response, err := conn.readHead(t.method)
	if err != nil {
		return nil, errs.Pass(t.classifyError(ctx, source, err), "read the response head")
	}
	err = readInto(t.response, response.Body, response.ContentLength, c.opt.MaxBody)
	c.metrics.in.Add(float64(t.response.Len()))
	if errs.Is(err, errs.TooLarge) {
		return nil, errs.Pass(err, "the response of %s at %s", t.path, t.addr)
	}
	if err != nil {
		return nil, errs.Pass(t.classifyError(ctx, source, err), "read the response")
	}
	reusable = !response.Close && conn.reader.Buffered() == 0
	return response, nil
}

// write writes the request, and returns the number of bytes that the kernel accepted. prevented is the
// error of t.beforeWrite if that stopped the write, otherwise nil.
func (t transfer) write(ctx context.Context, conn *connection) (sent int, prevented, err error) {
	err = conn.write(t.request, &sent, func() error {
		if context.Cause(ctx) != nil {
			return errs.Wrap(context.Cause(ctx), errs.Timeout, "before the write")
		}
		if t.beforeWrite == nil {
			return nil
		}
		if prevented = t.beforeWrite(); prevented != nil {
			return errs.Pass(prevented, "check before the write")
		}
		return nil
	})
	return sent, prevented, errs.Pass(err, "request")
}

// classifyError wraps a connection error in the kind of its reason: Timeout if ctx ended, Stopped if source was closed,
// otherwise Unavailable.
func (t transfer) classifyError(ctx context.Context, source connectionSource, err error) error {
	switch {
	case context.Cause(ctx) != nil:
		return errs.Wrap(errors.Join(context.Cause(ctx), err), errs.Timeout,
			"%s at %s: not completed within %s", t.path, t.addr, t.timeout)
	case source.isClosed():
		return errs.Wrap(err, errs.Stopped, "%s at %s: connection closed by this client", t.path, t.addr)
	}
	return errs.Wrap(err, errs.Unavailable, "%s at %s", t.path, t.addr)
}

// markUnsent marks err for IsUnsent if no byte was sent.
func markUnsent(err error, sent int) error {
	if sent == 0 {
		return &marked[unsent]{err}
	}
	return err
}
