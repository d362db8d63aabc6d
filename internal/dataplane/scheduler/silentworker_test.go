package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

// Guards against starts on a draining worker: it may have begun to drain after its last answer, and only its next
// answer reports that.
func TestOrder_notToSilentWorker(t *testing.T) {
	// isOrderSent reports whether an order is sent to a worker that last answered silence before the plan's commit.
	isOrderSent := func(silence time.Duration) bool {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		heardAt := h.now
		h.now = heardAt + silence - 100*time.Millisecond
		h.submit("j1", state.StepSpec{})
		actions := h.core.Pass(h.now)
		for actions.Plan != nil && len(actions.Plan.Starts) == 0 { // the first plan admits the job
			h.commit(actions.Plan)
			actions = h.core.Pass(h.now)
		}
		So(actions.Plan, ShouldNotBeNil)
		h.now = heardAt + silence
		h.commit(actions.Plan)
		return findOrder(h.commitPlans()) != nil
	}
	Convey("An order is sent to a worker that answered recently, not to one that may have drained for 1.5 s", t, func() {
		So(isOrderSent(time.Second), ShouldBeTrue)
		So(isOrderSent(DefaultConfig().OrderTimeout), ShouldBeTrue)
		So(isOrderSent(DefaultConfig().OrderTimeout+time.Millisecond), ShouldBeFalse)
		So(isOrderSent(2*time.Second), ShouldBeFalse)
	})
}
