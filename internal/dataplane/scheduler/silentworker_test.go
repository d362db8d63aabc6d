package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

func TestOrder_notToSilentWorker(t *testing.T) {
	// ordered reports whether an order is sent to a worker that has been unheard for so long when its plan is committed.
	ordered := func(unheard time.Duration) bool {
		h := newHarness("check", "m1")
		h.greetWorkers("check")
		heard := h.now
		h.now = heard + unheard - 100*time.Millisecond
		h.submit("j1", state.StepSpec{})
		actions := h.core.Pass(h.now)
		for actions.Plan != nil && len(actions.Plan.Starts) == 0 { // the first plan admits the job
			h.commit(actions.Plan)
			actions = h.core.Pass(h.now)
		}
		So(actions.Plan, ShouldNotBeNil)
		h.now = heard + unheard
		h.commit(actions.Plan)
		return findOrder(h.commitPlans()) != nil
	}
	Convey("An order is sent to a worker heard a moment ago, and none to one that may have drained for 1.5 s", t, func() {
		So(ordered(time.Second), ShouldBeTrue)
		So(ordered(DefaultConfig().OrderTimeout), ShouldBeTrue)
		So(ordered(DefaultConfig().OrderTimeout+time.Millisecond), ShouldBeFalse)
		So(ordered(2*time.Second), ShouldBeFalse)
	})
}
