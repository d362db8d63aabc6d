package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestConnectionBackoff(t *testing.T) {
	Convey("A start that found no connection is due again, costs no attempt and does not count against the worker", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		h.pass()
		So(len(h.starts), ShouldEqual, 1)
		first := h.starts[0].Order.Key
		h.core.StartAnswered(h.now, "w", first, StartAnswer{}, StartNoConnection)
		So(h.core.workers["w"].contact.isReachable(), ShouldBeTrue)
		So(h.core.workers["w"].contact.throttledUntil, ShouldEqual, 0)
		h.pass()
		So(h.starts, ShouldBeEmpty)
		h.now += h.core.cfg.RetryMin
		h.pass()
		So(len(h.starts), ShouldEqual, 1)
		So(h.starts[0].Order.Key, ShouldResemble, jobs.RunKey{Task: first.Task, Number: 2})
		So(h.table.Jobs["j"].State, ShouldNotEqual, jobs.Failed)
	})
	Convey("The back-off grows to a limit while no call gets through, and ends with the first that does", t, func() {
		var s connBackoff
		cfg, now := Defaults(), time.Second
		s.failed(cfg, now)
		So(s.until-now, ShouldEqual, cfg.RetryMin)
		s.failed(cfg, now) // of the same pass
		So(s.until-now, ShouldEqual, cfg.RetryMin)
		for range 10 {
			now = s.until
			s.failed(cfg, now)
		}
		So(s.until-now, ShouldEqual, cfg.RetryMax)
		s.reset()
		So(s.until, ShouldEqual, 0)
	})
	Convey("A renewal or a stop that found no connection is sent again and does not count against the worker", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Hour})
		h.pass()
		h.accept()
		h.pass()
		key := jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1}
		w := h.core.workers["w"]
		h.core.RenewalAnswered(h.now, "w", w.renewal.longPoll.number, RenewalAnswer{}, RenewalNoConnection)
		So([]any{w.contact.isReachable(), w.renewal.longPoll.number, w.contact.throttledUntil}, ShouldResemble, []any{true, uint64(0), time.Duration(0)})
		h.now += h.core.cfg.RetryMin
		h.pass()
		So(w.renewal.longPoll.number, ShouldNotEqual, 0)
		_, err := h.table.Cancel(jobs.Cancel{ID: "j", At: time.Time{}.Add(h.now)})
		So(err, ShouldBeNil)
		h.pass()
		So(len(h.stops), ShouldEqual, 1)
		h.core.StopAnswered(h.now, "w", key, StopNoConnection)
		So(w.contact.isReachable(), ShouldBeTrue)
		h.now += h.core.cfg.RetryMin
		h.pass()
		So(len(h.stops), ShouldEqual, 1)
	})
	Convey("No starts are planned beyond the orders that may be in flight to all workers", t, func() {
		h := newHarness()
		h.core.cfg.MaxOrdersInFlight = 2
		for _, id := range []string{"a", "b", "c"} {
			h.submitTo("q", id, jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Hour})
		}
		h.pass()
		So(len(h.starts), ShouldEqual, 2)
		h.accept()
		h.pass()
		So(len(h.starts), ShouldEqual, 1)
	})
}
