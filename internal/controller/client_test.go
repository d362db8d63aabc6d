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

// fakeCore answers a client's attempts by address. Everything runs on the caller's goroutine: pauses and silent nodes
// move the virtual clock.
type fakeCore struct {
	*Client
	clock *clock.Virtual
	nodes map[string]func(ctx context.Context, q query, answer any, timeout time.Duration) reply
	asked []string // addresses in order
}

type node = func(ctx context.Context, q query, answer any, timeout time.Duration) reply

func newFakeCore(nodes map[string]node, seeds ...string) *fakeCore {
	f := &fakeCore{clock: &clock.Virtual{}, nodes: nodes}
	f.Client = NewClient(ClientOptions{Seeds: seeds, Clock: f.clock})
	f.directory.rotation = 0
	f.ask = func(ctx context.Context, addr string, q query, answer any, timeout time.Duration) reply {
		f.asked = append(f.asked, addr)
		return f.nodes[addr](ctx, q, answer, timeout)
	}
	f.sleep = func(_ context.Context, d time.Duration) { f.clock.Advance(d) }
	return f
}

// until returns a ctx whose deadline is on the virtual clock.
func (f *fakeCore) until(d time.Duration) context.Context {
	return deadlineContext{context.Background(), f.clock.Wall().Add(d)}
}

type deadlineContext struct {
	context.Context
	deadline time.Time
}

func (d deadlineContext) Deadline() (time.Time, bool) { return d.deadline, true }

// submit submits a job and returns the kind of the error and the time that it took.
func (f *fakeCore) submit(timeout time.Duration) (errs.Kind, time.Duration) {
	begin := f.clock.Now()
	f.asked = nil
	_, err := f.Submit(f.until(timeout), SubmitCall{})
	return errs.KindOf(err), f.clock.Now() - begin
}

// answersAsLeader answers as the leader.
func answersAsLeader(_ context.Context, _ query, answer any, _ time.Duration) reply {
	switch answer := answer.(type) {
	case *SubmitAnswer:
		answer.State = jobs.Queued
	case *JobAnswer:
		answer.State = jobs.Running
	}
	return reply{answered: true}
}

// failsWith answers a failure.
func failsWith(kind errs.Kind) node {
	return func(context.Context, query, any, time.Duration) reply {
		return reply{err: errs.New(kind, "on purpose"), answered: true}
	}
}

// redirectsTo names another node as the leader.
func redirectsTo(leader string) node {
	return func(context.Context, query, any, time.Duration) reply {
		return reply{err: &errs.Error{Kind: errs.NotLeader, Message: "on purpose", Hint: leader}, answered: true}
	}
}

// connectionRefused is a machine without the process.
func connectionRefused(context.Context, query, any, time.Duration) reply {
	return reply{err: errs.New(errs.Unavailable, "refused"), unsent: true}
}

// timesOut takes the call and never answers; connectTimesOut takes no connection.
func (f *fakeCore) timesOut(_ context.Context, _ query, _ any, timeout time.Duration) reply {
	f.clock.Advance(timeout)
	return reply{err: errs.New(errs.Timeout, "silent")}
}

func (f *fakeCore) connectTimesOut(_ context.Context, _ query, _ any, timeout time.Duration) reply {
	f.clock.Advance(timeout)
	return reply{err: errs.New(errs.Timeout, "hangs"), unsent: true}
}

