package rpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

type note struct {
	Text string `json:"text"`
}

var (
	echo  = Endpoint[note, note]{Path: "/echo"}
	block = Endpoint[note, note]{Path: "/block"}
	fail  = Endpoint[note, note]{Path: "/fail"}
	ctx   = context.Background()
)

// bench is a server and a caller on one registry; block waits for gate, or for the end of its context.
type bench struct {
	*Server
	*Client
	clock   *clock.Virtual
	entered chan struct{}
	gate    chan struct{}
	reg     *prometheus.Registry
}

func newBench() *bench {
	b := &bench{clock: &clock.Virtual{}, entered: make(chan struct{}, 1000), gate: make(chan struct{}), reg: prometheus.NewRegistry()}
	b.Server = NewServer(ServerOptions{Addr: "127.0.0.1:0", MaxBody: 1 << 20, Registry: b.reg, Clock: b.clock})
	Handle(b.Server, echo, func(_ context.Context, n note) (note, error) { return n, nil })
	Handle(b.Server, fail, func(_ context.Context, n note) (note, error) {
		if n.Text == "panic" {
			panic("on purpose")
		}
		return n, errs.Pass(&errs.Error{Kind: errs.NotLeader, Field: "f", Message: "m", Hint: "h", After: 1500 * time.Millisecond}, "more")
	})
	Handle(b.Server, block, func(ctx context.Context, n note) (note, error) {
		b.entered <- struct{}{}
		select {
		case <-b.gate:
		case <-ctx.Done():
		}
		return n, nil
	})
	So(b.Start(), ShouldBeNil)
	b.Client = NewClient(ClientOptions{Clock: b.clock, UserTimeout: 1500 * time.Millisecond, Registry: b.reg})
	return b
}

func (b *bench) end() {
	b.Client.Close()
	So(b.Stop(time.Hour), ShouldBeNil)
}

