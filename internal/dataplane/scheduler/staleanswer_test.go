package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// answerAt answers a call as a worker of an incarnation whose clock showed clock; the answer arrives now.
func (h *harness) answerAt(c OutgoingCall, kind, incarnation string, clock time.Duration, a internalapi.LeaseAnswer) {
	a.Call, a.Floor, a.Clock = c.Call.Call, c.Call.Floor, clock
	a.Kind, a.Incarnation, a.Cores, a.Zone = kind, incarnation, 4, "z1"
	h.core.CallAnswered(h.now, c, a)
}

func TestLeaseAnswer_late(t *testing.T) {
	Convey("The time for which a run is missing counts by the clock in the answers, not by their arrival", t, func() {
		h := newHarness("obey", "m1")
		h.greetWorkers("obey")
		h.submit("j1", state.StepSpec{})
		order := findOrder(h.commitPlans())
		h.core.CallFailed(h.now, *order, true)
		h.reply("obey", "", internalapi.LeaseAnswer{}) // raises the floor
		h.now += time.Second
		h.commitPlans()
		from := h.now
		h.reply("obey", "", internalapi.LeaseAnswer{}) // missing
		h.now += 10 * time.Millisecond
		h.commitPlans()
		late := h.wait["m1"]
		h.now = from + DefaultConfig().Lateness + 100*time.Millisecond
		h.answerAt(late, "obey", "b1", from+time.Second, internalapi.LeaseAnswer{})
		h.commitPlans()
		So(h.st.Handles[1], ShouldNotBeNil)
		h.now += time.Second
		h.commitPlans()
		h.reply("obey", "", internalapi.LeaseAnswer{})
		h.commitPlans()
		So(h.st.Handles[1], ShouldBeNil)
	})
	Convey("An answer of an older incarnation that comes late does not bring that incarnation back", t, func() {
		h := newHarness("check", "m1")
		h.greetWorkers("check")
		h.submit("j1", state.StepSpec{})
		order := findOrder(h.commitPlans())
		late := h.wait["m1"]
		h.answerAt(*order, "check", "b1", h.now, internalapi.LeaseAnswer{Running: []uint64{1}})
		h.submit("j2", state.StepSpec{})
		order = findOrder(h.commitPlans())
		if order.Call.Call > late.Call.Call { // the poll that comes back late must be the newer call
			h.answerAt(late, "check", "b1", h.now, internalapi.LeaseAnswer{Running: []uint64{1}})
			h.commitPlans()
			late = h.wait["m1"]
		}
		So(late.Call.Call, ShouldBeGreaterThan, order.Call.Call)
		refusal := internalapi.StartRefusal{RunID: 2, Why: "boot"}
		h.answerAt(*order, "check", "b2", time.Second, internalapi.LeaseAnswer{Refused: []internalapi.StartRefusal{refusal}})
		h.commitPlans()
		So(h.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
		h.answerAt(late, "check", "b1", h.now, internalapi.LeaseAnswer{Running: []uint64{1}})
		h.commitPlans()
		So(h.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
	})
}

func TestLeaseAnswer_stale(t *testing.T) {
	Convey("An answer that is older than one handled before proves nothing", t, func() {
		h := newHarness("check", "m1")
		h.greetWorkers("check")
		wait := h.wait["m1"]
		h.submit("j", state.StepSpec{})
		order := findOrder(h.commitPlans())
		So(order, ShouldNotBeNil)
		h.answer(*order, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.answer(wait, "check", internalapi.LeaseAnswer{Floor: 9}) // made before the order arrived
		h.commitPlans()
		So(h.st.Handles[1], ShouldNotBeNil)
		So(h.st.Handles[1].Phase, ShouldEqual, state.TaskRunning)
		So(h.core.Counts.StaleAnswers, ShouldEqual, 1)
	})
}
