package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// answerAt answers a call as a worker of the given incarnation and clock. The answer arrives at h.now.
func (h *harness) answerAt(c OutgoingCall, kind, incarnation string, clock time.Duration, a internalapi.LeaseAnswer) {
	a.Call, a.Floor, a.Clock = c.Call.Call, c.Call.Floor, clock
	a.Kind, a.Incarnation, a.Cores, a.Zone = kind, incarnation, 4, "z1"
	h.core.CallAnswered(h.now, c, a)
}

// Guards against conclusions from answers that were delayed in the network. In the first case a worker of kind obey
// may still execute the order of a run that its answers omit: less than Config.MaxOrderDelay has passed between them.
func TestLeaseAnswer_late(t *testing.T) {
	Convey("The time since a run became absent is taken from the clock in the answers, not from their arrival", t, func() {
		h := newHarness("obey", "m1")
		h.registerWorkers("obey")
		h.submit("j1", state.StepSpec{})
		order := findOrder(h.commitPlans())
		h.core.CallFailed(h.now, *order, true)
		h.answerPolls("obey", "", internalapi.LeaseAnswer{}) // raises the floor
		h.now += time.Second
		h.commitPlans()
		absentSince := h.now
		h.answerPolls("obey", "", internalapi.LeaseAnswer{}) // the run is absent
		h.now += 10 * time.Millisecond
		h.commitPlans()
		latePoll := h.polls["m1"]
		h.now = absentSince + DefaultConfig().MaxOrderDelay + 100*time.Millisecond
		h.answerAt(latePoll, "obey", "b1", absentSince+time.Second, internalapi.LeaseAnswer{})
		h.commitPlans()
		So(h.st.Handles[1], ShouldNotBeNil)
		h.now += time.Second
		h.commitPlans()
		h.answerPolls("obey", "", internalapi.LeaseAnswer{})
		h.commitPlans()
		So(h.st.Handles[1], ShouldBeNil)
	})
	Convey("A late answer of an older incarnation does not restore that incarnation", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.submit("j1", state.StepSpec{})
		order := findOrder(h.commitPlans())
		latePoll := h.polls["m1"]
		h.answerAt(*order, "check", "b1", h.now, internalapi.LeaseAnswer{Running: []uint64{1}})
		h.submit("j2", state.StepSpec{})
		order = findOrder(h.commitPlans())
		if order.Call.Call > latePoll.Call.Call { // the poll that is answered late must be the newer call
			h.answerAt(latePoll, "check", "b1", h.now, internalapi.LeaseAnswer{Running: []uint64{1}})
			h.commitPlans()
			latePoll = h.polls["m1"]
		}
		So(latePoll.Call.Call, ShouldBeGreaterThan, order.Call.Call)
		refusal := internalapi.StartRefusal{RunID: 2, Why: "boot"}
		h.answerAt(*order, "check", "b2", time.Second, internalapi.LeaseAnswer{Refused: []internalapi.StartRefusal{refusal}})
		h.commitPlans()
		So(h.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
		h.answerAt(latePoll, "check", "b1", h.now, internalapi.LeaseAnswer{Running: []uint64{1}})
		h.commitPlans()
		So(h.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
	})
}

func TestLeaseAnswer_stale(t *testing.T) {
	Convey("An answer that is older than one handled before does not prove a run dead", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		olderPoll := h.polls["m1"]
		h.submit("j", state.StepSpec{})
		order := findOrder(h.commitPlans())
		So(order, ShouldNotBeNil)
		h.answer(*order, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.answer(olderPoll, "check", internalapi.LeaseAnswer{Floor: 9}) // made before the order arrived
		h.commitPlans()
		So(h.st.Handles[1], ShouldNotBeNil)
		So(h.st.Handles[1].Phase, ShouldEqual, state.TaskRunning)
		So(h.core.Counts.StaleAnswers, ShouldEqual, 1)
	})
}
