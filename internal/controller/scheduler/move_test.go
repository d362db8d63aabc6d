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

// stoppedAfter starts two runs on each of four workers, of a step whose other tasks took a second. Once the time has
// elapsed, each worker lists the progress in percent of its two runs. It returns the workers on which runs were
// stopped.
func (c *cluster) stoppedAfter(elapsed time.Duration, rack string, percent map[string][2]int) (stopped []string) {
	c.addWorkers("x", "y", "z")
	c.submit("j", jobs.Step{Count: 8, Estimate: time.Second, PreferredRack: rack, Needs: jobs.Resources{MilliCPU: 1000}})
	c.runPasses()
	So(c.starts, ShouldHaveLength, 8)
	c.accept()
	for range minPeers {
		c.core.speeds.observeDuration(jobs.TaskRef{Job: "j"}, time.Second)
	}
	c.answerAll(map[string]int{}) // lists all runs
	c.runPasses()
	c.now += elapsed
	renewals := c.renewals
	c.renewals = nil
	for _, renewal := range renewals {
		answer := RenewalAnswer{Clock: c.workerClock()}
		for i, key := range c.table.RunsOn(renewal.Worker.ID) {
			runPercent := percent[renewal.Worker.ID][i%2]
			if runPercent == usualPercent {
				c.core.runs[key].start.sentAt = c.now - 900*time.Millisecond // it started later than the slow runs
			}
			answer.Running = append(answer.Running, ListedRun{Key: key, Percent: runPercent})
		}
		c.core.RenewalAnswered(c.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
	}
	c.runPasses() // decides on the stops
	c.runPasses() // sends the stops
	for _, stop := range c.stops {
		stopped = append(stopped, stop.Worker.ID)
	}
	return stopped
}

// TestOnlySlowWorkersLoseRuns guards against moves that discard work for nothing: a long task, or one that is away from
// its data, takes as long on another worker.
func TestOnlySlowWorkersLoseRuns(t *testing.T) {
	// usualExcept returns the usual progress on all workers but one.
	usualExcept := func(id string, percent [2]int) map[string][2]int {
		byWorker := map[string][2]int{}
		for _, worker := range []string{"w", "x", "y", "z"} {
			byWorker[worker] = [2]int{usualPercent, usualPercent}
		}
		byWorker[id] = percent
		return byWorker
	}
	Convey("A long task among short ones stays on a worker that is as fast as others", t, func() {
		So(newReadyCluster().stoppedAfter(2200*time.Millisecond, "", usualExcept("w", [2]int{47, usualPercent})),
			ShouldBeEmpty)
	})
	Convey("Two runs that both take long prove a slow worker: they are moved", t, func() {
		stopped := newReadyCluster().stoppedAfter(2200*time.Millisecond, "", usualExcept("w", [2]int{47, 47}))
		So(stopped, ShouldResemble, []string{"w", "w"})
	})
	Convey("One run with a slowdown of certainSlowdown is moved too", t, func() {
		stopped := newReadyCluster().stoppedAfter(2200*time.Millisecond, "", usualExcept("w", [2]int{30, usualPercent}))
		So(stopped, ShouldResemble, []string{"w"})
	})
	Convey("A run away from its data takes longer everywhere, which does not prove a slow worker", t, func() {
		slow := usualExcept("w", [2]int{50, usualPercent})
		So(newReadyCluster().stoppedAfter(3*time.Second, "", slow), ShouldResemble, []string{"w"})
		So(newReadyCluster().stoppedAfter(3*time.Second, "r", slow), ShouldBeEmpty)
	})
}

func TestRunsLeaveStalledWorker(t *testing.T) {
	Convey("A stalled run is moved within 1.5 s, and its worker is sent no starts until it has progress", t, func() {
		c := newReadyCluster()
		c.addWorkers("x", "y", "z")
		c.submit("j", jobs.Step{Count: 4, Estimate: time.Second, Needs: jobs.Resources{MilliCPU: 3000}})
		c.runPasses()
		So(c.starts, ShouldHaveLength, 4)
		stalled := c.starts[0].Worker.ID
		c.accept()
		percent := map[string]int{}
		startedAt := c.now
		var stopped []StopAction
		for c.now < startedAt+1500*time.Millisecond && len(stopped) == 0 {
			c.now += 100 * time.Millisecond
			for _, id := range []string{"w", "x", "y", "z"} {
				if id != stalled {
					percent[id] = int((c.now - startedAt) / (50 * time.Millisecond))
				}
			}
			if c.now > startedAt+500*time.Millisecond { // the other runs end, which frees capacity for the move
				c.endRuns(stalled)
			}
			c.answerAll(percent)
			c.runPasses()
			stopped = c.stops
		}
		So(stopped, ShouldHaveLength, 1)
		So(stopped[0].Worker.ID, ShouldEqual, stalled)
		So(c.now-startedAt, ShouldBeLessThan, 1500*time.Millisecond)
		c.submit("more", jobs.Step{Count: 3, Estimate: time.Second, Needs: jobs.Resources{MilliCPU: 1000}})
		c.runPasses()
		So(c.starts, ShouldHaveLength, 3)
		for _, s := range c.starts {
			So(s.Worker.ID, ShouldNotEqual, stalled)
		}
	})
	Convey("Stalled workers are sent starts if more than a quarter of the workers are stalled", t, func() {
		c := newReadyCluster()
		c.core.workers["w"].cooldown.stalledAt = c.now
		c.submit("j", jobs.Step{Count: 1, Estimate: time.Second, Needs: jobs.Resources{MilliCPU: 1000}})
		c.runPasses()
		So(c.starts, ShouldHaveLength, 1)
	})
	Convey("A stalled worker is sent starts again after progress of any run, or after stalledBackoff", t, func() {
		for _, recovery := range []string{"progress", "time"} {
			c := newReadyCluster()
			c.addWorkers("x", "y", "z")
			c.submit("j", jobs.Step{Count: 4, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 3000}})
			c.runPasses()
			c.accept()
			w := c.core.workers["w"]
			w.cooldown.stalledAt = c.now
			c.submit("more", jobs.Step{Count: 4, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1000}})
			c.runPasses()
			So(c.starts, ShouldHaveLength, 3)
			c.accept()
			if recovery == "time" {
				c.now += stalledBackoff
			} else {
				c.answerAll(map[string]int{"w": 1})
			}
			c.now += sweepInterval
			c.runPasses()
			So(fmt.Sprint(recovery, len(c.starts)), ShouldEqual, fmt.Sprint(recovery, 1))
			So(c.starts[0].Worker.ID, ShouldEqual, "w")
		}
	})
}
