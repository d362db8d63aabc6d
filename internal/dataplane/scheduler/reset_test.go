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

// A holder that falls behind takes a snapshot, and takes its duty up anew under the same epoch.
func TestSnapshotWhilePlanInFlight(t *testing.T) {
	Convey("With a run out and a plan under way, a holder takes a snapshot", t, func() {
		d := newHarness("check", "m1", "m2")
		d.greetWorkers("check")
		d.submit("j1", state.StepSpec{Cores: 3})
		calls := d.commitPlans()
		var order OutgoingCall
		for _, c := range calls {
			if c.IsOrder {
				order = c
			}
		}
		So(order.Call.Starts, ShouldHaveLength, 1)
		runID := order.Call.Starts[0].RunID
		d.submit("j2", state.StepSpec{Cores: 3})
		d.commit(d.core.Pass(d.now).Plan) // lets it in
		plan := d.core.Pass(d.now).Plan
		So(plan.Starts, ShouldHaveLength, 1)
		answer := d.do(plan).(command.Planned)
		body, err := d.st.Encode()
		So(err, ShouldBeNil)
		st, err := state.Decode(body)
		So(err, ShouldBeNil)
		d.st = st
		d.st.OnEvent = d.core.StateChanged
		d.core.Reset(d.now, d.st)

		Convey("The run is not let go as unsent, and calls go on counting", func() {
			for range 5 {
				d.now += 200 * time.Millisecond
				out := d.core.Pass(d.now)
				So(out.Plan, ShouldBeNil) // the old one is still under way
				for _, c := range out.Calls {
					So(c.Call.Call, ShouldBeGreaterThan, order.Call.Call)
					d.answer(c, "check", internalapi.LeaseAnswer{Running: map[bool][]uint64{true: {runID}}[c.Worker == order.Worker]})
				}
			}
			So(d.st.Handles[runID], ShouldNotBeNil)

			Convey("Nor is the answer to the old plan taken for that of the next", func() {
				d.submit("j3", state.StepSpec{})
				d.core.PlanAnswered(d.now, plan.Epoch, answer, nil)
				calls := d.commitPlans()
				for _, c := range calls {
					for _, s := range c.Call.Starts {
						So(s.RunID, ShouldBeGreaterThan, answer.RunIDs[0])
					}
				}
				So(d.st.Handles[runID], ShouldNotBeNil)
				So(d.st.Handles[runID].Phase, ShouldEqual, state.TaskRunning)
			})
		})
	})
}

func TestEndSurvivesNewEpoch(t *testing.T) {
	Convey("An end that was heard is not forgotten when the duty is taken up anew, whatever became of its plan", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.submit("j1", state.StepSpec{})
		o := findOrder(d.commitPlans())
		d.answer(*o, "check", internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}})
		plan := d.core.Pass(d.now).Plan
		So(plan.Ends, ShouldHaveLength, 1)
		again := map[string]func(){
			"a snapshot":  func() { d.core.Reset(d.now, d.st) },
			"a new epoch": func() { d.core.StepDown(); d.do(&command.GrantRole{Role: "sched", Holder: "d", After: plan.Epoch}) },
		}
		for name, do := range again {
			Convey("After "+name, func() {
				do()
				d.core.PlanAnswered(d.now, plan.Epoch, command.Planned{}, errs.New(errs.Stale, "lost"))
				d.core.BecomeLeader(d.now, d.st.Roles["sched"].Epoch)
				d.commitPlans()
				So(d.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			})
		}
	})
}
