package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// maxIdle is how long a job may have nothing running while its service has capacity for it twice over and less than half
// of each resource is in use.
const maxIdle = 3 * time.Second

// idleWatch measures for how long the jobs of a fleet are idle although they could run, as workers and clients see it.
type idleWatch struct {
	*fleet
	since   map[string]time.Duration
	longest map[string]time.Duration // by job
}

func newIdleWatch(f *fleet) *idleWatch {
	return &idleWatch{fleet: f, since: map[string]time.Duration{}, longest: map[string]time.Duration{}}
}

// advanceFor advances the fleet by a period and observes all jobs.
func (w *idleWatch) advanceFor(period time.Duration) {
	for end := w.now + period; w.now < end; {
		w.advance()
		for id, j := range w.table.Jobs {
			if !w.isIdle(j) {
				delete(w.since, id)
				continue
			}
			if w.since[id] == 0 {
				w.since[id] = w.now
			}
			w.longest[id] = max(w.longest[id], w.now-w.since[id])
		}
	}
}

// isIdle reports whether a job has nothing running although a step of it could run.
func (w *idleWatch) isIdle(j *jobs.Job) bool {
	if j.State.IsTerminal() || w.runningTasks(j.Spec.ID) > 0 {
		return false
	}
	for index := range j.Spec.Steps {
		step := &j.Spec.Steps[index]
		isDue := w.table.IsStepReady(j, 0, index) && len(dueTasks(j.Rounds[0][index], step.Gang)) > 0
		if isDue && w.hasCapacityTwice(step) && (step.LongRunning || w.isHalfFree()) {
			return true
		}
	}
	return false
}

func (w *idleWatch) runningTasks(id string) (count int) {
	for _, runs := range w.running {
		for key := range runs {
			if key.Task.Job == id {
				count++
			}
		}
	}
	return count
}

// used returns what the runs on a worker use.
func (w *idleWatch) used(worker string) (used jobs.Resources) {
	for key := range w.running[worker] {
		if r := w.core.runs[key]; r != nil {
			used = plus(used, r.needs)
		}
	}
	return used
}

// hasCapacityTwice reports whether the workers have free capacity for two tasks of a step, or for its gang twice.
func (w *idleWatch) hasCapacityTwice(step *jobs.Step) bool {
	wanted := 2
	if step.Gang {
		wanted *= step.Count
	}
	for id, worker := range w.table.Workers {
		free := minus(worker.Capacity, w.used(id))
		for wanted > 0 && !w.table.Evacuated[worker.Zone] && fits(free, step.Needs) {
			free = minus(free, step.Needs)
			wanted--
		}
	}
	return wanted == 0
}

func (w *idleWatch) isHalfFree() bool {
	var capacity, used jobs.Resources
	for id, worker := range w.table.Workers {
		if !w.table.Evacuated[worker.Zone] {
			capacity, used = plus(capacity, worker.Capacity), plus(used, w.used(id))
		}
	}
	return 2*used.MilliCPU < capacity.MilliCPU && 2*used.MemoryMB < capacity.MemoryMB && 2*used.GPUs < capacity.GPUs
}

// Durations of the tasks of the tests by estimate: those of a long estimate take far longer than estimated.
const (
	longEstimate = 7500 * time.Millisecond
	longDuration = 19 * time.Second
)

// newMatchFleet returns a fleet of four workers with accelerators in two racks and zones. Each runs a task that takes
// longDuration and uses the given resources.
func newMatchFleet(busy jobs.Resources) *idleWatch {
	var workers []jobs.Worker
	for i := range 4 {
		id := fmt.Sprint("w", i)
		rack := fmt.Sprint("r", i/2)
		workers = append(workers, jobs.Worker{ID: id, Address: id + ":1", Service: "s", Zone: fmt.Sprint("z", i/2), Rack: rack,
			Labels: []string{rack}, Capacity: jobs.Resources{MilliCPU: 64000, MemoryMB: 262144, GPUs: 8}})
	}
	f := newFleet(workers...)
	f.duration = func(estimate time.Duration) time.Duration {
		if estimate == longEstimate {
			return longDuration
		}
		return estimate
	}
	for _, worker := range workers {
		f.sendHeartbeats(worker.ID)
	}
	w := newIdleWatch(f)
	w.advanceFor(time.Second)
	if busy != (jobs.Resources{}) {
		w.submit("busy", jobs.Step{Count: 4, MaxPerWorker: 1, Needs: busy, Estimate: longEstimate})
		w.advanceFor(100 * time.Millisecond)
		So(w.runningTasks("busy"), ShouldEqual, 4)
	}
	return w
}

