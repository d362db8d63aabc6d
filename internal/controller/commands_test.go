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

// submitCall returns a call that submits job j to queue q.
func submitCall(digest string) SubmitCall {
	return SubmitCall{Location: Location{Host: "h", Path: "/q/j"}, Digest: digest,
		Spec: jobs.Spec{ID: "j", Payload: "p", Steps: []jobs.Step{{Count: 1, Estimate: time.Second}}}}
}

// commitConfig commits the given version of a configuration with queue q, based on the previous version.
func commitConfig(store *fakeStore, version uint64) {
	queue := jobs.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 3, LatencyFactor: 2,
		LatencyTarget: time.Second, Timeout: time.Second}
	_, err := store.commit(&command.JobConfigure{Configure: jobs.Configure{Base: version - 1, Version: version,
		Replace: true, Services: []jobs.Service{{Name: "s"}}, Queues: []jobs.Queue{queue}}})
	So(err, ShouldBeNil)
}

func TestSubmitIsIdempotent(t *testing.T) {
	ctx := context.Background()
	Convey("A job that is submitted again is not duplicated", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		commitConfig(store, 1)
		Convey("if it is submitted to a new leader 5 seconds after it was accepted", func() {
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
		Convey("if the outcome of the first attempt is unknown", func() {
			for _, isCommitted := range []bool{false, true} {
				store.proposeErr, store.commitsAnyway = errs.Timeout, isCommitted
				_, err := leader.Submit(ctx, submitCall("d"))
				So(errs.KindOf(err), ShouldEqual, errs.Timeout)
				store.proposeErr = ""
				_, err = leader.Submit(ctx, submitCall("d"))
				So(err, ShouldBeNil)
				So(store.state.JobTable.Jobs, ShouldHaveLength, 1)
			}
		})
		Convey("if it has been cancelled", func() {
			_, err := leader.Submit(ctx, submitCall("d"))
			So(err, ShouldBeNil)
			_, err = leader.Job(ctx, JobCall{Location: Location{Host: "h", Path: "/q/j"}, Cancel: true})
			So(err, ShouldBeNil)
			answer, err := leader.Submit(ctx, submitCall("d"))
			So([]any{answer.State, err}, ShouldResemble, []any{jobs.Cancelled, nil})
		})
		Convey("a different job with the same ID is rejected", func() {
			_, err := leader.Submit(ctx, submitCall("d"))
			So(err, ShouldBeNil)
			_, err = leader.Submit(ctx, submitCall("other"))
			So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		})
		Convey("a leader without a configuration answers Unavailable, not Unknown", func() {
			_, err := newTestLeader(newFakeStore(), clk).Submit(ctx, submitCall("d"))
			So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		})
	})
}

func TestCancelIsIdempotent(t *testing.T) {
	ctx := context.Background()
	cancel := JobCall{Location: Location{Host: "h", Path: "/q/j"}, Cancel: true}
	Convey("Given a job and cancellations with an unknown outcome, one of them committed", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		commitConfig(store, 1)
		_, err := leader.Submit(ctx, submitCall("d"))
		So(err, ShouldBeNil)
		for _, isCommitted := range []bool{false, true} {
			store.proposeErr, store.commitsAnyway = errs.Timeout, isCommitted
			_, err = leader.Job(ctx, cancel)
			So(errs.KindOf(err), ShouldEqual, errs.Timeout)
		}
		store.proposeErr = ""
		Convey("further ones are acknowledged by this leader and by a new one", func() {
			for _, leader := range []*Leader{leader, newTestLeader(store, clk), leader} {
				answer, err := leader.Job(ctx, cancel)
				So([]any{answer.State, answer.NotFound, err}, ShouldResemble, []any{jobs.Cancelled, false, nil})
			}
		})
		Convey("the cancellation of a purged job is answered with NotFound", func() {
			store.state.JobTable.Purge(clk.Wall().Add(time.Hour))
			answer, err := leader.Job(ctx, cancel)
			So([]any{answer.NotFound, err}, ShouldResemble, []any{true, nil})
		})
	})
}

// TestCancelDuringLeaderLoss guards against a client that keeps calling a lost leader for so long that the platform's
// deadline for the acknowledgement passes, for each way in which calls to that leader can fail.
func TestCancelDuringLeaderLoss(t *testing.T) {
	const (
		ackTime      = 4 * time.Second         // within which the platform requires a cancellation to be acknowledged
		electionTime = 1500 * time.Millisecond // upper bound until the store has a new leader
	)
	Convey("A cancellation is acknowledged in time if the leader fails before, during or after the commit", t, func() {
		for name, failLeader := range map[string]func(f *fakeCluster) nodeHandler{
			"killed": func(*fakeCluster) nodeHandler { return connectionRefused },
			"silent": func(f *fakeCluster) nodeHandler { return f.timesOut },
			"hangs":  func(f *fakeCluster) nodeHandler { return f.connectTimesOut },
			"stops":  func(*fakeCluster) nodeHandler { return failsWith(errs.Stopped) },
			"cut":    func(*fakeCluster) nodeHandler { return failsWith(errs.Timeout) },
		} {
			f := newFakeCluster(nil, "a", "b", "c")
			newLeader := func(ctx context.Context, req request, answer any, timeout time.Duration) reply {
				if f.clock.Now() < electionTime {
					return redirectsTo("a")(ctx, req, answer, timeout)
				}
				return answersAsLeader(ctx, req, answer, timeout)
			}
			f.nodes = map[string]nodeHandler{"a": failLeader(f), "b": newLeader, "c": redirectsTo("b")}
			f.directory.recordLeader("a")
			// A client of the data-plane node retries the call, with a deadline of one second each time.
			for f.clock.Now() < ackTime {
				if _, err := f.Job(f.withDeadline(time.Second), JobCall{Cancel: true}); err == nil {
					break
				}
			}
			So(f.clock.Now(), ShouldBeLessThan, ackTime)
			t.Log(name, f.clock.Now())
		}
	})
}
