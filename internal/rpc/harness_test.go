package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
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

// harness is a server and a client that share a registry and a clock.
type harness struct {
	*Server
	*Client
	clock    *clock.Virtual
	registry *prometheus.Registry
	entered  chan struct{} // receives an element for each call of block that has begun
	gate     chan struct{} // calls of block return when it is closed or their context ends
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{
		clock:    &clock.Virtual{},
		registry: prometheus.NewRegistry(),
		entered:  make(chan struct{}, 1000),
		gate:     make(chan struct{}),
	}
	h.Server = NewServer(ServerOptions{Addr: "127.0.0.1:0", Limits: Limits{BodyBytes: 1 << 20}, Registry: h.registry, Clock: h.clock})
	Handle(h.Server, echo, func(_ context.Context, m message) (message, error) { return m, nil })
	Handle(h.Server, fail, func(_ context.Context, m message) (message, error) {
		if m.Text == "panic" {
			panic("on purpose")
		}
		failure := &errs.Error{
			Kind: errs.NotLeader, Field: "f", Message: "m", Hint: "h", RetryAfter: 1500 * time.Millisecond,
		}
		return m, errs.Pass(failure, "more")
	})
	Handle(h.Server, block, func(ctx context.Context, m message) (message, error) {
		h.entered <- struct{}{}
		select {
		case <-h.gate:
		case <-ctx.Done():
		}
		return m, nil
	})
	So(h.Start(), ShouldBeNil)
	h.Client = NewClient(ClientOptions{Clock: h.clock, UserTimeout: 1500 * time.Millisecond, Registry: h.registry})
	return h
}

// end closes the client and stops the server.
func (h *harness) end(t *testing.T) {
	t.Helper()
	h.Client.Close()
	So(h.Stop(time.Hour), ShouldBeNil)
}

// count returns the sum of the counters called name that have all of the label values.
func (h *harness) count(t *testing.T, name string, labels ...string) (sum float64) {
	t.Helper()
	return countIn(h.registry, name, labels...)
}

// countIn is count for any registry.
func countIn(registry *prometheus.Registry, name string, labels ...string) (sum float64) {
	families, err := registry.Gather()
	So(err, ShouldBeNil)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			isMissing := func(label string) bool { return !strings.Contains(metric.String(), `"`+label+`"`) }
			if !slices.ContainsFunc(labels, isMissing) {
				sum += metric.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// waitUntil yields until other goroutines have made condition true.
func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// plainPeer starts a TCP server that calls serve for each connection, with its number, counted from 1. end stops it.
func plainPeer(t *testing.T, serve func(n int, c net.Conn, in *bufio.Reader)) (addr string, end func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	group := routine.New(ctx)
	group.Go(func(context.Context) {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			group.Go(func(context.Context) {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			})
		}
	})
	return ln.Addr().String(), func() {
		_ = ln.Close()
		group.Stop()
	}
}

// quietPeers starts peers that accept connections and never answer. end stops them.
func quietPeers(t *testing.T, count int) (addresses []string, end func()) {
	t.Helper()
	var ends []func()
	for range count {
		addr, endPeer := plainPeer(t, func(_ int, c net.Conn, _ *bufio.Reader) { _, _ = io.Copy(io.Discard, c) })
		addresses, ends = append(addresses, addr), append(ends, endPeer)
	}
	return addresses, func() {
		for _, endPeer := range ends {
			endPeer()
		}
	}
}
