package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestStopsOfCancelledJob(t *testing.T) {
	Convey("Given a job with runs on two workers", t, func() {
		c := newCluster(2, "w1", "w2")
		c.startAll(6)
		So(len(c.core.runs), ShouldEqual, 6)
		Convey("When it is cancelled, each run gets one stop order", func() {
			_, err := c.table.Cancel(jobs.Cancel{ID: "j1", At: c.wall()})
			must(err)
			So(len(c.passAfter(time.Millisecond).Stops), ShouldEqual, 6)
			So(c.passAfter(time.Millisecond).Stops, ShouldBeEmpty)
			Convey("And another one after RetryMin if the order got no answer, but none once it was answered", func() {
				for key, r := range c.core.runs {
					c.core.StopAnswered(c.now, r.worker, key, stopOutcome(key.Task.Index > 0))
				}
				So(c.passAfter(time.Millisecond).Stops, ShouldBeEmpty)
				again := c.passAfter(c.core.cfg.RetryMin).Stops
				So(len(again), ShouldEqual, 1)
				So(again[0].Order.Key.Task.Index, ShouldEqual, 0)
			})
		})
		Convey("When no run has to be stopped, runsToStop is empty", func() {
			c.passAfter(sweepInterval)
			So(c.core.runsToStop, ShouldBeEmpty)
		})
	})
}

func TestOrphanIsStopped(t *testing.T) {
	Convey("Given a worker that lists a run without a handle in the table", t, func() {
		c := newCluster(2, "w1")
		actions := c.passAfter(time.Millisecond)
		So(len(actions.Renewals), ShouldEqual, 1)
		key := jobs.RunKey{Task: jobs.TaskRef{Job: "gone"}, Number: 3}
		c.core.RenewalAnswered(c.now, "w1", actions.Renewals[0].Number,
			RenewalAnswer{Clock: c.workerClock(), Running: []ListedRun{{Key: key}}}, RenewalOK)
		Convey("Then a stop order for the run is sent, and the orphan is forgotten after the answer", func() {
			stops := c.passAfter(time.Millisecond).Stops
			So(len(stops), ShouldEqual, 1)
			So(stops[0].Order.Key, ShouldResemble, key)
			c.core.StopAnswered(c.now, "w1", key, StopOK)
			So(c.passAfter(time.Second).Stops, ShouldBeEmpty)
			So(c.core.workersWithOrphans, ShouldBeEmpty)
		})
	})
}
