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

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

func TestDo_anyStatus(t *testing.T) {
	Convey("Requests go out as they are and every status is a response, over one pooled connection", t, func() {
		type seen struct {
			n                        int
			line, host, sent, length string
			body                     string
		}
		requests := make(chan seen, 10)
		addr, end := plainPeer(func(n int, c net.Conn, in *bufio.Reader) {
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body)
				requests <- seen{n, r.Method + " " + r.RequestURI, r.Host, r.Header.Get("X-Sent"), r.Header.Get("Content-Length"), string(body)}
				switch r.Method {
				case http.MethodPost:
					_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\nX-Seen: a\r\nX-Seen: b\r\nContent-Length: 2\r\n\r\nno")
				case http.MethodHead:
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
				default:
					_, _ = io.WriteString(c, "HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n")
				}
			}
		})
		k := NewClient(ClientOptions{ReadBuffer: 1024})
		res, err := k.Do(ctx, addr, Request{Method: "POST", Path: "/a?b=c", Body: []byte("{}"), Header: map[string]string{"X-Sent": "v", "host": "h.example"}}, time.Minute)
		So(err, ShouldBeNil)
		So([]any{res.Status, res.Header["X-Seen"], string(res.Body)}, ShouldResemble, []any{409, []string{"a", "b"}, "no"})
		So(<-requests, ShouldResemble, seen{1, "POST /a?b=c", "h.example", "v", "2", "{}"})
		res, err = k.Do(ctx, addr, Request{Method: "GET", Path: "/"}, time.Minute)
		So(err, ShouldBeNil)
		So([]any{res.Status, string(res.Body)}, ShouldResemble, []any{503, "yes"})
		So(<-requests, ShouldResemble, seen{1, "GET /", addr, "", "", ""})
		res, err = k.Do(ctx, addr, Request{Method: "HEAD", Path: "/"}, time.Minute)
		So([]any{res.Status, len(res.Body), err}, ShouldResemble, []any{200, 0, nil})
		So((<-requests).n, ShouldEqual, 1)
		k.Close()
		end()
	})
}

func TestDo_timeout(t *testing.T) {
	Convey("A time-out and a ctx that ends cause Timeout and a reset", t, func() {
		for _, byClock := range []bool{true, false} {
			clock := &clock.Virtual{}
			k := NewClient(ClientOptions{Clock: clock})
			ctx, cancel := context.WithCancel(ctx)
			broken := make(chan error, 1)
			addr, end := plainPeer(func(_ int, c net.Conn, in *bufio.Reader) {
				_, _ = http.ReadRequest(in)
				if byClock {
					clock.Advance(time.Second)
				} else {
					cancel()
				}
				_, err := io.Copy(io.Discard, c)
				broken <- err
			})
			_, err := k.Do(ctx, addr, Request{Method: "POST", Path: "/"}, time.Second)
			So([]any{errs.KindOf(err), IsUnsent(err), IsRemote(err)}, ShouldResemble, []any{errs.Timeout, false, false})
			So(errors.Is(<-broken, unix.ECONNRESET), ShouldBeTrue)
			cancel()
			end()
			So(len(k.pool.open), ShouldEqual, 0)
		}
	})
}

func TestDo_unsent(t *testing.T) {
	Convey("Not sent for sure: a refused connection, no time, a request that cannot be encoded", t, func() {
		addr, end := plainPeer(nil)
		end()
		k := NewClient(ClientOptions{})
		_, err := k.Do(ctx, addr, Request{Method: "POST", Path: "/"}, time.Minute)
		So([]any{errs.KindOf(err), IsUnsent(err)}, ShouldResemble, []any{errs.Unavailable, true})
		_, err = k.Do(ctx, addr, Request{Method: "POST", Path: "/"}, 0)
		So([]any{errs.KindOf(err), IsUnsent(err)}, ShouldResemble, []any{errs.Timeout, true})
		for _, r := range []Request{{Method: "", Path: "/"}, {Method: "GET", Path: "x"}, {Method: "GET", Path: "/ x"},
			{Method: "GET", Path: "/", Header: map[string]string{"A": "b\r\nC: d"}}, {Method: "GET", Path: "/", Header: map[string]string{"A:": "b"}}} {
			_, err = k.Do(ctx, addr, r, time.Minute)
			So([]any{errs.KindOf(err), IsUnsent(err)}, ShouldResemble, []any{errs.Invalid, true})
		}
		k.Close()
		_, err = k.Do(ctx, addr, Request{Method: "POST", Path: "/"}, time.Minute)
		So([]any{errs.KindOf(err), IsUnsent(err)}, ShouldResemble, []any{errs.Stopped, true})
	})
}

func TestDo_brokenConnection(t *testing.T) {
	Convey("An idle connection that the peer closed is skipped; one that breaks under a request is an error, sent once", t, func() {
		const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		requests := make(chan int, 10)
		addr, end := plainPeer(func(n int, c net.Conn, in *bufio.Reader) {
			for round := 1; ; round++ {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				requests <- n
				if n == 2 && round == 2 {
					return // without an answer
				}
				_, _ = io.WriteString(c, answer)
				if n == 1 {
					return
				}
			}
		})
		defer end()
		k := NewClient(ClientOptions{})
		defer k.Close()
		r := Request{Method: "POST", Path: "/"}
		_, err := k.Do(ctx, addr, r, time.Minute)
		So([]any{err, <-requests}, ShouldResemble, []any{nil, 1})
		_, _ = k.pool.idle[addr][0].Read(make([]byte, 1)) // until the peer's end is here
		_, err = k.Do(ctx, addr, r, time.Minute)
		So([]any{err, <-requests}, ShouldResemble, []any{nil, 2})
		_, err = k.Do(ctx, addr, r, time.Minute)
		So([]any{errs.KindOf(err), IsUnsent(err), <-requests}, ShouldResemble, []any{errs.Unavailable, false, 2})
		_, err = k.Do(ctx, addr, r, time.Minute)
		So([]any{err, <-requests, len(requests)}, ShouldResemble, []any{nil, 3, 0})
	})
}

func TestDo_responseTooLarge(t *testing.T) {
	Convey("A response over the bound is TooLarge, and its connection is not reused", t, func() {
		addr, end := plainPeer(func(_ int, c net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"+strings.Repeat("x", 11))
		})
		defer end()
		k := NewClient(ClientOptions{MaxBody: 10})
		defer k.Close()
		_, err := k.Do(ctx, addr, Request{Method: "GET", Path: "/"}, time.Minute)
		So([]any{errs.KindOf(err), IsUnsent(err), len(k.pool.open)}, ShouldResemble, []any{errs.TooLarge, false, 0})
	})
}
