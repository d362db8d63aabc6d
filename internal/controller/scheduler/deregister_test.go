package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// TestDeregisteredWorkerServesOn has a worker that never announces that it drains: it deregisters, serves on, and exits.
func TestDeregisteredWorkerServesOn(t *testing.T) {
	Convey("Given a run on a worker that has deregistered and serves on", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 2, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second, MaxPerWorker: 1})
		h.pass()
		h.accept()
		So(h.starts, ShouldHaveLength, 1)
		key := h.starts[0].Order.Key
		h.answer(RenewalAnswer{Running: []ListedRun{{Key: key}}})
		h.pass()
		h.deregister()
		h.submitTo("urgent", "k", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		Convey("its lease is renewed, nothing more starts there, and the end of its run is recorded", func() {
			for range 20 {
				h.now += 200 * time.Millisecond
				h.core.Heartbeat(h.now, "w", time.Minute+h.now)
				h.pass()
				So(h.starts, ShouldBeEmpty)
				if len(h.renewals) > 0 {
					So(h.renewals[len(h.renewals)-1].Call.LeaseDeadline, ShouldBeGreaterThan, time.Minute+h.now)
					h.answer(RenewalAnswer{Running: []ListedRun{{Key: key}}})
				}
			}
			So(h.table.RunsOn("w"), ShouldHaveLength, 1)
			h.pass()
			h.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 1, Key: key, Reason: jobs.EndDone}}})
			h.pass()
			So(h.table.Jobs["j"].Rounds[0][0][key.Task.Index].Done, ShouldBeTrue)
			So(h.starts, ShouldBeEmpty)
		})
		Convey("when it has exited, its run is lost once the lease has certainly expired, not before", func() {
			h.failRenewals(Defaults().Lease-time.Second, false)
			So(h.table.RunsOn("w"), ShouldHaveLength, 1)
			h.failRenewals(4*time.Second, false)
			So(h.table.RunsOn("w"), ShouldBeEmpty)
		})
		Convey("when another incarnation answers in its place, its run is lost at once", func() {
			h.core.RenewalAnswered(h.now, "w", h.renewals[len(h.renewals)-1].Number, RenewalAnswer{}, RenewalOtherIncarnation)
			h.pass()
			So(h.table.RunsOn("w"), ShouldBeEmpty)
		})
	})
	Convey("A worker that has deregistered and runs nothing is not called any more", t, func() {
		h := newHarness()
		So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: "unknown", Left: true}}}), ShouldBeNil)
		h.deregister()
		h.renewals = nil
		for range 10 {
			h.now += time.Second
			h.core.Heartbeat(h.now, "w", time.Minute+h.now)
			h.pass()
		}
		So(h.renewals, ShouldBeEmpty)
		Convey("A worker that was never heard from is kept as long as heartbeats may be late", func() {
			h.now += time.Hour
			h.pass()
			So(h.table.Workers["unknown"], ShouldBeNil)
			So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: "another", Left: true}}}), ShouldBeNil)
			for range 10 {
				h.now += time.Second
				h.pass()
			}
			So(h.table.Workers["another"], ShouldNotBeNil)
		})
	})
	Convey("A deregistered worker without runs is not forgotten after one failed call: a late heartbeat would register it "+
		"as a new one", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		h.pass()
		h.deregister()
		h.core.StartAnswered(h.now, "w", h.starts[0].Order.Key, StartAnswer{}, StartUnsent)
		for range 10 {
			h.now += time.Second
			h.core.Heartbeat(h.now, "w", time.Minute+h.now) // it serves on
			h.pass()
			So(h.table.Workers["w"], ShouldNotBeNil)
			So(h.starts, ShouldBeEmpty)
		}
		h.now += Defaults().ForgetAfter
		h.pass()
		So(h.table.Workers["w"], ShouldBeNil)
	})
}
