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

func TestSilentWorker_runIsProvedDead(t *testing.T) {
	Convey("Given a running task on a worker that stops answering", t, func() {
		h := newHarness("check", "m1", "m2")
		h.registerWorkers("check")
		h.submit("j", state.StepSpec{Run: json.RawMessage(`{}`)})
		order := findOrder(h.commitPlans())
		h.answer(*order, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.commitPlans()
		Convey("its task is due again only when the latest lease has expired by the worker's clock", func() {
			end := order.Call.Starts[0].LeaseUntil
			tick := func() {
				for _, c := range h.commitPlans() {
					So(c.Call.Starts, ShouldBeEmpty)
				}
				if c, ok := h.polls[order.Worker]; ok { // a worker that does not answer must get no renewals
					end = max(end, c.Call.RenewUntil)
					delete(h.polls, order.Worker)
					h.core.CallFailed(h.now, c, true)
				}
				h.answerPolls("check", order.Worker, internalapi.LeaseAnswer{})
			}
			for tick(); h.now+500*time.Millisecond < end+200*time.Millisecond; tick() {
				h.now += 500 * time.Millisecond
			}
			So(taskOf(h, "j").RunID, ShouldEqual, 1)
			So(end, ShouldBeLessThanOrEqualTo, order.Call.Starts[0].LeaseUntil+DefaultConfig().RunLease)
			h.now += time.Second
			h.commitPlans()
			h.commitPlans()
			So(taskOf(h, "j").RunID, ShouldEqual, 2)
			So(h.core.Counts.ProvedDead[command.ProofLeaseExpired], ShouldEqual, 1)
		})
		Convey("a new incarnation of the worker proves the run dead at once", func() {
			for range 2 { // the first answer is older than the answer to the order, and is not conclusive
				h.answerPolls("check", "", internalapi.LeaseAnswer{Incarnation: "b2"})
				h.commitPlans()
			}
			So(h.st.Handles[1], ShouldBeNil)
			So(taskOf(h, "j").Lost, ShouldEqual, 1)
		})
	})
}

// newExpiredRun returns a harness with run 1 of job j1 on m1. The run's lease expired while the leader had no role
// lease and called no worker. The leader has its role lease again, and has not called m1 since.
func newExpiredRun() *harness {
	h := newHarness("check", "m1")
	h.registerWorkers("check")
	h.submit("j1", state.StepSpec{})
	h.answer(*findOrder(h.commitPlans()), "check", internalapi.LeaseAnswer{Running: []uint64{1}})
	h.commitPlans()
	h.core.SetRoleLease(h.now)
	h.core.Pass(h.now)
	h.core.CallFailed(h.now, h.polls["m1"], true)
	h.now += 30 * time.Second
	h.core.Pass(h.now)
	h.core.SetRoleLease(h.now + time.Hour)
	return h
}

// Guards against a leader that takes a time in which it called no worker for silence of the workers, proves their runs
// dead, and runs tasks again that have succeeded.
func TestLeaseExpiry_workerIsCalledFirst(t *testing.T) {
	Convey("After a time without role lease the leader calls a worker before it proves the worker's runs dead", t, func() {
		h := newExpiredRun()
		h.commitPlans()
		So(h.st.Handles[1], ShouldNotBeNil)
		h.answer(h.polls["m1"], "check", succeeded(1))
		h.commitPlans()
		So(h.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
		So(h.st.LastRunID, ShouldEqual, 1)
	})
	Convey("It proves them dead once the worker has left a call unanswered", t, func() {
		h := newExpiredRun()
		h.commitPlans()
		h.core.CallFailed(h.now, h.polls["m1"], true)
		h.now += time.Second
		h.commitPlans()
		So(h.st.Handles[1], ShouldBeNil)
	})
}
