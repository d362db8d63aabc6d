package jobsworker

import (
	"context"
	"net/http"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/controller"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/jobs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
)

// fakeCore is a controller that records heartbeats.
type fakeCore struct {
	jobsapi.Control
	mu         sync.Mutex
	heartbeats []controller.HeartbeatCall
	leader     string
}

// Heartbeat records call and answers with the leader's address.
func (f *fakeCore) Heartbeat(_ context.Context, call controller.HeartbeatCall) (controller.HeartbeatAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heartbeats = append(f.heartbeats, call)
	return controller.HeartbeatAnswer{HeartbeatAddress: f.leader}, nil
}

// await waits for a heartbeat that matches and returns the first one.
func (f *fakeCore) await(matches func(controller.HeartbeatCall) bool) controller.HeartbeatCall {
	for {
		f.mu.Lock()
		i := slices.IndexFunc(f.heartbeats, matches)
		if i >= 0 {
			defer f.mu.Unlock()
			return f.heartbeats[i]
		}
		f.mu.Unlock()
		runtime.Gosched()
	}
}

func serve(routes func(*rpc.Server)) *rpc.Server {
	server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	routes(server)
	So(server.Start(), ShouldBeNil)
	return server
}

func TestHost(t *testing.T) {
	Convey("Given a worker, a control plane that accepts its heartbeats, and one that refuses them", t, func() {
		core := &fakeCore{}
		down := serve(func(s *rpc.Server) {
			s.Route("/", func(w http.ResponseWriter, _ *http.Request) {
				rpc.WriteError(w, errs.New(errs.Unavailable, "injected failure"))
			})
		})
		up := serve(func(s *rpc.Server) { jobsapi.RegisterControl(s, core, 0) })
		core.leader = up.Addr()
		settings := Settings{Name: "w", Address: "127.0.0.1:0", Service: "s", Zone: "z", Rack: "r",
			Labels: []string{"l"}, Capacity: jobs.Resources{MilliCPU: 1000, MemoryMB: 10, GPUs: 1},
			ControlAddrs:      []string{down.Addr(), up.Addr()},
			HeartbeatInterval: 10 * time.Millisecond, Grace: 20 * time.Millisecond,
			Journal: filepath.Join(t.TempDir(), "w.jsonl")}
		host, err := Open(settings, clock.Real{}, log.NewNopLogger())
		So(err, ShouldBeNil)
		ctx, leave := context.WithCancel(context.Background())
		group := routine.New(context.Background())
		group.Go(func(context.Context) { _ = host.Run(ctx) })
		caller := rpc.NewClient(rpc.ClientOptions{})
		defer func() {
			leave()
			group.Wait()
			caller.Close()
			So(down.Stop(time.Minute), ShouldBeNil)
			So(up.Stop(time.Minute), ShouldBeNil)
		}()
		anyHeartbeat := func(controller.HeartbeatCall) bool { return true }
		firstHeartbeat := core.await(anyHeartbeat)
		worker := firstHeartbeat.Worker
		So(worker, ShouldResemble, jobs.Worker{ID: host.ID(), Address: worker.Address, Service: "s", Zone: "z", Rack: "r",
			Labels: []string{"l"}, Capacity: jobs.Resources{MilliCPU: 1000, MemoryMB: 10, GPUs: 1}})
		client := workerapi.NewClient(caller, caller, time.Minute)
		callCtx := context.Background()
		order := scheduler.StartOrder{Key: jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1},
			Payload: `{"ms":30}`, Token: 1, LeaseDeadline: time.Hour}

		Convey("it carries out a start, and a lease renewal waits for the run's end", func() {
			answer, err := client.Start(callCtx, worker, order)
			So([]any{answer.Refusal, err}, ShouldResemble, []any{scheduler.Refusal(""), nil})
			status, err := client.RenewLease(callCtx, worker, scheduler.LeaseRenewal{Token: 1, Wait: 20 * time.Second})
			So(err, ShouldBeNil)
			So(status.Ended, ShouldResemble, []scheduler.EndedRun{{Sequence: 1, Key: order.Key, Reason: jobs.EndDone}})
		})
		Convey("it refuses calls to another incarnation and calls under a lower token", func() {
			other := worker
			other.ID = "w-0"
			_, err := client.Start(callCtx, other, order)
			So(errs.KindOf(err), ShouldEqual, errs.Unknown)
			_, err = client.RenewLease(callCtx, worker, scheduler.LeaseRenewal{Token: 2})
			So(err, ShouldBeNil)
			So(errs.KindOf(client.Stop(callCtx, worker, scheduler.StopOrder{Key: order.Key, Token: 1})), ShouldEqual, errs.Stale)
		})
		Convey("when its context ends, it reports that it drains, stops its runs and reports that it leaves", func() {
			order.Payload = `{"ms":-1}`
			_, err := client.Start(callCtx, worker, order)
			So(err, ShouldBeNil)
			leave()
			core.await(func(c controller.HeartbeatCall) bool { return c.Worker.Draining && c.Remaining > 0 })
			core.await(func(c controller.HeartbeatCall) bool { return c.Leaving })
			group.Wait()
		})
	})
	Convey("Invalid settings are refused with the name of the field", t, func() {
		valid := Settings{Name: "w", Address: "127.0.0.1:0", Service: "s", Zone: "z", ControlAddrs: []string{"127.0.0.1:1"}}
		So(valid.Check(), ShouldBeNil)
		for field, change := range map[string]func(*Settings){
			"address": func(s *Settings) { s.Address = "here" }, "name": func(s *Settings) { s.Name = "" },
			"service": func(s *Settings) { s.Service = "" }, "zone": func(s *Settings) { s.Zone = "" },
			"core": func(s *Settings) { s.ControlAddrs = nil },
		} {
			settings := valid
			change(&settings)
			err := settings.Check()
			So([]any{errs.KindOf(err), errs.Of(err).Field}, ShouldResemble, []any{errs.Settings, field})
		}
	})
}
