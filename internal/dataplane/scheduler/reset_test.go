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

// lapsed is a desk with a run that ended while its holder, which had no lease, asked nobody. At the holder's return
// the hold has lapsed by the clock.
func lapsed() *harness {
	d := newHarness("check", "m1")
	d.greetWorkers("check")
	d.submit("j1", state.StepSpec{})
	d.answer(*findOrder(d.commitPlans()), "check", internalapi.LeaseAnswer{Running: []uint64{1}})
	d.commitPlans()
	d.core.SetRoleLease(d.now)
	d.core.Pass(d.now)
	d.core.CallFailed(d.now, "m1", false, d.wait["m1"].Call, true)
	d.now += 30 * time.Second
	d.core.Pass(d.now)
	d.core.SetRoleLease(d.now + time.Hour)
	return d
}

func TestWorkerAskedBeforeLeaseExpires(t *testing.T) {
	ended := internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}}
	Convey("A holder whose lease was gone for longer than a hold asks the minion before it lets its runs go", t, func() {
		d := lapsed()
		d.commitPlans()
		So(d.st.Handles[1], ShouldNotBeNil)
		d.answer(d.wait["m1"], "check", ended)
		d.commitPlans()
		So(d.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
		So(d.st.LastRunID, ShouldEqual, 1)
	})
	Convey("It lets them go once the minion was asked in vain", t, func() {
		d := lapsed()
		d.commitPlans()
		d.core.CallFailed(d.now, "m1", false, d.wait["m1"].Call, true)
		d.now += time.Second
		d.commitPlans()
		So(d.st.Handles[1], ShouldBeNil)
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
