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

// succeeded returns the answer of a worker that lists only the successful end of a run.
func succeeded(runID uint64) internalapi.LeaseAnswer {
	return internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: runID, Outcome: internalapi.OutcomeOK}}}
}

func TestEnd_inStaleAnswer(t *testing.T) {
	Convey("An end counts even if its answer is older than one handled before", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.submit("j1", state.StepSpec{})
		first := findOrder(h.commitPlans())
		h.answer(*first, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.submit("j2", state.StepSpec{})
		second := findOrder(h.commitPlans())
		olderPoll := h.polls["m1"] // sent before the second order
		So(olderPoll.Call.Call, ShouldBeLessThan, second.Call.Call)
		h.answer(*second, "check", internalapi.LeaseAnswer{Running: []uint64{1, 2}})
		h.answer(olderPoll, "check", internalapi.LeaseAnswer{Running: []uint64{2}, Ended: succeeded(1).Ended})
		h.commitPlans()
		So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
	})
}

func TestEnd_beforeProofIsCommitted(t *testing.T) {
	Convey("An end reported before the proof of an expired lease is committed takes precedence", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.submit("j1", state.StepSpec{})
		order := findOrder(h.commitPlans())
		h.answer(*order, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.commitPlans()
		poll := h.polls["m1"]
		h.core.CallFailed(h.now, poll, true)
		h.now += 30 * time.Second
		actions := h.core.Pass(h.now)
		So(actions.Plan.Dead, ShouldHaveLength, 1)
		So(actions.Calls, ShouldHaveLength, 1)
		h.answer(actions.Calls[0], "check", succeeded(1))
		h.core.PlanAnswered(h.now, actions.Plan.Epoch, command.Planned{}, errs.New(errs.Timeout, "lost"))
		h.commitPlans()
		So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
	})
}

// Guards against a second run of a task whose first run succeeded: the worker reports that end only after the leader
// has concluded from the expired lease that the run is dead.
func TestEnd_whileProofIsCommitted(t *testing.T) {
	Convey("While the proof of an expired lease is being committed", t, func() {
		h := newExpiredRun()
		h.commitPlans()
		h.core.CallFailed(h.now, h.polls["m1"], true)
		h.now += time.Second
		actions := h.core.Pass(h.now)
		So(actions.Plan.Dead, ShouldHaveLength, 1)
		So(actions.Calls, ShouldHaveLength, 1)

		Convey("an end reported before the commit counts, and the task gets no second run ID", func() {
			h.answer(actions.Calls[0], "check", succeeded(1))
			h.commit(actions.Plan)
			h.commitPlans()
			So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			So(h.st.LastRunID, ShouldEqual, 1)
		})
		Convey("an end reported after the commit counts, and is acknowledged only once it is committed", func() {
			h.commit(actions.Plan)
			So(taskOf(h, "j1").Phase, ShouldEqual, state.TaskDue)
			h.answer(actions.Calls[0], "check", succeeded(1))
			again := h.core.Pass(h.now)
			So(again.Calls[0].Call.Acked, ShouldBeEmpty)
			h.answer(again.Calls[0], "check", succeeded(1))
			So(again.Plan.Ends, ShouldHaveLength, 1)
			h.commit(again.Plan)
			h.commitPlans()
			So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			So(h.st.LastRunID, ShouldEqual, 1)
			h.answer(h.polls["m1"], "check", succeeded(1))
			So(h.core.Pass(h.now).Calls[0].Call.Acked, ShouldResemble, []uint64{1})
		})
		Convey("an end counts even if the leader installs a snapshot in between", func() {
			h.answer(actions.Calls[0], "check", succeeded(1))
			h.apply(actions.Plan)
			h.core.Reset(h.now, h.st)
			h.core.PlanAnswered(h.now, actions.Plan.Epoch, command.Planned{}, nil)
			h.commitPlans()
			So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			So(h.st.LastRunID, ShouldEqual, 1)
		})
	})
}
