package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// answerAt answers a call at clock, under a boot, as it arrives now.
func (d *harness) answerAt(c OutgoingCall, kind, incarnation string, clock time.Duration, a internalapi.LeaseAnswer) {
	a.Call, a.Kind, a.Incarnation, a.Clock, a.Floor, a.Cores, a.Zone = c.Call.Call, kind, incarnation, clock, c.Call.Floor, 4, "z1"
	d.core.CallAnswered(d.now, c.Worker, c.IsOrder, c.Call, a)
}

func TestLateAnswer(t *testing.T) {
	Convey("What was missing in an answer long under way is not missing since then", t, func() {
		d := newHarness("obey", "m1")
		d.greetWorkers("obey")
		d.submit("j1", state.StepSpec{})
		o := findOrder(d.commitPlans())
		d.core.CallFailed(d.now, "m1", true, o.Call, true)
		d.reply("obey", "", internalapi.LeaseAnswer{}) // raises the floor
		d.now += time.Second
		d.commitPlans()
		from := d.now
		d.reply("obey", "", internalapi.LeaseAnswer{}) // missing
		d.now += 10 * time.Millisecond
		d.commitPlans()
		late := d.wait["m1"]
		d.now = from + DefaultConfig().Lateness + 100*time.Millisecond
		d.answerAt(late, "obey", "b1", from+time.Second, internalapi.LeaseAnswer{})
		d.commitPlans()
		So(d.st.Handles[1], ShouldNotBeNil)
		d.now += time.Second
		d.commitPlans()
		d.reply("obey", "", internalapi.LeaseAnswer{})
		d.commitPlans()
		So(d.st.Handles[1], ShouldBeNil)
	})
	Convey("An answer of an older boot that comes late does not bring that boot back", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.submit("j1", state.StepSpec{})
		o := findOrder(d.commitPlans())
		late := d.wait["m1"]
		d.answerAt(*o, "check", "b1", d.now, internalapi.LeaseAnswer{Running: []uint64{1}})
		d.submit("j2", state.StepSpec{})
		o = findOrder(d.commitPlans())
		if o.Call.Call > late.Call.Call { // the waiting call that came back of an older boot must be the newer one
			d.answerAt(late, "check", "b1", d.now, internalapi.LeaseAnswer{Running: []uint64{1}})
			d.commitPlans()
			late = d.wait["m1"]
		}
		So(late.Call.Call, ShouldBeGreaterThan, o.Call.Call)
		d.answerAt(*o, "check", "b2", time.Second, internalapi.LeaseAnswer{Refused: []internalapi.StartRefusal{{RunID: 2, Why: "boot"}}})
		d.commitPlans()
		So(d.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
		d.answerAt(late, "check", "b1", d.now, internalapi.LeaseAnswer{Running: []uint64{1}})
		d.commitPlans()
		So(d.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
	})
}

func TestStaleAnswer(t *testing.T) {
	Convey("an answer that is older than one taken in, or names another call, proves nothing", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		wait := d.wait["m1"]
		d.submit("j", state.StepSpec{})
		o := findOrder(d.commitPlans())
		So(o, ShouldNotBeNil)
		d.answer(*o, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		d.answer(wait, "check", internalapi.LeaseAnswer{Floor: 9}) // made before the order arrived
		d.commitPlans()
		So(d.st.Handles[1], ShouldNotBeNil)
		So(d.st.Handles[1].Phase, ShouldEqual, state.TaskRunning)
		So(d.core.Counts.StaleAnswers, ShouldEqual, 1)
	})
}
