package rpc

import (
	"bufio"
	"errors"
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

// quotaServer returns a limited server that admits a number of connections.
func quotaServer(t *testing.T, connections int) (*limitedServer, *ConnLimiter) {
	t.Helper()
	limiter := NewConnLimiter(connections)
	quota, err := limiter.NewQuota("clients", connections)
	So(err, ShouldBeNil)
	s := newLimitedServer(t, ServerOptions{Quota: quota})
	waitUntil(func() bool { return limiter.Usage()[0].Used == 0 }) // the connection that Start made is closed
	return s, limiter
}

// dialFrom connects from an address of the loopback network, and returns once the server has admitted or rejected the
// connection.
func (s *limitedServer) dialFrom(host string, limiter *ConnLimiter) net.Conn {
	before := limiter.Usage()[0]
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	c, err := dialer.Dial("tcp", s.Addr())
	So(err, ShouldBeNil)
	waitUntil(func() bool {
		now := limiter.Usage()[0]
		return now.Used > before.Used || now.Rejected > before.Rejected || s.refusals("evicted") > 0
	})
	return c
}

// isOpen reports whether the server has not closed a connection on which it has nothing to send.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // fails only on a closed connection
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func TestAdmission_evictsWaiting(t *testing.T) {
	Convey("Connections that have sent nothing make room for a new one, those of the crowded address first", t, func() {
		s, limiter := quotaServer(t, 2*evictionBatch)
		var crowd []net.Conn
		lone := s.dialFrom("127.0.0.2", limiter)
		for range 2*evictionBatch - 1 {
			s.clock.Advance(time.Millisecond)
			crowd = append(crowd, s.dialFrom("127.0.0.3", limiter))
		}
		s.clock.Advance(minWait)
		late := s.dialFrom("127.0.0.4", limiter)
		status, _, _ := get(t, late)
		So(status, ShouldEqual, http.StatusNotFound) // no route: the request was handled
		So(s.refusals("evicted"), ShouldEqual, evictionBatch)
		So(isOpen(lone), ShouldBeTrue)
		So(isOpen(crowd[0]), ShouldBeFalse)
		So(isOpen(crowd[len(crowd)-1]), ShouldBeTrue)
		for _, c := range append(crowd, lone, late) {
			So(c.Close(), ShouldBeNil)
		}
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}

func TestAdmission_keepsBusy(t *testing.T) {
	Convey("A connection with a request is not evicted; a rejected connection ends after a second", t, func() {
		s, limiter := quotaServer(t, 1)
		busy := s.dialFrom("127.0.0.2", limiter)
		_, err := io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		waitUntil(func() bool { return countIn(s.registry, "crosstide_rpc_calls_total", "GET /wait") == 1 })
		s.clock.Advance(testLimits.HeadTimeout)
		rejected := s.dialFrom("127.0.0.3", limiter)
		So(isOpen(rejected), ShouldBeTrue)
		s.clock.Advance(lingerTimeout)
		So(isOpen(rejected), ShouldBeFalse)
		close(s.gate)
		response, err := http.ReadResponse(bufio.NewReader(busy), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(busy.Close(), ShouldBeNil)
		So(rejected.Close(), ShouldBeNil)
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}

func TestAdmission_evictsLingering(t *testing.T) {
	Convey("A connection whose last response is sent makes room at once, even if its peer does not close it", t, func() {
		s, limiter := quotaServer(t, 1)
		last := s.dialFrom("127.0.0.2", limiter)
		_, err := io.WriteString(last, "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		So(err, ShouldBeNil)
		answer, err := io.ReadAll(last) // until the server has shut down its side
		So(err, ShouldBeNil)
		So(string(answer), ShouldStartWith, "HTTP/1.1 404 ")
		waitUntil(func() bool { return s.activeCount() == 0 })
		next := s.dialFrom("127.0.0.3", limiter)
		status, _, _ := get(t, next)
		So(status, ShouldEqual, http.StatusNotFound)
		So(s.refusals("evicted"), ShouldEqual, 1)
		So(last.Close(), ShouldBeNil)
		So(next.Close(), ShouldBeNil)
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}

// activeCount returns the number of requests that the server is handling.
func (s *limitedServer) activeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeRequests
}