// matchTask returns the needs of a task of the class that needs accelerators.
func matchTask(gpus int) jobs.Resources {
	return jobs.Resources{MilliCPU: 13000, MemoryMB: 54000, GPUs: gpus}
}

// TestNoIdleJobBesideReservation guards against a job that starts nothing although its service is mostly idle, because
// capacity is set aside for other work that can't start yet.
func TestNoIdleJobBesideReservation(t *testing.T) {
	small := jobs.Step{Count: 1, Needs: matchTask(1), Estimate: longEstimate}
	gang := jobs.Step{Count: 8, Gang: true, Needs: matchTask(4), Estimate: longEstimate}
	wide := jobs.Step{Count: 8, Needs: jobs.Resources{MilliCPU: 52000, MemoryMB: 54000, GPUs: 4}, Estimate: longEstimate}
	sameRack := jobs.Step{Count: 4, Gang: true, SameRack: true, Needs: matchTask(4), Estimate: longEstimate}
	longRunning, smallGang, smallWide := small, small, small
	longRunning.LongRunning = true
	smallGang.Gang, smallGang.Count = true, 2
	smallWide.Count = 6
	for _, tt := range []struct {
		name  string
		busy  jobs.Resources
		queue string // of the waiting jobs
		large []jobs.Step
		small jobs.Step
		after func(w *idleWatch) // a change once the large jobs wait
	}{
		{"a gang", matchTask(1), "q", []jobs.Step{gang}, small, nil},
		{"a gang, and the job is a gang, too", matchTask(1), "q", []jobs.Step{gang}, smallGang, nil},
		{"a gang, and the job is wide", matchTask(1), "q", []jobs.Step{gang}, smallWide, nil},
		{"a gang, and the job is long-running", matchTask(1), "q", []jobs.Step{gang}, longRunning, nil},
		{"a gang in a full service, and the job is long-running", jobs.Resources{MilliCPU: 36000, MemoryMB: 54000, GPUs: 1},
			"q", []jobs.Step{gang}, longRunning, nil},
		{"two gangs", matchTask(1), "q", []jobs.Step{sameRack, gang}, small, nil},
		{"a wide step", matchTask(1), "q", []jobs.Step{wide}, small, nil},
		{"a gang that needs one rack", matchTask(1), "q", []jobs.Step{sameRack, sameRack}, small, nil},
		{"a gang of another priority", matchTask(1), "urgent", []jobs.Step{gang}, small, nil},
		{"a wide step of another priority", matchTask(1), "urgent", []jobs.Step{wide}, small, nil},
		{"a gang that fits no longer as a zone is evacuated", matchTask(1), "q", []jobs.Step{gang}, small,
			func(w *idleWatch) { w.table.Evacuate(jobs.Evacuate{Zone: "z1", Start: true}) }},
		{"a wide step while a zone is evacuated", matchTask(1), "q", []jobs.Step{wide}, small,
			func(w *idleWatch) { w.table.Evacuate(jobs.Evacuate{Zone: "z1", Start: true}) }},
	} {
		Convey("No job is idle for long beside "+tt.name, t, func() {
			w := newMatchFleet(tt.busy)
			for i, step := range tt.large {
				w.submitTo(tt.queue, fmt.Sprint("large", i), step)
			}
			w.advanceFor(time.Second)
			if tt.after != nil {
				tt.after(w)
			}
			for i := range 3 {
				w.submit(fmt.Sprint("small", i), tt.small)
				w.advanceFor(1700 * time.Millisecond)
			}
			w.advanceFor(longDuration)
			for i := range 3 {
				id := fmt.Sprint("small", i)
				So([]any{id, w.longest[id] < maxIdle}, ShouldResemble, []any{id, true})
			}
		})
	}
}

