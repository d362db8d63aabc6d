package jobsnode

import (
	"context"
	"io"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/controller"
	"crosstide/internal/jobs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
)

// startLeader starts a control plane of one node, which signals each call for a job on entered and answers none until
// gate is closed.
func startLeader(gate chan struct{}, entered chan<- struct{}) (addr string, stop func()) {
	s := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	topology := func(context.Context, controller.TopologyCall) (controller.TopologyAnswer, error) {
		return controller.TopologyAnswer{Leader: s.Addr(), Members: []string{s.Addr()}}, nil
	}
	rpc.Handle(s, controller.TopologyEndpoint, topology)
	rpc.Handle(s, controller.JobEndpoint, func(context.Context, controller.JobCall) (controller.JobAnswer, error) {
		entered <- struct{}{}
		<-gate
		return controller.JobAnswer{State: jobs.Cancelled}, nil
	})
	So(s.Start(), ShouldBeNil)
	return s.Addr(), func() { So(s.Stop(time.Minute), ShouldBeNil) }
}

// serveCancel adds DELETE /job, which cancels a job at the leader.
func serveCancel(clients *rpc.Server, client *controller.Client) {
	clients.Route("DELETE /job", func(w http.ResponseWriter, r *http.Request) {
		answer, err := client.Job(r.Context(), controller.JobCall{Cancel: true})
		if err != nil {
			rpc.WriteError(w, err)
			return
		}
		rpc.WriteJSON(w, http.StatusOK, answer)
	})
}

// serveReady adds GET /ready, which answers 200 if check returns nil.
func serveReady(server *rpc.Server, check func() error) {
	server.Route("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			rpc.WriteError(w, err)
			return
		}
		rpc.WriteJSON(w, http.StatusOK, struct{}{})
	})
}

// dataPlaneOptions returns the options of a data-plane node with the given seeds.
func dataPlaneOptions(seeds ...string) DataPlaneOptions {
	return DataPlaneOptions{
		ControlPlaneAddresses: seeds, Address: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		ServeClients: serveCancel, ServeReady: serveReady,
		Descriptors: 4000, Grace: 3 * time.Second, Logger: log.NewNopLogger(),
	}
}

// cancelJob cancels a job at a data-plane node. It returns the HTTP status, or 0 without an answer.
func cancelJob(addr string) int {
	req, err := http.NewRequest(http.MethodDelete, "http://"+addr+"/job", nil)
	if err != nil {
		return 0
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func TestDataPlaneNode(t *testing.T) {
	Convey("A node serves clients, is not ready once it is stopping, and still answers calls in flight", t, func() {
		gate, entered := make(chan struct{}), make(chan struct{}, 10)
		leader, stop := startLeader(gate, entered)
		defer stop()
		node, err := NewDataPlaneNode(dataPlaneOptions(leader))
		So(err, ShouldBeNil)
		defer node.caller.Close()
		So(node.start(), ShouldBeNil)
		for node.readiness.check() != nil { // until the first probe is answered
			runtime.Gosched()
		}
		answers := make(chan int, 1)
		group := routine.New(context.Background())
		group.Go(func(context.Context) {
			answers <- cancelJob(node.clientServer.Addr())
		})
		<-entered
		group.Go(func(context.Context) { node.stop() })
		for node.readiness.check() == nil {
			runtime.Gosched()
		}
		close(gate)
		So(<-answers, ShouldEqual, http.StatusOK)
		group.Wait()
		So(cancelJob(node.clientServer.Addr()), ShouldEqual, 0)
	})
	Convey("SIGHUP makes the node read its seeds again and call the new ones", t, func() {
		gate, entered := make(chan struct{}), make(chan struct{}, 10)
		close(gate)
		leader, stop := startLeader(gate, entered)
		defer stop()
		options := dataPlaneOptions()
		options.ReadSeeds = func() ([]string, error) { return []string{leader}, nil }
		node, err := NewDataPlaneNode(options)
		So(err, ShouldBeNil)
		defer node.caller.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err = node.client.Job(ctx, controller.JobCall{})
		So(err, ShouldNotBeNil) // no seeds yet
		changed := make(chan os.Signal)
		group := routine.New(context.Background())
		group.Go(func(ctx context.Context) { node.refreshSeeds(ctx, changed) })
		changed <- syscall.SIGHUP
		changed <- syscall.SIGHUP // received once the first one has been handled
		_, err = node.client.Job(ctx, controller.JobCall{})
		So(err, ShouldBeNil)
		group.Stop()
	})
}
