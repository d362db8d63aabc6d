package rpc

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/routine"
)

// TestServer_closingConnections guards against answers that get lost when connections come and go quickly: a late event
// of a connection that the server has closed was applied to the next connection with the same descriptor.
func TestServer_closingConnections(t *testing.T) {
	const callers, requestsEach = 16, 4000
	Convey("Callers that send Connection: close, each request on a new connection, get all answers", t, func() {
		h := newHarness(t)
		defer h.end(t)
		var lost atomic.Int32
		group := routine.New(ctx)
		for range callers {
			group.Go(func(context.Context) {
				for range requestsEach {
					if !askOnce(h.Addr()) {
						lost.Add(1)
					}
				}
			})
		}
		group.Wait()
		So(lost.Load(), ShouldEqual, 0)
	})
}

// askOnce sends one request on a new connection and reports whether it is answered with a whole response. Like many
// clients, it closes the connection once it has the length that the response announces.
func askOnce(addr string) bool {
	const request = "POST /echo HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
	const end = `{"text":""}` + "\n"
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	if _, err := io.WriteString(c, request); err != nil {
		return false
	}
	var answer strings.Builder
	buffer := make([]byte, 1024)
	for !strings.HasSuffix(answer.String(), end) {
		n, err := c.Read(buffer)
		answer.Write(buffer[:n])
		if err != nil && !strings.HasSuffix(answer.String(), end) {
			return false
		}
	}
	return strings.HasPrefix(answer.String(), "HTTP/1.1 200 ")
}
