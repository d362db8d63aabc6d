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

// answers has the responses of a peer by method.
var answers = map[string]string{
	http.MethodPost: "HTTP/1.1 100 Continue\r\n\r\n" +
		"HTTP/1.1 409 Conflict\r\nX-Seen: a\r\nX-Seen: b\r\nContent-Length: 2\r\n\r\nno",
	http.MethodHead: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
	http.MethodGet:  "HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
}

func TestDo_anyStatus(t *testing.T) {
	Convey("Requests are sent unchanged over one pooled connection, and a response may have any status", t, func() {
		type received struct {
			conn                     int // number of the connection
			line, host, sent, length string
			body                     string
		}
		requests := make(chan received, 10)
		addr, end := plainPeer(t, func(n int, c net.Conn, in *bufio.Reader) {
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body)
				requests <- received{
					conn: n, line: r.Method + " " + r.RequestURI, host: r.Host, sent: r.Header.Get("X-Sent"),
					length: r.Header.Get("Content-Length"), body: string(body),
				}
				_, _ = io.WriteString(c, answers[r.Method])
			}
		})
		client := NewClient(ClientOptions{ReadBuffer: 1024})
		response, err := client.Do(ctx, addr, Request{
			Method: "POST", Path: "/a?b=c", Body: []byte("{}"),
			Header: map[string]string{"X-Sent": "v", "host": "h.example"},
		}, time.Minute)
		So(err, ShouldBeNil)
		So([]any{response.Status, response.Header["X-Seen"], string(response.Body)}, ShouldResemble,
			[]any{409, []string{"a", "b"}, "no"})
		So(<-requests, ShouldResemble, received{1, "POST /a?b=c", "h.example", "v", "2", "{}"})
		response, err = client.Do(ctx, addr, Request{Method: "GET", Path: "/"}, time.Minute)
		So(err, ShouldBeNil)
		So([]any{response.Status, string(response.Body)}, ShouldResemble, []any{503, "yes"})
		So(<-requests, ShouldResemble, received{1, "GET /", addr, "", "", ""})
		response, err = client.Do(ctx, addr, Request{Method: "HEAD", Path: "/"}, time.Minute)
		So([]any{response.Status, len(response.Body), err}, ShouldResemble, []any{200, 0, nil})
		So((<-requests).conn, ShouldEqual, 1)
		client.Close()
		end()
	})
}

func TestDo_timeout(t *testing.T) {
	Convey("A request whose timeout expires, or whose context ends, fails and resets the connection", t, func() {
		for _, byClock := range []bool{true, false} {
			virtual := &clock.Virtual{}
			client := NewClient(ClientOptions{Clock: virtual})
			ctx, cancel := context.WithCancel(ctx)
			readErr := make(chan error, 1)
			addr, end := plainPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
				_, _ = http.ReadRequest(in)
				if byClock {
					virtual.Advance(time.Second)
				} else {
					cancel()
				}
				_, err := io.Copy(io.Discard, c)
				readErr <- err
			})
			_, err := client.Do(ctx, addr, Request{Method: "POST", Path: "/"}, time.Second)
			So([]any{errs.KindOf(err), IsUnsent(err), IsRemote(err)}, ShouldResemble, []any{errs.Timeout, false, false})
			So(errors.Is(<-readErr, unix.ECONNRESET), ShouldBeTrue)
			cancel()
			end()
			So(len(client.pool.open), ShouldEqual, 0)
		}
	})
}

func TestDo_unsent(t *testing.T) {
	Convey("A request is unsent without a connection, with a timeout of 0, and if it cannot be encoded", t, func() {
		addr, end := plainPeer(t, nil)
		end()
		client := NewClient(ClientOptions{})
		_, err := client.Do(ctx, addr, Request{Method: "POST", Path: "/"}, time.Minute)
		So([]any{errs.KindOf(err), IsUnsent(err)}, ShouldResemble, []any{errs.Unavailable, true})
		_, err = client.Do(ctx, addr, Request{Method: "POST", Path: "/"}, 0)
		So([]any{errs.KindOf(err), IsUnsent(err)}, ShouldResemble, []any{errs.Timeout, true})
		for _, r := range []Request{
			{Method: "", Path: "/"},
			{Method: "GET", Path: "x"},
			{Method: "GET", Path: "/ x"},
			{Method: "GET", Path: "/", Header: map[string]string{"A": "b\r\nC: d"}},
			{Method: "GET", Path: "/", Header: map[string]string{"A:": "b"}},
		} {
			_, err = client.Do(ctx, addr, r, time.Minute)
			So([]any{errs.KindOf(err), IsUnsent(err)}, ShouldResemble, []any{errs.Invalid, true})
		}
		client.Close()
		_, err = client.Do(ctx, addr, Request{Method: "POST", Path: "/"}, time.Minute)
		So([]any{errs.KindOf(err), IsUnsent(err)}, ShouldResemble, []any{errs.Stopped, true})
	})
}

func TestDo_brokenConnection(t *testing.T) {
	Convey("An idle connection that the peer closed is not used; one that breaks later is an error", t, func() {
		const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		requests := make(chan int, 10)
		addr, end := plainPeer(t, func(n int, c net.Conn, in *bufio.Reader) {
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
		client := NewClient(ClientOptions{})
		defer client.Close()
		r := Request{Method: "POST", Path: "/"}
		_, err := client.Do(ctx, addr, r, time.Minute)
		So([]any{err, <-requests}, ShouldResemble, []any{nil, 1})
		_, _ = client.pool.idle[addr][0].Read(make([]byte, 1)) // returns once the peer has closed it
		_, err = client.Do(ctx, addr, r, time.Minute)
		So([]any{err, <-requests}, ShouldResemble, []any{nil, 2})
		_, err = client.Do(ctx, addr, r, time.Minute)
		So([]any{errs.KindOf(err), IsUnsent(err), <-requests}, ShouldResemble, []any{errs.Unavailable, false, 2})
		_, err = client.Do(ctx, addr, r, time.Minute)
		So([]any{err, <-requests, len(requests)}, ShouldResemble, []any{nil, 3, 0})
	})
}

func TestDo_responseTooLarge(t *testing.T) {
	Convey("A response over MaxBody is TooLarge, and its connection is not reused", t, func() {
		addr, end := plainPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"+strings.Repeat("x", 11))
		})
		defer end()
		client := NewClient(ClientOptions{MaxBody: 10})
		defer client.Close()
		_, err := client.Do(ctx, addr, Request{Method: "GET", Path: "/"}, time.Minute)
		So([]any{errs.KindOf(err), IsUnsent(err)}, ShouldResemble, []any{errs.TooLarge, false})
		So(client.pool.open, ShouldBeEmpty)
	})
}
