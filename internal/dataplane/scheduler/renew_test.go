package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

func TestFirstLease(t *testing.T) {
	Convey("the first hold of an obeying minion's run is short, and is renewed in full when the run is listed", t, func() {
		cfg := DefaultConfig()
		for kind, first := range map[string]time.Duration{"check": cfg.RunLease, "obey": cfg.Lateness} {
			d := newHarness(kind, "m1")
			d.greetWorkers(kind)
			d.submit("j", state.StepSpec{})
			o := findOrder(d.commitPlans())
			So(o.Call.Starts[0].LeaseUntil-d.now, ShouldEqual, first)
			d.answer(*o, kind, internalapi.LeaseAnswer{Running: []uint64{1}})
			d.commitPlans()
			d.reply(kind, "", internalapi.LeaseAnswer{Running: []uint64{1}})
			d.commitPlans()
			So(d.core.runs[1].leaseUntil-d.now, ShouldEqual, cfg.RunLease)
		}
	})
}
