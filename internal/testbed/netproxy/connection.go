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
	maxQueuedSegments = 4096 // of a direction of a connection; when they are used up, it stops reading
	dialTimeout       = 2 * time.Second
)

// connection is one connection through a link: its two ends, which are reset together when its group ends.
type connection struct {
	*proxy
	Link
	group *routine.Group
}

// segment is the result of one read: bytes, or the stream's end.
type segment struct {
	data []byte
	due  time.Duration
	err  error // the end: io.EOF or a reset
}

// serve proxies one connection. Faults apply to its opening as they do to its bytes: it is delayed, or never answered.
func (p *proxy) serve(ctx context.Context, link Link, inbound *net.TCPConn) {
	c := &connection{p, link, routine.New(ctx)}
	defer c.group.Stop()
	resetOnStop(c.group, inbound)
	forward := make(chan segment, maxQueuedSegments)
	opening := c.judge(true)
	c.group.Go(func(context.Context) { c.read(inbound, true, forward) }) // now: bytes may be due later
	if opening.isLost || !c.wait(opening.due) {
		<-c.group.Context().Done()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(c.group.Context(), "tcp", link.Dial)
	if err != nil {
		return // a reset, as the kernel of the node itself would send
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

// resetOnStop resets a connection when the group ends.
func resetOnStop(group *routine.Group, conn *net.TCPConn) {
	context.AfterFunc(group.Context(), func() {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
}

// judge returns the verdict on bytes that arrive now. If they are lost, it has the connection reset at the end of the
// fault: a stream with a gap cannot go on.
func (c *connection) judge(isForward bool) verdict {
	now := c.clock.Now()
	v := c.faults.verdictFor(now, c.Link, isForward)
	if v.isLost {
		c.clock.Set(v.end-now, c.group.Cancel)
	}
	return v
}

// wait waits until due. It returns false if the connection ends first.
func (c *connection) wait(due time.Duration) bool {
	d := due - c.clock.Now()
	return d <= 0 || clock.Sleep(c.group.Context().Done(), c.clock, d)
}

// read queues the bytes of a direction until its end. Once a fault has lost some of them, it discards all that follow.
func (c *connection) read(from *net.TCPConn, isForward bool, to chan<- segment) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		v := c.judge(isForward)
		if v.isLost {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 && !c.enqueue(to, segment{data: slices.Clone(buffer[:n]), due: v.due}) {
			return
		}
		if err != nil {
			c.enqueue(to, segment{due: v.due, err: err})
			return
		}
	}
}

func (c *connection) enqueue(to chan<- segment, s segment) bool {
	select {
	case to <- s:
		return true
	case <-c.group.Context().Done():
		return false
	}
}

// write delivers segments when they are due. An end of file closes this direction, a reset both.
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
