package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// running lets a job of count tasks run on the bench's workers, all answered well.
func (b *bench) running(count int) {
	b.submit("j1", jobs.Step{Count: count, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Minute})
	for range 20 {
		out := b.pass(time.Millisecond)
		for _, renewal := range out.Renewals {
			if renewal.Call.Wait == 0 { // the others wait for an end, and none comes
				b.core.RenewalAnswered(b.now, renewal.Worker.ID, renewal.Number, RenewalAnswer{Clock: b.now}, RenewalOK)
			}
		}
		for _, start := range out.Starts {
			b.core.StartAnswered(b.now, start.Worker.ID, start.Order.Key, StartAnswer{Clock: b.now}, StartOK)
		}
	}
}

func TestStopsOfCancelledJob(t *testing.T) {
	Convey("Given a job with runs on two workers", t, func() {
		b := newBench(2, "w1", "w2")
		b.running(6)
		So(len(b.core.runs), ShouldEqual, 6)
		Convey("When it is cancelled, each run is told to stop once", func() {
			_, err := b.table.Cancel(jobs.Cancel{ID: "j1", At: b.wall})
			must(err)
			So(len(b.pass(time.Millisecond).Stops), ShouldEqual, 6)
			So(b.pass(time.Millisecond).Stops, ShouldBeEmpty)
			Convey("and again after a pause if the order got no answer, but not once it was answered", func() {
				for key, r := range b.core.runs {
					b.core.StopAnswered(b.now, r.worker, key, stopOutcome(key.Task.Index > 0))
				}
				So(b.pass(time.Millisecond).Stops, ShouldBeEmpty)
				again := b.pass(b.core.cfg.RetryMin).Stops
				So(len(again), ShouldEqual, 1)
				So(again[0].Order.Key.Task.Index, ShouldEqual, 0)
			})
		})
		Convey("When nothing is to be stopped, no run is on the list of those to look at", func() {
			b.pass(sweepInterval)
			So(b.core.runsToStop, ShouldBeEmpty)
		})
	})
}

func TestStopOfUnknownRun(t *testing.T) {
	Convey("Given a worker that lists a run of which the table has no handle", t, func() {
		b := newBench(2, "w1")
		out := b.pass(time.Millisecond)
		So(len(out.Renewals), ShouldEqual, 1)
		key := jobs.RunKey{Task: jobs.TaskRef{Job: "gone"}, Number: 3}
		b.core.RenewalAnswered(b.now, "w1", out.Renewals[0].Number, RenewalAnswer{Clock: b.now, Running: []ListedRun{{Key: key}}}, RenewalOK)
		Convey("Then it is told to stop it, and is not looked at any more after its answer", func() {
			stops := b.pass(time.Millisecond).Stops
			So(len(stops), ShouldEqual, 1)
			So(stops[0].Order.Key, ShouldResemble, key)
			b.core.StopAnswered(b.now, "w1", key, StopOK)
			So(b.pass(time.Second).Stops, ShouldBeEmpty)
			So(b.core.workersWithOrphans, ShouldBeEmpty)
		})
	})
}
