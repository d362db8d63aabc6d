package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestOrdersUnderWayAreBounded(t *testing.T) {
	Convey("Given more due tasks for one worker than orders may be under way to it", t, func() {
		h := newHarness()
		const tasks = 25
		h.submit(jobs.Step{Count: tasks, Needs: jobs.Resources{MilliCPU: 100}, Estimate: time.Second})
		h.pass()
		So(len(h.sent), ShouldEqual, Defaults().MaxOrdersPerWorker)
		Convey("each answer lets the next ones leave, until all have left", func() {
			started := map[jobs.RunKey]bool{}
			for range tasks {
				for _, s := range h.sent {
					So(started[s.Order.Key], ShouldBeFalse)
					started[s.Order.Key] = true
				}
				So(len(h.sent), ShouldBeLessThanOrEqualTo, Defaults().MaxOrdersPerWorker)
				h.accept()
				h.pass()
			}
			So(len(started), ShouldEqual, tasks)
		})
	})
}

func TestWorkerWithoutFreeConnectionsIsCalledWithCare(t *testing.T) {
	Convey("Given a worker that resets every call beside another one, and a start that got no answer", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1, Estimate: time.Second})
		h.pass()
		key := h.sent[0].Order.Key
		h.core.StartAnswered(h.now, "w", key, StartAnswer{}, StartUnknown)
		Convey("the run is stopped and its task starts again, with one call under way at a time", func() {
			for range 400 {
				h.now += 10 * time.Millisecond
				out := h.core.Pass(h.now, time.Time{}.Add(h.now))
				if out.Progress != nil {
					started, err := h.table.Progress(harnessTerm, *out.Progress)
					h.core.Committed(h.now, out.Progress, started, err)
				}
				calls := 0 // the first of a pass takes the only connection; the others are reset
				for _, s := range out.Starts {
					So(s.Order.Key.Number, ShouldEqual, 2)
					return
				}
				for _, s := range out.Stops {
					calls++
					h.core.StopAnswered(h.now, "w", s.Order.Key, stopOutcome(calls == 1))
				}
				for _, renewal := range out.Renewals {
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
