package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// waitingGang returns a cluster in which a gang of tasks that need one core each waits, as another job uses three of
// the worker's four cores. Once the gang had waited for ReserveAfter, a small task was submitted.
func waitingGang(cores int) *cluster {
	c := newReadyCluster()
	c.submit("busy", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 3000}, Estimate: time.Hour})
	c.runPasses()
	c.accept()
	c.submit("gang", jobs.Step{Count: cores, Gang: true, Needs: jobs.Resources{MilliCPU: 1000},
		Estimate: time.Second})
	c.runPasses()
	for range 10 {
		c.now += Defaults().ReserveAfter / 5
		c.core.Heartbeat(c.now, "w", c.workerClock())
		c.runPasses()
	}
	So(c.starts, ShouldBeEmpty)
	c.submit("small", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
	c.runPasses()
	return c
}

// TestNodesAreReservedForGang guards against a gang that waits forever because small tasks take each core that becomes
// free, and against nodes that stay idle for a gang that can't fit.
func TestNodesAreReservedForGang(t *testing.T) {
	Convey("Nodes are reserved for a gang that has waited for ReserveAfter and would fit on empty workers", t, func() {
		So(waitingGang(4).starts, ShouldBeEmpty)
	})
	Convey("Nothing is reserved for a gang that would not fit on empty workers", t, func() {
		c := waitingGang(5)
		So(c.starts, ShouldHaveLength, 1)
		So(c.starts[0].Order.Key.Task.Job, ShouldEqual, "small")
	})
}
