package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestPreemptedCapacityIsReserved(t *testing.T) {
	Convey("Capacity that becomes free for an urgent task is not given to less urgent ones before it is enough", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 4, Needs: jobs.Resources{MilliCPU: 2000}, Estimate: time.Hour})
		h.pass()
		So(len(h.starts), ShouldEqual, 2)
		h.accept()
		first, second := h.starts[0].Order.Key, h.starts[1].Order.Key
		h.answer(RenewalAnswer{Running: []ListedRun{{Key: first}, {Key: second}}})
		h.submitTo("urgent", "u", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 4000}, Estimate: time.Second})
		h.pass()
		So(len(h.stops)+len(h.starts), ShouldEqual, 0) // they are sent by the pass after the decision
		h.pass()
		So(len(h.stops), ShouldEqual, 2)
		h.answer(RenewalAnswer{Running: []ListedRun{{Key: second}}, Ended: []EndedRun{{Sequence: 1, Key: first, Reason: jobs.EndStopped}}})
		h.pass()
		So(h.starts, ShouldBeEmpty)
		h.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 2, Key: second, Reason: jobs.EndStopped}}})
		h.pass()
		So(len(h.starts), ShouldEqual, 1)
		So(h.starts[0].Order.Key.Task.Job, ShouldEqual, "u")
	})
}
