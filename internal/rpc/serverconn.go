package rpc

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

const (
	// lingerTimeout is how long a server waits, after its last response on a connection, for the peer to close it.
	lingerTimeout = time.Second
	// nbioDeadline is nbio's own read deadline, which never applies: serverConn has its own.
	nbioDeadline = 10 * 365 * 24 * time.Hour
)

// serverConn is an open connection of a server. nbhttp writes responses to it and closes it in the goroutines of
// requests.
//
// A serverConn never closes its descriptor: it shuts the connection down, and the event loop closes the descriptor when
// it sees the end of the stream. If another goroutine closed it, the accepting goroutine could reuse its number while
// the event loop still has an event of the old connection, and the event loop would apply that event to the new one.
type serverConn struct {
	*nbio.Conn
	server *Server
	parser *nbhttp.Parser

	incoming *incoming // only the event loop uses it
	ignored  int       // bytes that arrived after the end of the last request; only the event loop uses it

	arrived int64 // memory reserved for the request that is being received; only the event loop uses it

	phase      atomic.Int32 // a connPhase; it only increases
	quota      atomic.Int32 // a quotaState
	isIgnoring atomic.Bool  // a request was refused: further bytes are ignored
	unsent     atomic.Int64 // bytes of responses that nbio holds until the socket accepts them
	sinceAsked atomic.Int64 // upper bound on the bytes in the socket that the peer has not acknowledged

	mu       sync.Mutex    // guards the fields below
	requests int           // requests that are not answered yet
	served   bool          // a request has arrived
	reserved int64         // memory reserved in the server's share
	inSocket int64         // of it, for bytes that the socket has accepted and the peer has not acknowledged
	isClosed bool          // the descriptor is closed, and the memory released
	waiting  waiting       // for what the connection waits while it has no requests
	timer    clock.Stopper // calls checkDeadline
	timerAt  time.Duration // when it does
}

// connPhase is the phase of the end of a connection.
type connPhase = int32

const (
	connOpen       connPhase = iota
	connFlushing             // no more responses: once those of before are sent, lingering begins
	connLingering            // the write side is shut down, the peer is expected to close
	connTerminated           // both sides are shut down, or the descriptor is closed
)

// attachConn makes nbhttp use a serverConn for a new connection. Connections that nbhttp did not accept, such as the
// server's own local ones, have no parser and are ignored.
func (s *Server) attachConn(connection *nbio.Conn) {
	parser, isParser := connection.Session().(*nbhttp.Parser)
	if !isParser {
		return
	}
	c := &serverConn{Conn: connection, server: s, parser: parser, incoming: &incoming{}}
	parser.Conn = c
	parser.Processor = &limitedProcessor{Processor: parser.Processor, incoming: c.incoming, limits: s.limits}
	execute := parser.Execute
	parser.Execute = func(handle func()) bool { return c.execute(execute, handle) }
	c.updateDeadline(s.limits())
	s.admission.onOpen(c)
	if !c.reserve(connectionBytes) {
		c.countRefusal(&outOfMemory)
		c.terminate()
	}
}

// execute lets nbio handle a request after the earlier ones of the connection. The request takes over the memory that
// was reserved for its arrival.
func (c *serverConn) execute(queue func(func()) bool, handle func()) bool {
	memory := c.arrived
	c.arrived = 0
	c.beginRequest()
	isQueued := queue(func() {
		defer c.endRequest(memory)
		handle()
	})
	if !isQueued {
		c.endRequest(memory)
	}
	return isQueued
}

func (c *serverConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.served = true
}

func (c *serverConn) endRequest(memory int64) {
	c.release(memory)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	c.waiting.since = c.server.opt.Clock.Now()
}

// reserve reserves memory for the connection, and reports whether there was room.
func (c *serverConn) reserve(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed || !c.server.opt.Memory.reserve(n, c.reserved+n) {
		return false
	}
	c.reserved += n
	return true
}

// release returns reserved memory.
func (c *serverConn) release(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	c.reserved -= n
	c.server.opt.Memory.release(n)
}

func (c *serverConn) requestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// serverConnOf returns the serverConn of a connection, or nil if it has none.
func serverConnOf(c net.Conn) *serverConn {
	connection, isNbio := c.(*nbio.Conn)
	if !isNbio {
		return nil
	}
	parser, isParser := connection.Session().(*nbhttp.Parser)
	if !isParser {
		return nil
	}
	conn, _ := parser.Conn.(*serverConn)
	return conn
}

