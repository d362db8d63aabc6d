package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// TestPreemptedCapacityIsReserved guards against an urgent task that waits forever: the stopped runs end one after the
// other, and less urgent tasks would take each freed part before the capacity suffices for the urgent task.
func TestPreemptedCapacityIsReserved(t *testing.T) {
	Convey("Capacity that preemption frees for an urgent task is not used by less urgent ones", t, func() {
		c := newReadyCluster()
		c.submit("j", jobs.Step{Count: 4, Needs: jobs.Resources{MilliCPU: 2000}, Estimate: time.Hour})
		c.runPasses()
		So(len(c.starts), ShouldEqual, 2)
		c.accept()
		first, second := c.starts[0].Order.Key, c.starts[1].Order.Key
		c.answer(RenewalAnswer{Running: []ListedRun{{Key: first}, {Key: second}}})
		c.submitTo("urgent", "u", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 4000}, Estimate: time.Second})
		c.runPasses()
		So(len(c.stops)+len(c.starts), ShouldEqual, 0) // the stops are sent by the pass after the decision
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
	Convey("Given a full node of 4 cores, and a task of priority 1 that needs a part of them", t, func() {
		const now = time.Minute
		newRun := func(index, cores, priority int, age time.Duration) *run {
			return &run{key: jobs.RunKey{Task: jobs.TaskRef{Index: index}}, needs: jobs.Resources{MilliCPU: 1000 * cores},
				priority: priority, start: startState{sent: true, sentAt: now - age}, progress: runProgress{listed: true}}
		}
		gang, checkpointed := newRun(1, 2, 2, time.Second), newRun(1, 2, 2, 4*time.Second)
		longRunning, stopping := newRun(1, 2, 2, time.Second), newRun(1, 2, 2, 0)
		gang.gang, checkpointed.progress.checkpoint = true, "c"
		longRunning.longRunning, stopping.stop.requested = true, true
		long, short := newRun(0, 2, 2, 3*time.Second), newRun(1, 2, 2, time.Second)
		for _, tt := range []struct {
			name  string
			runs  []*run
			needs int
			want  []int // indexes of the victims' tasks; nil: not enough is preemptible
			waste float64
		}{
			{"the run with the least work is stopped", []*run{long, short}, 2, []int{1}, 2},
			{"further runs are stopped until the task fits", []*run{long, short}, 4, []int{1, 0}, 8},
			{"of equal runs the one with the lowest key is stopped",
				[]*run{newRun(1, 2, 2, time.Second), newRun(0, 2, 2, time.Second)}, 2, []int{0}, 2},
			{"a run of the same priority is not stopped",
				[]*run{newRun(0, 2, 1, time.Second), newRun(1, 2, 2, time.Hour)}, 2, []int{1}, 7200},
			{"no run is stopped if the less urgent ones do not free enough capacity",
				[]*run{newRun(0, 2, 1, time.Second), newRun(1, 2, 2, time.Hour)}, 4, nil, 0},
			{"a gang member is not stopped", []*run{newRun(0, 2, 2, time.Hour), gang}, 2, []int{0}, 7200},
			{"a run that is being stopped is not chosen",
				[]*run{newRun(0, 2, 2, time.Hour), stopping}, 2, []int{0}, 7200},
			{"a checkpoint saves three quarters of the work",
				[]*run{newRun(0, 2, 2, 2*time.Second), checkpointed}, 2, []int{1}, 2},
			{"a long-running run counts as one core-second more",
				[]*run{newRun(0, 2, 2, 2*time.Second), longRunning}, 2, []int{1}, 3},
		} {
			Convey(tt.name, func() {
				n := &node{worker: &worker{runs: map[jobs.RunKey]*run{}}}
				for _, r := range tt.runs {
					n.worker.runs[r.key] = r
				}
				u := &unit{step: &jobs.Step{Needs: jobs.Resources{MilliCPU: 1000 * tt.needs}}, queue: &jobs.Queue{Priority: 1}}
				victims, waste, ok := (&placement{now: now}).victims(u, n)
				So(ok, ShouldEqual, tt.want != nil)
				if !ok {
					return
				}
				var indexes []int
				for _, r := range victims {
					indexes = append(indexes, r.key.Task.Index)
				}
				So(indexes, ShouldResemble, tt.want)
				So(waste, ShouldAlmostEqual, tt.waste, 1e-9)
			})
		}
	})
}
