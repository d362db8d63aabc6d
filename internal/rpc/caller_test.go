package rpc

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCheckCaller guards against a request that is executed after its caller has given up.
func TestCheckCaller(t *testing.T) {
	Convey("A handler learns that its caller has closed or reset the connection, and that its deadline has passed", t, func() {
		for name, end := range map[string]func(h *harness, c *net.TCPConn){
			"closed": func(_ *harness, c *net.TCPConn) { So(c.Close(), ShouldBeNil) },
			"reset": func(_ *harness, c *net.TCPConn) {
				So(c.SetLinger(0), ShouldBeNil)
				So(c.Close(), ShouldBeNil)
			},
			"expired": func(h *harness, _ *net.TCPConn) { h.clock.Advance(time.Minute) },
		} {
			h := newHarness(t)
			server := NewServer(ServerOptions{Addr: "127.0.0.1:0", Clock: h.clock, Registry: h.registry})
			entered, checks, results := make(chan struct{}), make(chan struct{}), make(chan error)
			server.Route("/held", func(_ http.ResponseWriter, r *http.Request) {
				close(entered)
				for range checks {
					ctx, cancel := WithRequestTimeout(r.Context(), 30*time.Second)
					results <- CheckCaller(ctx)
					cancel()
				}
			})
			So(server.Start(), ShouldBeNil)
			c, err := net.Dial("tcp", server.Addr())
			So(err, ShouldBeNil)
			_, err = c.Write([]byte("GET /held HTTP/1.1\r\nHost: h\r\n\r\n"))
			So(err, ShouldBeNil)
			<-entered
			check := func() error {
				checks <- struct{}{}
				return <-results
			}
			So(check(), ShouldBeNil)
			end(h, c.(*net.TCPConn))
			So(name+": "+check().Error(), ShouldContainSubstring, "no longer waits")
			So(h.count(t, "crosstide_rpc_abandoned_total"), ShouldEqual, 1)
			close(checks)
			_ = c.Close() // closed already, but for one case
			So(server.Stop(time.Hour), ShouldBeNil)
			h.end(t)
		}
	})
	Convey("A context without a request has no caller to check", t, func() {
		ctx, cancel := WithRequestTimeout(context.Background(), time.Hour)
		So(HasCaller(ctx), ShouldBeFalse)
		So(RequestAge(ctx), ShouldEqual, 0)
		So(CheckCaller(ctx), ShouldBeNil)
		cancel()
		So(CheckCaller(ctx), ShouldNotBeNil)
	})
}
