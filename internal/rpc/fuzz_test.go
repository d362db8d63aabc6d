package rpc

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// FuzzServer sends random bytes in pieces of a random size. The server must then have released all memory, and
// answer an ordinary request.
func FuzzServer(f *testing.F) {
	for _, text := range []string{
		"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", "POST /body HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /", "\r\n\r\n",
		"POST /body HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /body HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n1;e=f\r\na\r\n0\r\nX-A: b\r\n\r\n",
		"POST /body HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "GET /long HTTP/0.9\r\nConnection: close\r\n\r\n",
	} {
		f.Add([]byte(text), uint8(0))
		f.Add([]byte(text), uint8(5))
	}
	var s *limitedServer
	budget := NewMemoryBudget(processBytes)
	Convey("Start the server", f, func() {
		share, err := budget.NewShare("clients", 2)
		So(err, ShouldBeNil)
		s = newLimitedServer(f, ServerOptions{Memory: share})
		close(s.gate)
	})
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		s.sendPieces(t, text, int(size)+1)
		awaitUsed(t, budget, 0)
		Convey("An ordinary request is answered", t, func() {
			So(s.statuses("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", 1), ShouldResemble, []int{200})
		})
	})
}

// sendPieces sends a text in pieces of a size on a new connection, which it closes.
func (s *limitedServer) sendPieces(t *testing.T, text []byte, size int) {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := c.Write(text[:n]); err != nil {
			return // the server has refused the request
		}
		text = text[n:]
	}
}
