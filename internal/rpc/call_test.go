package rpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

func TestCall_pooledConnection(t *testing.T) {
	Convey("Calls are answered over one pooled connection, whatever their size, and counted", t, func() {
		h := newHarness(t)
		defer h.end(t)
		for _, text := range []string{"a<b>", strings.Repeat("x", 900_000), ""} {
			got, err := Call(ctx, h.Client, h.Addr(), echo, message{text}, time.Second)
			So(err, ShouldBeNil)
			So(got.Text == text, ShouldBeTrue)
		}
		So(len(h.Client.pool.idle[h.Addr()]), ShouldEqual, 1)
		So(len(h.Client.pool.open), ShouldEqual, 1)
		So(h.count(t, "crosstide_rpc_calls_total", "server", "/echo"), ShouldEqual, 3)
		So(h.count(t, "crosstide_rpc_bytes_total", "caller", "out"), ShouldBeGreaterThan, 900_000)
		ms := 0
		So(h.Client.pool.idle[h.Addr()][0].raw.Control(func(fd uintptr) {
			ms, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}), ShouldBeNil)
		So(ms, ShouldEqual, 1500)
	})
}

func TestCall_errorOfPeer(t *testing.T) {
	Convey("Errors are returned with kind, field, message, hint and After, and are counted by kind", t, func() {
		h := newHarness(t)
		defer h.end(t)
		_, err := Call(ctx, h.Client, h.Addr(), fail, message{}, time.Second)
		f := errs.Of(err) // RetryAfter is rounded up to seconds
		So([]any{f.Kind, f.Field, f.Message, f.Hint, f.RetryAfter}, ShouldResemble,
			[]any{errs.NotLeader, "f", "m", "h", 2 * time.Second})
		_, err = Call(ctx, h.Client, h.Addr(), fail, message{"panic"}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Internal)
		_, err = Call(ctx, h.Client, h.Addr(), echo, message{strings.Repeat("x", 1<<20)}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.TooLarge)
		_, err = Call(ctx, h.Client, h.Addr(), Endpoint[message, message]{"/none"}, message{}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
		_, err = Call(ctx, h.Client, h.Addr(), Endpoint[int, message]{"/echo"}, 5, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Malformed)
		So(IsUnsent(err), ShouldBeFalse)
		So(h.count(t, "crosstide_rpc_failures_total", "caller", "/fail", "not_leader"), ShouldEqual, 1)
		So(len(h.Client.pool.open), ShouldEqual, 1)
	})
}

func TestCall_timeout(t *testing.T) {
	Convey("A call whose timeout expires or whose context ends is a Timeout and resets the connection", t, func() {
		h := newHarness(t)
		defer h.end(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		for _, byTimer := range []bool{true, false} {
			ctx, cancel := context.WithCancel(ctx)
			peer := routine.New(ctx)
			var readErr error
			peer.Go(func(context.Context) {
				c, _ := ln.Accept()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				if byTimer {
					h.clock.Advance(time.Second)
				} else {
					cancel()
				}
				_, readErr = io.Copy(io.Discard, c)
			})
			_, err = Call(ctx, h.Client, ln.Addr().String(), echo, message{"x"}, time.Second)
			So(errs.KindOf(err), ShouldEqual, errs.Timeout)
			So(IsUnsent(err), ShouldBeFalse)
			peer.Wait()
			cancel()
			So(errors.Is(readErr, unix.ECONNRESET), ShouldBeTrue)
		}
		So(len(h.Client.pool.open), ShouldEqual, 0)
	})
}

func TestCall_brokenConnection(t *testing.T) {
	Convey("A refused connection is Unavailable and unsent; an idle one that the peer closed is not used", t, func() {
		h := newHarness(t)
		_, err := Call(ctx, h.Client, h.Addr(), echo, message{}, time.Second)
		So(err, ShouldBeNil)
		So(h.Stop(0), ShouldBeNil)
		idle := h.Client.pool.idle[h.Addr()][0]
		_, _ = idle.Read(make([]byte, 1)) // returns once the peer has closed it
		_, err = Call(ctx, h.Client, h.Addr(), echo, message{}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		So(IsUnsent(err), ShouldBeTrue)
		So(len(h.Client.pool.open), ShouldEqual, 0)
		h.Client.Close()
		_, err = Call(ctx, h.Client, h.Addr(), echo, message{}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
	})
}

func TestCall_remoteError(t *testing.T) {
	Convey("IsRemote is true for errors that the peer returned, and for no others", t, func() {
		h := newHarness(t)
		defer h.end(t)
		_, err := Call(ctx, h.Client, h.Addr(), fail, message{}, time.Second)
		So(IsRemote(err), ShouldBeTrue)
		_, err = Call(ctx, h.Client, h.Addr(), Endpoint[message, int]{"/echo"}, message{}, time.Second)
		So([]any{errs.KindOf(err), IsRemote(err)}, ShouldResemble, []any{errs.Malformed, false})
	})
}
