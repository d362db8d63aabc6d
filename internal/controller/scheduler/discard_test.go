package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// runningTask starts one task of two cores, which the worker lists with a checkpoint, and lets a second pass.
func (h *harness) runningTask(step jobs.Step, checkpoint string) jobs.RunKey {
	step.Count, step.Needs = 1, jobs.Resources{MilliCPU: 2000}
	h.submit(step)
	h.pass()
	So(h.sent, ShouldHaveLength, 1)
	h.accept()
	key := h.sent[0].Order.Key
	h.pass()
	h.answer(RenewalAnswer{Running: []ListedRun{{Key: key, Checkpoint: checkpoint, Percent: 1}}})
	h.pass()
	h.core.runs[key].start.sentAt = h.now - time.Second
	return key
}

func (h *harness) endAs(key jobs.RunKey, reason jobs.EndReason) {
	h.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 1, Key: key, Reason: reason}}})
}

func TestDiscardedWork(t *testing.T) {
	Convey("Work is counted by why it was thrown away", t, func() {
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
	Convey("The reason of a stop goes before the way it ended", t, func() {
		h := newHarness()
		key := h.runningTask(jobs.Step{}, "")
		_, err := h.table.Cancel(jobs.Cancel{ID: "j"})
		So(err, ShouldBeNil)
		h.pass()
		h.endAs(key, jobs.EndStopped)
		So(h.core.Health(h.now).Discarded[CauseJobOver].Runs, ShouldEqual, 1)
	})
	Convey("Good ends and failures throw nothing away; work that was saved, and lasting work, costs no core-seconds", t, func() {
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
	Convey("A lease that this leader finds over counts as lapsed, a run that its worker does not list as lost", t, func() {
		h := newHarness()
		h.runningTask(jobs.Step{}, "")
		for range 60 { // nothing is heard of the worker
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
		key := h.sent[0].Order.Key
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
