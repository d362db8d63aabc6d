package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// TestFailureOfGangMemberCounts guards against a gang that is retried without limit. The first end of a gang stops its
// other members; if the member that failed is listed later, its failure must still count as an attempt.
func TestFailureOfGangMemberCounts(t *testing.T) {
	Convey("The failure of a gang member counts as an attempt even if another member's end was listed first", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 2, Gang: true})
		c.runPasses()
		So(len(c.starts), ShouldEqual, 2)
		c.accept()
		first, second := c.starts[0].Order.Key, c.starts[1].Order.Key
		c.answer(RenewalAnswer{Ended: []EndedRun{
			{Sequence: 1, Key: second, Reason: jobs.EndGangBroken},
			{Sequence: 2, Key: first, Reason: jobs.EndFailed},
		}})
		c.runPasses()
		So(c.table.Jobs["j"].Rounds[0][0][0].Failures, ShouldEqual, 1)
	})
}

// TestFailureOfStoppedRunCounts guards against a failure that is ignored because a stop of the run was requested before
// the worker listed the failure.
func TestFailureOfStoppedRunCounts(t *testing.T) {
	Convey("Given a run that fails while it is being stopped", t, func() {
		c := newCluster(1, "w1")
		c.submit("j1", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		start := c.firstStart()
		key := start.Order.Key
		c.core.StartAnswered(c.now, "w1", key, StartAnswer{Clock: c.workerClock()}, StartOK)
		c.core.runs[key].stop.requested = true
		Convey("the failure counts as an attempt", func() {
			for range 20 {
				actions := c.passAfter(time.Millisecond)
				for _, renewal := range actions.Renewals {
					ended := []EndedRun{{Sequence: 1, Key: key, Reason: jobs.EndFailed}}
					answer := RenewalAnswer{Clock: c.workerClock(), Ended: ended}
					c.core.RenewalAnswered(c.now, "w1", renewal.Number, answer, RenewalOK)
				}
			}
			So(c.table.Jobs["j1"].State, ShouldEqual, jobs.Failed)
		})
	})
}