func TestClientFindsTheLeader(t *testing.T) {
	Convey("A hint is followed at once, and the leader is remembered", t, func() {
		f := newFakeCore(map[string]node{"a": redirectsTo("c"), "b": redirectsTo("c"), "c": answersAsLeader}, "a", "b")
		kind, took := f.submit(time.Second)
		So([]any{kind, took, f.asked}, ShouldResemble, []any{errs.Kind(""), time.Duration(0), []string{"a", "c"}})
		f.submit(time.Second)
		So(f.asked, ShouldResemble, []string{"c"})
	})
	Convey("A leader that is gone is backed off, also when others still name it", t, func() {
		f := newFakeCore(map[string]node{"a": answersAsLeader, "b": redirectsTo("a"), "c": redirectsTo("a")}, "a", "b", "c")
		f.submit(time.Second)
		f.nodes["a"] = connectionRefused
		f.nodes["c"] = answersAsLeader
		kind, _ := f.submit(time.Second)
		So([]any{kind, f.asked}, ShouldResemble, []any{errs.Kind(""), []string{"a", "b", "c"}})
		f.submit(time.Second)
		So(f.asked, ShouldResemble, []string{"c"})
	})
	Convey("Two nodes that name each other are not asked without pauses", t, func() {
		f := newFakeCore(map[string]node{"a": redirectsTo("b"), "b": redirectsTo("a")}, "a", "b")
		kind, took := f.submit(time.Second)
		So(kind, ShouldEqual, errs.Unavailable)
		So(took, ShouldBeGreaterThan, 900*time.Millisecond)
		So(len(f.asked), ShouldBeLessThan, 60)
	})
	Convey("Members that the topology lists are asked when the seeds are gone", t, func() {
		f := newFakeCore(map[string]node{"b": answersAsLeader}, "a")
		f.nodes["a"] = func(_ context.Context, _ query, answer any, _ time.Duration) reply {
			*answer.(*TopologyAnswer) = TopologyAnswer{Leader: "a", Members: []string{"a", "b"}}
			return reply{answered: true}
		}
		f.probe(context.Background())
		So(f.Ready(), ShouldBeNil)
		f.nodes["a"] = connectionRefused
		kind, _ := f.submit(time.Second)
		So([]any{kind, f.asked}, ShouldResemble, []any{errs.Kind(""), []string{"a", "b"}})
		f.SetSeeds([]string{"z"})
		So(f.directory.addresses(), ShouldResemble, []string{"a", "b", "z"})
	})
	Convey("The client's own address is not in the rotation, but is asked after a hint", t, func() {
		f := newFakeCore(map[string]node{"b": redirectsTo("")}, "a", "b")
		f.directory.self = "a"
		kind, _ := f.submit(300 * time.Millisecond)
		So(kind, ShouldEqual, errs.Unavailable)
		So(f.asked, ShouldNotContain, "a")
		f.nodes["a"], f.nodes["b"] = answersAsLeader, redirectsTo("a")
		kind, _ = f.submit(300 * time.Millisecond)
		So([]any{kind, f.asked}, ShouldResemble, []any{errs.Kind(""), []string{"b", "a"}})
	})
	Convey("A timeout of a call that had little time left does not count against the node", t, func() {
		f := newFakeCore(map[string]node{"a": answersAsLeader, "b": answersAsLeader}, "a", "b")
		f.submit(time.Second)
		f.nodes["a"] = f.timesOut
		kind, _ := f.submit(200 * time.Millisecond)
		So(kind, ShouldEqual, errs.Timeout)
		So(f.directory.pick(f.clock.Now()), ShouldEqual, "a")
	})
}

// refusalKinds are the kinds of errors that end a call: the leader has refused it.
var refusalKinds = []errs.Kind{
	errs.Unknown, errs.Invalid, errs.Malformed, errs.TooLarge, errs.Conflict, errs.Stale, errs.Forbidden, errs.Overloaded,
}

func TestClientReportsRefusal(t *testing.T) {
	Convey("A refusal ends the call at once", t, func() {
		for _, kind := range refusalKinds {
			f := newFakeCore(map[string]node{"a": failsWith(kind)}, "a")
			got, took := f.submit(time.Second)
			So([]any{got, took, len(f.asked)}, ShouldResemble, []any{kind, time.Duration(0), 1})
		}
	})
	Convey("After an attempt that may have been carried out, a refusal stays, but Overloaded becomes Timeout", t, func() {
		for _, kind := range refusalKinds {
			f := newFakeCore(map[string]node{"b": failsWith(kind)}, "a", "b")
			f.nodes["a"] = f.timesOut
			got, _ := f.submit(3 * time.Second)
			want := kind
			if kind == errs.Overloaded {
				want = errs.Timeout
			}
			So([]any{got, f.asked}, ShouldResemble, []any{want, []string{"a", "b"}})
		}
	})
}

