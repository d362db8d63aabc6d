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

// get sends a request over c, and returns the response's status, its Retry-After, and whether it closes the connection.
func get(t *testing.T, c net.Conn) (status int, after string, isClosing bool) {
	t.Helper()
	_, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	So(err, ShouldBeNil)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	So(err, ShouldBeNil)
	_, err = io.Copy(io.Discard, response.Body)
	So(err, ShouldBeNil)
	return response.StatusCode, response.Header.Get("Retry-After"), response.Close
}

func TestAdmission(t *testing.T) {
	Convey("A connection beyond the quota is rejected with Retry-After, until another one is closed", t, func() {
		limiter := NewConnLimiter(1)
		quota, err := limiter.NewQuota("clients", 1)
		So(err, ShouldBeNil)
		s := NewServer(ServerOptions{Addr: "127.0.0.1:0", Quota: quota, Loops: 1})
		s.Route("GET /x", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, message{}) })
		So(s.Start(), ShouldBeNil)
		waitUntil(func() bool { return limiter.Usage()[0].Used == 0 }) // the connection that Start made is closed
		dial := func() net.Conn {
			c, err := net.Dial("tcp", s.Addr())
			So(err, ShouldBeNil)
			return c
		}
		first := dial()
		status, _, _ := get(t, first)
		So(status, ShouldEqual, http.StatusOK)
		second := dial()
		status, after, isClosing := get(t, second)
		So([]any{status, after, isClosing}, ShouldResemble, []any{http.StatusServiceUnavailable, "1", true})
		So(limiter.Usage()[0].Rejected, ShouldBeGreaterThanOrEqualTo, 1)
		So(first.Close(), ShouldBeNil)
		waitUntil(func() bool { return limiter.Usage()[0].Used == 0 })
		third := dial()
		status, _, _ = get(t, third)
		So(status, ShouldEqual, http.StatusOK)
		So(second.Close(), ShouldBeNil)
		So(third.Close(), ShouldBeNil)
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}
