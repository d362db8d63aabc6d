package workerapi

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// withWorker runs test with a client and a worker that answers every call with status and body. called returns the body
// of the latest call.
func withWorker(status int, body string, test func(client *Client, worker jobs.Worker, called func() string)) {
	var got string
	server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	server.Route("POST /v2/{call}", func(w http.ResponseWriter, r *http.Request) {
		data, err := rpc.ReadBody(r, 1<<20)
		if err == nil {
			got = string(data)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
	So(server.Start(), ShouldBeNil)
	caller := rpc.NewClient(rpc.ClientOptions{})
	test(NewClient(caller, caller, time.Minute), jobs.Worker{ID: "w1", Address: server.Addr()},
		func() string { return got })
	caller.Close()
	So(server.Stop(time.Minute), ShouldBeNil)
}

var key = jobs.RunKey{Task: jobs.TaskRef{Job: "j", Round: 1, Step: 2, Index: 3}, Number: 4}

const runJSON = `{"job":"j","round":1,"step":2,"index":3,"number":4}`

func TestStart(t *testing.T) {
	ctx := context.Background()
	Convey("A start is sent with all its fields; an invalid answer, or one of another worker, is rejected", t, func() {
		order := scheduler.StartOrder{Key: key, Payload: "p", Needs: jobs.Resources{MilliCPU: 5, MemoryMB: 6, GPUs: 7},
			LeaseDeadline: 8, Token: 9, Checkpoint: "c"}
		withWorker(200, `{"worker":"w1","clock":7}`, func(c *Client, w jobs.Worker, called func() string) {
			answer, err := c.Start(ctx, w, order)
			So([]any{answer, err}, ShouldResemble, []any{scheduler.StartAnswer{Clock: 7}, nil})
			So(called(), ShouldEqual, `{"worker":"w1","run":`+runJSON+`,"needs":{"milli_cpu":5,"memory_mb":6,"gpus":7},`+
				`"payload":"p","checkpoint":"c","deadline":8,"token":9}`+"\n")
		})
		for _, c := range []struct {
			status  int
			body    string
			refusal scheduler.Refusal
			kind    errs.Kind
		}{
			{200, `{"worker":"w1","clock":7,"refused":"room"}`, scheduler.RefusedCapacity, ""},
			{200, `{"worker":"w1","clock":7,"refused":"weather"}`, "", errs.Malformed},
			{200, `{"worker":"w2","clock":7}`, "", errs.Malformed},
			{200, `{"worker":"w1","clock":-1}`, "", errs.Malformed},
			{200, `{}`, "", errs.Malformed},
			{200, ``, "", errs.Malformed},
			{400, `{"kind":"malformed"}`, scheduler.RefusedInvalid, ""},
			{404, `{"kind":"unknown"}`, "", errs.Unknown},
			{500, `{"kind":"internal"}`, "", errs.Internal},
		} {
			withWorker(c.status, c.body, func(client *Client, w jobs.Worker, _ func() string) {
				answer, err := client.Start(ctx, w, order)
				So([]any{c.body, answer.Refusal, errs.KindOf(err)}, ShouldResemble, []any{c.body, c.refusal, c.kind})
			})
		}
	})
	Convey("An order to an address without a listener fails as unsent", t, func() {
		caller := rpc.NewClient(rpc.ClientOptions{})
		defer caller.Close()
		_, err := NewClient(caller, caller, time.Minute).Start(ctx, jobs.Worker{ID: "w", Address: "127.0.0.1:1"},
			scheduler.StartOrder{})
		So([]any{errs.KindOf(err), rpc.IsUnsent(err)}, ShouldResemble, []any{errs.Unavailable, true})
	})
}

func TestStop(t *testing.T) {
	Convey("A stop is sent with all its fields, and an answer of another worker is rejected", t, func() {
		for body, kind := range map[string]errs.Kind{
			`{"worker":"w1"}`: "", `{}`: errs.Malformed, `{"worker":"w2"}`: errs.Malformed,
		} {
			withWorker(200, body, func(c *Client, w jobs.Worker, called func() string) {
				err := c.Stop(context.Background(), w, scheduler.StopOrder{Key: key, Token: 9})
				So([]any{body, errs.KindOf(err)}, ShouldResemble, []any{body, kind})
				So(called(), ShouldEqual, `{"worker":"w1","run":`+runJSON+`,"token":9}`+"\n")
			})
		}
	})
}

func TestRenewLease(t *testing.T) {
	Convey("A renewal is sent with all its fields, and its lists are returned", t, func() {
		body := `{"worker":"w1","clock":7,"running":[{"run":` + runJSON + `,"checkpoint":"c","percent":50}],` +
			`"ended":[{"sequence":2,"run":` + runJSON + `,"how":"done","checkpoint":"d"}],"more":true}`
		withWorker(200, body, func(c *Client, w jobs.Worker, called func() string) {
			answer, err := c.RenewLease(context.Background(), w,
				scheduler.LeaseRenewal{Token: 9, AcknowledgedUpTo: 1, LeaseDeadline: 8, Wait: 3})
			So(err, ShouldBeNil)
			So(answer, ShouldResemble, scheduler.RenewalAnswer{Clock: 7, Truncated: true,
				Running: []scheduler.ListedRun{{Key: key, Checkpoint: "c", Percent: 50}},
				Ended:   []scheduler.EndedRun{{Sequence: 2, Key: key, Reason: jobs.EndDone, Checkpoint: "d"}}})
			So(called(), ShouldEqual, `{"worker":"w1","token":9,"seen":1,"deadline":8,"wait":3}`+"\n")
		})
	})
	Convey("An answer without both lists is rejected, because missing lists could be taken for empty ones", t, func() {
		for body, kind := range map[string]errs.Kind{
			`{}`:                         errs.Malformed,
			`{"worker":"w1"}`:            errs.Malformed,
			`{"worker":"w1","ended":[]}`: errs.Malformed,
			`{"worker":"w2","running":[],"ended":[]}`:                                                  errs.Malformed,
			`{"worker":"w1","running":[],"ended":[]}`:                                                  "",
			`{"worker":"w1","running":[],"ended":[{"sequence":1,"run":` + runJSON + `,"how":"lost"}]}`: errs.Malformed,
		} {
			withWorker(200, body, func(c *Client, w jobs.Worker, _ func() string) {
				_, err := c.RenewLease(context.Background(), w, scheduler.LeaseRenewal{})
				So([]any{body, errs.KindOf(err)}, ShouldResemble, []any{body, kind})
			})
		}
	})
	Convey("A worker that has seen a higher token answers Stale, another incarnation Unknown", t, func() {
		for status, kind := range map[int]errs.Kind{412: errs.Stale, 404: errs.Unknown} {
			withWorker(status, `{"kind":"`+string(kind)+`"}`, func(c *Client, w jobs.Worker, _ func() string) {
				_, err := c.RenewLease(context.Background(), w, scheduler.LeaseRenewal{})
				So(errs.KindOf(err), ShouldEqual, kind)
			})
		}
	})
}
