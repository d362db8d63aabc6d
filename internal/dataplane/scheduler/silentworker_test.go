package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

func TestNoOrderToSilentWorker(t *testing.T) {
	// ordered reports whether an order leaves for a worker that is unheard for so long when its plan is committed.
	ordered := func(unheard time.Duration) bool {
		h := newHarness("check", "m1")
		h.greetWorkers("check")
		heard := h.now
		h.now = heard + unheard - 100*time.Millisecond
		h.submit("j1", state.StepSpec{})
		out := h.core.Pass(h.now)
		for out.Plan != nil && len(out.Plan.Starts) == 0 { // the job is taken in first
			h.commit(out.Plan)
			out = h.core.Pass(h.now)
		}
		So(out.Plan, ShouldNotBeNil)
		h.now = heard + unheard
		h.commit(out.Plan)
		return findOrder(h.commitPlans()) != nil
	}
	Convey("An order leaves for a worker that was heard a moment ago, and none for one that may drain for 1.5 s already", t, func() {
		So(ordered(time.Second), ShouldBeTrue)
		So(ordered(DefaultConfig().OrderTimeout), ShouldBeTrue)
		So(ordered(DefaultConfig().OrderTimeout+time.Millisecond), ShouldBeFalse)
		So(ordered(2*time.Second), ShouldBeFalse)
	})
}
