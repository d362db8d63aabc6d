package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// failHolds lets all calls that wait fail, pass by pass, for a while.
func (h *harness) failHolds(d time.Duration, beats bool) {
	for end := h.now + d; h.now < end; h.now += 200 * time.Millisecond {
		for _, hold := range h.holds {
			h.core.HoldAnswered(h.now, "w", hold.Number, HoldAnswer{}, HoldFailed)
		}
		h.holds = nil
		if beats {
			h.core.Beat(h.now, "w", time.Minute+h.now, 0)
		}
		h.pass()
	}
}

func TestSilentWorker(t *testing.T) {
	Convey("The lease of a worker that answers no more ends, however often it is called", t, func() { silentWorker(false) })
	Convey("The same while its heartbeats go on", t, func() { silentWorker(true) })
}

func silentWorker(beats bool) {
	h := newHarness()
	h.submit(jobs.Step{Count: 1, Estimate: time.Hour})
	h.pass()
	h.accept()
	h.answer(HoldAnswer{Running: []Listed{{Key: h.sent[0].Order.Key}}})
	h.pass()
	So(h.table.RunsOn("w"), ShouldHaveLength, 1)
	h.failHolds(Defaults().Lease, beats)
	So(h.table.RunsOn("w"), ShouldHaveLength, 1)
	h.failHolds(2*time.Second, beats)
	So(h.table.RunsOn("w"), ShouldBeEmpty)
}

func TestSilentSinceElection(t *testing.T) {
	Convey("A lease that calls without an answer may have renewed is waited out by a new leader", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1, Estimate: time.Hour})
		h.pass()
		h.core.Yield()
		h.holds = nil
		h.core.Lead(h.now, harnessTerm+1, h.table)
		var granted time.Duration // what the worker's lease may be by now, on its clock
		for end := h.now + 8*time.Second; h.now < end && len(h.table.RunsOn("w")) > 0; h.now += 200 * time.Millisecond {
			h.core.Beat(h.now, "w", time.Minute+h.now, 0)
			out := h.core.Pass(h.now, time.Time{}.Add(h.now))
			for _, hold := range out.Holds {
				granted = max(granted, hold.Call.Deadline)
				h.core.HoldAnswered(h.now, "w", hold.Number, HoldAnswer{}, HoldFailed)
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
