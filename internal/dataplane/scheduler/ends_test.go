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
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.submit("j1", state.StepSpec{})
		first := findOrder(d.commitPlans())
		d.answer(*first, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		d.submit("j2", state.StepSpec{})
		second := findOrder(d.commitPlans())
		waiting := d.wait["m1"] // sent before it
		So(waiting.Call.Call, ShouldBeLessThan, second.Call.Call)
		d.answer(*second, "check", internalapi.LeaseAnswer{Running: []uint64{1, 2}})
		d.answer(waiting, "check", internalapi.LeaseAnswer{Running: []uint64{2}, Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}})
		d.commitPlans()
		So(d.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
	})
}

func TestEndAfterProof(t *testing.T) {
	Convey("An end that is heard while the proof of a lapse is not committed yet goes before it", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.submit("j1", state.StepSpec{})
		o := findOrder(d.commitPlans())
		d.answer(*o, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		d.commitPlans()
		w := d.wait["m1"]
		d.core.CallFailed(d.now, "m1", false, w.Call, true)
		d.now += 30 * time.Second
		out := d.core.Pass(d.now)
		So(out.Plan.Dead, ShouldHaveLength, 1)
		So(out.Calls, ShouldHaveLength, 1)
		d.answer(out.Calls[0], "check", internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}})
		d.core.PlanAnswered(d.now, out.Plan.Epoch, command.Planned{}, errs.New(errs.Timeout, "lost"))
		d.commitPlans()
		So(d.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
	})
}

func TestEndWhileProofIsCommitted(t *testing.T) {
	ended := internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}}
	Convey("With the proof of a lapse under way to the store", t, func() {
		d := lapsed()
		d.commitPlans()
		d.core.CallFailed(d.now, "m1", false, d.wait["m1"].Call, true)
		d.now += time.Second
		out := d.core.Pass(d.now)
		So(out.Plan.Dead, ShouldHaveLength, 1)
		So(out.Calls, ShouldHaveLength, 1)

		Convey("an end that is heard before it is committed counts, and the task gets no second ticket", func() {
			d.answer(out.Calls[0], "check", ended)
			d.commit(out.Plan)
			d.commitPlans()
			So(d.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			So(d.st.LastRunID, ShouldEqual, 1)
		})
		Convey("so does one that is heard after it, and the minion may forget it only then", func() {
			d.commit(out.Plan)
			So(taskOf(d, "j1").Phase, ShouldEqual, state.TaskDue)
			d.answer(out.Calls[0], "check", ended)
			again := d.core.Pass(d.now)
			So(again.Calls[0].Call.Acked, ShouldBeEmpty)
			d.answer(again.Calls[0], "check", ended)
			So(again.Plan.Ends, ShouldHaveLength, 1)
			d.commit(again.Plan)
			d.commitPlans()
			So(d.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			So(d.st.LastRunID, ShouldEqual, 1)
			d.answer(d.wait["m1"], "check", ended)
			So(d.core.Pass(d.now).Calls[0].Call.Acked, ShouldResemble, []uint64{1})
		})
		Convey("it counts also if the holder takes a snapshot in between", func() {
			d.answer(out.Calls[0], "check", ended)
			d.do(out.Plan)
			d.core.Reset(d.now, d.st)
			d.core.PlanAnswered(d.now, out.Plan.Epoch, command.Planned{}, nil)
			d.commitPlans()
			So(d.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			So(d.st.LastRunID, ShouldEqual, 1)
		})
	})
}
