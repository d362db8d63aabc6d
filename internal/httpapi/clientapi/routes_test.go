package clientapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// fakeStore is a store of one node that commits immediately. If fail is set, calls fail with it and change nothing.
type fakeStore struct {
	s       *state.State
	bound   int
	fail    error
	entered chan struct{} // if set: Propose signals that it was entered, and waits for ctx or leave
	leave   chan struct{}
}

func (b *fakeStore) QueueLimit() int { return b.bound }

func (b *fakeStore) Read(_ context.Context, do func(*state.State) error) error {
	if b.fail != nil {
		return b.fail
	}
	return do(b.s)
}

func (b *fakeStore) Propose(ctx context.Context, c command.Command) (json.RawMessage, error) {
	if b.entered != nil {
		b.entered <- struct{}{}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-b.leave:
		}
	}
	if b.fail != nil {
		return nil, b.fail
	}
	data, err := command.Encode(time.Unix(1, 0), c)
	if err != nil {
		return nil, err
	}
	answer, err := command.Apply(b.s, b.s.Index+1, 1, data)
	if err != nil {
		return nil, err
	}
	return json.Marshal(answer)
}

type mux struct{ *http.ServeMux }

func (m mux) Route(pattern string, h func(http.ResponseWriter, *http.Request)) {
	m.HandleFunc(pattern, h)
}

// testAPI is the API of a fakeStore, called without a network.
type testAPI struct {
	mux
	store *fakeStore
	clock clock.Virtual
}

func newTestAPI() *testAPI {
	a := &testAPI{mux: mux{http.NewServeMux()}, store: &fakeStore{s: state.New(), bound: 10}}
	Register(a.mux, a.store, Options{MaxSubmits: 1, Clock: &a.clock, Seed: 7})
	return a
}

// call makes a request and returns the status, the body and the whole response.
func (a *testAPI) call(method, path, body string) (int, string, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	a.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, strings.TrimSpace(w.Body.String()), w
}

// status makes a request and returns only the status.
func (a *testAPI) status(method, path, body string) int {
	code, _, _ := a.call(method, path, body)
	return code
}

func TestRoutes_submit(t *testing.T) {
	Convey("A job that is submitted three times is one job, and another job with its key is a conflict", t, func() {
		a := newTestAPI()
		for i, want := range []int{202, 200, 200} {
			code, body, _ := a.call("POST", "/v1/jobs", step("")+strings.Repeat(" ", i))
			So(code, ShouldEqual, want)
			So(body, ShouldEqual, `{"key":"k","state":"accepted"}`)
		}
		So(len(a.store.s.Inbox), ShouldEqual, 1)
		So(a.status("POST", "/v1/jobs", step(`,"tasks":2`)), ShouldEqual, 409)
		_, body, _ := a.call("GET", "/v1/jobs/k", "")
		So(body, ShouldContainSubstring, `"state":"accepted"`)
		So(a.status("DELETE", "/v1/jobs/k", ""), ShouldEqual, 200)
		So(a.store.s.Jobs["k"].Phase, ShouldEqual, state.JobCancelled)
	})
}

func TestRoutes_cancelMany(t *testing.T) {
	Convey("A cancellation of many jobs takes a list, or a team and a queue, and rejects any other body", t, func() {
		a := newTestAPI()
		for i := range 3 {
			a.call("POST", "/v1/jobs", strings.Replace(step(""), `"k"`, fmt.Sprintf(`"k%d"`, i), 1))
		}
		code, body, _ := a.call("POST", "/v1/jobs/cancel", `{"keys":["k0","none"]}`)
		So(code, ShouldEqual, 202)
		So(body, ShouldEqual, `{"cancelled":1,"unknown":["none"]}`)
		_, body, _ = a.call("POST", "/v1/jobs/cancel", `{"team":"depot","queue":"default"}`)
		So(body, ShouldEqual, `{"cancelled":2}`)
		So(a.store.s.Jobs["k2"].Phase, ShouldEqual, state.JobCancelled)
		So(a.status("POST", "/v1/jobs/cancel", `{"keys":["k0"],"oops":true}`), ShouldEqual, 400)
		So(a.status("POST", "/v1/jobs/cancel", `{"keys":`), ShouldEqual, 400)
		So(a.status("POST", "/v1/jobs/cancel", `{}`), ShouldEqual, 422)
	})
}