// TestBlockedUnitForgotten guards against a reservation that is open to all, because a unit that was blocked before and
// placed since still counts as blocked.
func TestBlockedUnitForgotten(t *testing.T) {
	Convey("After a blocked unit was placed in the ordinary way, others wait for MaxBlocked", t, func() {
		w := newMatchFleet(matchTask(1))
		gang := jobs.Step{Count: 8, Gang: true, Needs: matchTask(4), Estimate: longEstimate}
		small := jobs.Step{Count: 1, Needs: matchTask(1), Estimate: longEstimate}
		w.submit("gang", gang)
		w.advanceFor(time.Second)
		w.submit("first", small)
		w.advanceFor(time.Second)
		So(w.runningTasks("first"), ShouldEqual, 0)
		_, err := w.table.Cancel(jobs.Cancel{ID: "gang", At: w.wall()})
		So(err, ShouldBeNil)
		w.advanceFor(100 * time.Millisecond)
		So(w.runningTasks("first"), ShouldEqual, 1)
		w.submit("another gang", gang)
		w.advanceFor(time.Second)
		w.submit("second", small)
		w.advanceFor(Defaults().MaxBlocked - 200*time.Millisecond)
		So(w.runningTasks("second"), ShouldEqual, 0)
		w.advanceFor(400 * time.Millisecond)
		So(w.runningTasks("second"), ShouldEqual, 1)
	})
}

// TestBackfillAvoidsWorker guards against a task that is backfilled on the worker on which it has just failed, although
// others have capacity.
func TestBackfillAvoidsWorker(t *testing.T) {
	Convey("A backfilled task avoids the worker on which it failed", t, func() {
		for _, avoided := range []string{"w0", "w1", "w2", "w3"} {
			w := newMatchFleet(matchTask(1))
			w.submit("gang", jobs.Step{Count: 8, Gang: true, Needs: matchTask(4), Estimate: longEstimate})
			w.advanceFor(time.Second)
			w.submit("small", jobs.Step{Count: 1, Needs: matchTask(1), Estimate: longEstimate})
			w.core.history.avoid[jobs.TaskRef{Job: "small"}] = avoided
			w.advanceFor(2 * time.Second)
			So(w.runningTasks("small"), ShouldEqual, 1)
			for key := range w.running[avoided] {
				So(key.Task.Job, ShouldNotEqual, "small")
			}
		}
	})
}

// gangWait submits a gang that needs each worker whole into a stream of small jobs, each of one task that takes
// smallDuration, and returns how long the gang waits, at most limit.
func gangWait(interval, smallDuration, limit time.Duration, needs jobs.Resources) time.Duration {
	w := newMatchFleet(jobs.Resources{})
	submitted := 0
	stream := func(period time.Duration) {
		for end := w.now + period; w.now < end && w.runningTasks("gang") == 0; {
			w.submit(fmt.Sprint("small", submitted), jobs.Step{Count: 1, Needs: needs, Estimate: smallDuration})
			submitted++
			w.advanceFor(interval)
		}
	}
	stream(5 * time.Second)
	w.submit("gang", jobs.Step{Count: 8, Gang: true, Needs: matchTask(4), Estimate: 5 * time.Second})
	from := w.now
	stream(limit)
	for id, longest := range w.longest {
		if id != "gang" {
			So([]any{id, longest < maxIdle}, ShouldResemble, []any{id, true})
		}
	}
	return w.now - from
}

// TestGangBesideStream guards against a large gang that starves beside a stream of small jobs, because each of them takes
// a part of the capacity that has become free.
func TestGangBesideStream(t *testing.T) {
	for _, tt := range []struct {
		interval, duration time.Duration
		needs              jobs.Resources
	}{
		{250 * time.Millisecond, 3 * time.Second, matchTask(1)},
		{250 * time.Millisecond, 3 * time.Second, jobs.Resources{MilliCPU: 2000, MemoryMB: 4000, GPUs: 1}},
		{250 * time.Millisecond, time.Second, matchTask(1)},
		{100 * time.Millisecond, time.Second, matchTask(1)},
		{time.Second, 3 * time.Second, matchTask(1)},
		{time.Second, 8 * time.Second, matchTask(1)},
	} {
		Convey(fmt.Sprintf("A gang that needs all workers starts beside a small job of %s each %s, with %+v", tt.duration,
			tt.interval, tt.needs), t, func() {
			const limit = 60 * time.Second
			wait := gangWait(tt.interval, tt.duration, limit, tt.needs)
			t.Logf("small jobs of %s each %s, %+v: the gang waited %s", tt.duration, tt.interval, tt.needs, wait)
			So(wait, ShouldBeLessThan, limit)
		})
	}
}
