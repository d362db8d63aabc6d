package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

func TestEndInStaleAnswer(t *testing.T) {
	Convey("An end counts that stands in an answer older than one taken in", t, func() {
		h := newHarness("check", "m1")
		h.greetWorkers("check")
		h.submit("j1", state.StepSpec{})
		first := findOrder(h.commitPlans())
		h.answer(*first, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.submit("j2", state.StepSpec{})
		second := findOrder(h.commitPlans())
		waiting := h.wait["m1"] // sent before it
		So(waiting.Call.Call, ShouldBeLessThan, second.Call.Call)
		h.answer(*second, "check", internalapi.LeaseAnswer{Running: []uint64{1, 2}})
		h.answer(waiting, "check", internalapi.LeaseAnswer{Running: []uint64{2}, Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}})
		h.commitPlans()
		So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
	})
}

func TestEndAfterProof(t *testing.T) {
	Convey("An end that is heard while the proof of an expired lease is not committed yet goes before it", t, func() {
		h := newHarness("check", "m1")
		h.greetWorkers("check")
		h.submit("j1", state.StepSpec{})
		o := findOrder(h.commitPlans())
		h.answer(*o, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.commitPlans()
		w := h.wait["m1"]
		h.core.CallFailed(h.now, w, true)
		h.now += 30 * time.Second
		out := h.core.Pass(h.now)
		So(out.Plan.Dead, ShouldHaveLength, 1)
		So(out.Calls, ShouldHaveLength, 1)
		h.answer(out.Calls[0], "check", internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}})
		h.core.PlanAnswered(h.now, out.Plan.Epoch, command.Planned{}, errs.New(errs.Timeout, "lost"))
		h.commitPlans()
		So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
	})
}

func TestEndWhileProofIsCommitted(t *testing.T) {
	ended := internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}}
	Convey("With the proof of an expired lease on its way to the store", t, func() {
		h := newExpiredRun()
		h.commitPlans()
		h.core.CallFailed(h.now, h.wait["m1"], true)
		h.now += time.Second
		out := h.core.Pass(h.now)
		So(out.Plan.Dead, ShouldHaveLength, 1)
		So(out.Calls, ShouldHaveLength, 1)

		Convey("an end that is heard before it is committed counts, and the task gets no second run ID", func() {
			h.answer(out.Calls[0], "check", ended)
			h.commit(out.Plan)
			h.commitPlans()
			So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			So(h.st.LastRunID, ShouldEqual, 1)
		})
		Convey("so does one that is heard after it, and the worker may forget it only then", func() {
			h.commit(out.Plan)
			So(taskOf(h, "j1").Phase, ShouldEqual, state.TaskDue)
			h.answer(out.Calls[0], "check", ended)
			again := h.core.Pass(h.now)
			So(again.Calls[0].Call.Acked, ShouldBeEmpty)
			h.answer(again.Calls[0], "check", ended)
			So(again.Plan.Ends, ShouldHaveLength, 1)
			h.commit(again.Plan)
			h.commitPlans()
			So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			So(h.st.LastRunID, ShouldEqual, 1)
			h.answer(h.wait["m1"], "check", ended)
			So(h.core.Pass(h.now).Calls[0].Call.Acked, ShouldResemble, []uint64{1})
		})
		Convey("it counts also if the leader takes a snapshot in between", func() {
			h.answer(out.Calls[0], "check", ended)
			h.do(out.Plan)
			h.core.Reset(h.now, h.st)
			h.core.PlanAnswered(h.now, out.Plan.Epoch, command.Planned{}, nil)
			h.commitPlans()
			So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			So(h.st.LastRunID, ShouldEqual, 1)
		})
	})
}
