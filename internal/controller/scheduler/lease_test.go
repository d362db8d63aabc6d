package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// TestLeaseOfSilentWorkerExpires guards against a lease that never expires: each renewal without an answer may have
// extended it, and heartbeats may be relayed by another node while no call reaches the worker.
func TestLeaseOfSilentWorkerExpires(t *testing.T) {
	Convey("The lease of a worker that stops answering expires, however often it is called", t,
		func() { checkSilentWorkerExpires(false) })
	Convey("The lease of a worker that stops answering expires even if its heartbeats continue", t,
		func() { checkSilentWorkerExpires(true) })
}

// checkSilentWorkerExpires checks that a run on a worker that answers no renewal is kept for the length of a lease and
// ended at most two seconds later. heartbeats is whether the worker sends heartbeats.
func checkSilentWorkerExpires(heartbeats bool) {
	c := newReadyCluster()
	c.submit("j", jobs.Step{Count: 1, Estimate: time.Hour})
	c.runPasses()
	c.accept()
	c.answer(RenewalAnswer{Running: []ListedRun{{Key: c.starts[0].Order.Key}}})
	c.runPasses()
	So(c.table.RunsOn("w"), ShouldHaveLength, 1)
	c.failRenewals(Defaults().Lease, heartbeats)
	So(c.table.RunsOn("w"), ShouldHaveLength, 1)
	c.failRenewals(2*time.Second, heartbeats)
	So(c.table.RunsOn("w"), ShouldBeEmpty)
}

// TestNewLeaderWaitsOutUnconfirmedLease guards against a second run of a task: the worker may have received a renewal
// whose answer was lost, and its run then lives until the end of that lease.
func TestNewLeaderWaitsOutUnconfirmedLease(t *testing.T) {
	Convey("A new leader waits until the lease that its renewals without an answer may have extended expires", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 1, Estimate: time.Hour})
		c.runPasses()
		c.core.StepDown()
		c.renewals = nil
		c.core.BecomeLeader(c.now, testTerm+1, c.table)
		var granted time.Duration // end of the latest lease that the worker may hold, on its clock
		for end := c.now + 8*time.Second; c.now < end && len(c.table.RunsOn("w")) > 0; c.now += 200 * time.Millisecond {
			c.core.Heartbeat(c.now, "w", c.workerClock())
			actions := c.core.Pass(c.now, c.wall())
			for _, renewal := range actions.Renewals {
				granted = max(granted, renewal.Call.LeaseDeadline)
				c.core.RenewalAnswered(c.now, "w", renewal.Number, RenewalAnswer{}, RenewalFailed)
			}
			if actions.Progress != nil {
				So(actions.Progress.Ends, ShouldHaveLength, 1)
				So(c.workerClock(), ShouldBeGreaterThan, granted)
				return
			}
		}
		So("the run was not ended", ShouldBeEmpty)
	})
}

func TestTaskOfSilentWorkerRestartsElsewhere(t *testing.T) {
	Convey("Given a run on a worker that stops answering and is called repeatedly", t, func() {
		c := newCluster(2, "w1")
		c.submit("j1", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		start := c.firstStart()
		c.core.StartAnswered(c.now, start.Worker.ID, start.Order.Key, StartAnswer{Clock: c.workerClock()}, StartOK)
		c.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: "w2", Address: "w2:1", Service: "s", Zone: "z",
			Capacity: jobs.Resources{MilliCPU: 4000, MemoryMB: 4000}}}})
		Convey("its lease expires nevertheless, and the task starts elsewhere under a new run number", func() {
			var restart *StartAction
			for range 200 {
				actions := c.passAfter(50 * time.Millisecond)
				for _, renewal := range actions.Renewals {
					if renewal.Worker.ID == "w1" {
						c.core.RenewalAnswered(c.now, "w1", renewal.Number, RenewalAnswer{}, RenewalFailed)
					} else {
						c.core.RenewalAnswered(c.now, "w2", renewal.Number, RenewalAnswer{Clock: c.workerClock()}, RenewalOK)
					}
				}
				c.core.Heartbeat(c.now, "w2", c.workerClock())
				if len(actions.Starts) > 0 {
					restart = &actions.Starts[0]
					break
				}
			}
			So(restart, ShouldNotBeNil)
			So(restart.Worker.ID, ShouldEqual, "w2")
			So(restart.Order.Key.Number, ShouldEqual, 2)
		})
	})
}

func TestLeaseExpired(t *testing.T) {
	Convey("Given a leader since 100 s, a lease of 5 s, a margin of 1 s and a clock drift of at most 2 %", t, func() {
		cfg := Defaults()
		cfg.Lease, cfg.ExpiryMargin, cfg.ClockSlack = 5*time.Second, time.Second, 0.02
		core := New(cfg)
		core.leaderSince = 100 * time.Second
		// The worker's clock read 50 s at 100 s of the leader's clock.
		lease := func(fenced bool, until time.Duration) leaseState {
			return leaseState{fenced: fenced, clock: 50 * time.Second, clockAt: 100 * time.Second, clockKnown: true,
				until: until}
		}
		for _, tt := range []struct {
			name  string
			lease leaseState
			after time.Duration // the earliest time after 100 s, in steps of 10 ms, at which it has expired
		}{
			// 7 s at 98 % of the leader's speed.
			{"a lease of an earlier leader is waited out with twice the margin", leaseState{}, 7150 * time.Millisecond},
			{"it is waited out even if the leases granted without an answer end sooner", lease(false, 52*time.Second),
				7150 * time.Millisecond},
			{"leases granted without an answer are waited out if they end later", lease(false, 57*time.Second),
				8170 * time.Millisecond},
			{"after an answer only leases granted under this term count", lease(true, 52*time.Second),
				3070 * time.Millisecond},
		} {
			Convey(tt.name, func() {
				w := &worker{lease: tt.lease}
				at := core.leaderSince
				for !w.leaseExpired(core, at) && at < core.leaderSince+time.Minute {
					at += 10 * time.Millisecond
				}
				So(at-core.leaderSince, ShouldEqual, tt.after)
			})
		}
	})
}
