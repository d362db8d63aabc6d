package controller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
)

// frontOf starts a server that forwards each request as a submission through client. It sends the result on the channel
// that it returns.
func frontOf(client *Client) (server *rpc.Server, results chan error) {
	results = make(chan error, 1)
	server = rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	server.Route("/submit", func(_ http.ResponseWriter, r *http.Request) {
		ctx, cancel := rpc.WithRequestTimeout(r.Context(), time.Minute)
		defer cancel()
		_, err := client.Submit(ctx, SubmitCall{Spec: jobs.Spec{ID: "1"}})
		results <- err
	})
	So(server.Start(), ShouldBeNil)
	return server, results
}

// callAndClose sends a request to a server and returns a function that closes its connection.
func callAndClose(server *rpc.Server) (closeCaller func()) {
	caller, err := net.Dial("tcp", server.Addr())
	So(err, ShouldBeNil)
	_, err = caller.Write([]byte("GET /submit HTTP/1.1\r\nHost: h\r\n\r\n"))
	So(err, ShouldBeNil)
	return func() { _ = caller.Close() } // nothing was sent that could be lost
}

// TestClient_callerGone guards against a front or a follower that retries a change for a caller that has given up.
func TestClient_callerGone(t *testing.T) {
	Convey("A change is not attempted again once its caller has closed the connection", t, func() {
		var attempts atomic.Int64
		client := NewClient(ClientOptions{Seeds: []string{"a:1", "b:1"}})
		client.send = func(context.Context, string, request, any, time.Duration) reply {
			attempts.Add(1)
			return reply{err: errs.New(errs.Unavailable, "injected failure"), answered: true}
		}
		var closeCaller func()
		ready := make(chan struct{})
		client.sleep = func(context.Context, time.Duration) { // the pause after the first attempt
			<-ready
			closeCaller()
		}
		front, results := frontOf(client)
		closeCaller = callAndClose(front)
		close(ready)
		So(errs.KindOf(<-results), ShouldEqual, errs.Unavailable)
		So(attempts.Load(), ShouldEqual, 1)
		So(front.Stop(time.Minute), ShouldBeNil)
	})
}

// holdingNode is a Local that holds a submission until it is released, like a node that is frozen.
type holdingNode struct {
	*Leader
	entered, release chan struct{}
	submitted        chan error
}

func (n *holdingNode) Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error) {
	close(n.entered)
	<-n.release
	answer, err := n.Leader.Submit(ctx, call)
	n.submitted <- err
	return answer, err
}

// TestServe_callerGone guards against a leader that executes an attempt which its caller, another node, has given up.
func TestServe_callerGone(t *testing.T) {
	Convey("A leader does not execute an attempt that has timed out at the node that made it", t, func() {
		store := newFakeStore()
		commitConfig(store, 1)
		leader := newTestLeader(store, &clock.Virtual{})
		node := &holdingNode{leader, make(chan struct{}), make(chan struct{}), make(chan error, 1)}
		server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		Serve(server, node)
		So(server.Start(), ShouldBeNil)
		caller := rpc.NewClient(rpc.ClientOptions{})
		ctx, giveUp := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		routine.New(ctx).Go(func(ctx context.Context) {
			_, err := rpc.Call(ctx, caller, server.Addr(), SubmitEndpoint, submitCall("d"), time.Minute)
			failed <- err
		})
		<-node.entered
		giveUp()
		So(<-failed, ShouldNotBeNil)
		close(node.release)
		So(errs.KindOf(<-node.submitted), ShouldEqual, errs.Unavailable)
		So(store.state.JobTable.Jobs, ShouldBeEmpty)
		caller.Close()
		So(server.Stop(time.Minute), ShouldBeNil)
	})
}
