package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestUnsentStartsOfThrottledWorker(t *testing.T) {
	Convey("Given four starts for a throttled worker, to which one order leaves at a time", t, func() {
		h := newHarness()
		h.core.workers["w"].contact.throttledUntil = h.now + throttlePeriod
		h.submit(jobs.Step{Count: 4, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		h.pass()
		So(h.starts, ShouldHaveLength, 1)
		So(h.table.RunsOn("w"), ShouldHaveLength, 4)
		first := h.starts[0].Order.Key
		Convey("when that one is answered, the next one leaves", func() {
			h.accept()
			h.pass()
			So(h.starts, ShouldHaveLength, 1)
			So(h.starts[0].Order.Key, ShouldNotResemble, first)
		})
		Convey("when that one gets no answer, the others never leave, and their tasks are due again at once", func() {
			h.core.StartAnswered(h.now, "w", first, StartAnswer{}, StartUnknown)
			h.pass()
			So(h.starts, ShouldBeEmpty)
			So(h.table.RunsOn("w"), ShouldResemble, []jobs.RunKey{first}) // unconfirmed
			for _, task := range h.table.Jobs["j"].Rounds[0][0][1:] {
				So(task.LastRun, ShouldEqual, 1)
				So(task.Runs, ShouldBeEmpty)
			}
		})
	})
}

func TestUnsentStartsMoveFromUnreachableWorker(t *testing.T) {
	Convey("A start that waits behind others to a worker goes elsewhere once the worker does not answer", t, func() {
		h := newHarness()
		h.core.cfg.MaxOrdersPerWorker = 1
		h.submit(jobs.Step{Count: 3, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1000}})
		h.pass()
		So(h.starts, ShouldHaveLength, 1)
		So(h.table.RunsOn("w"), ShouldHaveLength, 3)
		h.loseStarts("w")
		So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: "x", Service: "s", Capacity: jobs.Resources{MilliCPU: 4000}}}}), ShouldBeNil)
		h.pass()
		So(h.table.RunsOn("w"), ShouldHaveLength, 1)
		for _, renewal := range h.renewals {
			if renewal.Worker.ID == "x" {
				h.core.RenewalAnswered(h.now, "x", renewal.Number, RenewalAnswer{Clock: time.Minute + h.now}, RenewalOK)
			}
		}
		h.pass()
		So(h.table.RunsOn("x"), ShouldHaveLength, 2)
	})
}
