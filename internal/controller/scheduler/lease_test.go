package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// failRenewals lets all calls that wait fail, pass by pass, for a while.
func (h *harness) failRenewals(d time.Duration, heartbeats bool) {
	for end := h.now + d; h.now < end; h.now += 200 * time.Millisecond {
		for _, renewal := range h.renewals {
			h.core.RenewalAnswered(h.now, "w", renewal.Number, RenewalAnswer{}, RenewalFailed)
		}
		h.renewals = nil
		if heartbeats {
			h.core.Heartbeat(h.now, "w", time.Minute+h.now)
		}
		h.pass()
	}
}

func TestLeaseOfSilentWorkerExpires(t *testing.T) {
	Convey("The lease of a worker that answers no more ends, however often it is called", t, func() { expiresSilentWorker(false) })
	Convey("The same while its heartbeats go on", t, func() { expiresSilentWorker(true) })
}

func expiresSilentWorker(heartbeats bool) {
	h := newHarness()
	h.submit(jobs.Step{Count: 1, Estimate: time.Hour})
	h.pass()
	h.accept()
	h.answer(RenewalAnswer{Running: []ListedRun{{Key: h.sent[0].Order.Key}}})
	h.pass()
	So(h.table.RunsOn("w"), ShouldHaveLength, 1)
	h.failRenewals(Defaults().Lease, heartbeats)
	So(h.table.RunsOn("w"), ShouldHaveLength, 1)
	h.failRenewals(2*time.Second, heartbeats)
	So(h.table.RunsOn("w"), ShouldBeEmpty)
}

func TestNewLeaderWaitsOutUnconfirmedLease(t *testing.T) {
	Convey("A lease that calls without an answer may have renewed is waited out by a new leader", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1, Estimate: time.Hour})
		h.pass()
		h.core.StepDown()
		h.renewals = nil
		h.core.BecomeLeader(h.now, harnessTerm+1, h.table)
		var granted time.Duration // what the worker's lease may be by now, on its clock
		for end := h.now + 8*time.Second; h.now < end && len(h.table.RunsOn("w")) > 0; h.now += 200 * time.Millisecond {
			h.core.Heartbeat(h.now, "w", time.Minute+h.now)
			out := h.core.Pass(h.now, time.Time{}.Add(h.now))
			for _, renewal := range out.Renewals {
				granted = max(granted, renewal.Call.LeaseDeadline)
				h.core.RenewalAnswered(h.now, "w", renewal.Number, RenewalAnswer{}, RenewalFailed)
			}
			if out.Progress != nil {
				So(out.Progress.Ends, ShouldHaveLength, 1)
				So(time.Minute+h.now, ShouldBeGreaterThan, granted)
				return
			}
		}
		So("the run was never proved dead", ShouldBeEmpty)
	})
}
