package netproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/routine"
)

const (
	bufferBytes       = 32 << 10
	maxQueuedSegments = 4096 // per direction of a connection, which stops reading when the queue is full
	dialTimeout       = 2 * time.Second
)

// connection is one proxied connection through a link. Its two TCP connections are reset together when its group stops.
type connection struct {
	*proxy
	Link
	group *routine.Group
}

// segment is the result of one read: bytes, or the end of the stream.
type segment struct {
	data []byte
	due  time.Duration // when to deliver it
	err  error         // set for the end of the stream: io.EOF or a reset
}

// serve proxies one connection. Faults apply to its opening as to its bytes: the dial is delayed, or never made.
func (p *proxy) serve(ctx context.Context, link Link, inbound *net.TCPConn) {
	c := &connection{p, link, routine.New(ctx)}
	defer c.group.Stop()
	resetOnStop(c.group, inbound)
	forward := make(chan segment, maxQueuedSegments)
	opening := c.applyFaults(true)
	c.group.Go(func(context.Context) { c.read(inbound, true, forward) }) // before the dial, which may be delayed
	if opening.isLost || !c.wait(opening.due) {
		<-c.group.Context().Done()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(c.group.Context(), "tcp", link.Dial)
	if err != nil {
		return // which resets inbound, as the kernel of the node itself would
	}
	outbound := conn.(*net.TCPConn)
	resetOnStop(c.group, outbound)
	backward := make(chan segment, maxQueuedSegments)
	ended := make(chan struct{}, 2)
	c.group.Go(func(context.Context) { c.read(outbound, false, backward) })
	c.group.Go(func(context.Context) { c.write(outbound, forward); ended <- struct{}{} })
	c.group.Go(func(context.Context) { c.write(inbound, backward); ended <- struct{}{} })
	for range 2 {
		select {
		case <-ended:
		case <-c.group.Context().Done():
		}
	}
}

// resetOnStop resets a TCP connection when the group stops.
func resetOnStop(group *routine.Group, conn *net.TCPConn) {
	context.AfterFunc(group.Context(), func() {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
}

// applyFaults returns the effect of the active faults on bytes that arrive now. If the bytes are lost, it schedules a
// reset of the connection for the end of the fault, because a stream with a gap cannot go on.
func (c *connection) applyFaults(isForward bool) effect {
	now := c.clock.Now()
	e := c.faults.effectOn(now, c.Link, isForward)
	if e.isLost {
		c.clock.Set(e.end-now, c.group.Cancel)
	}
	return e
}

// wait waits until due. It returns false if the connection ends first.
func (c *connection) wait(due time.Duration) bool {
	d := due - c.clock.Now()
	return d <= 0 || clock.Sleep(c.group.Context().Done(), c.clock, d)
}

// read queues the bytes of one direction until its end. Once a fault has dropped bytes, it discards all later ones.
func (c *connection) read(from *net.TCPConn, isForward bool, to chan<- segment) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		e := c.applyFaults(isForward)
		if e.isLost {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 && !c.enqueue(to, segment{data: slices.Clone(buffer[:n]), due: e.due}) {
			return
		}
		if err != nil {
			c.enqueue(to, segment{due: e.due, err: err})
			return
		}
	}
}

// enqueue queues a segment. It returns false if the connection ends first.
func (c *connection) enqueue(to chan<- segment, s segment) bool {
	select {
	case to <- s:
		return true
	case <-c.group.Context().Done():
		return false
	}
}

// write delivers segments when they are due. An io.EOF closes this direction, a reset the whole connection.
func (c *connection) write(to *net.TCPConn, from <-chan segment) {
	for {
		var s segment
		select {
		case s = <-from:
		case <-c.group.Context().Done():
			return
		}
		if !c.wait(s.due) {
			return
		}
		if len(s.data) > 0 {
			if _, err := to.Write(s.data); err != nil {
				c.group.Cancel()
				return
			}
		}
		if s.err != nil {
			if !errors.Is(s.err, io.EOF) || to.CloseWrite() != nil {
				c.group.Cancel()
			}
			return
		}
	}
}
