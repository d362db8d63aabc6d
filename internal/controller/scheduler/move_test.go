package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// usual is the progress in percent of a run that is as quick as its peers.
const usual = 90

// paced sets runs going on four workers, two tasks on each, of a step whose other tasks took a second. It lets time pass,
// lists the progress in percent that each worker's two runs have made, and gives the workers on which runs were stopped.
func (h *harness) paced(elapsed time.Duration, near string, percent map[string][2]int) (stopped []string) {
	h.addWorkers("x", "y", "z")
	h.submit(jobs.Step{Count: 8, Estimate: time.Second, PreferredRack: near, Needs: jobs.Resources{MilliCPU: 1000}})
	h.pass()
	So(h.sent, ShouldHaveLength, 8)
	h.acceptAll()
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
			if done == usual {
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
	even := map[string][2]int{"w": {usual, usual}, "x": {usual, usual}, "y": {usual, usual}, "z": {usual, usual}}
	with := func(id string, percent [2]int) map[string][2]int {
		out := map[string][2]int{}
		for other, p := range even {
			out[other] = p
		}
		out[id] = percent
		return out
	}
	Convey("A task that is long among short ones stays where its worker is as quick as others", t, func() {
		So(newHarness().paced(2200*time.Millisecond, "", with("w", [2]int{47, usual})), ShouldBeEmpty)
	})
	Convey("Two runs that both take long show a slow worker: they are moved", t, func() {
		So(newHarness().paced(2200*time.Millisecond, "", with("w", [2]int{47, 47})), ShouldResemble, []string{"w", "w"})
	})
	Convey("One run that takes longer than tasks of a step ever differ is moved too", t, func() {
		So(newHarness().paced(2200*time.Millisecond, "", with("w", [2]int{30, usual})), ShouldResemble, []string{"w"})
	})
	Convey("Away from its data a run takes longer everywhere: that is no sign of a slow worker", t, func() {
		slowForItsPlace := with("w", [2]int{50, usual})
		So(newHarness().paced(3*time.Second, "", slowForItsPlace), ShouldResemble, []string{"w"})
		So(newHarness().paced(3*time.Second, "r", slowForItsPlace), ShouldBeEmpty)
	})
}
