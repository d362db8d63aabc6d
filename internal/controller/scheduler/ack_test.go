package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestLastEndsAreAcknowledged(t *testing.T) {
	Convey("The last ends of a worker on which nothing runs any more are acknowledged in time, once", t, func() {
		h := newHarness()
		h.endAs(h.runningTask(jobs.Step{}, ""), jobs.EndDone)
		acknowledged := func() (calls int) {
			for _, renewal := range h.renewals {
				if renewal.Call.AcknowledgedUpTo == 1 {
					calls++
				}
			}
			return calls
		}
		h.renewals = nil
		h.pass()
		So(acknowledged(), ShouldEqual, 0) // usually the next run brings a call
		for range 20 {
			h.now += sweepInterval
			h.pass()
		}
		So(acknowledged(), ShouldEqual, 1)
		h.answer(RenewalAnswer{})
		for range 20 {
			h.now += sweepInterval
			h.pass()
		}
		So(h.renewals, ShouldBeEmpty)
	})
}
