package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

type message struct {
	Text string `json:"text"`
}

var (
	echo  = Endpoint[message, message]{Path: "/echo"}
	block = Endpoint[message, message]{Path: "/block"}
	fail  = Endpoint[message, message]{Path: "/fail"}
	ctx   = context.Background()
)

// harness is a server and a client on one registry; block waits for gate, or for the end of its context.
type harness struct {
	*Server
	*Client
	clock   *clock.Virtual
	entered chan struct{}
	gate    chan struct{}
	reg     *prometheus.Registry
}

func newHarness() *harness {
	h := &harness{clock: &clock.Virtual{}, entered: make(chan struct{}, 1000), gate: make(chan struct{}), reg: prometheus.NewRegistry()}
	h.Server = NewServer(ServerOptions{Addr: "127.0.0.1:0", MaxBody: 1 << 20, Registry: h.reg, Clock: h.clock})
	Handle(h.Server, echo, func(_ context.Context, n message) (message, error) { return n, nil })
	Handle(h.Server, fail, func(_ context.Context, n message) (message, error) {
		if n.Text == "panic" {
			panic("on purpose")
		}
		return n, errs.Pass(&errs.Error{Kind: errs.NotLeader, Field: "f", Message: "m", Hint: "h", After: 1500 * time.Millisecond}, "more")
	})
	Handle(h.Server, block, func(ctx context.Context, n message) (message, error) {
		h.entered <- struct{}{}
		select {
		case <-h.gate:
		case <-ctx.Done():
		}
		return n, nil
	})
	So(h.Start(), ShouldBeNil)
	h.Client = NewClient(ClientOptions{Clock: h.clock, UserTimeout: 1500 * time.Millisecond, Registry: h.reg})
	return h
}

func (h *harness) end() {
	h.Client.Close()
	So(h.Stop(time.Hour), ShouldBeNil)
}

func (h *harness) count(name string, labels ...string) (sum float64) {
	families, err := h.reg.Gather()
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

// waitUntil yields until a condition holds that other goroutines bring about.
func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// plainPeer listens and hands each connection to serve, with its number from 1.
func plainPeer(serve func(n int, c net.Conn, in *bufio.Reader)) (addr string, end func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	work := routine.New(ctx)
	work.Go(func(context.Context) {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			work.Go(func(context.Context) {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			})
		}
	})
	return ln.Addr().String(), func() {
		_ = ln.Close()
		work.Stop()
	}
}

// quietPeers listens at so many addresses and accepts connections without an answer.
func quietPeers(count int) (addresses []string, end func()) {
	var ends []func()
	for range count {
		addr, over := plainPeer(func(_ int, c net.Conn, _ *bufio.Reader) { _, _ = io.Copy(io.Discard, c) })
		addresses, ends = append(addresses, addr), append(ends, over)
	}
	return addresses, func() {
		for _, over := range ends {
			over()
		}
	}
}
