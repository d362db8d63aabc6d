package hostile

import (
	"context"
	"net"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/routine"
)

// Size bounds what a group of clients sends.
type Size struct {
	Clients    int // that press at the same time
	Bytes      int // that a client sends on one connection at most
	Reconnects int // connections that a client opens after the server has closed one
}

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second // after which a client stops to send to a server that doesn't read
	// readBuffer is the size of a client's receive buffer in the kernel, in bytes: what nobody reads soon fills it.
	readBuffer = 4 << 10
)

// Clients is a number of clients that press on one port. Its connections stay open until Close.
type Clients struct {
	kind    Kind
	target  Target
	size    Size
	group   *routine.Group
	pressed sync.WaitGroup // clients that still send

	mu    sync.Mutex // guards open
	open  []net.Conn
	ended bool // Close was called
}

// Start starts a group of clients.
func Start(target Target, kind Kind, size Size) *Clients {
	c := &Clients{kind: kind, target: target, size: size, group: routine.New(context.Background())}
	for range size.Clients {
		c.pressed.Add(1)
		c.group.Go(func(ctx context.Context) {
			defer c.pressed.Done()
			c.press(ctx)
		})
	}
	return c
}

// Wait waits until every client has sent its bytes or can send no more.
func (c *Clients) Wait() { c.pressed.Wait() }

// Close ends all clients and closes their connections. It may be called again.
func (c *Clients) Close() {
	c.group.Cancel()
	c.mu.Lock()
	c.ended = true
	for _, conn := range c.open {
		_ = conn.Close() // the server may have closed it
	}
	c.open = nil
	c.mu.Unlock()
	c.group.Stop()
}

// press is one client: it presses on its connections, one after the other, and opens new ones for those that the server
// has closed.
func (c *Clients) press(ctx context.Context) {
	held := max(c.kind.Connections, 1)
	for range held + c.size.Reconnects {
		if ctx.Err() != nil {
			return
		}
		if isOpen := c.pressOnce(ctx); isOpen && held == 1 {
			return
		}
	}
}

// pressOnce opens a connection and sends what the kind sends. It reports whether the connection is still open then.
func (c *Clients) pressOnce(ctx context.Context) (isOpen bool) {
	conn, err := net.DialTimeout("tcp", c.target.Addr, dialTimeout)
	if err != nil {
		return false
	}
	if !c.keep(conn) {
		return false
	}
	tcp := conn.(*net.TCPConn)
	_ = tcp.SetReadBuffer(readBuffer) // a larger buffer only makes the crowd less pressing
	sent := 0
	for i := -1; sent < c.size.Bytes && ctx.Err() == nil; i++ {
		piece := c.piece(i)
		if piece == "" && i >= 0 {
			break
		}
		_ = conn.SetWriteDeadline(clock.Real{}.Wall().Add(writeTimeout)) // fails only on a closed connection
		n, err := conn.Write([]byte(piece))
		sent += n
		if err != nil {
			return false
		}
	}
	if c.kind.HalfClose {
		_ = tcp.CloseWrite() // fails if the server has closed the connection
	}
	return true
}

// piece returns the start for -1, and the piece with number i otherwise.
func (c *Clients) piece(i int) string {
	switch {
	case i < 0:
		return c.kind.Start(c.target)
	case c.kind.Piece == nil:
		return ""
	}
	return c.kind.Piece(c.target, i)
}

// keep keeps a connection open until Close. It reports false, and closes it, if Close was called.
func (c *Clients) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	c.open = append(c.open, conn)
	return true
}
