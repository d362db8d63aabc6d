package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// Guards against a run that starts long after its job was cancelled: a worker of kind obey that was suspended before it
// read the order checks only the lease in it, so that lease must be short.
func TestFirstLease_shortForObeyingWorker(t *testing.T) {
	Convey("The first lease on a worker of kind obey is short, and is renewed in full once the run is listed", t, func() {
		cfg := DefaultConfig()
		for kind, first := range map[string]time.Duration{"check": cfg.RunLease, "obey": cfg.MaxOrderDelay} {
			h := newHarness(kind, "m1")
			h.registerWorkers(kind)
			h.submit("j", state.StepSpec{})
			order := findOrder(h.commitPlans())
			So(order.Call.Starts[0].LeaseUntil-h.now, ShouldEqual, first)
			h.answer(*order, kind, internalapi.LeaseAnswer{Running: []uint64{1}})
			h.commitPlans()
			h.answerPolls(kind, "", internalapi.LeaseAnswer{Running: []uint64{1}})
			h.commitPlans()
			So(h.core.runs[1].leaseUntil-h.now, ShouldEqual, cfg.RunLease)
		}
	})
}
