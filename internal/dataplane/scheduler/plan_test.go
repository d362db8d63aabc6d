package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

func TestRunIDBeforeOrder(t *testing.T) {
	Convey("an order leaves only after its ticket's commit was answered", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.submit("j", state.StepSpec{})
		out := d.core.Pass(d.now)
		So(out.Plan, ShouldNotBeNil)
		So(out.Plan.Seq, ShouldEqual, 1) // the inbox number is written ahead, in the same commit
		d.commit(out.Plan)
		out = d.core.Pass(d.now)
		So(out.Plan, ShouldNotBeNil)
		So(out.Plan.Starts, ShouldHaveLength, 1)
		So(findOrder(out.Calls), ShouldBeNil)
		So(findOrder(d.core.Pass(d.now).Calls), ShouldBeNil)
		d.commit(out.Plan)
		So(d.st.Handles, ShouldHaveLength, 1)
		o := findOrder(d.core.Pass(d.now).Calls)
		So(o, ShouldNotBeNil)
		So(o.Call.Starts[0].RunID, ShouldEqual, 1)

		Convey("and only inside its window", func() {
			d = newHarness("check", "m1")
			d.greetWorkers("check")
			d.submit("j", state.StepSpec{})
			d.commit(d.core.Pass(d.now).Plan)
			d.commit(d.core.Pass(d.now).Plan)
			d.now += DefaultConfig().StartWindow + time.Millisecond
			So(findOrder(d.core.Pass(d.now).Calls), ShouldBeNil) // voided
			d.commit(d.core.Pass(d.now).Plan)
			So(taskOf(d, "j").Phase, ShouldEqual, state.TaskDue)
			So(d.core.Counts.ProvedDead[command.ProofUnsent], ShouldEqual, 1)
		})
		Convey("and not once the lease has only its margin left", func() {
			d.submit("k", state.StepSpec{})
			d.core.SetRoleLease(d.now + DefaultConfig().RoleLeaseMargin)
			So(d.core.Pass(d.now), ShouldResemble, Actions{})
		})
	})
}
