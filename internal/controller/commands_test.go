package controller

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/state/command"
)

// submitCall submits job j of queue q.
func submitCall(digest string) SubmitCall {
	return SubmitCall{Location: Location{Host: "h", Path: "/q/j"}, Digest: digest,
		Spec: jobs.Spec{ID: "j", Payload: "p", Steps: []jobs.Step{{Count: 1, Estimate: time.Second}}}}
}

// configured commits a configuration with queue q, as a version on top of the one before.
func configured(store *fakeStore, version uint64) {
	queue := jobs.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 3, Stretch: 2,
		Target: time.Second, Timeout: time.Second}
	_, err := store.commit(&command.JobConfigure{Configure: jobs.Configure{Base: version - 1, Version: version,
		Replace: true, Services: []jobs.Service{{Name: "s"}}, Queues: []jobs.Queue{queue}}})
	So(err, ShouldBeNil)
}

func TestSubmitIsIdempotent(t *testing.T) {
	ctx := context.Background()
	Convey("A job that is submitted again stays one job", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		configured(store, 1)
		Convey("seconds after it was accepted, at a new leader", func() {
			_, err := leader.Submit(ctx, submitCall("d"))
			So(err, ShouldBeNil)
			accepted := *store.state.JobTable.Jobs["j"]
			clk.Advance(5 * time.Second)
			answer, err := newTestLeader(store, clk).Submit(ctx, submitCall("d"))
			So([]any{answer.State, err}, ShouldResemble, []any{jobs.Queued, nil})
			So(store.state.JobTable.Jobs, ShouldHaveLength, 1)
			So(store.state.JobTable.Jobs["j"].Sequence, ShouldEqual, accepted.Sequence)
			So(store.state.JobTable.Jobs["j"].AcceptedAt, ShouldResemble, accepted.AcceptedAt)
		})
		Convey("when the outcome of the first attempt is unknown", func() {
			for _, late := range []bool{false, true} {
				store.refuses, store.late = errs.Timeout, late
				_, err := leader.Submit(ctx, submitCall("d"))
				So(errs.KindOf(err), ShouldEqual, errs.Timeout)
				store.refuses = ""
				_, err = leader.Submit(ctx, submitCall("d"))
				So(err, ShouldBeNil)
				So(store.state.JobTable.Jobs, ShouldHaveLength, 1)
			}
		})
		Convey("when it is over, and after it was cancelled", func() {
			_, err := leader.Submit(ctx, submitCall("d"))
			So(err, ShouldBeNil)
			_, err = leader.Job(ctx, JobCall{Location: Location{Host: "h", Path: "/q/j"}, Cancel: true})
			So(err, ShouldBeNil)
			answer, err := leader.Submit(ctx, submitCall("d"))
			So([]any{answer.State, err}, ShouldResemble, []any{jobs.Cancelled, nil})
		})
		Convey("another job under its ID is refused", func() {
			_, err := leader.Submit(ctx, submitCall("d"))
			So(err, ShouldBeNil)
			_, err = leader.Submit(ctx, submitCall("other"))
			So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		})
		Convey("a node without a configuration answers Unavailable, not that there is no queue", func() {
			_, err := newTestLeader(newFakeStore(), clk).Submit(ctx, submitCall("d"))
			So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		})
	})
}

func TestCancelIsIdempotent(t *testing.T) {
	ctx := context.Background()
	cancel := JobCall{Location: Location{Host: "h", Path: "/q/j"}, Cancel: true}
	Convey("Given a job and a cancellation whose answer is lost", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		configured(store, 1)
		_, err := leader.Submit(ctx, submitCall("d"))
		So(err, ShouldBeNil)
		for _, late := range []bool{false, true} {
			store.refuses, store.late = errs.Timeout, late
			_, err = leader.Job(ctx, cancel)
			So(errs.KindOf(err), ShouldEqual, errs.Timeout)
		}
		store.refuses = ""
		Convey("the next one is acknowledged, by this or by a new leader, as often as it comes", func() {
			for _, leader := range []*Leader{leader, newTestLeader(store, clk), leader} {
				answer, err := leader.Job(ctx, cancel)
				So([]any{answer.State, answer.Gone, err}, ShouldResemble, []any{jobs.Cancelled, false, nil})
			}
		})
		Convey("a cancellation of a job that is forgotten is answered Gone", func() {
			store.state.JobTable.Purge(clk.Wall().Add(time.Hour))
			answer, err := leader.Job(ctx, cancel)
			So([]any{answer.Gone, err}, ShouldResemble, []any{true, nil})
		})
	})
}

func TestCancelDuringLeaderLoss(t *testing.T) {
	const (
		ackTime      = 4 * time.Second         // in which the platform requires the acknowledgement of a cancellation
		electionTime = 1500 * time.Millisecond // the longest time until the store has another leader
	)
	Convey("A cancellation is acknowledged in time if the leader is lost before, while or after it commits it", t, func() {
		for name, lose := range map[string]func(f *fakeCore) node{
			"killed": func(*fakeCore) node { return connectionRefused },
			"silent": func(f *fakeCore) node { return f.timesOut },
			"hangs":  func(f *fakeCore) node { return f.connectTimesOut },
			"stops":  func(*fakeCore) node { return failsWith(errs.Stopped) },
			"cut":    func(*fakeCore) node { return failsWith(errs.Timeout) },
		} {
			f := newFakeCore(nil, "a", "b", "c")
			newLeader := func(ctx context.Context, q query, answer any, timeout time.Duration) reply {
				if f.clock.Now() < electionTime {
					return redirectsTo("a")(ctx, q, answer, timeout)
				}
				return answersAsLeader(ctx, q, answer, timeout)
			}
			f.nodes = map[string]node{"a": lose(f), "b": newLeader, "c": redirectsTo("b")}
			f.directory.recordLeader("a")
			// A client of the data-plane node repeats the call, each with a deadline of a second.
			for f.clock.Now() < ackTime {
				if _, err := f.Job(f.until(time.Second), JobCall{Cancel: true}); err == nil {
					break
				}
			}
			So(f.clock.Now(), ShouldBeLessThan, ackTime)
			t.Log(name, f.clock.Now())
		}
	})
}
