package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// TestDeregisteredWorkerServesOn covers a worker that deregisters without draining: its run continues until the worker
// exits.
func TestDeregisteredWorkerServesOn(t *testing.T) {
	Convey("Given a run on a worker that has deregistered and continues to serve", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 2, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second, MaxPerWorker: 1})
		c.runPasses()
		c.accept()
		So(c.starts, ShouldHaveLength, 1)
		key := c.starts[0].Order.Key
		c.answer(RenewalAnswer{Running: []ListedRun{{Key: key}}})
		c.runPasses()
		c.deregister()
		c.submitTo("urgent", "k", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		Convey("its lease is renewed, it is sent no more starts, and the end of its run is recorded", func() {
			for range 20 {
				c.now += 200 * time.Millisecond
				c.core.Heartbeat(c.now, "w", c.workerClock())
				c.runPasses()
				So(c.starts, ShouldBeEmpty)
				if len(c.renewals) > 0 {
					So(c.renewals[len(c.renewals)-1].Call.LeaseDeadline, ShouldBeGreaterThan, c.workerClock())
					c.answer(RenewalAnswer{Running: []ListedRun{{Key: key}}})
				}
			}
			So(c.table.RunsOn("w"), ShouldHaveLength, 1)
			c.runPasses()
			c.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 1, Key: key, Reason: jobs.EndDone}}})
			c.runPasses()
			So(c.table.Jobs["j"].Rounds[0][0][key.Task.Index].Done, ShouldBeTrue)
			So(c.starts, ShouldBeEmpty)
		})
		Convey("when it has exited, its run is ended as lost only once the lease has certainly expired", func() {
			c.failRenewals(Defaults().Lease-time.Second, false)
			So(c.table.RunsOn("w"), ShouldHaveLength, 1)
			c.failRenewals(4*time.Second, false)
			So(c.table.RunsOn("w"), ShouldBeEmpty)
		})
		Convey("when another incarnation answers in its place, its run is ended as lost at once", func() {
			c.core.RenewalAnswered(c.now, "w", c.renewals[len(c.renewals)-1].Number, RenewalAnswer{}, RenewalOtherIncarnation)
			c.runPasses()
			So(c.table.RunsOn("w"), ShouldBeEmpty)
		})
	})
}

func TestDeregisteredWorkerWithoutRuns(t *testing.T) {
	Convey("A worker that has deregistered and has no runs is no longer called", t, func() {
		c := newReadyCluster()
		c.register(jobs.Worker{ID: "unknown", Left: true})
		c.deregister()
		c.renewals = nil
		for range 10 {
			c.now += time.Second
			c.core.Heartbeat(c.now, "w", c.workerClock())
			c.runPasses()
		}
		So(c.renewals, ShouldBeEmpty)
		Convey("A deregistered worker that was never heard from stays in the table for ForgetAfter", func() {
			c.now += time.Hour
			c.runPasses()
			So(c.table.Workers["unknown"], ShouldBeNil)
			c.register(jobs.Worker{ID: "another", Left: true})
			for range 10 {
				c.now += time.Second
				c.runPasses()
			}
			So(c.table.Workers["another"], ShouldNotBeNil)
		})
	})
	// If it were deleted, a late heartbeat would register it as a new worker.
	Convey("A deregistered worker without runs stays in the table after one failed call", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		c.runPasses()
		c.deregister()
		c.core.StartAnswered(c.now, "w", c.starts[0].Order.Key, StartAnswer{}, StartUnsent)
		for range 10 {
			c.now += time.Second
			c.core.Heartbeat(c.now, "w", c.workerClock())
			c.runPasses()
			So(c.table.Workers["w"], ShouldNotBeNil)
			So(c.starts, ShouldBeEmpty)
		}
		c.now += Defaults().ForgetAfter
		c.runPasses()
		So(c.table.Workers["w"], ShouldBeNil)
	})
}
