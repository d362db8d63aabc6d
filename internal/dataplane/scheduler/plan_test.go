package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

func TestRunIDBeforeOrder(t *testing.T) {
	Convey("an order leaves only after the commit of its run ID was answered", t, func() {
		h := newHarness("check", "m1")
		h.greetWorkers("check")
		h.submit("j", state.StepSpec{})
		out := h.core.Pass(h.now)
		So(out.Plan, ShouldNotBeNil)
		So(out.Plan.Seq, ShouldEqual, 1) // the inbox number is written ahead, in the same commit
		h.commit(out.Plan)
		out = h.core.Pass(h.now)
		So(out.Plan, ShouldNotBeNil)
		So(out.Plan.Starts, ShouldHaveLength, 1)
		So(findOrder(out.Calls), ShouldBeNil)
		So(findOrder(h.core.Pass(h.now).Calls), ShouldBeNil)
		h.commit(out.Plan)
		So(h.st.Handles, ShouldHaveLength, 1)
		o := findOrder(h.core.Pass(h.now).Calls)
		So(o, ShouldNotBeNil)
		So(o.Call.Starts[0].RunID, ShouldEqual, 1)

		Convey("and only inside its window", func() {
			h = newHarness("check", "m1")
			h.greetWorkers("check")
			h.submit("j", state.StepSpec{})
			h.commit(h.core.Pass(h.now).Plan)
			h.commit(h.core.Pass(h.now).Plan)
			h.now += DefaultConfig().StartWindow + time.Millisecond
			So(findOrder(h.core.Pass(h.now).Calls), ShouldBeNil) // voided
			h.commit(h.core.Pass(h.now).Plan)
			So(taskOf(h, "j").Phase, ShouldEqual, state.TaskDue)
			So(h.core.Counts.ProvedDead[command.ProofUnsent], ShouldEqual, 1)
		})
		Convey("and not once the lease has only its margin left", func() {
			h.submit("k", state.StepSpec{})
			h.core.SetRoleLease(h.now + DefaultConfig().RoleLeaseMargin)
			So(h.core.Pass(h.now), ShouldResemble, Actions{})
		})
	})
}
