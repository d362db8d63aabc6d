package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestFailureOfGangMemberCounts(t *testing.T) {
	Convey("The failure of a gang member counts as an attempt, also if another member's end was listed first", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 2, Gang: true})
		h.pass()
		So(len(h.starts), ShouldEqual, 2)
		h.accept()
		first, second := h.starts[0].Order.Key, h.starts[1].Order.Key
		h.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 1, Key: second, Reason: jobs.EndGangBroken}, {Sequence: 2, Key: first, Reason: jobs.EndFailed}}})
		h.pass()
		So(h.table.Jobs["j"].Rounds[0][0][0].Failures, ShouldEqual, 1)
	})
}

func TestFailureOfStoppedRunCounts(t *testing.T) {
	Convey("Given a run that fails by itself while it is being stopped", t, func() {
		b := newCluster(1, "w1")
		b.submit("j1", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		start := b.firstStart()
		key := start.Order.Key
		b.core.StartAnswered(b.now, "w1", key, StartAnswer{Clock: b.now}, StartOK)
		b.core.runs[key].stop.wanted = true
		Convey("the failure counts as an attempt", func() {
			for range 20 {
				actions := b.pass(time.Millisecond)
				for _, renewal := range actions.Renewals {
					b.core.RenewalAnswered(b.now, "w1", renewal.Number, RenewalAnswer{Clock: b.now,
						Ended: []EndedRun{{Sequence: 1, Key: key, Reason: jobs.EndFailed}}}, RenewalOK)
				}
			}
			So(b.table.Jobs["j1"].State, ShouldEqual, jobs.Failed)
		})
	})
}
