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

// startLeader starts a core of one node, which signals each cancellation to entered and answers none until gate is
// closed.
func startLeader(gate chan struct{}, entered chan<- struct{}) (addr string, end func()) {
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

// serveCancel answers a client's DELETE by a cancel at the leader.
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

// serveReady answers GET /ready.
func serveReady(server *rpc.Server, check func() error) {
	server.Route("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			rpc.WriteError(w, err)
			return
		}
		rpc.WriteJSON(w, http.StatusOK, struct{}{})
	})
}

// frontOf returns the options of a data-plane node of a core.
func frontOf(core ...string) DataPlaneOptions {
	return DataPlaneOptions{
		CoreAddresses: core, Address: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		ServeClients: serveCancel, ServeReady: serveReady,
		Descriptors: 4000, Grace: 3 * time.Second, Logger: log.NewNopLogger(),
	}
}

// cancelJob cancels a job at a data-plane node and returns the answer's status, 0 for none.
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

func TestFront(t *testing.T) {
	Convey("A front node serves clients, is not ready once it stops, and still answers calls in flight", t, func() {
		gate, entered := make(chan struct{}), make(chan struct{}, 10)
		leader, end := startLeader(gate, entered)
		defer end()
		f, err := NewDataPlaneNode(frontOf(leader))
		So(err, ShouldBeNil)
		defer f.caller.Close()
		So(f.start(), ShouldBeNil)
		for f.readiness.check() != nil { // until the first probe is answered
			runtime.Gosched()
		}
		answers := make(chan int, 1)
		work := routine.New(context.Background())
		work.Go(func(context.Context) {
			answers <- cancelJob(f.clientServer.Addr())
		})
		<-entered
		work.Go(func(context.Context) { f.stop() })
		for f.readiness.check() == nil {
			runtime.Gosched()
		}
		close(gate)
		So(<-answers, ShouldEqual, http.StatusOK)
		work.Wait()
		So(cancelJob(f.clientServer.Addr()), ShouldEqual, 0)
	})
	Convey("New seeds are read when the settings change", t, func() {
		gate, entered := make(chan struct{}), make(chan struct{}, 10)
		close(gate)
		leader, end := startLeader(gate, entered)
		defer end()
		options := frontOf()
		options.ReadSeeds = func() ([]string, error) { return []string{leader}, nil }
		f, err := NewDataPlaneNode(options)
		So(err, ShouldBeNil)
		defer f.caller.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err = f.client.Job(ctx, controller.JobCall{})
		So(err, ShouldNotBeNil) // no seed at all
		changed := make(chan os.Signal)
		work := routine.New(context.Background())
		work.Go(func(ctx context.Context) { f.refreshSeeds(ctx, changed) })
		changed <- syscall.SIGHUP
		changed <- syscall.SIGHUP // received once the first one was handled
		_, err = f.client.Job(ctx, controller.JobCall{})
		So(err, ShouldBeNil)
		work.Stop()
	})
}
