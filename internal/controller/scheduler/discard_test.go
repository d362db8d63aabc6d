package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestDiscardedWork(t *testing.T) {
	Convey("Discarded work is counted by cause", t, func() {
		for reason, cause := range map[jobs.EndReason]Cause{
			jobs.EndLeaseExpired: CauseLeaseExpired, jobs.EndGangBroken: CauseGang,
			jobs.EndGangTimeout: CauseGangTimeout, jobs.EndLost: CauseLost,
		} {
			c := newReadyCluster()
			key := c.runningTask(jobs.Step{}, "")
			c.endAs(key, reason)
			discarded := c.core.Health(c.now).Discarded
			So(discarded, ShouldHaveLength, 1)
			So(discarded[cause].Runs, ShouldEqual, 1)
			So(discarded[cause].CoreSeconds, ShouldAlmostEqual, 2, 0.1)
		}
	})
	Convey("The cause of a stop takes precedence over the reason of the end", t, func() {
		c := newReadyCluster()
		key := c.runningTask(jobs.Step{}, "")
		_, err := c.table.Cancel(jobs.Cancel{ID: "j"})
		So(err, ShouldBeNil)
		c.runPasses()
		c.endAs(key, jobs.EndStopped)
		So(c.core.Health(c.now).Discarded[CauseJobOver].Runs, ShouldEqual, 1)
	})
	Convey("Runs that are done or failed discard nothing; checkpointed and long-running ones no core-seconds", t, func() {
		for _, reason := range []jobs.EndReason{jobs.EndDone, jobs.EndFailed} {
			c := newReadyCluster()
			c.endAs(c.runningTask(jobs.Step{}, ""), reason)
			So(c.core.Health(c.now).Discarded, ShouldBeEmpty)
		}
		c := newReadyCluster()
		c.endAs(c.runningTask(jobs.Step{Checkpoints: true}, "c"), jobs.EndLeaseExpired)
		So(c.core.Health(c.now).Discarded[CauseLeaseExpired], ShouldResemble, Discarded{Runs: 1})
		c = newReadyCluster()
		c.endAs(c.runningTask(jobs.Step{LongRunning: true}, ""), jobs.EndLeaseExpired)
		So(c.core.Health(c.now).Discarded[CauseLeaseExpired], ShouldResemble, Discarded{Runs: 1})
	})
	Convey("A run is counted as expired if its lease expired, and as lost if its worker does not list it", t, func() {
		c := newReadyCluster()
		c.runningTask(jobs.Step{}, "")
		for range 60 { // the worker is silent
			c.now += sweepInterval
			c.runPasses()
		}
		So(c.core.Counts.Expired, ShouldEqual, 1)
		So(c.core.Health(c.now).Discarded, ShouldHaveLength, 1)
		So(c.core.Health(c.now).Discarded[CauseLeaseExpired].Runs, ShouldEqual, 1)

		c = newReadyCluster()
		c.runningTask(jobs.Step{}, "")
		c.answer(RenewalAnswer{})
		So(c.core.Health(c.now).Discarded, ShouldHaveLength, 1)
		So(c.core.Health(c.now).Discarded[CauseLost].Runs, ShouldEqual, 1)
	})
	Convey("A run that is stopped because its start got no answer is counted as unanswered", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Minute})
		c.runPasses()
		key := c.starts[0].Order.Key
		c.core.StartAnswered(c.now, "w", key, StartAnswer{}, StartUnconfirmed)
		c.now += time.Second
		c.runPasses()
		c.answer(RenewalAnswer{})
		c.runPasses()
		c.core.StopAnswered(c.now, "w", key, StopOK)
		c.runPasses()
		c.answer(RenewalAnswer{})
		So(c.core.Health(c.now).Discarded, ShouldHaveLength, 1)
		So(c.core.Health(c.now).Discarded[CauseUnanswered].Runs, ShouldEqual, 1)
	})
}
