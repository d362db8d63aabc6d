package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestDiscardedWork(t *testing.T) {
	Convey("Discarded work is counted by cause", t, func() {
		causes := map[jobs.EndReason]Cause{jobs.EndLeaseExpired: CauseLeaseExpired, jobs.EndGangBroken: CauseGang, jobs.EndGangTimeout: CauseGangTimeout, jobs.EndLost: CauseLost}
		for reason, cause := range causes {
			h := newHarness()
			key := h.runningTask(jobs.Step{}, "")
			h.endAs(key, reason)
			got := h.core.Health(h.now).Discarded
			So(got, ShouldHaveLength, 1)
			So(got[cause].Runs, ShouldEqual, 1)
			So(got[cause].CoreSeconds, ShouldAlmostEqual, 2, 0.1)
		}
	})
	Convey("The cause of a stop takes precedence over the reason of the end", t, func() {
		h := newHarness()
		key := h.runningTask(jobs.Step{}, "")
		_, err := h.table.Cancel(jobs.Cancel{ID: "j"})
		So(err, ShouldBeNil)
		h.pass()
		h.endAs(key, jobs.EndStopped)
		So(h.core.Health(h.now).Discarded[CauseJobOver].Runs, ShouldEqual, 1)
	})
	Convey("Good ends and failures discard nothing; work with a checkpoint, and long-running work, costs no core-seconds", t, func() {
		for _, reason := range []jobs.EndReason{jobs.EndDone, jobs.EndFailed} {
			h := newHarness()
			h.endAs(h.runningTask(jobs.Step{}, ""), reason)
			So(h.core.Health(h.now).Discarded, ShouldBeEmpty)
		}
		h := newHarness()
		h.endAs(h.runningTask(jobs.Step{Checkpoints: true}, "c"), jobs.EndLeaseExpired)
		So(h.core.Health(h.now).Discarded[CauseLeaseExpired], ShouldResemble, Discarded{Runs: 1})
		h = newHarness()
		h.endAs(h.runningTask(jobs.Step{LongRunning: true}, ""), jobs.EndLeaseExpired)
		So(h.core.Health(h.now).Discarded[CauseLeaseExpired], ShouldResemble, Discarded{Runs: 1})
	})
	Convey("A run counts as expired if its lease did, and as lost if its worker does not list it", t, func() {
		h := newHarness()
		h.runningTask(jobs.Step{}, "")
		for range 60 { // the worker is silent
			h.now += sweepInterval
			h.pass()
		}
		So(h.core.Counts.Expired, ShouldEqual, 1)
		So(h.core.Health(h.now).Discarded, ShouldHaveLength, 1)
		So(h.core.Health(h.now).Discarded[CauseLeaseExpired].Runs, ShouldEqual, 1)

		h = newHarness()
		h.runningTask(jobs.Step{}, "")
		h.answer(RenewalAnswer{})
		So(h.core.Health(h.now).Discarded, ShouldHaveLength, 1)
		So(h.core.Health(h.now).Discarded[CauseLost].Runs, ShouldEqual, 1)
	})
	Convey("A start without an answer that is stopped counts as unanswered", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Minute})
		h.pass()
		key := h.starts[0].Order.Key
		h.core.StartAnswered(h.now, "w", key, StartAnswer{}, StartUnknown)
		h.now += time.Second
		h.pass()
		h.answer(RenewalAnswer{})
		h.pass()
		h.core.StopAnswered(h.now, "w", key, StopOK)
		h.pass()
		h.answer(RenewalAnswer{})
		So(h.core.Health(h.now).Discarded, ShouldHaveLength, 1)
		So(h.core.Health(h.now).Discarded[CauseUnanswered].Runs, ShouldEqual, 1)
	})
}
