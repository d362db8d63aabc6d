package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

func TestLimit_lowersRankOnly(t *testing.T) {
	Convey("A type over its limit uses free capacity, after types under their limit", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.st.Bundle.Limits = map[string]int{"t": 1}
		h.submit("j", state.StepSpec{Tasks: 6})
		h.submit("k", state.StepSpec{})
		h.st.Jobs["k"].Spec.Steps[0].Type = "u"
		order := findOrder(h.commitPlans())
		So(order, ShouldNotBeNil)
		So(order.Call.Starts, ShouldHaveLength, 4) // all cores, though the limit of t is 1
		So(order.Call.Starts[1].Type, ShouldEqual, "u")
		So(h.core.RunningCount("t"), ShouldEqual, 3)
		So(h.st.RunningCount("t"), ShouldEqual, 3)
		Convey("and a new leader rebuilds the same counts before it places anything", func() {
			h.changeLeader()
			So(h.core.RunningCount("t"), ShouldEqual, 3)
			So(h.core.RunningCount("u"), ShouldEqual, 1)
			So(findOrder(h.commitPlans()), ShouldBeNil) // no worker has answered under the new epoch
		})
	})
}

func TestUnschedulableClass_placedWhenCapacityIsFreed(t *testing.T) {
	Convey("An unschedulable class is placed by the first pass after capacity was freed, without a sweep", t, func() {
		c, st, now := newFullCluster(t, 4, 4, 1)
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
		plan := c.Pass(now).Plan
		So(plan, ShouldNotBeNil)
		So(len(plan.Starts), ShouldEqual, 1)
		So(plan.Starts[0].Worker, ShouldEqual, st.WorkerNames()[2])
		Convey("the capacity of a refused start is used by the next pass", func() {
			refusePlan(c, now, plan)
			again := c.Pass(now).Plan
			So(again, ShouldNotBeNil)
			So(len(again.Starts), ShouldEqual, 1) // of the next task: the refused one went to the end of its class
			So(again.Starts[0].Worker, ShouldEqual, plan.Starts[0].Worker)
		})
	})
}
