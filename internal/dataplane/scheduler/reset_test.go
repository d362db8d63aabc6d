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

// Guards against a leader whose replica fell behind, which installs a snapshot and takes its role again under the
// same epoch: the lost record of sent orders must not prove runs dead, and the old plan's answer must not count for a
// new one.
func TestReset_whilePlanInFlight(t *testing.T) {
	Convey("Given a leader that installs a snapshot while an order and a plan are in flight", t, func() {
		h := newHarness("check", "m1", "m2")
		h.registerWorkers("check")
		h.submit("j1", state.StepSpec{Cores: 3})
		calls := h.commitPlans()
		var order OutgoingCall
		for _, c := range calls {
			if c.IsOrder {
				order = c
			}
		}
		So(order.Call.Starts, ShouldHaveLength, 1)
		runID := order.Call.Starts[0].RunID
		h.submit("j2", state.StepSpec{Cores: 3})
		h.commit(h.core.Pass(h.now).Plan) // admits the job
		plan := h.core.Pass(h.now).Plan
		So(plan.Starts, ShouldHaveLength, 1)
		answer := h.apply(plan).(command.Planned)
		body, err := h.st.Encode()
		So(err, ShouldBeNil)
		st, err := state.Decode(body)
		So(err, ShouldBeNil)
		h.st = st
		h.st.OnEvent = h.core.StateChanged
		h.core.Reset(h.now, h.st)

		Convey("the run is not proved dead as unsent, and call numbers continue", func() {
			for range 5 {
				h.now += 200 * time.Millisecond
				actions := h.core.Pass(h.now)
				So(actions.Plan, ShouldBeNil) // the old plan is still in flight
				for _, c := range actions.Calls {
					So(c.Call.Call, ShouldBeGreaterThan, order.Call.Call)
					var answer internalapi.LeaseAnswer
					if c.Worker == order.Worker {
						answer.Running = []uint64{runID}
					}
					h.answer(c, "check", answer)
				}
			}
			So(h.st.Handles[runID], ShouldNotBeNil)

			Convey("and the answer to the old plan is not applied to the next plan", func() {
				h.submit("j3", state.StepSpec{})
				h.core.PlanAnswered(h.now, plan.Epoch, answer, nil)
				calls := h.commitPlans()
				for _, c := range calls {
					for _, s := range c.Call.Starts {
						So(s.RunID, ShouldBeGreaterThan, answer.RunIDs[0])
					}
				}
				So(h.st.Handles[runID], ShouldNotBeNil)
				So(h.st.Handles[runID].Phase, ShouldEqual, state.TaskRunning)
			})
		})
	})
}

func TestBecomeLeader_keepsUncommittedEnds(t *testing.T) {
	Convey("A reported end is kept when the node takes its role again, even if its plan failed", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.submit("j1", state.StepSpec{})
		order := findOrder(h.commitPlans())
		h.answer(*order, "check", succeeded(1))
		plan := h.core.Pass(h.now).Plan
		So(plan.Ends, ShouldHaveLength, 1)
		interruptions := map[string]func(){
			"a snapshot": func() { h.core.Reset(h.now, h.st) },
			"a new epoch": func() {
				h.core.StepDown()
				h.apply(&command.GrantRole{Role: "sched", Holder: "d", After: plan.Epoch})
			},
		}
		for name, interrupt := range interruptions {
			Convey("after "+name, func() {
				interrupt()
				h.core.PlanAnswered(h.now, plan.Epoch, command.Planned{}, errs.New(errs.Stale, "lost"))
				h.core.BecomeLeader(h.now, h.st.Roles["sched"].Epoch)
				h.commitPlans()
				So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
			})
		}
	})
}
