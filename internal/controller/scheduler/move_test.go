package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// usualPercent is the progress of a run that is as fast as its peers.
const usualPercent = 90

// paced starts runs on four workers, two on each, of a step whose other tasks took a second. After a time it lists the
// progress in percent of each worker's two runs, and returns the workers on which runs were stopped.
func (h *harness) paced(elapsed time.Duration, near string, percent map[string][2]int) (stopped []string) {
	h.addWorkers("x", "y", "z")
	h.submit(jobs.Step{Count: 8, Estimate: time.Second, PreferredRack: near, Needs: jobs.Resources{MilliCPU: 1000}})
	h.pass()
	So(h.starts, ShouldHaveLength, 8)
	h.accept()
	for range minPeers {
		h.core.speeds.observeDuration(jobs.TaskRef{Job: "j"}, time.Second)
	}
	h.answerAll(map[string]int{}) // all are listed
	h.pass()
	h.now += elapsed
	renewals := h.renewals
	h.renewals = nil
	for _, renewal := range renewals {
		answer := RenewalAnswer{Clock: time.Minute + h.now}
		for i, key := range h.table.RunsOn(renewal.Worker.ID) {
			done := percent[renewal.Worker.ID][i%2]
			if done == usualPercent {
				h.core.runs[key].start.sentAt = h.now - 900*time.Millisecond // it began later
			}
			answer.Running = append(answer.Running, ListedRun{Key: key, Percent: done})
		}
		h.core.RenewalAnswered(h.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
	}
	h.pass() // it decides
	h.pass() // and sends the stops
	for _, stop := range h.stops {
		stopped = append(stopped, stop.Worker.ID)
	}
	return stopped
}

func TestOnlySlowWorkersLoseRuns(t *testing.T) {
	even := map[string][2]int{"w": {usualPercent, usualPercent}, "x": {usualPercent, usualPercent}, "y": {usualPercent, usualPercent}, "z": {usualPercent, usualPercent}}
	with := func(id string, percent [2]int) map[string][2]int {
		out := map[string][2]int{}
		for other, p := range even {
			out[other] = p
		}
		out[id] = percent
		return out
	}
	Convey("A long task among short ones stays on a worker that is as fast as others", t, func() {
		So(newHarness().paced(2200*time.Millisecond, "", with("w", [2]int{47, usualPercent})), ShouldBeEmpty)
	})
	Convey("Two runs that both take long prove a slow worker: they are moved", t, func() {
		So(newHarness().paced(2200*time.Millisecond, "", with("w", [2]int{47, 47})), ShouldResemble, []string{"w", "w"})
	})
	Convey("One run that takes longer than tasks of a step ever differ is moved too", t, func() {
		So(newHarness().paced(2200*time.Millisecond, "", with("w", [2]int{30, usualPercent})), ShouldResemble, []string{"w"})
	})
	Convey("A run away from its data takes longer everywhere, which does not prove a slow worker", t, func() {
		slowForItsPlace := with("w", [2]int{50, usualPercent})
		So(newHarness().paced(3*time.Second, "", slowForItsPlace), ShouldResemble, []string{"w"})
		So(newHarness().paced(3*time.Second, "r", slowForItsPlace), ShouldBeEmpty)
	})
}

func TestRunsLeaveStalledWorker(t *testing.T) {
	Convey("A run without progress is moved within 1.5 s, and its worker is excluded until it shows progress again", t, func() {
		h := newHarness()
		h.addWorkers("x", "y", "z")
		h.submit(jobs.Step{Count: 4, Estimate: time.Second, Needs: jobs.Resources{MilliCPU: 3000}})
		h.pass()
		So(h.starts, ShouldHaveLength, 4)
		stalled := h.starts[0].Worker.ID
		h.accept()
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
			if h.now > began+500*time.Millisecond { // the others end, so that there is capacity to move to
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
		So(h.starts, ShouldHaveLength, 3)
		for _, s := range h.starts {
			So(s.Worker.ID, ShouldNotEqual, stalled)
		}
	})
	Convey("Stalled workers take starts all the same if they are more than a quarter", t, func() {
		h := newHarness()
		h.core.workers["w"].cooldown.stalledAt = h.now
		h.submit(jobs.Step{Count: 1, Estimate: time.Second, Needs: jobs.Resources{MilliCPU: 1000}})
		h.pass()
		So(h.starts, ShouldHaveLength, 1)
	})
	Convey("A stalled worker takes starts again after progress of any run, or after a time", t, func() {
		for _, again := range []string{"progress", "time"} {
			h := newHarness()
			h.addWorkers("x", "y", "z")
			h.submit(jobs.Step{Count: 4, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 3000}})
			h.pass()
			h.accept()
			w := h.core.workers["w"]
			w.cooldown.stalledAt = h.now
			h.submitTo("q", "more", jobs.Step{Count: 4, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1000}})
			h.pass()
			So(h.starts, ShouldHaveLength, 3)
			h.accept()
			if again == "time" {
				h.now += stalledBackoff
			} else {
				h.answerAll(map[string]int{"w": 1})
			}
			h.now += sweepInterval
			h.pass()
			So(fmt.Sprint(again, len(h.starts)), ShouldEqual, fmt.Sprint(again, 1))
			So(h.starts[0].Worker.ID, ShouldEqual, "w")
		}
	})
}
