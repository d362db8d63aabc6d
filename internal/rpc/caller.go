package rpc

import (
	"context"
	"net/http"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// caller is what a server knows about the caller of a request: whether its connection is open, and how long ago the
// request arrived. A process that was stopped for a while finds requests in its sockets whose callers have long given
// up; a caller that gives up closes its connection. The context of each request holds its caller.
type caller struct {
	connection *nbio.Conn
	clock      clock.Clock
	handledAt  time.Duration      // when the server began to handle the request
	abandoned  prometheus.Counter // requests that CheckCaller rejected
	memory     *MemoryBudget      // of the process
}

// callerKey is the key of a request's caller in its context.
type callerKey struct{}

// callerOf returns the caller in ctx, or nil if ctx does not come from a request.
func callerOf(ctx context.Context) *caller {
	c, _ := ctx.Value(callerKey{}).(*caller)
	return c
}

// HasCaller reports whether ctx derives from the context of a request.
func HasCaller(ctx context.Context) bool { return callerOf(ctx) != nil }

// CheckCaller returns errs.Unavailable if the caller of a request no longer waits for the response: ctx, which derives
// from the request's context, has ended, or the caller has closed the connection. A handler calls it right before it
// makes or forwards a change, because the caller may have sent a newer request elsewhere. It returns nil for a context
// without a request, unless that has ended.
func CheckCaller(ctx context.Context) error {
	c := callerOf(ctx)
	if c == nil {
		return errs.Wrap(ctx.Err(), errs.Unavailable, "the context has ended")
	}
	if !hasEnded(ctx) && c.isConnected() {
		return nil
	}
	c.abandoned.Inc()
	return errs.New(errs.Unavailable, "the caller no longer waits: not executed")
}

// hasEnded reports whether ctx is done or its deadline has passed. After the process was stopped, the deadline may have
// passed although its timer has not fired yet.
func hasEnded(ctx context.Context) bool {
	deadline, hasDeadline := ctx.Deadline()
	return ctx.Err() != nil || hasDeadline && !clock.Real{}.Wall().Before(deadline)
}

// RequestAge returns how long ago the last byte of a request arrived, from the context of the request, and 0 for a
// context without a request.
func RequestAge(ctx context.Context) time.Duration {
	c := callerOf(ctx)
	if c == nil {
		return 0
	}
	return max(c.timeInSocket(), c.clock.Now()-c.handledAt)
}

// AcquireDecoding waits until the body of the request with the context ctx may be decoded as JSON, and returns the
// function to call when the decoded values are no longer used. All large documents of a process together are limited by
// its MemoryBudget. It returns at once for a context without a request. Failures: TooLarge if the document has more
// values than the budget ever allows, Unavailable if ctx ends first.
func AcquireDecoding(ctx context.Context, document []byte) (release func(), err error) {
	c := callerOf(ctx)
	if c == nil {
		return func() {}, nil
	}
	release, err = c.memory.acquireDecoding(ctx, document)
	return release, errs.Pass(err, "decode")
}

// DecodeBody calls parse with the body of the request with the context ctx once AcquireDecoding allows it. parse must
// copy the values that it keeps. Failures: those of AcquireDecoding and of parse.
func DecodeBody[T any](ctx context.Context, body []byte, parse func(body []byte) (T, error)) (T, error) {
	release, err := AcquireDecoding(ctx, body)
	if err != nil {
		var zero T
		return zero, errs.Pass(err, "body")
	}
	defer release()
	value, err := parse(body)
	return value, errs.Pass(err, "body")
}

// WithRequestTimeout returns a context that ends timeout after the request with the context ctx arrived at the machine,
// even if this process did not run then. For a context without a request it is context.WithTimeout. The close of the
// connection does not end the context; CheckCaller reports that.
func WithRequestTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, timeout-RequestAge(ctx))
}

// isConnected reports whether the peer has neither closed nor reset the connection, as far as the kernel knows. The
// event loop may not have read that yet.
func (c *caller) isConnected() bool {
	n, err := peek(c.connection)
	return err == unix.EAGAIN || err == unix.EINTR || err == nil && n > 0
}

// peek looks for bytes in a connection's socket and leaves them there. It returns 0 if the peer has closed its side,
// unix.EAGAIN if there are no bytes, and unix.EBADF if the connection is closed.
func peek(connection *nbio.Conn) (n int, err error) {
	isOpen := withDescriptor(connection, func(fd int) {
		var buffer [1]byte
		n, _, err = unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if !isOpen {
		return 0, unix.EBADF
	}
	return n, err
}

// timeInSocket returns how long ago the kernel received the last bytes of the connection, or 0 if it cannot tell.
func (c *caller) timeInSocket() (age time.Duration) {
	withDescriptor(c.connection, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// withDescriptor calls use with the connection's file descriptor and reports true, unless the connection is closed. The
// connection's lock prevents that it is closed, and the descriptor reused, during the call.
func withDescriptor(connection *nbio.Conn, use func(fd int)) bool {
	connection.Lock()
	defer connection.Unlock()
	return useDescriptor(connection, use)
}

// useDescriptor is withDescriptor for a caller that holds the connection's lock.
func useDescriptor(connection *nbio.Conn, use func(fd int)) bool {
	if isClosed, _ := connection.IsClosed(); isClosed {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) }) == nil
}

// withCaller returns the request with its caller in its context.
func (s *Server) withCaller(w http.ResponseWriter, r *http.Request) *http.Request {
	conn := attachedConn(w)
	if conn == nil {
		return r
	}
	c := &caller{
		connection: conn.Conn, clock: s.opt.Clock, handledAt: s.opt.Clock.Now(), abandoned: s.metrics.abandoned,
		memory: s.opt.Memory.budgetOf(),
	}
	return r.WithContext(context.WithValue(r.Context(), callerKey{}, c))
}

// attachedConn returns the connection to which a response is written, or nil if it is not one of a server.
func attachedConn(w http.ResponseWriter) *serverConn {
	response, isResponse := w.(*nbhttp.Response)
	if !isResponse {
		return nil
	}
	conn, _ := response.Parser.Conn.(*serverConn)
	return conn
}
