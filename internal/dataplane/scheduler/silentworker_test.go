package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

func TestNoOrderToSilentWorker(t *testing.T) {
	// ordered tells whether an order leaves for a minion that is unheard for so long when its plan is committed.
	ordered := func(unheard time.Duration) bool {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		heard := d.now
		d.now = heard + unheard - 100*time.Millisecond
		d.submit("j1", state.StepSpec{})
		out := d.core.Pass(d.now)
		for out.Plan != nil && len(out.Plan.Starts) == 0 { // the job is taken in first
			d.commit(out.Plan)
			out = d.core.Pass(d.now)
		}
		So(out.Plan, ShouldNotBeNil)
		d.now = heard + unheard
		d.commit(out.Plan)
		return findOrder(d.commitPlans()) != nil
	}
	Convey("An order leaves for a minion that was heard a moment ago, and none for one that may drain for 1.5 s already", t, func() {
		So(ordered(time.Second), ShouldBeTrue)
		So(ordered(DefaultConfig().OrderTimeout), ShouldBeTrue)
		So(ordered(DefaultConfig().OrderTimeout+time.Millisecond), ShouldBeFalse)
		So(ordered(2*time.Second), ShouldBeFalse)
	})
}
