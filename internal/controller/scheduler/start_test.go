package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestUnsentStartsOfSilentWorker(t *testing.T) {
	Convey("Given four starts for a worker that is called with care, so that one order leaves at a time", t, func() {
		h := newHarness()
		h.core.workers["w"].contact.throttledUntil = h.now + throttlePeriod
		h.submit(jobs.Step{Count: 4, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		h.pass()
		So(h.sent, ShouldHaveLength, 1)
		So(h.table.RunsOn("w"), ShouldHaveLength, 4)
		first := h.sent[0].Order.Key
		Convey("when that one is answered the next one leaves", func() {
			h.accept()
			h.pass()
			So(h.sent, ShouldHaveLength, 1)
			So(h.sent[0].Order.Key, ShouldNotResemble, first)
		})
		Convey("when that one gets no answer the others never leave, and their tasks are due again at once", func() {
			h.core.StartAnswered(h.now, "w", first, StartAnswer{}, StartUnknown)
			h.pass()
			So(h.sent, ShouldBeEmpty)
			So(h.table.RunsOn("w"), ShouldResemble, []jobs.RunKey{first}) // in doubt
			for _, task := range h.table.Jobs["j"].Rounds[0][0][1:] {
				So(task.LastRun, ShouldEqual, 1)
				So(task.Runs, ShouldBeEmpty)
			}
		})
	})
}