func TestClientReportsOutcome(t *testing.T) {
	Convey("A call whose time is up fails as Unavailable if surely nothing was done, else as Timeout", t, func() {
		for _, c := range []struct{ a, b, want errs.Kind }{
			{errs.Unavailable, errs.NotLeader, errs.Unavailable},
			{errs.Unavailable, errs.Timeout, errs.Timeout},
			{errs.Unavailable, errs.Stopped, errs.Timeout},
			{errs.Unavailable, errs.Internal, errs.Timeout},
			{errs.Disk, errs.Unavailable, errs.Timeout},
		} {
			f := newFakeCore(map[string]node{"a": failsWith(c.a), "b": failsWith(c.b)}, "a", "b")
			got, took := f.submit(2 * time.Second)
			So(got, ShouldEqual, c.want)
			So(took, ShouldBeBetween, 1900*time.Millisecond, 2*time.Second)
		}
	})
	Convey("Reads fail as Unavailable whatever became of their attempts", t, func() {
		f := newFakeCore(map[string]node{"a": failsWith(errs.Internal)}, "a")
		_, err := f.Job(f.until(time.Second), JobCall{})
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		_, err = f.Job(f.until(time.Second), JobCall{Cancel: true})
		So(errs.KindOf(err), ShouldEqual, errs.Timeout)
	})
}

func TestClientGivesUp(t *testing.T) {
	Convey("A call to a core that cannot be reached is given up early, with the time of the next try", t, func() {
		f := newFakeCore(map[string]node{"a": connectionRefused, "b": connectionRefused}, "a", "b")
		begin := f.clock.Now()
		_, err := f.Submit(f.until(time.Minute), SubmitCall{})
		So([]any{errs.KindOf(err), errs.Of(err).After}, ShouldResemble, []any{errs.Unavailable, retryAfter})
		So(f.clock.Now()-begin, ShouldBeBetween, unreachableTimeout, unreachableTimeout+maxBackoff)
		f.nodes["a"], f.nodes["b"] = f.connectTimesOut, f.connectTimesOut
		kind, took := f.submit(time.Minute)
		So(kind, ShouldEqual, errs.Unavailable)
		So(took, ShouldBeBetween, unreachableTimeout, unreachableTimeout+defaultAttemptTimeout+maxBackoff)
	})
	Convey("A call is not given up early if a node answers, or if the call may have been carried out", t, func() {
		f := newFakeCore(map[string]node{"a": connectionRefused, "b": redirectsTo("")}, "a", "b")
		kind, took := f.submit(5 * time.Second)
		So(kind, ShouldEqual, errs.Unavailable)
		So(took, ShouldBeGreaterThan, 4900*time.Millisecond)
		f.nodes["a"], f.nodes["b"] = f.timesOut, connectionRefused
		kind, took = f.submit(5 * time.Second)
		So(kind, ShouldEqual, errs.Timeout)
		So(took, ShouldBeGreaterThan, 4900*time.Millisecond)
	})
	Convey("Without an address, or without time, nothing is asked", t, func() {
		f := newFakeCore(nil)
		kind, took := f.submit(time.Second)
		So([]any{kind, took}, ShouldResemble, []any{errs.Unavailable, time.Duration(0)})
		f = newFakeCore(map[string]node{"a": answersAsLeader}, "a")
		kind, _ = f.submit(-time.Second)
		So([]any{kind, len(f.asked)}, ShouldResemble, []any{errs.Unavailable, 0})
	})
	Convey("A ctx that is cancelled ends the call", t, func() {
		f := newFakeCore(nil, "a")
		ctx, cancel := context.WithCancel(context.Background())
		f.nodes = map[string]node{"a": func(context.Context, query, any, time.Duration) reply {
			cancel()
			return reply{err: errs.New(errs.Timeout, "cancelled")}
		}}
		_, err := f.Submit(ctx, SubmitCall{})
		So([]any{errs.KindOf(err), len(f.asked)}, ShouldResemble, []any{errs.Timeout, 1})
	})
}

