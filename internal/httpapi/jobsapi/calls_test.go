package jobsapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/controller"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// fakeCore answers every call, with err if that is set. It records the latest call that has parameters.
type fakeCore struct {
	err  error
	call any
}

func (f *fakeCore) Submit(_ context.Context, call controller.SubmitCall) (controller.SubmitAnswer, error) {
	f.call = call
	return controller.SubmitAnswer{State: jobs.Queued}, f.err
}

func (f *fakeCore) Show(_ context.Context, call controller.ShowCall) (controller.JobView, error) {
	f.call = call
	return controller.JobView{ID: call.ID, State: jobs.Running, Steps: []controller.StepView{{Tasks: 2, Done: 1}}}, f.err
}

func (f *fakeCore) Cancel(_ context.Context, call controller.CancelCall) (controller.JobAnswer, error) {
	f.call = call
	return controller.JobAnswer{State: jobs.Cancelled}, f.err
}

func (f *fakeCore) List(_ context.Context, call controller.ListCall) (controller.ListAnswer, error) {
	f.call = call
	return controller.ListAnswer{Jobs: []controller.JobSummary{{ID: "a"}, {ID: "b"}}, More: call.Limit == 2}, f.err
}

func (f *fakeCore) Queues(context.Context, controller.QueuesCall) (controller.QueuesAnswer, error) {
	return controller.QueuesAnswer{Queues: []controller.QueueView{{Name: "q", Waiting: 3}}}, f.err
}

func (f *fakeCore) Heartbeat(_ context.Context, call controller.HeartbeatCall) (controller.HeartbeatAnswer, error) {
	f.call = call
	return controller.HeartbeatAnswer{HeartbeatAddress: "10.0.0.1:7200"}, f.err
}

func (f *fakeCore) Config(context.Context, controller.ConfigCall) (jobs.Config, error) {
	return jobs.Config{Version: 3, Services: []jobs.Service{{Name: "s"}},
		Queues: []jobs.Queue{{Name: "q", Service: "s", MaxAttempts: 2, LatencyFactor: 1, Timeout: time.Minute}}}, f.err
}

func (f *fakeCore) Configure(_ context.Context, change jobs.Configure) (controller.ConfigureAnswer, error) {
	f.call = change
	return controller.ConfigureAnswer{}, f.err
}

func (f *fakeCore) Evacuate(_ context.Context, change jobs.Evacuate) (controller.EvacuateAnswer, error) {
	f.call = change
	return controller.EvacuateAnswer{}, f.err
}

func (f *fakeCore) Topology(context.Context, controller.TopologyCall) (controller.TopologyAnswer, error) {
	return controller.TopologyAnswer{Leader: "l", Members: []string{"l", "m"}}, f.err
}

func (f *fakeCore) Workers(context.Context, controller.WorkersCall) (controller.WorkersAnswer, error) {
	draining := jobs.Worker{
		ID: "w", Address: "a", Service: "s", Zone: "z", Draining: true, Capacity: jobs.Resources{MilliCPU: 9},
	}
	view := controller.WorkerView{Worker: draining, Used: jobs.Resources{MilliCPU: 4}, Runs: 1}
	return controller.WorkersAnswer{Evacuated: []string{"z"}, Workers: []controller.WorkerView{view}}, f.err
}

// sender sends one call to a test server and returns the status and the body of the response.
type sender func(method, path, body string) (int, string)

// withServer runs test with a server that passes all calls to core.
func withServer(core *fakeCore, test func(send sender)) {
	server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	RegisterClients(server, core, time.Minute)
	RegisterControl(server, core, time.Minute)
	So(server.Start(), ShouldBeNil)
	client := &http.Client{}
	test(func(method, path, body string) (int, string) {
		request, err := http.NewRequest(method, "http://"+server.Addr()+path, strings.NewReader(body))
		So(err, ShouldBeNil)
		response, err := client.Do(request)
		So(err, ShouldBeNil)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		return response.StatusCode, strings.TrimSpace(string(data))
	})
	client.CloseIdleConnections()
	So(server.Stop(time.Minute), ShouldBeNil)
}

