package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

func TestLeaseExpiryAndNewIncarnation(t *testing.T) {
	Convey("given a running task on a worker that falls silent", t, func() {
		h := newHarness("check", "m1", "m2")
		h.greetWorkers("check")
		h.submit("j", state.StepSpec{Run: json.RawMessage(`{}`)})
		o := findOrder(h.commitPlans())
		h.answer(*o, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.commitPlans()
		Convey("its task is due again only when the lease renewed last has expired by its clock", func() {
			end := o.Call.Starts[0].LeaseUntil
			tick := func() {
				for _, c := range h.commitPlans() {
					So(c.Call.Starts, ShouldBeEmpty)
				}
				if c, ok := h.wait[o.Worker]; ok { // no renewal may go to a worker that does not answer
					end = max(end, c.Call.RenewUntil)
					delete(h.wait, o.Worker)
					h.core.CallFailed(h.now, c, true)
				}
				h.reply("check", o.Worker, internalapi.LeaseAnswer{})
			}
			for tick(); h.now+500*time.Millisecond < end+200*time.Millisecond; tick() {
				h.now += 500 * time.Millisecond
			}
			So(taskOf(h, "j").RunID, ShouldEqual, 1)
			So(end, ShouldBeLessThanOrEqualTo, o.Call.Starts[0].LeaseUntil+DefaultConfig().RunLease)
			h.now += time.Second
			h.commitPlans()
			h.commitPlans()
			So(taskOf(h, "j").RunID, ShouldEqual, 2)
			So(h.core.Counts.ProvedDead[command.ProofLeaseExpired], ShouldEqual, 1)
		})
		Convey("a new incarnation proves it dead at once", func() {
			for range 2 { // the first answer is older than that to the order, and proves nothing
				h.reply("check", "", internalapi.LeaseAnswer{Incarnation: "b2"})
				h.commitPlans()
			}
			So(h.st.Handles[1], ShouldBeNil)
			So(taskOf(h, "j").Lost, ShouldEqual, 1)
		})
	})
}

// newExpiredRun is a harness with a run that ended while its leader, which had no role lease, called nobody. At the
// leader's return the run's lease has expired by the clock.
func newExpiredRun() *harness {
	h := newHarness("check", "m1")
	h.greetWorkers("check")
	h.submit("j1", state.StepSpec{})
	h.answer(*findOrder(h.commitPlans()), "check", internalapi.LeaseAnswer{Running: []uint64{1}})
	h.commitPlans()
	h.core.SetRoleLease(h.now)
	h.core.Pass(h.now)
	h.core.CallFailed(h.now, h.wait["m1"], true)
	h.now += 30 * time.Second
	h.core.Pass(h.now)
	h.core.SetRoleLease(h.now + time.Hour)
	return h
}

func TestWorkerAskedBeforeLeaseExpires(t *testing.T) {
	ended := internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}}
	Convey("A leader without a role lease for longer than a run's lease asks the worker before it proves its runs dead", t, func() {
		h := newExpiredRun()
		h.commitPlans()
		So(h.st.Handles[1], ShouldNotBeNil)
		h.answer(h.wait["m1"], "check", ended)
		h.commitPlans()
		So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
		So(h.st.LastRunID, ShouldEqual, 1)
	})
	Convey("It proves them dead once the worker has left a call unanswered", t, func() {
		h := newExpiredRun()
		h.commitPlans()
		h.core.CallFailed(h.now, h.wait["m1"], true)
		h.now += time.Second
		h.commitPlans()
		So(h.st.Handles[1], ShouldBeNil)
	})
}
