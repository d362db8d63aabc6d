package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestPreemptedCapacityIsReserved(t *testing.T) {
	Convey("Capacity that becomes free for an urgent task is not used by less urgent ones", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 4, Needs: jobs.Resources{MilliCPU: 2000}, Estimate: time.Hour})
		c.runPasses()
		So(len(c.starts), ShouldEqual, 2)
		c.accept()
		first, second := c.starts[0].Order.Key, c.starts[1].Order.Key
		c.answer(RenewalAnswer{Running: []ListedRun{{Key: first}, {Key: second}}})
		c.submitTo("urgent", "u", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 4000}, Estimate: time.Second})
		c.runPasses()
		So(len(c.stops)+len(c.starts), ShouldEqual, 0) // they are sent by the pass after the decision
		c.runPasses()
		So(len(c.stops), ShouldEqual, 2)
		c.answer(RenewalAnswer{Running: []ListedRun{{Key: second}},
			Ended: []EndedRun{{Sequence: 1, Key: first, Reason: jobs.EndStopped}}})
		c.runPasses()
		So(c.starts, ShouldBeEmpty)
		c.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 2, Key: second, Reason: jobs.EndStopped}}})
		c.runPasses()
		So(len(c.starts), ShouldEqual, 1)
		So(c.starts[0].Order.Key.Task.Job, ShouldEqual, "u")
	})
}

func TestVictims(t *testing.T) {
	Convey("Given a full node of 4 cores, and a task of priority 1 that needs some", t, func() {
		const now = time.Minute
		at := func(index, cores, priority int, age time.Duration) *run {
			return &run{key: jobs.RunKey{Task: jobs.TaskRef{Index: index}}, needs: jobs.Resources{MilliCPU: 1000 * cores},
				priority: priority, start: startState{sent: true, sentAt: now - age}, progress: runProgress{listed: true}}
		}
		gang, checkpointed := at(1, 2, 2, time.Second), at(1, 2, 2, 4*time.Second)
		longRunning, stopping := at(1, 2, 2, time.Second), at(1, 2, 2, 0)
		gang.gang, checkpointed.progress.checkpoint = true, "c"
		longRunning.longRunning, stopping.stop.wanted = true, true
		long, short := at(0, 2, 2, 3*time.Second), at(1, 2, 2, time.Second)
		for _, c := range []struct {
			name  string
			runs  []*run
			needs int
			want  []int // indexes of the victims' tasks; nil: not enough may be preempted
			waste float64
		}{
			{"the run with the least work is stopped", []*run{long, short}, 2, []int{1}, 2},
			{"and more until the task fits", []*run{long, short}, 4, []int{1, 0}, 8},
			{"of equal ones the first", []*run{at(1, 2, 2, time.Second), at(0, 2, 2, time.Second)}, 2, []int{0}, 2},
			{"none that is as urgent", []*run{at(0, 2, 1, time.Second), at(1, 2, 2, time.Hour)}, 2, []int{1}, 7200},
			{"so that there may be too few", []*run{at(0, 2, 1, time.Second), at(1, 2, 2, time.Hour)}, 4, nil, 0},
			{"none of a gang", []*run{at(0, 2, 2, time.Hour), gang}, 2, []int{0}, 7200},
			{"none that is being stopped", []*run{at(0, 2, 2, time.Hour), stopping}, 2, []int{0}, 7200},
			{"a checkpoint saves three quarters of the work", []*run{at(0, 2, 2, 2*time.Second), checkpointed}, 2, []int{1}, 2},
			{"long-running work counts a little more", []*run{at(0, 2, 2, 2*time.Second), longRunning}, 2, []int{1}, 3},
		} {
			Convey(c.name, func() {
				n := &node{worker: &worker{runs: map[jobs.RunKey]*run{}}}
				for _, r := range c.runs {
					n.worker.runs[r.key] = r
				}
				u := &unit{step: &jobs.Step{Needs: jobs.Resources{MilliCPU: 1000 * c.needs}}, queue: &jobs.Queue{Priority: 1}}
				victims, waste, ok := (&placement{now: now}).victims(u, n)
				So(ok, ShouldEqual, c.want != nil)
				if !ok {
					return
				}
				var indexes []int
				for _, r := range victims {
					indexes = append(indexes, r.key.Task.Index)
				}
				So(indexes, ShouldResemble, c.want)
				So(waste, ShouldAlmostEqual, c.waste, 1e-9)
			})
		}
	})
}
