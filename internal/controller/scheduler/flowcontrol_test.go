package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestOrdersInFlightAreBounded(t *testing.T) {
	Convey("Given more due tasks for one worker than orders may be in flight to it", t, func() {
		h := newHarness()
		const tasks = 25
		h.submit(jobs.Step{Count: tasks, Needs: jobs.Resources{MilliCPU: 100}, Estimate: time.Second})
		h.pass()
		So(len(h.starts), ShouldEqual, Defaults().MaxOrdersPerWorker)
		Convey("the next ones leave with each answer, until all have left", func() {
			started := map[jobs.RunKey]bool{}
			for range tasks {
				for _, s := range h.starts {
					So(started[s.Order.Key], ShouldBeFalse)
					started[s.Order.Key] = true
				}
				So(len(h.starts), ShouldBeLessThanOrEqualTo, Defaults().MaxOrdersPerWorker)
				h.accept()
				h.pass()
			}
			So(len(started), ShouldEqual, tasks)
		})
	})
}

func TestWorkerWithoutFreeConnectionsIsThrottled(t *testing.T) {
	Convey("Given a worker that accepts one connection at a time, and a start that got no answer", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1, Estimate: time.Second})
		h.pass()
		key := h.starts[0].Order.Key
		h.core.StartAnswered(h.now, "w", key, StartAnswer{}, StartUnknown)
		Convey("the run is stopped and its task starts again, with one call in flight at a time", func() {
			for range 400 {
				h.now += 10 * time.Millisecond
				actions := h.core.Pass(h.now, time.Time{}.Add(h.now))
				if actions.Progress != nil {
					started, err := h.table.Progress(harnessTerm, *actions.Progress)
					h.core.Committed(h.now, actions.Progress, started, err)
				}
				calls := 0 // the first of a pass takes the only connection; the others are reset
				for _, s := range actions.Starts {
					So(s.Order.Key.Number, ShouldEqual, 2)
					return
				}
				for _, s := range actions.Stops {
					calls++
					h.core.StopAnswered(h.now, "w", s.Order.Key, stopOutcome(calls == 1))
				}
				for _, renewal := range actions.Renewals {
					calls++
					if calls > 1 {
						h.core.RenewalAnswered(h.now, "w", renewal.Number, RenewalAnswer{}, RenewalFailed)
					} else {
						h.core.RenewalAnswered(h.now, "w", renewal.Number, RenewalAnswer{Clock: time.Minute + h.now}, RenewalOK)
					}
				}
			}
			So("a second start", ShouldEqual, "sent")
		})
	})
}
