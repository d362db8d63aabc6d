package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// fakeCluster answers a client's attempts with the handler of the address. Everything runs on the caller's goroutine;
// pauses and nodes that time out advance the virtual clock.
type fakeCluster struct {
	*Client
	clock  *clock.Virtual
	nodes  map[string]func(ctx context.Context, req request, answer any, timeout time.Duration) reply
	called []string // addresses in call order
}

type nodeHandler = func(ctx context.Context, req request, answer any, timeout time.Duration) reply

func newFakeCluster(nodes map[string]nodeHandler, seeds ...string) *fakeCluster {
	f := &fakeCluster{clock: &clock.Virtual{}, nodes: nodes}
	f.Client = NewClient(ClientOptions{Seeds: seeds, Clock: f.clock})
	f.directory.rotation = 0
	f.send = func(ctx context.Context, addr string, req request, answer any, timeout time.Duration) reply {
		f.called = append(f.called, addr)
		return f.nodes[addr](ctx, req, answer, timeout)
	}
	f.sleep = func(_ context.Context, d time.Duration) { f.clock.Advance(d) }
	return f
}

// withDeadline returns a ctx that ends after d on the virtual clock.
func (f *fakeCluster) withDeadline(d time.Duration) context.Context {
	return deadlineContext{context.Background(), f.clock.Wall().Add(d)}
}

type deadlineContext struct {
	context.Context
	deadline time.Time
}

func (d deadlineContext) Deadline() (time.Time, bool) { return d.deadline, true }

// submit submits a job and returns the kind of the error and the duration of the call.
func (f *fakeCluster) submit(timeout time.Duration) (errs.Kind, time.Duration) {
	begin := f.clock.Now()
	f.called = nil
	_, err := f.Submit(f.withDeadline(timeout), SubmitCall{})
	return errs.KindOf(err), f.clock.Now() - begin
}

// answersAsLeader is a handler of the leader.
func answersAsLeader(_ context.Context, _ request, answer any, _ time.Duration) reply {
	switch answer := answer.(type) {
	case *SubmitAnswer:
		answer.State = jobs.Queued
	case *JobAnswer:
		answer.State = jobs.Running
	}
	return reply{answered: true}
}

// failsWith returns a handler that answers an error of the given kind.
func failsWith(kind errs.Kind) nodeHandler {
	return func(context.Context, request, any, time.Duration) reply {
		return reply{err: errs.New(kind, "injected failure"), answered: true}
	}
}

// redirectsTo returns a handler that names another node as the leader.
func redirectsTo(leader string) nodeHandler {
	return func(context.Context, request, any, time.Duration) reply {
		return reply{err: &errs.Error{Kind: errs.NotLeader, Message: "injected failure", Hint: leader}, answered: true}
	}
}

// connectionRefused is a handler of a machine on which no process listens.
func connectionRefused(context.Context, request, any, time.Duration) reply {
	return reply{err: errs.New(errs.Unavailable, "refused"), unsent: true}
}

// timesOut is a handler that receives the call and never answers.
func (f *fakeCluster) timesOut(_ context.Context, _ request, _ any, timeout time.Duration) reply {
	f.clock.Advance(timeout)
	return reply{err: errs.New(errs.Timeout, "silent")}
}

// connectTimesOut is a handler of a machine that does not accept connections.
func (f *fakeCluster) connectTimesOut(_ context.Context, _ request, _ any, timeout time.Duration) reply {
	f.clock.Advance(timeout)
	return reply{err: errs.New(errs.Timeout, "hangs"), unsent: true}
}

