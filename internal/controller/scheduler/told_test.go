package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestLastEndsAreTold(t *testing.T) {
	Convey("A worker on which nothing runs any more is told in time that its last ends are durable, once", t, func() {
		h := newHarness()
		h.endAs(h.runningTask(jobs.Step{}, ""), jobs.EndDone)
		tells := func() (calls int) {
			for _, hold := range h.holds {
				if hold.Call.SeenUpTo == 1 {
					calls++
				}
			}
			return calls
		}
		h.holds = nil
		h.pass()
		So(tells(), ShouldEqual, 0) // the next run mostly brings a call
		for range 20 {
			h.now += sweepEvery
			h.pass()
		}
		So(tells(), ShouldEqual, 1)
		h.answer(HoldAnswer{})
		for range 20 {
			h.now += sweepEvery
			h.pass()
		}
		So(h.holds, ShouldBeEmpty)
	})
}
