package netproxy

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/journal"
)

var way = Link{From: "d1", FromZone: "z1", To: "c2", ToZone: "z2"}

func TestFaultSet(t *testing.T) {
	Convey("A fault affects the links that cross its border until it ends; faults add up", t, func() {
		g := &faultSet{}
		verdictOn := func(now time.Duration, w Link, forward bool) []any {
			f := g.verdictFor(now, w, forward)
			return []any{f.isLost, f.end, f.due}
		}
		sameZone := Link{From: "d1", FromZone: "z1", To: "c1", ToZone: "z1"}
		g.add(0, Fault{Zone: "z1", Kind: Blackhole, For: 10})
		So(verdictOn(5, way, true), ShouldResemble, []any{true, time.Duration(10), time.Duration(5)})
		So(verdictOn(5, way, false)[0], ShouldBeTrue)
		So(verdictOn(5, sameZone, true)[0], ShouldBeFalse)
		So(verdictOn(10, way, true)[0], ShouldBeFalse)
		g.add(10, Fault{Node: "c2", Kind: OneWayBlackhole, For: 10})
		So([]any{verdictOn(11, way, true)[0], verdictOn(11, way, false)[0]}, ShouldResemble, []any{false, true})
		g.add(20, Fault{Node: "d1", Kind: AddLatency, Delay: 3, For: 10})
		So(verdictOn(21, way, true)[2], ShouldEqual, time.Duration(24))
		g.add(21, Fault{Node: "d1", Kind: Stall, For: 9})
		So(verdictOn(22, way, false)[2], ShouldEqual, time.Duration(30))
		So(verdictOn(22, Link{From: "m1", To: "d2"}, true)[2], ShouldEqual, time.Duration(22))
	})
	Convey("An invalid fault is refused", t, func() {
		for _, fault := range []Fault{
			{Kind: Stall, For: 1},
			{Node: "a", Zone: "b", Kind: Stall, For: 1},
			{Node: "a", Kind: "x", For: 1},
			{Node: "a", Kind: Stall},
			{Node: "a", Kind: AddLatency, For: 1},
			{Node: "a", Kind: Stall, For: 1, Delay: 1},
		} {
			So(fault.Check(), ShouldNotBeNil)
		}
		So(Fault{Node: "a", Kind: AddLatency, For: 1, Delay: 1}.Check(), ShouldBeNil)
	})
}

// counted records every timer that is set.
type counted struct {
	clock.Virtual
	sets chan struct{}
}

func (c *counted) Set(d time.Duration, timer func()) clock.Stopper {
	defer func() { c.sets <- struct{}{} }()
	return c.Virtual.Set(d, timer)
}

func (c *counted) await(n int) {
	for range n {
		<-c.sets
	}
}

// pipe returns a proxy with a link to a peer that answers every byte with the next one, its clock, and a function that
// dials through the link.
func pipe(t *testing.T) (*proxy, *counted, func() net.Conn) {
	clock, group := &counted{sets: make(chan struct{}, 100)}, routine.New(context.Background())
	writer, err := journal.Open(filepath.Join(t.TempDir(), "j"))
	So(err, ShouldBeNil)
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		context.AfterFunc(group.Context(), func() { _ = ln.Close() })
		return ln
	}
	peer, front := listen(), listen()
	group.Go(func(context.Context) {
		for c, err := peer.Accept(); err == nil; c, err = peer.Accept() {
			group.Go(func(context.Context) {
				b := make([]byte, 1)
				for _, err := c.Read(b); err == nil; _, err = c.Read(b) {
					b[0]++
					_, _ = c.Write(b)
				}
				_ = c.Close()
			})
		}
	})
	w := way
	w.Dial = peer.Addr().String()
	l := &proxy{settings: Settings{Links: []Link{w}}, clock: clock, logger: log.NewNopLogger(), writer: writer,
		group: group}
	group.Go(func(ctx context.Context) { l.accept(ctx, front, w) })
	Reset(func() { group.Stop(); So(writer.Close(), ShouldBeNil) })
	return l, clock, func() net.Conn {
		c, err := net.Dial("tcp", front.Addr().String())
		So(err, ShouldBeNil)
		return c
	}
}

func send(c net.Conn, b byte) {
	_, err := c.Write([]byte{b})
	So(err, ShouldBeNil)
}

func receive(c net.Conn) byte {
	b := make([]byte, 1)
	_, err := io.ReadFull(c, b)
	So(err, ShouldBeNil)
	return b[0]
}

func TestProxy(t *testing.T) {
	Convey("Bytes and ends of file pass in both directions", t, func() {
		_, _, dial := pipe(t)
		c := dial()
		send(c, 1)
		So(receive(c), ShouldEqual, 2)
		So(c.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		_, err := c.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
	Convey("A blackhole drops all bytes, and resets at its end only the connections that lost some", t, func() {
		l, clock, dial := pipe(t)
		old, quiet := dial(), dial()
		for _, c := range []net.Conn{old, quiet} {
			send(c, 1)
			So(receive(c), ShouldEqual, 2)
		}
		answer, err := l.inject(Fault{Node: "c2", Kind: Blackhole, For: time.Second})
		So(err, ShouldBeNil)
		So(answer.Links, ShouldEqual, 1)
		fresh := dial()
		send(old, 5)
		send(fresh, 7)
		over := make(chan error, 2)
		for _, c := range []net.Conn{old, fresh} {
			l.group.Go(func(context.Context) { _, err := c.Read(make([]byte, 1)); over <- err })
		}
		clock.await(4) // of the fault, of the lost bytes, and of the new connection and the bytes lost on it
		clock.Advance(time.Second)
		So([]error{<-over, <-over}, ShouldNotContain, nil)
		send(quiet, 3)
		So(receive(quiet), ShouldEqual, 4)
	})
	Convey("A stall delivers in order at its end, even what was sent before the sender closed", t, func() {
		l, clock, dial := pipe(t)
		c := dial()
		send(c, 1)
		So(receive(c), ShouldEqual, 2)
		_, err := l.inject(Fault{Zone: "z1", Kind: Stall, For: time.Second})
		So(err, ShouldBeNil)
		send(c, 5)
		So(c.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		clock.await(2) // of the fault, and of the bytes that it delays
		clock.Advance(time.Second)
		So(receive(c), ShouldEqual, 6)
	})
}
