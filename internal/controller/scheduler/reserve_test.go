package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// waitingGang lets a gang of so many cores wait beside work that takes three of the worker's four.
func waitingGang(cores int) *harness {
	h := newHarness()
	h.submitTo("q", "busy", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 3000}, Estimate: time.Hour})
	h.pass()
	h.accept()
	h.submitTo("q", "gang", jobs.Step{Count: cores, Gang: true, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
	h.pass()
	for range 10 {
		h.now += Defaults().ReserveAfter / 5
		h.core.Heartbeat(h.now, "w", time.Minute+h.now)
		h.pass()
	}
	So(h.sent, ShouldBeEmpty)
	h.submitTo("q", "small", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
	h.pass()
	return h
}

func TestReserveForGang(t *testing.T) {
	Convey("A gang that has waited, and would fit, has room kept for it", t, func() {
		So(waitingGang(4).sent, ShouldBeEmpty)
	})
	Convey("One that would not fit on empty workers keeps no room from others", t, func() {
		h := waitingGang(5)
		So(h.sent, ShouldHaveLength, 1)
		So(h.sent[0].Order.Key.Task.Job, ShouldEqual, "small")
	})
}
