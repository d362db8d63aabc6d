package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

func TestLimitOrdersOnly(t *testing.T) {
	Convey("a type over its limit runs where there is room, after types under theirs", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.st.Bundle.Limits = map[string]int{"t": 1}
		d.submit("j", state.StepSpec{Tasks: 6})
		d.submit("k", state.StepSpec{})
		d.st.Jobs["k"].Spec.Steps[0].Type = "u"
		o := findOrder(d.commitPlans())
		So(o, ShouldNotBeNil)
		So(o.Call.Starts, ShouldHaveLength, 4) // all the room there is, though the limit of t is 1
		So(o.Call.Starts[1].Type, ShouldEqual, "u")
		So(d.core.RunningCount("t"), ShouldEqual, 3)
		So(d.st.RunningCount("t"), ShouldEqual, 3)
		Convey("and a new holder rebuilds the same tally before it releases anything", func() {
			d.lead()
			So(d.core.RunningCount("t"), ShouldEqual, 3)
			So(d.core.RunningCount("u"), ShouldEqual, 1)
			So(findOrder(d.commitPlans()), ShouldBeNil) // no minion has answered under the new epoch
		})
	})
}

func TestUnschedulableClass(t *testing.T) {
	Convey("A kind of task that fits nowhere is placed by the first pass after room came, without a sweep", t, func() {
		c, st, now := fleet(t, 4, 4, 1)
		index := st.Index
		apply := func(cmd command.Command) {
			index++
			data, err := command.Encode(time.Unix(0, 0), cmd)
			So(err, ShouldBeNil)
			_, err = command.Apply(st, index, 1, data)
			So(err, ShouldBeNil)
		}
		refusePlan(c, now, c.Pass(now).Plan)
		So(c.Pass(now).Plan, ShouldBeNil)
		apply(&command.Plan{Epoch: c.Epoch(), Ends: []command.End{{RunID: 3, OK: true}}})
		p := c.Pass(now).Plan
		So(p, ShouldNotBeNil)
		So(len(p.Starts), ShouldEqual, 1)
		So(p.Starts[0].Worker, ShouldEqual, st.WorkerNames()[2])
		Convey("a refused start leaves its room to the next pass", func() {
			refusePlan(c, now, p)
			again := c.Pass(now).Plan
			So(again, ShouldNotBeNil)
			So(len(again.Starts), ShouldEqual, 1) // of the next task: the refused one went to the end of its kind
			So(again.Starts[0].Worker, ShouldEqual, p.Starts[0].Worker)
		})
	})
}
