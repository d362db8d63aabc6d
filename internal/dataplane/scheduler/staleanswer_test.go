package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// answerAt answers a call at clock, under an incarnation, as it arrives now.
func (h *harness) answerAt(c OutgoingCall, kind, incarnation string, clock time.Duration, a internalapi.LeaseAnswer) {
	a.Call, a.Kind, a.Incarnation, a.Clock, a.Floor, a.Cores, a.Zone = c.Call.Call, kind, incarnation, clock, c.Call.Floor, 4, "z1"
	h.core.CallAnswered(h.now, c, a)
}

func TestLateAnswer(t *testing.T) {
	Convey("What was missing in an answer long under way is not missing since then", t, func() {
		h := newHarness("obey", "m1")
		h.greetWorkers("obey")
		h.submit("j1", state.StepSpec{})
		o := findOrder(h.commitPlans())
		h.core.CallFailed(h.now, *o, true)
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
		o := findOrder(h.commitPlans())
		late := h.wait["m1"]
		h.answerAt(*o, "check", "b1", h.now, internalapi.LeaseAnswer{Running: []uint64{1}})
		h.submit("j2", state.StepSpec{})
		o = findOrder(h.commitPlans())
		if o.Call.Call > late.Call.Call { // the poll that comes back late must be the newer call
			h.answerAt(late, "check", "b1", h.now, internalapi.LeaseAnswer{Running: []uint64{1}})
			h.commitPlans()
			late = h.wait["m1"]
		}
		So(late.Call.Call, ShouldBeGreaterThan, o.Call.Call)
		h.answerAt(*o, "check", "b2", time.Second, internalapi.LeaseAnswer{Refused: []internalapi.StartRefusal{{RunID: 2, Why: "boot"}}})
		h.commitPlans()
		So(h.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
		h.answerAt(late, "check", "b1", h.now, internalapi.LeaseAnswer{Running: []uint64{1}})
		h.commitPlans()
		So(h.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
	})
}

func TestStaleAnswer(t *testing.T) {
	Convey("an answer that is older than one taken in, or names another call, proves nothing", t, func() {
		h := newHarness("check", "m1")
		h.greetWorkers("check")
		wait := h.wait["m1"]
		h.submit("j", state.StepSpec{})
		o := findOrder(h.commitPlans())
		So(o, ShouldNotBeNil)
		h.answer(*o, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.answer(wait, "check", internalapi.LeaseAnswer{Floor: 9}) // made before the order arrived
		h.commitPlans()
		So(h.st.Handles[1], ShouldNotBeNil)
		So(h.st.Handles[1].Phase, ShouldEqual, state.TaskRunning)
		So(h.core.Counts.StaleAnswers, ShouldEqual, 1)
	})
}