func TestClientFindsTheLeader(t *testing.T) {
	Convey("A hint is followed without a pause, and the leader is cached", t, func() {
		f := newFakeCluster(map[string]nodeHandler{
			"a": redirectsTo("c"), "b": redirectsTo("c"), "c": answersAsLeader,
		}, "a", "b")
		kind, took := f.submit(time.Second)
		So([]any{kind, took, f.called}, ShouldResemble, []any{errs.Kind(""), time.Duration(0), []string{"a", "c"}})
		f.submit(time.Second)
		So(f.called, ShouldResemble, []string{"c"})
	})
	Convey("An unreachable leader is backed off, even if other nodes still name it", t, func() {
		f := newFakeCluster(map[string]nodeHandler{
			"a": answersAsLeader, "b": redirectsTo("a"), "c": redirectsTo("a"),
		}, "a", "b", "c")
		f.submit(time.Second)
		f.nodes["a"] = connectionRefused
		f.nodes["c"] = answersAsLeader
		kind, _ := f.submit(time.Second)
		So([]any{kind, f.called}, ShouldResemble, []any{errs.Kind(""), []string{"a", "b", "c"}})
		f.submit(time.Second)
		So(f.called, ShouldResemble, []string{"c"})
	})
	Convey("Two nodes that name each other as the leader are called with pauses", t, func() {
		f := newFakeCluster(map[string]nodeHandler{"a": redirectsTo("b"), "b": redirectsTo("a")}, "a", "b")
		kind, took := f.submit(time.Second)
		So(kind, ShouldEqual, errs.Unavailable)
		So(took, ShouldBeGreaterThan, 900*time.Millisecond)
		So(len(f.called), ShouldBeLessThan, 60)
	})
	Convey("Members listed by the topology are called when the seeds are unreachable", t, func() {
		f := newFakeCluster(map[string]nodeHandler{"b": answersAsLeader}, "a")
		f.nodes["a"] = func(_ context.Context, _ request, answer any, _ time.Duration) reply {
			*answer.(*TopologyAnswer) = TopologyAnswer{Leader: "a", Members: []string{"a", "b"}}
			return reply{answered: true}
		}
		f.probe(context.Background())
		So(f.Ready(), ShouldBeNil)
		f.nodes["a"] = connectionRefused
		kind, _ := f.submit(time.Second)
		So([]any{kind, f.called}, ShouldResemble, []any{errs.Kind(""), []string{"a", "b"}})
		f.SetSeeds([]string{"z"})
		So(f.directory.addresses(), ShouldResemble, []string{"a", "b", "z"})
	})
	Convey("The client's own address is not in the rotation, but is called after a hint", t, func() {
		f := newFakeCluster(map[string]nodeHandler{"b": redirectsTo("")}, "a", "b")
		f.directory.self = "a"
		kind, _ := f.submit(300 * time.Millisecond)
		So(kind, ShouldEqual, errs.Unavailable)
		So(f.called, ShouldNotContain, "a")
		f.nodes["a"], f.nodes["b"] = answersAsLeader, redirectsTo("a")
		kind, _ = f.submit(300 * time.Millisecond)
		So([]any{kind, f.called}, ShouldResemble, []any{errs.Kind(""), []string{"b", "a"}})
	})
	Convey("A timeout shorter than a full attempt does not back off the node", t, func() {
		f := newFakeCluster(map[string]nodeHandler{"a": answersAsLeader, "b": answersAsLeader}, "a", "b")
		f.submit(time.Second)
		f.nodes["a"] = f.timesOut
		kind, _ := f.submit(200 * time.Millisecond)
		So(kind, ShouldEqual, errs.Timeout)
		So(f.directory.pick(f.clock.Now()), ShouldEqual, "a")
	})
}

// refusalKinds are the kinds of errors with which the leader refuses a call, which ends the call.
var refusalKinds = []errs.Kind{
	errs.Unknown, errs.Invalid, errs.Malformed, errs.TooLarge, errs.Conflict, errs.Stale, errs.Forbidden, errs.Overloaded,
}

func TestClientReportsRefusal(t *testing.T) {
	Convey("A refusal ends the call without a retry", t, func() {
		for _, kind := range refusalKinds {
			f := newFakeCluster(map[string]nodeHandler{"a": failsWith(kind)}, "a")
			got, took := f.submit(time.Second)
			So([]any{got, took, len(f.called)}, ShouldResemble, []any{kind, time.Duration(0), 1})
		}
	})
	Convey("A refusal stays after an attempt that may have been executed, but Overloaded becomes Timeout", t, func() {
		for _, kind := range refusalKinds {
			f := newFakeCluster(map[string]nodeHandler{"b": failsWith(kind)}, "a", "b")
			f.nodes["a"] = f.timesOut
			got, _ := f.submit(3 * time.Second)
			want := kind
			if kind == errs.Overloaded {
				want = errs.Timeout
			}
			So([]any{got, f.called}, ShouldResemble, []any{want, []string{"a", "b"}})
		}
	})
}

