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

// TestNoReservationBesideLongRunning guards against a task that reserves nodes on which it can never fit, as long-running
// runs use them, and so keeps all less urgent work from starting there.
func TestNoReservationBesideLongRunning(t *testing.T) {
	// smallStarts returns the number of starts of a small task, submitted once a large one has waited for ReserveAfter
	// beside a run that uses three of the worker's four cores.
	smallStarts := func(busy, large jobs.Step) int {
		c := newReadyCluster()
		busy.Count, busy.Needs.MilliCPU = 1, 3000
		c.submit("busy", busy)
		c.runPasses()
		c.accept()
		large.Count, large.Needs.MilliCPU = 2, 3000
		c.submit("large", large)
		c.runPasses()
		for range 10 {
			c.now += Defaults().ReserveAfter / 5
			c.core.Heartbeat(c.now, "w", c.workerClock())
			c.runPasses()
		}
		So(c.starts, ShouldBeEmpty)
		c.submit("small", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		c.runPasses()
		return len(c.starts)
	}
	long, short, lasting := jobs.Step{Estimate: time.Hour}, jobs.Step{Estimate: time.Second}, jobs.Step{LongRunning: true}
	Convey("Beside a long-running run, a waiting task or gang for which there is no room reserves nothing", t, func() {
		So(smallStarts(lasting, lasting), ShouldEqual, 1)
		So(smallStarts(lasting, short), ShouldEqual, 1)
		So(smallStarts(lasting, jobs.Step{Gang: true, Estimate: time.Second}), ShouldEqual, 1)
	})
	Convey("Beside a run that ends, a waiting task reserves the node", t, func() {
		So(smallStarts(long, lasting), ShouldEqual, 0)
		So(smallStarts(long, short), ShouldEqual, 0)
	})
}
