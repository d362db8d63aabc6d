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

// testLink is a link between two zones.
var testLink = Link{From: "d1", FromZone: "z1", To: "c2", ToZone: "z2"}

func TestFaultSet(t *testing.T) {
	Convey("A fault affects the links into and out of its node or zone until it ends; faults combine", t, func() {
		faults := &faultSet{}
		effectOn := func(now time.Duration, link Link, isForward bool) []any {
			e := faults.effectOn(now, link, isForward)
			return []any{e.isLost, e.end, e.due}
		}
		sameZone := Link{From: "d1", FromZone: "z1", To: "c1", ToZone: "z1"}
		faults.add(0, Fault{Zone: "z1", Kind: Blackhole, For: 10})
		So(effectOn(5, testLink, true), ShouldResemble, []any{true, time.Duration(10), time.Duration(5)})
		So(effectOn(5, testLink, false)[0], ShouldBeTrue)
		So(effectOn(5, sameZone, true)[0], ShouldBeFalse)
		So(effectOn(10, testLink, true)[0], ShouldBeFalse)
		faults.add(10, Fault{Node: "c2", Kind: OneWayBlackhole, For: 10})
		So([]any{effectOn(11, testLink, true)[0], effectOn(11, testLink, false)[0]}, ShouldResemble, []any{false, true})
		faults.add(20, Fault{Node: "d1", Kind: AddLatency, Delay: 3, For: 10})
		So(effectOn(21, testLink, true)[2], ShouldEqual, time.Duration(24))
		faults.add(21, Fault{Node: "d1", Kind: Stall, For: 9})
		So(effectOn(22, testLink, false)[2], ShouldEqual, time.Duration(30))
		So(effectOn(22, Link{From: "m1", To: "d2"}, true)[2], ShouldEqual, time.Duration(22))
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

// countingClock is a virtual clock that counts the timers that are set.
type countingClock struct {
	clock.Virtual
	sets chan struct{} // one element for each timer
}

func (c *countingClock) Set(d time.Duration, timer func()) clock.Stopper {
	defer func() { c.sets <- struct{}{} }()
	return c.Virtual.Set(d, timer)
}

// awaitTimers waits until n more timers have been set.
func (c *countingClock) awaitTimers(n int) {
	for range n {
		<-c.sets
	}
}

// newTestProxy returns a proxy with a link to a peer that answers every byte with the next higher one, its clock, and a
// function that dials through the link.
func newTestProxy(t *testing.T) (*proxy, *countingClock, func() net.Conn) {
	clock, group := &countingClock{sets: make(chan struct{}, 100)}, routine.New(context.Background())
	writer, err := journal.Open(filepath.Join(t.TempDir(), "j"))
	So(err, ShouldBeNil)
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		context.AfterFunc(group.Context(), func() { _ = listener.Close() })
		return listener
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
	link := testLink
	link.Dial = peer.Addr().String()
	p := &proxy{settings: Settings{Links: []Link{link}}, clock: clock, logger: log.NewNopLogger(), writer: writer,
		group: group}
	group.Go(func(ctx context.Context) { p.accept(ctx, front, link) })
	Reset(func() { group.Stop(); So(writer.Close(), ShouldBeNil) })
	return p, clock, func() net.Conn {
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
	Convey("Bytes and the end of the stream pass in both directions", t, func() {
		_, _, dial := newTestProxy(t)
		c := dial()
		send(c, 1)
		So(receive(c), ShouldEqual, 2)
		So(c.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		_, err := c.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
	Convey("A blackhole drops all bytes, and its end resets only the connections that lost some", t, func() {
		p, clock, dial := newTestProxy(t)
		active, idle := dial(), dial()
		for _, c := range []net.Conn{active, idle} {
			send(c, 1)
			So(receive(c), ShouldEqual, 2)
		}
		answer, err := p.inject(Fault{Node: "c2", Kind: Blackhole, For: time.Second})
		So(err, ShouldBeNil)
		So(answer.Links, ShouldEqual, 1)
		opened := dial()
		send(active, 5)
		send(opened, 7)
		readErrs := make(chan error, 2)
		for _, c := range []net.Conn{active, opened} {
			p.group.Go(func(context.Context) { _, err := c.Read(make([]byte, 1)); readErrs <- err })
		}
		clock.awaitTimers(4) // the fault's, one for the lost bytes, two for the new connection and its lost bytes
		clock.Advance(time.Second)
		So([]error{<-readErrs, <-readErrs}, ShouldNotContain, nil)
		send(idle, 3)
		So(receive(idle), ShouldEqual, 4)
	})
	Convey("A stall delivers all bytes in order at its end, even if the sender has closed the connection", t, func() {
		p, clock, dial := newTestProxy(t)
		c := dial()
		send(c, 1)
		So(receive(c), ShouldEqual, 2)
		_, err := p.inject(Fault{Zone: "z1", Kind: Stall, For: time.Second})
		So(err, ShouldBeNil)
		send(c, 5)
		So(c.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		clock.awaitTimers(2) // the fault's, and one for the bytes that it delays
		clock.Advance(time.Second)
		So(receive(c), ShouldEqual, 6)
	})
}
