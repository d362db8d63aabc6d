package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// addWorkers registers more workers like w and lets them answer once.
func (h *harness) addWorkers(ids ...string) {
	for _, id := range ids {
		So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: id, Service: "s", Capacity: jobs.Resources{MilliCPU: 4000}}}}), ShouldBeNil)
	}
	h.pass()
	h.answerAll(nil)
	h.pass()
}

// answerAll answers all hold calls that wait; listed gives the progress in percent of what runs on a worker.
func (h *harness) answerAll(percent map[string]int) {
	renewals := h.renewals
	h.renewals = nil
	for _, renewal := range renewals {
		answer := RenewalAnswer{Clock: time.Minute + h.now}
		for _, key := range h.table.RunsOn(renewal.Worker.ID) {
			answer.Running = append(answer.Running, ListedRun{Key: key, Percent: percent[renewal.Worker.ID]})
		}
		h.core.RenewalAnswered(h.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
	}
}

// acceptAll answers all start orders of the newest passes well.
func (h *harness) acceptAll() {
	for _, s := range h.sent {
		h.core.StartAnswered(h.now, s.Worker.ID, s.Order.Key, StartAnswer{Clock: time.Minute + h.now}, StartOK)
	}
}

func TestRunsLeaveStalledWorker(t *testing.T) {
	Convey("A run without progress is moved within 1.5 s, and its worker is left out until it shows progress again", t, func() {
		h := newHarness()
		h.addWorkers("x", "y", "z")
		h.submit(jobs.Step{Count: 4, Estimate: time.Second, Needs: jobs.Resources{MilliCPU: 3000}})
		h.pass()
		So(h.sent, ShouldHaveLength, 4)
		stalled := h.sent[0].Worker.ID
		h.acceptAll()
		percent := map[string]int{}
		began := h.now
		var stopped []StopAction
		for h.now < began+1500*time.Millisecond && len(stopped) == 0 {
			h.now += 100 * time.Millisecond
			for _, id := range []string{"w", "x", "y", "z"} {
				if id != stalled {
					percent[id] = int((h.now - began) / (50 * time.Millisecond))
				}
			}
			if h.now > began+500*time.Millisecond { // the others end, and there is room to move to
				h.endRuns(stalled)
			}
			h.answerAll(percent)
			h.pass()
			stopped = h.stops
		}
		So(stopped, ShouldHaveLength, 1)
		So(stopped[0].Worker.ID, ShouldEqual, stalled)
		So(h.now-began, ShouldBeLessThan, 1500*time.Millisecond)
		h.submitTo("q", "more", jobs.Step{Count: 3, Estimate: time.Second, Needs: jobs.Resources{MilliCPU: 1000}})
		h.pass()
		So(h.sent, ShouldHaveLength, 3)
		for _, s := range h.sent {
			So(s.Worker.ID, ShouldNotEqual, stalled)
		}
	})
	Convey("Where the runs of more than a quarter of the workers stand still, they take starts all the same", t, func() {
		h := newHarness()
		h.core.workers["w"].cooldown.stalledAt = h.now
		h.submit(jobs.Step{Count: 1, Estimate: time.Second, Needs: jobs.Resources{MilliCPU: 1000}})
		h.pass()
		So(h.sent, ShouldHaveLength, 1)
	})
	Convey("Progress of any run lets the worker take starts again, and so does time", t, func() {
		for _, again := range []string{"progress", "time"} {
			h := newHarness()
			h.addWorkers("x", "y", "z")
			h.submit(jobs.Step{Count: 4, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 3000}})
			h.pass()
			h.acceptAll()
			w := h.core.workers["w"]
			w.cooldown.stalledAt = h.now
			h.submitTo("q", "more", jobs.Step{Count: 4, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1000}})
			h.pass()
			So(h.sent, ShouldHaveLength, 3)
			h.acceptAll()
			if again == "time" {
				h.now += stalledBackoff
			} else {
				h.answerAll(map[string]int{"w": 1})
			}
			h.now += sweepInterval
			h.pass()
			So(fmt.Sprint(again, len(h.sent)), ShouldEqual, fmt.Sprint(again, 1))
			So(h.sent[0].Worker.ID, ShouldEqual, "w")
		}
	})
}

// endRuns lets all runs end well, but for those of one worker.
func (h *harness) endRuns(except string) {
	renewals := h.renewals
	h.renewals = nil
	for _, renewal := range renewals {
		if renewal.Worker.ID == except {
			h.renewals = append(h.renewals, renewal)
			continue
		}
		answer := RenewalAnswer{Clock: time.Minute + h.now}
		for i, key := range h.table.RunsOn(renewal.Worker.ID) {
			answer.Ended = append(answer.Ended, EndedRun{Sequence: uint64(i + 1), Key: key, Reason: jobs.EndDone})
		}
		h.core.RenewalAnswered(h.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
	}
}
