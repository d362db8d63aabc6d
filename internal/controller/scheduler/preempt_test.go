package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestPreemptedCapacityIsReserved(t *testing.T) {
	Convey("Capacity that becomes free for an urgent task is not used by less urgent ones", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 4, Needs: jobs.Resources{MilliCPU: 2000}, Estimate: time.Hour})
		h.pass()
		So(len(h.starts), ShouldEqual, 2)
		h.accept()
		first, second := h.starts[0].Order.Key, h.starts[1].Order.Key
		h.answer(RenewalAnswer{Running: []ListedRun{{Key: first}, {Key: second}}})
		h.submitTo("urgent", "u", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 4000}, Estimate: time.Second})
		h.pass()
		So(len(h.stops)+len(h.starts), ShouldEqual, 0) // they are sent by the pass after the decision
		h.pass()
		So(len(h.stops), ShouldEqual, 2)
		h.answer(RenewalAnswer{Running: []ListedRun{{Key: second}}, Ended: []EndedRun{{Sequence: 1, Key: first, Reason: jobs.EndStopped}}})
		h.pass()
		So(h.starts, ShouldBeEmpty)
		h.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 2, Key: second, Reason: jobs.EndStopped}}})
		h.pass()
		So(len(h.starts), ShouldEqual, 1)
		So(h.starts[0].Order.Key.Task.Job, ShouldEqual, "u")
	})
}

func TestVictims(t *testing.T) {
	Convey("Given a full node of 4 cores, and a task of priority 1 that needs some", t, func() {
		const now = time.Minute
		at := func(index, cores, priority int, age time.Duration) *run {
			return &run{key: jobs.RunKey{Task: jobs.TaskRef{Index: index}}, needs: jobs.Resources{MilliCPU: 1000 * cores},
				priority: priority, start: startState{sent: true, sentAt: now - age}, progress: runProgress{listed: true}}
		}
		gang, checkpointed, longRunning, stopping := at(1, 2, 2, time.Second), at(1, 2, 2, 4*time.Second), at(1, 2, 2, time.Second), at(1, 2, 2, 0)
		gang.gang, checkpointed.progress.checkpoint, longRunning.longRunning, stopping.stop.wanted = true, "c", true, true
		for _, c := range []struct {
			name  string
			runs  []*run
			needs int
			want  []int // indexes of the victims' tasks; nil: not enough may be preempted
			waste float64
		}{
			{"the run with the least work is stopped", []*run{at(0, 2, 2, 3*time.Second), at(1, 2, 2, time.Second)}, 2, []int{1}, 2},
			{"and more until the task fits", []*run{at(0, 2, 2, 3*time.Second), at(1, 2, 2, time.Second)}, 4, []int{1, 0}, 8},
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
				var got []int
				for _, r := range victims {
					got = append(got, r.key.Task.Index)
				}
				So(got, ShouldResemble, c.want)
				So(waste, ShouldAlmostEqual, c.waste, 1e-9)
			})
		}
	})
}
