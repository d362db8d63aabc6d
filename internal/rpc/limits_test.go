package rpc

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
)

// testLimits are low limits, so that tests reach them with few bytes.
var testLimits = Limits{HeadBytes: 300, BodyBytes: 1000, HeadTimeout: time.Second, IdleTimeout: time.Minute,
	RequestsAhead: 4, UnsentBytes: 64 << 10, SocketWriteBytes: 4 << 10}

// limitedServer is a server with testLimits. POST /body answers with the length of the body, GET /wait waits for gate,
// and GET /long has a long answer.
type limitedServer struct {
	*Server
	clock    *clock.Virtual
	registry *prometheus.Registry
	gate     chan struct{}
}

const longAnswerBytes = 200 << 10

func newLimitedServer(t testing.TB, opt ServerOptions) *limitedServer {
	t.Helper()
	s := &limitedServer{clock: &clock.Virtual{}, registry: prometheus.NewRegistry(), gate: make(chan struct{})}
	opt.Addr, opt.Limits, opt.Clock, opt.Loops = "127.0.0.1:0", testLimits, s.clock, 1
	opt.Registry = s.registry
	s.Server = NewServer(opt)
	s.Route("POST /body", func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, testLimits.BodyBytes)
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, message{fmt.Sprint(len(body))})
	})
	s.Route("GET /wait", func(w http.ResponseWriter, _ *http.Request) {
		<-s.gate
		WriteJSON(w, http.StatusOK, message{})
	})
	s.Route("GET /long", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, message{strings.Repeat("x", longAnswerBytes)})
	})
	So(s.Start(), ShouldBeNil)
	return s
}

func (s *limitedServer) dial() net.Conn {
	c, err := net.Dial("tcp", s.Addr())
	So(err, ShouldBeNil)
	return c
}

// statuses sends text on a new connection, and returns the statuses of all responses until the server closes it or
// count have come.
func (s *limitedServer) statuses(text string, count int) (statuses []int) {
	c := s.dial()
	defer c.Close()
	_, err := io.WriteString(c, text)
	So(err, ShouldBeNil)
	reader := bufio.NewReader(c)
	for range count {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return statuses
		}
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

// headOf returns a head of exactly size bytes for a request to /body.
func headOf(size int, lines string) string {
	head := "POST /body HTTP/1.1\r\nHost: h\r\n" + lines + "X-Fill: "
	const end = "\r\n\r\n"
	return head + strings.Repeat("f", size-len(head)-len(end)) + end
}

// inChunks returns a body in chunks of a size.
func inChunks(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

func TestLimits_message(t *testing.T) {
	full := strings.Repeat("b", int(testLimits.BodyBytes))
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	const chunked = "Transfer-Encoding: chunked\r\n"
	cases := []struct {
		name, text string
		status     int
	}{
		{"head and body of the allowed sizes", headOf(testLimits.HeadBytes, length(len(full))) + full, 200},
		{"the same in chunks of one byte", headOf(testLimits.HeadBytes, chunked) + inChunks(full, 1), 200},
		{"the same in one chunk", headOf(testLimits.HeadBytes, chunked) + inChunks(full, len(full)), 200},
		{"a head with one byte more", headOf(testLimits.HeadBytes+1, length(0)), 431},
		{"a body with one byte more", headOf(200, length(len(full)+1)) + full + "b", 413},
		{"a body that is only announced", headOf(200, length(60_000_000)), 413},
		{"a body in chunks with one byte more", headOf(200, chunked) + inChunks(full+"b", 10), 413},
		{"a size line without end", headOf(200, chunked) + "1;" + strings.Repeat("x", 20_000), 413},
		{"blanks instead of a path", "GET " + strings.Repeat(" ", 400), 431},
		{"no HTTP", "\x16\x03\x01 hello\r\n\r\n", 400},
	}
	for _, c := range cases {
		Convey("The limits of a request: "+c.name, t, func() {
			s := newLimitedServer(t, ServerOptions{})
			So(s.statuses(c.text, 1), ShouldResemble, []int{c.status})
			So(s.Stop(time.Minute), ShouldBeNil)
		})
	}
}

func TestLimits_requestsAhead(t *testing.T) {
	Convey("Requests that wait for an earlier one are answered up to the limit, then the next one is refused", t, func() {
		s := newLimitedServer(t, ServerOptions{})
		request := "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
		c := s.dial()
		_, err := io.WriteString(c, strings.Repeat(request, 10))
		So(err, ShouldBeNil)
		waitUntil(func() bool { return s.refusals("requests_ahead") == 1 })
		close(s.gate)
		answers, err := io.ReadAll(c)
		So(err, ShouldBeNil)
		So(strings.Count(string(answers), "HTTP/1.1 200"), ShouldEqual, testLimits.RequestsAhead+1)
		So(strings.Count(string(answers), "HTTP/1.1 503"), ShouldEqual, 1)
		So(c.Close(), ShouldBeNil)
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}

func TestLimits_unreadAnswers(t *testing.T) {
	Convey("A connection whose answers nobody reads ends; a single long answer is delivered", t, func() {
		s := newLimitedServer(t, ServerOptions{})
		request := "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"
		So(s.statuses(request, 1), ShouldResemble, []int{200})
		c := s.dial()
		So(c.(*net.TCPConn).SetReadBuffer(4<<10), ShouldBeNil)
		_, err := io.WriteString(c, strings.Repeat(request, 4))
		So(err, ShouldBeNil)
		waitUntil(func() bool { return s.refusals("answers_unread") == 1 })
		So(c.Close(), ShouldBeNil)
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}

func TestLimits_timeouts(t *testing.T) {
	Convey("Half a head ends after the timeout of a head, an unused connection after the idle timeout", t, func() {
		s := newLimitedServer(t, ServerOptions{})
		unused, halfHead := s.dial(), s.dial()
		_, err := io.WriteString(halfHead, "GET /wait HTTP/1.1\r\nHo")
		So(err, ShouldBeNil)
		isClosed := func(c net.Conn) func() bool {
			return func() bool {
				s.clock.Advance(testLimits.HeadTimeout / 10)
				So(c.SetReadDeadline(time.Now().Add(time.Millisecond)), ShouldBeNil)
				_, err := c.Read(make([]byte, 1))
				return err == io.EOF
			}
		}
		waitUntil(isClosed(halfHead))
		So(s.refusals("timeout"), ShouldEqual, 1)
		So(isClosed(unused)(), ShouldBeFalse)
		waitUntil(isClosed(unused))
		So(s.clock.Now(), ShouldBeGreaterThanOrEqualTo, testLimits.IdleTimeout)
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}

// refusals returns the number of refusals with a cause.
func (s *limitedServer) refusals(cause string) float64 {
	return countIn(s.registry, "crosstide_rpc_refused_total", cause)
}
