package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// TestUnsentStartsOfThrottledWorker guards against tasks that wait for the lease of an unreachable worker although their
// start orders were never sent to it.
func TestUnsentStartsOfThrottledWorker(t *testing.T) {
	Convey("Given four starts for a throttled worker, to which one order is sent at a time", t, func() {
		c := newReadyCluster()
		c.core.workers["w"].contact.throttledUntil = c.now + throttlePeriod
		c.submit("j", jobs.Step{Count: 4, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		c.runPasses()
		So(c.starts, ShouldHaveLength, 1)
		So(c.table.RunsOn("w"), ShouldHaveLength, 4)
		first := c.starts[0].Order.Key
		Convey("when that order is answered, the next one is sent", func() {
			c.accept()
			c.runPasses()
			So(c.starts, ShouldHaveLength, 1)
			So(c.starts[0].Order.Key, ShouldNotResemble, first)
		})
		Convey("when that order gets no answer, the others are never sent, and their tasks are due again at once", func() {
			c.core.StartAnswered(c.now, "w", first, StartAnswer{}, StartUnconfirmed)
			c.runPasses()
			So(c.starts, ShouldBeEmpty)
			So(c.table.RunsOn("w"), ShouldResemble, []jobs.RunKey{first}) // unconfirmed
			for _, task := range c.table.Jobs["j"].Rounds[0][0][1:] {
				So(task.LastRun, ShouldEqual, 1)
				So(task.Handles, ShouldBeEmpty)
			}
		})
	})
}

func TestUnsentStartsMoveFromUnreachableWorker(t *testing.T) {
	Convey("Tasks whose start orders are not sent yet move to another worker once theirs does not answer", t, func() {
		c := newReadyCluster()
		c.core.cfg.MaxOrdersPerWorker = 1
		c.submit("j", jobs.Step{Count: 3, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1000}})
		c.runPasses()
		So(c.starts, ShouldHaveLength, 1)
		So(c.table.RunsOn("w"), ShouldHaveLength, 3)
		c.loseStarts("w")
		c.register(testWorker("x"))
		c.runPasses()
		So(c.table.RunsOn("w"), ShouldHaveLength, 1)
		c.answerRenewalsOf("x")
		c.runPasses()
		So(c.table.RunsOn("x"), ShouldHaveLength, 2)
	})
}

// TestUnsentStartsLeaveZone guards against a start order that waits for a throttled worker and is sent long after the
// worker's drain, or the evacuation of its zone, was acknowledged.
func TestUnsentStartsLeaveZone(t *testing.T) {
	for name, change := range map[string]func(c *cluster){
		"its zone is evacuated": func(c *cluster) {
			So(c.table.Evacuate(jobs.Evacuate{Zone: c.table.Workers["w"].Zone, Start: true}), ShouldBeNil)
		},
		"it drains": func(c *cluster) {
			draining := *c.table.Workers["w"]
			draining.Draining = true
			c.table.Register(jobs.Register{Workers: []jobs.Worker{draining}})
		},
	} {
		Convey("Starts that are not sent yet to a worker are dropped when "+name, t, func() {
			c := newReadyCluster()
			c.core.cfg.MaxOrdersPerWorker = 1
			c.submit("j", jobs.Step{Count: 3, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1000}})
			c.runPasses()
			So(c.starts, ShouldHaveLength, 1)
			change(c)
			c.accept()
			c.runPasses()
			So(c.starts, ShouldBeEmpty)
			So(c.table.RunsOn("w"), ShouldHaveLength, 1)
		})
	}
}