// TestClientReportsOutcome guards against a failure that is reported as Unavailable, which promises that the call was
// not executed, after an attempt that may have been executed.
func TestClientReportsOutcome(t *testing.T) {
	Convey("At its deadline a call fails as Timeout if an attempt may have been executed, else as Unavailable", t, func() {
		for _, c := range []struct{ a, b, want errs.Kind }{
			{errs.Unavailable, errs.NotLeader, errs.Unavailable},
			{errs.Unavailable, errs.Timeout, errs.Timeout},
			{errs.Unavailable, errs.Stopped, errs.Timeout},
			{errs.Unavailable, errs.Internal, errs.Timeout},
			{errs.Disk, errs.Unavailable, errs.Timeout},
		} {
			f := newFakeCluster(map[string]nodeHandler{"a": failsWith(c.a), "b": failsWith(c.b)}, "a", "b")
			got, took := f.submit(2 * time.Second)
			So(got, ShouldEqual, c.want)
			So(took, ShouldBeBetween, 1900*time.Millisecond, 2*time.Second)
		}
	})
	Convey("Reads fail as Unavailable even if an attempt may have been executed", t, func() {
		f := newFakeCluster(map[string]nodeHandler{"a": failsWith(errs.Internal)}, "a")
		_, err := f.Job(f.withDeadline(time.Second), JobCall{})
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		_, err = f.Job(f.withDeadline(time.Second), JobCall{Cancel: true})
		So(errs.KindOf(err), ShouldEqual, errs.Timeout)
	})
}

func TestClientGivesUp(t *testing.T) {
	Convey("A call to an unreachable control plane fails early, with a retry hint", t, func() {
		f := newFakeCluster(map[string]nodeHandler{"a": connectionRefused, "b": connectionRefused}, "a", "b")
		begin := f.clock.Now()
		_, err := f.Submit(f.withDeadline(time.Minute), SubmitCall{})
		So([]any{errs.KindOf(err), errs.Of(err).RetryAfter}, ShouldResemble, []any{errs.Unavailable, retryAfter})
		So(f.clock.Now()-begin, ShouldBeBetween, unreachableTimeout, unreachableTimeout+maxBackoff)
		f.nodes["a"], f.nodes["b"] = f.connectTimesOut, f.connectTimesOut
		kind, took := f.submit(time.Minute)
		So(kind, ShouldEqual, errs.Unavailable)
		So(took, ShouldBeBetween, unreachableTimeout, unreachableTimeout+defaultAttemptTimeout+maxBackoff)
	})
	Convey("A call does not fail early if a node answers or if an attempt may have been executed", t, func() {
		f := newFakeCluster(map[string]nodeHandler{"a": connectionRefused, "b": redirectsTo("")}, "a", "b")
		kind, took := f.submit(5 * time.Second)
		So(kind, ShouldEqual, errs.Unavailable)
		So(took, ShouldBeGreaterThan, 4900*time.Millisecond)
		f.nodes["a"], f.nodes["b"] = f.timesOut, connectionRefused
		kind, took = f.submit(5 * time.Second)
		So(kind, ShouldEqual, errs.Timeout)
		So(took, ShouldBeGreaterThan, 4900*time.Millisecond)
	})
	Convey("Without a known address or before a past deadline, no node is called", t, func() {
		f := newFakeCluster(nil)
		kind, took := f.submit(time.Second)
		So([]any{kind, took}, ShouldResemble, []any{errs.Unavailable, time.Duration(0)})
		f = newFakeCluster(map[string]nodeHandler{"a": answersAsLeader}, "a")
		kind, _ = f.submit(-time.Second)
		So([]any{kind, len(f.called)}, ShouldResemble, []any{errs.Unavailable, 0})
	})
	Convey("A cancelled ctx ends the call", t, func() {
		f := newFakeCluster(nil, "a")
		ctx, cancel := context.WithCancel(context.Background())
		f.nodes = map[string]nodeHandler{"a": func(context.Context, request, any, time.Duration) reply {
			cancel()
			return reply{err: errs.New(errs.Timeout, "cancelled")}
		}}
		_, err := f.Submit(ctx, SubmitCall{})
		So([]any{errs.KindOf(err), len(f.called)}, ShouldResemble, []any{errs.Timeout, 1})
	})
}

func TestClientAttemptTimeout(t *testing.T) {
	Convey("Attempts have a short timeout, a longer one for large bodies, and none beyond the deadline", t, func() {
		var timeouts []time.Duration
		f := newFakeCluster(map[string]nodeHandler{"a": func(_ context.Context, _ request, _ any, limit time.Duration) reply {
			timeouts = append(timeouts, limit)
			return reply{err: errs.New(errs.Invalid, "injected failure"), answered: true}
		}}, "a")
		_, _ = f.Submit(f.withDeadline(time.Minute), SubmitCall{})
		_, _ = f.Configure(f.withDeadline(time.Minute), jobs.Configure{})
		_, _ = f.Submit(f.withDeadline(100*time.Millisecond), SubmitCall{})
		So(timeouts, ShouldResemble,
			[]time.Duration{defaultAttemptTimeout, largeFactor * defaultAttemptTimeout, 90 * time.Millisecond})
	})
}