func TestClientAttemptTimeout(t *testing.T) {
	Convey("Attempts are short, longer for large bodies, and never beyond the deadline", t, func() {
		var bounds []time.Duration
		f := newFakeCore(map[string]node{"a": func(_ context.Context, _ query, _ any, timeout time.Duration) reply {
			bounds = append(bounds, timeout)
			return reply{err: errs.New(errs.Invalid, "on purpose"), answered: true}
		}}, "a")
		_, _ = f.Submit(f.until(time.Minute), SubmitCall{})
		_, _ = f.Configure(f.until(time.Minute), jobs.Configure{})
		_, _ = f.Submit(f.until(100*time.Millisecond), SubmitCall{})
		So(bounds, ShouldResemble,
			[]time.Duration{defaultAttemptTimeout, largeFactor * defaultAttemptTimeout, 90 * time.Millisecond})
	})
}

func TestClientHedges(t *testing.T) {
	Convey("A read that is slow is sent to another node too, and the first answer counts", t, func() {
		f := newFakeCore(nil, "a", "b", "c")
		cut := false
		f.nodes = map[string]node{
			"a": func(ctx context.Context, _ query, _ any, _ time.Duration) reply {
				f.clock.Advance(hedgeDelay)
				<-ctx.Done()
				cut = true
				return reply{err: errs.New(errs.Timeout, "cut")}
			},
			"b": redirectsTo("c"), "c": answersAsLeader,
		}
		answer, err := f.Job(f.until(time.Second), JobCall{})
		So([]any{answer.State, err, cut, f.clock.Now()}, ShouldResemble, []any{jobs.Running, nil, true, hedgeDelay})
		So(f.asked, ShouldResemble, []string{"a", "b", "c"})
		So(f.directory.pick(f.clock.Now()), ShouldEqual, "c")
	})
	Convey("The first node's answer counts when the other one has none", t, func() {
		f := newFakeCore(nil, "a", "b")
		other := make(chan struct{})
		f.nodes = map[string]node{
			"a": func(ctx context.Context, q query, answer any, timeout time.Duration) reply {
				f.clock.Advance(hedgeDelay)
				<-other
				return answersAsLeader(ctx, q, answer, timeout)
			},
			"b": func(context.Context, query, any, time.Duration) reply {
				defer close(other)
				return reply{err: errors.New("broken"), unsent: true}
			},
		}
		answer, err := f.Job(f.until(time.Second), JobCall{})
		So([]any{answer.State, err}, ShouldResemble, []any{jobs.Running, nil})
	})
	Convey("A call that changes something is sent to one node at a time", t, func() {
		f := newFakeCore(nil, "a", "b")
		f.nodes = map[string]node{"a": f.timesOut, "b": answersAsLeader}
		f.submit(2 * time.Second)
		So(f.asked, ShouldResemble, []string{"a", "b"})
		So(f.clock.Now(), ShouldBeGreaterThanOrEqualTo, defaultAttemptTimeout)
	})
}

func TestClientReady(t *testing.T) {
	Convey("A client is ready while a leader has answered lately, by whatever call", t, func() {
		f := newFakeCore(map[string]node{"a": answersAsLeader}, "a")
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
	Convey("Only the leader's own answer to a probe counts", t, func() {
		f := newFakeCore(nil, "a")
		f.nodes = map[string]node{"a": func(_ context.Context, _ query, answer any, _ time.Duration) reply {
			*answer.(*TopologyAnswer) = TopologyAnswer{Leader: "b", Members: []string{"a", "b"}}
			return reply{answered: true}
		}, "b": connectionRefused}
		f.probe(context.Background())
		So(errs.KindOf(f.Ready()), ShouldEqual, errs.Unavailable)
		So(f.asked, ShouldContain, "b")
		So(f.clock.Now(), ShouldBeLessThanOrEqualTo, probeInterval)
	})
	Convey("The client probes at once, and then not again while calls are answered", t, func() {
		f := newFakeCore(nil, "a")
		probes, rounds := 0, 0
		f.nodes = map[string]node{"a": func(_ context.Context, q query, answer any, _ time.Duration) reply {
			if q.topology {
				probes++
				*answer.(*TopologyAnswer) = TopologyAnswer{Leader: "a", Members: []string{"a"}}
			}
			return reply{answered: true}
		}}
		ctx, cancel := context.WithCancel(context.Background())
		f.sleep = func(_ context.Context, d time.Duration) {
			So(d, ShouldEqual, probeInterval)
			f.clock.Advance(d)
			if rounds++; rounds == 9 {
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