func (b *bench) count(name string, labels ...string) (sum float64) {
	families, err := b.reg.Gather()
	So(err, ShouldBeNil)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			all := f.GetName() == name
			for _, l := range labels {
				all = all && strings.Contains(m.String(), `"`+l+`"`)
			}
			if all {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

func TestAsk(t *testing.T) {
	Convey("Calls are answered over one kept connection, whatever their size, and counted", t, func() {
		b := newBench()
		defer b.end()
		for _, text := range []string{"a<b>", strings.Repeat("x", 900_000), ""} {
			got, err := Call(ctx, b.Client, b.Addr(), echo, note{text}, time.Second)
			So(err, ShouldBeNil)
			So(got.Text == text, ShouldBeTrue)
		}
		So(len(b.Client.pool.idle[b.Addr()]), ShouldEqual, 1)
		So(len(b.Client.pool.open), ShouldEqual, 1)
		So(b.count("crosstide_rpc_calls_total", "server", "/echo"), ShouldEqual, 3)
		So(b.count("crosstide_rpc_bytes_total", "caller", "out"), ShouldBeGreaterThan, 900_000)
		ms := 0
		So(b.Client.pool.idle[b.Addr()][0].raw.Control(func(fd uintptr) {
			ms, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}), ShouldBeNil)
		So(ms, ShouldEqual, 1500)
	})
	Convey("Faults come back with kind, field, message, hint and After, and are counted by kind", t, func() {
		b := newBench()
		defer b.end()
		_, err := Call(ctx, b.Client, b.Addr(), fail, note{}, time.Second)
		f := errs.Of(err)
		So([]any{f.Kind, f.Field, f.Message, f.Hint, f.After}, ShouldResemble, []any{errs.NotLeader, "f", "m", "h", 2 * time.Second})
		_, err = Call(ctx, b.Client, b.Addr(), fail, note{"panic"}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Internal)
		_, err = Call(ctx, b.Client, b.Addr(), echo, note{strings.Repeat("x", 1<<20)}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.TooLarge)
		_, err = Call(ctx, b.Client, b.Addr(), Endpoint[note, note]{"/none"}, note{}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
		_, err = Call(ctx, b.Client, b.Addr(), Endpoint[int, note]{"/echo"}, 5, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Malformed)
		So(IsUnsent(err), ShouldBeFalse)
		So(b.count("crosstide_rpc_failures_total", "caller", "/fail", "not_leader"), ShouldEqual, 1)
		So(len(b.Client.pool.open), ShouldEqual, 1)
	})
	Convey("A timer that fires, and a context that ends, give Timeout and a reset", t, func() {
		b := newBench()
		defer b.end()
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		for _, byTimer := range []bool{true, false} {
			ctx, cancel := context.WithCancel(ctx)
			peer := routine.New(ctx)
			var seen error
			peer.Go(func(context.Context) {
				c, _ := ln.Accept()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				if byTimer {
					b.clock.Advance(time.Second)
				} else {
					cancel()
				}
				_, seen = io.Copy(io.Discard, c)
			})
			_, err = Call(ctx, b.Client, ln.Addr().String(), echo, note{"x"}, time.Second)
			So(errs.KindOf(err), ShouldEqual, errs.Timeout)
			So(IsUnsent(err), ShouldBeFalse)
			peer.Wait()
			cancel()
			So(errors.Is(seen, unix.ECONNRESET), ShouldBeTrue)
		}
		So(len(b.Client.pool.open), ShouldEqual, 0)
	})
	Convey("A refused connection is Unavailable and unsent; a kept one that the peer closed is not used", t, func() {
		b := newBench()
		_, err := Call(ctx, b.Client, b.Addr(), echo, note{}, time.Second)
		So(err, ShouldBeNil)
		So(b.Stop(0), ShouldBeNil)
		current := b.Client.pool.idle[b.Addr()][0]
		_, _ = current.Read(make([]byte, 1)) // until the peer's end is here
		_, err = Call(ctx, b.Client, b.Addr(), echo, note{}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		So(IsUnsent(err), ShouldBeTrue)
		So(len(b.Client.pool.open), ShouldEqual, 0)
		b.Client.Close()
		_, err = Call(ctx, b.Client, b.Addr(), echo, note{}, time.Second)
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
	})
}

func TestDedicatedConn(t *testing.T) {
	Convey("before runs right before the write; its error keeps every byte back and keeps its kind", t, func() {
		b := newBench()
		defer b.end()
		l := NewDedicatedConn(b.Client, b.Addr())
		runs := 0
		check := func() error { runs++; return nil }
		got, err := CallDedicated(ctx, l, echo, note{"x"}, time.Second, check)
		So([]any{got.Text, err, runs}, ShouldResemble, []any{"x", nil, 1})
		first := l.connection
		_, err = CallDedicated(ctx, l, echo, note{"y"}, time.Second, func() error { return errs.New(errs.Stale, "lease is over") })
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		So(IsUnsent(err), ShouldBeTrue)
		So(b.count("crosstide_rpc_calls_total", "server", "/echo"), ShouldEqual, 1)
		_, err = CallDedicated(ctx, l, echo, note{"z"}, time.Second, check)
		So(err, ShouldBeNil)
		So(l.connection, ShouldNotEqual, first)
		l.Close()
		_, err = CallDedicated(ctx, l, echo, note{}, time.Second, check)
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
		So(runs, ShouldEqual, 2)
	})
	Convey("When the socket takes only a part, the rest waits for before too, and is thrown away on its error", t, func() {
		b := newBench()
		defer b.end()
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		peer := routine.New(ctx)
		var seen error
		peer.Go(func(context.Context) {
			c, _ := ln.Accept()
			<-b.gate // reads nothing until the call is over
			_, seen = io.Copy(io.Discard, c)
		})
		runs := 0
		_, err = CallDedicated(ctx, NewDedicatedConn(b.Client, ln.Addr().String()), echo, note{strings.Repeat("x", 32<<20)}, time.Second, func() error {
			if runs++; runs > 1 {
				return errs.New(errs.Stale, "lease is over")
			}
			return nil
		})
		close(b.gate)
		peer.Wait()
		So([]any{errs.KindOf(err), IsUnsent(err), runs}, ShouldResemble, []any{errs.Stale, false, 2})
		So(errors.Is(seen, unix.ECONNRESET), ShouldBeTrue)
	})
}

func TestServer(t *testing.T) {
	Convey("500 blocked handlers do not hold up another call, and Stop lets them finish", t, func() {
		b := newBench()
		defer b.Client.Close()
		work := routine.New(ctx)
		var mu sync.Mutex
		well := 0
		for range 500 {
			work.Go(func(ctx context.Context) {
				if _, err := Call(ctx, b.Client, b.Addr(), block, note{}, time.Hour); err == nil {
					mu.Lock()
					well++
					mu.Unlock()
				}
			})
		}
		for range 500 {
			<-b.entered
		}
		_, err := Call(ctx, b.Client, b.Addr(), echo, note{}, time.Hour)
		So(err, ShouldBeNil)
		close(b.gate)
		work.Wait()
		So(well, ShouldEqual, 500)
		So(len(b.Client.pool.idle[b.Addr()]), ShouldEqual, b.Client.opt.MaxIdlePerAddress)
		So(b.Stop(time.Hour), ShouldBeNil)
	})
	Convey("Stop closes no connection before the answers of the handlers that it waited for are written", t, func() {
		for range 20 {
			b := newBench()
			work := routine.New(ctx)
			failed := make(chan error, 100)
			for range 100 {
				work.Go(func(ctx context.Context) {
					if _, err := Call(ctx, b.Client, b.Addr(), block, note{}, time.Hour); err != nil {
						failed <- err
					}
				})
			}
			for range 100 {
				<-b.entered
			}
			stopped := routine.New(ctx)
			stopped.Go(func(context.Context) { _ = b.Stop(time.Hour) })
			for stopping := false; !stopping; runtime.Gosched() {
				b.Server.mu.Lock()
				stopping = b.stopping
				b.Server.mu.Unlock()
			}
			close(b.gate)
			work.Wait()
			stopped.Wait()
			So(failed, ShouldBeEmpty)
			b.Client.Close()
		}
	})
	Convey("A server that is stopped right after its start stops", t, func() {
		for range 50 {
			newBench().end()
		}
	})
	Convey("Stop refuses new requests, and ends handlers that outlast grace", t, func() {
		b := newBench()
		defer b.Client.Close()
		work := routine.New(ctx)
		work.Go(func(ctx context.Context) { _, _ = Call(ctx, b.Client, b.Addr(), block, note{}, time.Hour) })
		<-b.entered
		_, err := Call(ctx, b.Client, b.Addr(), echo, note{}, time.Hour) // leaves a kept connection
		So(err, ShouldBeNil)
		stopped := make(chan error, 1)
		routine.New(ctx).Go(func(context.Context) { stopped <- b.Stop(time.Minute) })
		for err == nil { // until Stop has begun
			_, err = Call(ctx, b.Client, b.Addr(), echo, note{}, time.Hour)
		}
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
		for b.requests.Context().Err() == nil { // grace may not be set yet at the first turns
			b.clock.Advance(time.Second)
		}
		So(errs.KindOf(<-stopped), ShouldEqual, errs.Timeout)
		work.Wait()
	})
	Convey("Raw routes and refusals are JSON with the table's head", t, func() {
		b := newBench()
		defer b.end()
		res, err := http.Get("http://" + b.Addr() + "/echo")
		So(err, ShouldBeNil)
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		So([]any{res.StatusCode, res.Header.Get("Allow")}, ShouldResemble, []any{405, "POST"})
		So(string(bytes.TrimSpace(body)), ShouldEqual, `{"kind":"invalid","field":"method","message":"GET is not taken here"}`)
	})
}