// Write sends bytes of a response, or lets nbio hold what the socket does not accept now. It is called by one goroutine
// at a time. Failure: Unavailable if the connection is broken or shut down.
func (c *serverConn) Write(b []byte) (int, error) {
	if c.isEnding() {
		return 0, errs.New(errs.Unavailable, "the connection is shut down")
	}
	sent := 0
	if c.unsent.Load() == 0 {
		var err error
		if sent, err = c.writeNow(b); err != nil {
			c.terminate()
			return 0, errs.Pass(err, "response")
		}
	}
	if r := c.countSent(sent); r != nil {
		return 0, errs.Pass(c.endUnread(r), "response")
	}
	rest := b[sent:]
	if len(rest) == 0 {
		return len(b), nil
	}
	if r := c.buffer(int64(len(rest))); r != nil {
		return 0, errs.Pass(c.endUnread(r), "response")
	}
	if _, err := c.Conn.Write(rest); err != nil {
		return 0, errs.Wrap(err, errs.Unavailable, "write to the connection")
	}
	return len(b), nil
}

// endUnread ends the connection because its responses cannot be buffered, and returns the error of the write.
func (c *serverConn) endUnread(r *refusal) error {
	c.countRefusal(r)
	c.terminate()
	return errs.New(errs.Unavailable, "%s: the peer does not read", r.cause)
}

// buffer counts bytes of a response that the socket did not accept. It returns the reason why they cannot be buffered,
// or nil.
func (c *serverConn) buffer(n int64) *refusal {
	if before := c.unsent.Load(); before > 0 && before+n > c.server.limits().UnsentBytes {
		return &answersUnread
	}
	if !c.reserve(n * unsentFactor) {
		return &outOfMemory
	}
	c.unsent.Add(n)
	return nil
}

// writeNow writes as much as the socket accepts now. nbio must hold no earlier bytes. nbio's Write would do the same,
// but would close the descriptor in this goroutine after an error. Failure: Unavailable.
func (c *serverConn) writeNow(b []byte) (sent int, err error) {
	isOpen := withDescriptor(c.Conn, func(fd int) {
		for sent < len(b) && (err == nil || err == unix.EINTR) {
			var n int
			n, err = unix.Write(fd, b[sent:])
			sent += max(n, 0)
		}
	})
	switch {
	case !isOpen:
		return 0, errs.New(errs.Unavailable, "the connection is closed")
	case err == unix.EAGAIN:
		return sent, nil
	}
	return sent, errs.Wrap(err, errs.Unavailable, "write to the connection")
}

// onWritten records that the socket has accepted n bytes that nbio buffered. nbio calls it with the connection's lock.
func (c *serverConn) onWritten(n int) {
	c.release(int64(n) * unsentFactor)
	if c.unsent.Add(-int64(n)) == 0 && c.phase.CompareAndSwap(connFlushing, connLingering) {
		c.shutDownLocked(unix.SHUT_WR)
		c.startLingering()
	}
}

// isEnding reports whether no more responses are written and further bytes of the peer are ignored.
func (c *serverConn) isEnding() bool { return c.phase.Load() != connOpen }

// Close ends the connection once all responses are sent: it shuts down the write side and waits for the peer to close.
func (c *serverConn) Close() error {
	c.phase.CompareAndSwap(connOpen, connFlushing)
	if c.unsent.Load() == 0 && c.phase.CompareAndSwap(connFlushing, connLingering) {
		c.shutDown(unix.SHUT_WR)
		c.startLingering()
	}
	return nil
}

// terminate ends the connection at once.
func (c *serverConn) terminate() {
	if c.phase.Swap(connTerminated) != connTerminated {
		c.shutDown(unix.SHUT_RDWR)
	}
}

// shutDown shuts down one or both sides of the connection, unless its descriptor is closed.
func (c *serverConn) shutDown(side int) {
	withDescriptor(c.Conn, func(fd int) { _ = unix.Shutdown(fd, side) }) // fails if the peer has closed
}

// shutDownLocked is shutDown for a caller that holds the connection's lock.
func (c *serverConn) shutDownLocked(side int) {
	useDescriptor(c.Conn, func(fd int) { _ = unix.Shutdown(fd, side) }) // fails if the peer has closed
}

// onClosed releases what the connection holds. The descriptor is closed, and all requests have ended.
func (c *serverConn) onClosed() {
	c.phase.Store(connTerminated)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	c.server.opt.Memory.release(c.reserved)
	c.reserved = 0
	if c.timer != nil {
		c.timer.Stop()
	}
}

// SetReadDeadline has no effect: nbio would close the descriptor in the goroutine of a timer.
func (*serverConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline has no effect, for the same reason.
func (*serverConn) SetWriteDeadline(time.Time) error { return nil }
