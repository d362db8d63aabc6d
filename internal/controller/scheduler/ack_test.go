package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// TestLastEndsAreAcknowledged guards against a worker that keeps its last ends forever: without runs it gets no long
// polls, whose acknowledgements would let it forget them.
func TestLastEndsAreAcknowledged(t *testing.T) {
	Convey("The last ends of a worker without runs are acknowledged after ackDelay, once", t, func() {
		c := newReadyCluster()
		c.endAs(c.runningTask(jobs.Step{}, ""), jobs.EndDone)
		acknowledged := func() (calls int) {
			for _, renewal := range c.renewals {
				if renewal.Call.AcknowledgedUpTo == 1 {
					calls++
				}
			}
			return calls
		}
		c.renewals = nil
		c.runPasses()
		So(acknowledged(), ShouldEqual, 0) // ackDelay has not passed
		for range 20 {
			c.now += sweepInterval
			c.runPasses()
		}
		So(acknowledged(), ShouldEqual, 1)
		c.answer(RenewalAnswer{})
		for range 20 {
			c.now += sweepInterval
			c.runPasses()
		}
		So(c.renewals, ShouldBeEmpty)
	})
}
