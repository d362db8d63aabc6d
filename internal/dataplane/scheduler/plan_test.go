package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

func TestOrder_onlyAfterRunIDIsCommitted(t *testing.T) {
	Convey("An order is sent only after the commit of its run ID was answered", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.submit("j", state.StepSpec{})
		actions := h.core.Pass(h.now)
		So(actions.Plan, ShouldNotBeNil)
		So(actions.Plan.Seq, ShouldEqual, 1) // the plan admits the job
		h.commit(actions.Plan)
		actions = h.core.Pass(h.now)
		So(actions.Plan, ShouldNotBeNil)
		So(actions.Plan.Starts, ShouldHaveLength, 1)
		So(findOrder(actions.Calls), ShouldBeNil)
		So(findOrder(h.core.Pass(h.now).Calls), ShouldBeNil)
		h.commit(actions.Plan)
		So(h.st.Handles, ShouldHaveLength, 1)
		order := findOrder(h.core.Pass(h.now).Calls)
		So(order, ShouldNotBeNil)
		So(order.Call.Starts[0].RunID, ShouldEqual, 1)

		Convey("and only within the start window", func() {
			h = newHarness("check", "m1")
			h.registerWorkers("check")
			h.submit("j", state.StepSpec{})
			h.commit(h.core.Pass(h.now).Plan)
			h.commit(h.core.Pass(h.now).Plan)
			h.now += DefaultConfig().StartWindow + time.Millisecond
			So(findOrder(h.core.Pass(h.now).Calls), ShouldBeNil) // the window has passed
			h.commit(h.core.Pass(h.now).Plan)
			So(taskOf(h, "j").Phase, ShouldEqual, state.TaskDue)
			So(h.core.Counts.ProvedDead[command.ProofUnsent], ShouldEqual, 1)
		})
		Convey("and not once only the margin of the role lease is left", func() {
			h.submit("k", state.StepSpec{})
			h.core.SetRoleLease(h.now + DefaultConfig().RoleLeaseMargin)
			So(h.core.Pass(h.now), ShouldResemble, Actions{})
		})
	})
}