func TestClientHedges(t *testing.T) {
	Convey("A slow read is sent to a second node too, and the first success is returned", t, func() {
		f := newFakeCluster(nil, "a", "b", "c")
		cancelled := false
		f.nodes = map[string]nodeHandler{
			"a": func(ctx context.Context, _ request, _ any, _ time.Duration) reply {
				f.clock.Advance(hedgeDelay)
				<-ctx.Done()
				cancelled = true
				return reply{err: errs.New(errs.Timeout, "cancelled")}
			},
			"b": redirectsTo("c"), "c": answersAsLeader,
		}
		answer, err := f.Job(f.withDeadline(time.Second), JobCall{})
		So([]any{answer.State, err, cancelled, f.clock.Now()}, ShouldResemble, []any{jobs.Running, nil, true, hedgeDelay})
		So(f.called, ShouldResemble, []string{"a", "b", "c"})
		So(f.directory.pick(f.clock.Now()), ShouldEqual, "c")
	})
	Convey("The first node's answer is returned if the second node fails", t, func() {
		f := newFakeCluster(nil, "a", "b")
		secondDone := make(chan struct{})
		f.nodes = map[string]nodeHandler{
			"a": func(ctx context.Context, req request, answer any, timeout time.Duration) reply {
				f.clock.Advance(hedgeDelay)
				<-secondDone
				return answersAsLeader(ctx, req, answer, timeout)
			},
			"b": func(context.Context, request, any, time.Duration) reply {
				defer close(secondDone)
				return reply{err: errors.New("broken"), unsent: true}
			},
		}
		answer, err := f.Job(f.withDeadline(time.Second), JobCall{})
		So([]any{answer.State, err}, ShouldResemble, []any{jobs.Running, nil})
	})
	Convey("A call that changes state is sent to one node at a time", t, func() {
		f := newFakeCluster(nil, "a", "b")
		f.nodes = map[string]nodeHandler{"a": f.timesOut, "b": answersAsLeader}
		f.submit(2 * time.Second)
		So(f.called, ShouldResemble, []string{"a", "b"})
		So(f.clock.Now(), ShouldBeGreaterThanOrEqualTo, defaultAttemptTimeout)
	})
}

func TestClientReady(t *testing.T) {
	Convey("A client is ready if the leader answered any call within readyWindow", t, func() {
		f := newFakeCluster(map[string]nodeHandler{"a": answersAsLeader}, "a")
		So(errs.KindOf(f.Ready()), ShouldEqual, errs.Unavailable)
		f.submit(time.Second)
		So(f.Ready(), ShouldBeNil)
		f.clock.Advance(readyWindow)
		So(f.Ready(), ShouldBeNil)
		f.clock.Advance(1)
		So(errs.KindOf(f.Ready()), ShouldEqual, errs.Unavailable)
		So(f.CheckLeader(4*time.Second), ShouldBeNil)
		f.nodes["a"] = failsWith(errs.Unknown)
		f.submit(time.Second)
		So(f.Ready(), ShouldBeNil)
	})
	Convey("Only the leader's own answer to a probe makes the client ready", t, func() {
		f := newFakeCluster(nil, "a")
		f.nodes = map[string]nodeHandler{"a": func(_ context.Context, _ request, answer any, _ time.Duration) reply {
			*answer.(*TopologyAnswer) = TopologyAnswer{Leader: "b", Members: []string{"a", "b"}}
			return reply{answered: true}
		}, "b": connectionRefused}
		f.probe(context.Background())
		So(errs.KindOf(f.Ready()), ShouldEqual, errs.Unavailable)
		So(f.called, ShouldContain, "b")
		So(f.clock.Now(), ShouldBeLessThanOrEqualTo, probeInterval)
	})
	Convey("The client probes immediately, and not again while calls are answered", t, func() {
		f := newFakeCluster(nil, "a")
		probes, pauses := 0, 0
		f.nodes = map[string]nodeHandler{"a": func(_ context.Context, req request, answer any, _ time.Duration) reply {
			if req.leaderOnly {
				probes++
				*answer.(*TopologyAnswer) = TopologyAnswer{Leader: "a", Members: []string{"a"}}
			}
			return reply{answered: true}
		}}
		ctx, cancel := context.WithCancel(context.Background())
		f.sleep = func(_ context.Context, d time.Duration) {
			So(d, ShouldEqual, probeInterval)
			f.clock.Advance(d)
			if pauses++; pauses == 9 {
				cancel()
				return
			}
			_, err := f.Submit(context.Background(), SubmitCall{})
			So(err, ShouldBeNil)
		}
		f.watchLeader(ctx)
		So(probes, ShouldEqual, 1)
	})
}
