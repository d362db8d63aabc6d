package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestOrdersInFlightAreBounded(t *testing.T) {
	Convey("Given more due tasks for one worker than orders may be in flight to it", t, func() {
		c := newReadyCluster()
		const tasks = 25
		c.submit("j", jobs.Step{Count: tasks, Needs: jobs.Resources{MilliCPU: 100}, Estimate: time.Second})
		c.runPasses()
		So(len(c.starts), ShouldEqual, Defaults().MaxOrdersPerWorker)
		Convey("each answer lets the next ones be sent, until all are sent", func() {
			started := map[jobs.RunKey]bool{}
			for range tasks {
				for _, s := range c.starts {
					So(started[s.Order.Key], ShouldBeFalse)
					started[s.Order.Key] = true
				}
				So(len(c.starts), ShouldBeLessThanOrEqualTo, Defaults().MaxOrdersPerWorker)
				c.accept()
				c.runPasses()
			}
			So(len(started), ShouldEqual, tasks)
		})
	})
}

// answerFirst answers the first stop or renewal of a pass, which uses worker w's only connection. The others fail.
func (c *cluster) answerFirst(actions Actions) {
	calls := 0
	for _, stop := range actions.Stops {
		calls++
		c.core.StopAnswered(c.now, "w", stop.Order.Key, stopOutcome(calls == 1))
	}
	for _, renewal := range actions.Renewals {
		calls++
		if calls > 1 {
			c.core.RenewalAnswered(c.now, "w", renewal.Number, RenewalAnswer{}, RenewalFailed)
			continue
		}
		c.core.RenewalAnswered(c.now, "w", renewal.Number, RenewalAnswer{Clock: c.workerClock()}, RenewalOK)
	}
}

// TestWorkerWithoutFreeConnectionsIsThrottled guards against calls that exclude one another: a worker with one free
// connection resets all further ones. If a long poll or a second order held the connection, the stop would never arrive.
func TestWorkerWithoutFreeConnectionsIsThrottled(t *testing.T) {
	Convey("Given a worker that accepts one connection at a time, and a start that got no answer", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 1, Estimate: time.Second})
		c.runPasses()
		key := c.starts[0].Order.Key
		c.core.StartAnswered(c.now, "w", key, StartAnswer{}, StartUnconfirmed)
		Convey("the run is stopped and its task starts again, with one call in flight at a time", func() {
			for range 400 {
				actions := c.passAfter(10 * time.Millisecond)
				if len(actions.Starts) > 0 {
					So(actions.Starts[0].Order.Key.Number, ShouldEqual, 2)
					return
				}
				c.answerFirst(actions)
			}
			So("second start not sent", ShouldEqual, "sent")
		})
	})
}