func TestRoutes_list(t *testing.T) {
	Convey("Lists are paged, and an invalid query is rejected", t, func() {
		a := newTestAPI()
		for i := range 3 {
			So(a.status("POST", "/v1/jobs", strings.Replace(step(""), `"k"`, fmt.Sprintf(`"k%d"`, i), 1)), ShouldEqual, 202)
		}
		_, body, _ := a.call("GET", "/v1/jobs?team=depot&state=accepted&limit=2", "")
		So(body, ShouldEndWith, `"next":"k1"}`)
		_, body, _ = a.call("GET", "/v1/jobs?after=k1", "")
		So(body, ShouldContainSubstring, `"key":"k2"`)
		So(body, ShouldNotContainSubstring, "next")
		_, body, _ = a.call("GET", "/v1/jobs?team=none", "")
		So(body, ShouldEqual, `{"jobs":[]}`)
		for _, q := range []string{"limit=0", "limit=1001", "limit=x", "state=odd", "team=", "colour=1", "limit=1&limit=2"} {
			So(a.status("GET", "/v1/jobs?"+q, ""), ShouldEqual, 422)
		}
	})
}

func TestRoutes_unconfirmed(t *testing.T) {
	Convey("A job that is confirmed not to exist is 404; what cannot be confirmed is 503 with Retry-After", t, func() {
		a := newTestAPI()
		So(a.status("GET", "/v1/jobs/none", ""), ShouldEqual, 404)
		So(a.status("DELETE", "/v1/jobs/none", ""), ShouldEqual, 404)
		So(a.status("GET", "/v1/jobs/a%20b", ""), ShouldEqual, 422)
		for _, kind := range []errs.Kind{errs.Unavailable, errs.Timeout, errs.NotLeader, errs.Stopped} {
			a.store.fail = errs.New(kind, "no")
			for _, c := range [][3]string{{"POST", "/v1/jobs", step("")}, {"GET", "/v1/jobs/k", ""},
				{"GET", "/v1/jobs", ""}, {"DELETE", "/v1/jobs/k", ""}} {
				code, _, w := a.call(c[0], c[1], c[2])
				So(code, ShouldEqual, 503)
				So(w.Header().Get("Retry-After"), ShouldBeIn, []string{"1", "2", "3"})
			}
		}
		a.store.fail = errs.New(errs.Unknown, "a node that does not know")
		So(a.status("GET", "/v1/jobs/k", ""), ShouldEqual, 503)
		a.store.fail = errors.New("odd")
		So(a.status("GET", "/v1/jobs/k", ""), ShouldEqual, 500)
	})
}

func TestRoutes_fullInbox(t *testing.T) {
	Convey("A full inbox is 429, with Retry-After spread over 1 to 3 seconds", t, func() {
		a := newTestAPI()
		a.store.bound = 0
		seen := map[string]bool{}
		for range 32 {
			code, _, w := a.call("POST", "/v1/jobs", step(""))
			So(code, ShouldEqual, 429)
			seen[w.Header().Get("Retry-After")] = true
		}
		So(seen, ShouldResemble, map[string]bool{"1": true, "2": true, "3": true})
	})
}

func TestRoutes_overload(t *testing.T) {
	Convey("A call that times out is 503, and a submission above the limit of those in flight is 429", t, func() {
		a := newTestAPI()
		a.store.entered, a.store.leave = make(chan struct{}), make(chan struct{})
		g := routine.New(context.Background())
		timedOutStatus := 0
		g.Go(func(context.Context) { timedOutStatus = a.status("POST", "/v1/jobs", step("")) })
		<-a.store.entered
		So(a.status("POST", "/v1/jobs", step("")), ShouldEqual, 429)
		a.clock.Advance(2 * time.Second)
		g.Wait()
		So(timedOutStatus, ShouldEqual, 503)
	})
}

func TestRoutes_overHTTP(t *testing.T) {
	Convey("A body above the maximum size is 413, and one that is not JSON is 400", t, func() {
		s := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		Register(s, &fakeStore{s: state.New(), bound: 10}, Options{})
		So(s.Start(), ShouldBeNil)
		defer func() { So(s.Stop(time.Second), ShouldBeNil) }()
		for body, want := range map[string]int{step(""): 202, step(strings.Repeat(" ", MaxBody)): 413, `{"key"`: 400} {
			res, err := http.Post("http://"+s.Addr()+"/v1/jobs", "application/json", strings.NewReader(body))
			So(err, ShouldBeNil)
			So(res.Body.Close(), ShouldBeNil)
			So(res.StatusCode, ShouldEqual, want)
		}
	})
}
