package rpc

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// get sends one request over c and returns the response's status, its Retry-After and whether it closes the connection.
func get(c net.Conn) (status int, after string, closing bool) {
	_, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	So(err, ShouldBeNil)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	So(err, ShouldBeNil)
	_, err = io.Copy(io.Discard, res.Body)
	So(err, ShouldBeNil)
	return res.StatusCode, res.Header.Get("Retry-After"), res.Close
}

func TestAdmission(t *testing.T) {
	Convey("A connection beyond the server's quota is rejected with a time to retry; once another is closed a new one is admitted", t, func() {
		limiter := NewConnLimiter(1)
		quota, err := limiter.NewQuota("clients", 1)
		So(err, ShouldBeNil)
		s := NewServer(ServerOptions{Addr: "127.0.0.1:0", Quota: quota, Loops: 1})
		s.Route("GET /x", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, message{}) })
		So(s.Start(), ShouldBeNil)
		waitUntil(func() bool { return limiter.Usage()[0].Used == 0 }) // the one that the start made
		dial := func() net.Conn {
			c, err := net.Dial("tcp", s.Addr())
			So(err, ShouldBeNil)
			return c
		}
		first := dial()
		status, _, _ := get(first)
		So(status, ShouldEqual, http.StatusOK)
		second := dial()
		status, after, closing := get(second)
		So([]any{status, after, closing}, ShouldResemble, []any{http.StatusServiceUnavailable, "1", true})
		So(limiter.Usage()[0].Rejected, ShouldBeGreaterThanOrEqualTo, 1)
		So(first.Close(), ShouldBeNil)
		waitUntil(func() bool { return limiter.Usage()[0].Used == 0 })
		third := dial()
		status, _, _ = get(third)
		So(status, ShouldEqual, http.StatusOK)
		So(second.Close(), ShouldBeNil)
		So(third.Close(), ShouldBeNil)
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}
