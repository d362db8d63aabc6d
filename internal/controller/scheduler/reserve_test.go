package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// waitingGang returns a harness in which a gang of so many cores waits, as work takes three of the worker's four, and then
// a small task is submitted.
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
	So(h.starts, ShouldBeEmpty)
	h.submitTo("q", "small", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
	h.pass()
	return h
}

func TestNodesAreReservedForGang(t *testing.T) {
	Convey("Nodes are reserved for a gang that has waited and would fit on empty workers", t, func() {
		So(waitingGang(4).starts, ShouldBeEmpty)
	})
	Convey("Nothing is reserved for a gang that would not fit on empty workers", t, func() {
		h := waitingGang(5)
		So(h.starts, ShouldHaveLength, 1)
		So(h.starts[0].Order.Key.Task.Job, ShouldEqual, "small")
	})
}
