package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestConnectionBackoff(t *testing.T) {
	Convey("The task of a start that found no connection is due again; neither task nor worker has failed", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		c.runPasses()
		So(len(c.starts), ShouldEqual, 1)
		first := c.starts[0].Order.Key
		c.core.StartAnswered(c.now, "w", first, StartAnswer{}, StartNoConnection)
		So(c.core.workers["w"].contact.isReachable(), ShouldBeTrue)
		So(c.core.workers["w"].contact.throttledUntil, ShouldEqual, 0)
		c.runPasses()
		So(c.starts, ShouldBeEmpty)
		c.now += c.core.cfg.RetryMin
		c.runPasses()
		So(len(c.starts), ShouldEqual, 1)
		So(c.starts[0].Order.Key, ShouldResemble, jobs.RunKey{Task: first.Task, Number: 2})
		So(c.table.Jobs["j"].State, ShouldNotEqual, jobs.Failed)
	})
	Convey("The back-off grows to a limit while no call finds a connection, and ends with the first that does", t, func() {
		var backoff connBackoff
		cfg, now := Defaults(), time.Second
		backoff.recordFailure(cfg, now)
		So(backoff.until-now, ShouldEqual, cfg.RetryMin)
		backoff.recordFailure(cfg, now) // another call of the same pass
		So(backoff.until-now, ShouldEqual, cfg.RetryMin)
		for range 10 {
			now = backoff.until
			backoff.recordFailure(cfg, now)
		}
		So(backoff.until-now, ShouldEqual, cfg.RetryMax)
		backoff.reset()
		So(backoff.until, ShouldEqual, 0)
	})
	Convey("A renewal or a stop that found no connection is sent again and does not count against the worker", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Hour})
		c.runPasses()
		c.accept()
		c.runPasses()
		key := jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1}
		w := c.core.workers["w"]
		c.core.RenewalAnswered(c.now, "w", w.renewal.longPoll.number, RenewalAnswer{}, RenewalNoConnection)
		So([]any{w.contact.isReachable(), w.renewal.longPoll.number, w.contact.throttledUntil}, ShouldResemble,
			[]any{true, uint64(0), time.Duration(0)})
		c.now += c.core.cfg.RetryMin
		c.runPasses()
		So(w.renewal.longPoll.number, ShouldNotEqual, 0)
		_, err := c.table.Cancel(jobs.Cancel{ID: "j", At: c.wall()})
		So(err, ShouldBeNil)
		c.runPasses()
		So(len(c.stops), ShouldEqual, 1)
		c.core.StopAnswered(c.now, "w", key, StopNoConnection)
		So(w.contact.isReachable(), ShouldBeTrue)
		c.now += c.core.cfg.RetryMin
		c.runPasses()
		So(len(c.stops), ShouldEqual, 1)
	})
	Convey("No starts are planned beyond MaxOrdersInFlight", t, func() {
		c := newReadyCluster()
		c.core.cfg.MaxOrdersInFlight = 2
		for _, id := range []string{"a", "b", "c"} {
			c.submit(id, jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Hour})
		}
		c.runPasses()
		So(len(c.starts), ShouldEqual, 2)
		c.accept()
		c.runPasses()
		So(len(c.starts), ShouldEqual, 1)
	})
}
