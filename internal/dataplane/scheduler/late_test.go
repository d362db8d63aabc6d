package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// tell answers a call at clock, under a boot, as it arrives now.
func (d *desk) tell(c CallOut, kind, boot string, clock time.Duration, a internalapi.HoldAnswer) {
	a.Call, a.Kind, a.Boot, a.Clock, a.Floor, a.Cores, a.Zone = c.Call.Call, kind, boot, clock, c.Call.Floor, 4, "z1"
	d.core.Answer(d.now, c.Minion, c.Order, c.Call, a)
}

func TestLateAnswer(t *testing.T) {
	Convey("What was missing in an answer long under way is not missing since then", t, func() {
		d := newDesk("obey", "m1")
		d.greet("obey")
		d.submit("j1", state.StepSpec{})
		o := order(d.settle())
		d.core.Failure(d.now, "m1", true, o.Call, true)
		d.reply("obey", "", internalapi.HoldAnswer{}) // raises the floor
		d.now += time.Second
		d.settle()
		from := d.now
		d.reply("obey", "", internalapi.HoldAnswer{}) // missing
		d.now += 10 * time.Millisecond
		d.settle()
		late := d.wait["m1"]
		d.now = from + Defaults().Lateness + 100*time.Millisecond
		d.tell(late, "obey", "b1", from+time.Second, internalapi.HoldAnswer{})
		d.settle()
		So(d.st.Handles[1], ShouldNotBeNil)
		d.now += time.Second
		d.settle()
		d.reply("obey", "", internalapi.HoldAnswer{})
		d.settle()
		So(d.st.Handles[1], ShouldBeNil)
	})
	Convey("An answer of an older boot that comes late does not bring that boot back", t, func() {
		d := newDesk("check", "m1")
		d.greet("check")
		d.submit("j1", state.StepSpec{})
		o := order(d.settle())
		late := d.wait["m1"]
		d.tell(*o, "check", "b1", d.now, internalapi.HoldAnswer{Running: []uint64{1}})
		d.submit("j2", state.StepSpec{})
		o = order(d.settle())
		if o.Call.Call > late.Call.Call { // the waiting call that came back of an older boot must be the newer one
			d.tell(late, "check", "b1", d.now, internalapi.HoldAnswer{Running: []uint64{1}})
			d.settle()
			late = d.wait["m1"]
		}
		So(late.Call.Call, ShouldBeGreaterThan, o.Call.Call)
		d.tell(*o, "check", "b2", time.Second, internalapi.HoldAnswer{Refused: []internalapi.RefuseNote{{RunID: 2, Why: "boot"}}})
		d.settle()
		So(d.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
		d.tell(late, "check", "b1", d.now, internalapi.HoldAnswer{Running: []uint64{1}})
		d.settle()
		So(d.st.Workers["m1"].Incarnation, ShouldEqual, "b2")
	})
}