func TestCalls_answered(t *testing.T) {
	Convey("Each call reaches the core, and its answer is written as JSON with status 200", t, func() {
		core := &fakeCore{}
		withServer(core, func(send sender) {
			for _, c := range []struct{ method, path, body, want string }{
				{"POST", "/v2/jobs", job(""), `{"id":"j","state":"queued"}`},
				{"GET", "/v2/jobs/j-1", "", `{"id":"j-1","queue":"","state":"running","accepted":"0001-01-01T00:00:00Z",` +
					`"steps":[{"tasks":2,"done":1,"running":0}]}`},
				{"DELETE", "/v2/jobs/j-1", "", `{"id":"j-1","state":"cancelled"}`},
				{"GET", "/v2/jobs?limit=2", "", `{"jobs":[{"id":"a","queue":"","state":"","accepted":"0001-01-01T00:00:00Z"},` +
					`{"id":"b","queue":"","state":"","accepted":"0001-01-01T00:00:00Z"}],"next":"b"}`},
				{"GET", "/v2/queues", "", `{"queues":[{"name":"q","service":"","priority":0,"waiting":3}]}`},
				{"GET", "/v2/config", "", `{"version":3,"queues":[{"name":"q","service":"s","priority":0,"attempts":2,` +
					`"stretch":1,"target":"0s","timeout":"1m0s"}],"services":[{"name":"s","guards_room":false}]}`},
				{"PUT", "/v2/config", `{"base":3,"queues":[],"services":[]}`, `{"version":4}`},
				{"PATCH", "/v2/config", `{"base":3,"remove":{"queues":["q"]}}`, `{"version":4}`},
				{"POST", "/v2/zones/z1/evacuate", "", `{"zone":"z1","evacuated":true}`},
				{"POST", "/v2/zones/z1/restore", "", `{"zone":"z1","evacuated":false}`},
				{"GET", "/v2/topology", "", `{"leader":"l","members":["l","m"]}`},
				{"GET", "/v2/workers", "", `{"workers":[{"id":"w","address":"a","service":"s","zone":"z",` +
					`"capacity":{"milli_cpu":9,"memory_mb":0,"gpus":0},"used":{"milli_cpu":4,"memory_mb":0,"gpus":0},"runs":1,` +
					`"state":"draining"}],"evacuated":["z"]}`},
				{"POST", "/v2/workers/w1/heartbeat", heartbeatJSON(`,"state":"ready"`), `{"leader":"10.0.0.1:7200"}`},
			} {
				status, body := send(c.method, c.path, c.body)
				So([]any{c.path, status, body}, ShouldResemble, []any{c.path, 200, c.want})
			}
		})
	})
	Convey("A configuration that was read can be put again, with its version as the base", t, func() {
		core := &fakeCore{}
		withServer(core, func(send sender) {
			_, body := send("GET", "/v2/config", "")
			status, _ := send("PUT", "/v2/config", strings.Replace(body, `"version"`, `"base"`, 1))
			So(status, ShouldEqual, 200)
			change := core.call.(jobs.Configure)
			So([]any{change.Base, change.Queues[0].Name, change.Queues[0].Timeout}, ShouldResemble,
				[]any{uint64(3), "q", time.Minute})
		})
	})
}

func TestCalls_refused(t *testing.T) {
	Convey("An invalid call is rejected with the name of its field and does not reach the core", t, func() {
		core := &fakeCore{}
		withServer(core, func(send sender) {
			for _, c := range []struct {
				method, path, body string
				status             int
				field              string
			}{
				{"POST", "/v2/jobs", "{", 400, ""},
				{"POST", "/v2/jobs", job(`,"x":1`), 422, "x"},
				{"GET", "/v2/jobs/a%20b", "", 422, "id"},
				{"DELETE", "/v2/jobs/a%20b", "", 422, "id"},
				{"GET", "/v2/jobs?state=lost", "", 422, "state"},
				{"GET", "/v2/jobs?limit=0", "", 422, "limit"},
				{"GET", "/v2/jobs?limit=1001", "", 422, "limit"},
				{"GET", "/v2/jobs?limit=ten", "", 422, "limit"},
				{"GET", "/v2/jobs?queue=a%20b", "", 422, "queue"},
				{"GET", "/v2/jobs?after=", "", 422, "after"},
				{"GET", "/v2/jobs?queue=a&queue=b", "", 422, "queue"},
				{"GET", "/v2/jobs?color=red", "", 422, "color"},
				{"PUT", "/v2/jobs", "", 405, "method"},
				{"PUT", "/v2/config", `{}`, 422, "base"},
				{"PATCH", "/v2/config", `{"base":1}`, 422, "put"},
				{"POST", "/v2/zones/a%20b/evacuate", "", 422, "zone"},
				{"POST", "/v2/workers/w1/heartbeat", `{}`, 422, "state"},
				{"POST", "/v2/workers/a%20b/heartbeat", heartbeatJSON(`,"state":"ready"`), 422, "id"},
			} {
				status, body := send(c.method, c.path, c.body)
				var answer struct{ Field string }
				So(json.Unmarshal([]byte(body), &answer), ShouldBeNil)
				So([]any{c.path, status, answer.Field}, ShouldResemble, []any{c.path, c.status, c.field})
			}
			So(core.call, ShouldBeNil)
		})
	})
}

func TestCalls_errors(t *testing.T) {
	Convey("Each kind of error has its status; a node that is not the leader answers 503", t, func() {
		for kind, want := range map[errs.Kind]int{
			errs.Unknown: 404, errs.Conflict: 409, errs.Stale: 412, errs.Invalid: 422, errs.Overloaded: 429,
			errs.Internal: 500, errs.Unavailable: 503, errs.NotLeader: 503, errs.Stopped: 503, errs.Timeout: 504,
		} {
			withServer(&fakeCore{err: errs.New(kind, "on purpose")}, func(send sender) {
				for _, path := range []string{
					"/v2/jobs/j", "/v2/jobs", "/v2/queues", "/v2/config", "/v2/topology", "/v2/workers",
				} {
					status, _ := send("GET", path, "")
					So([]any{kind, path, status}, ShouldResemble, []any{kind, path, want})
				}
			})
		}
	})
}
