package jobs

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomChanges applies random changes to a table and to a copy that is sometimes encoded and decoded. Both must
// return the same answers and encode to the same bytes, their indexes must equal a scan of all records, the recorded
// starts must be those of the model expectedStarts, and each job must belong to the queue that served it last.
func TestRandomChanges(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		live, decodedCopy := testTableBeforeSchemas(), testTableBeforeSchemas()
		random := generator{rt, live}
		served := servedJobs{}
		if rapid.Bool().Draw(rt, "upgraded") {
			must(live.UpgradeSchema(UpgradeSchema{Schema: NewestSchema}))
			must(decodedCopy.UpgradeSchema(UpgradeSchema{Schema: NewestSchema}))
		}
		for range rapid.IntRange(30, 90).Draw(rt, "changes") {
			change := random.change()
			progress, isProgress := change.(Progress)
			var expected []bool
			if isProgress {
				expected = expectedStarts(live, progress)
			}
			answer, copyAnswer := apply(live, change), apply(decodedCopy, change)
			if answer != copyAnswer {
				rt.Fatalf("%+v: table answers %s, copy answers %s", change, answer, copyAnswer)
			}
			if isProgress && answer != fmt.Sprint(ProgressResult{Recorded: expected}, nil) {
				rt.Fatalf("%+v: answer %s, the model expects %v", progress, answer, expected)
			}
			countCases(seen, live, progress.Starts, expected)
			served.observe(live)
			checkQueues(rt, live, served)
			checkQueues(rt, decodedCopy, served)
			if live.bytes() != decodedCopy.bytes() {
				rt.Fatalf("%+v: tables differ", change)
			}
			checkIndexes(rt, live)
			checkIndexes(rt, decodedCopy)
			if rapid.Bool().Draw(rt, "copy") {
				decodedCopy = decodedCopy.decodedCopy()
			}
		}
	})
	t.Logf("cases: %v", seen)
	for _, name := range []string{
		"start", "no start", "gang", "last queue", "start by last queue", "renamed", string(Succeeded), string(Failed), string(Cancelled), "retired",
	} {
		if seen[name] == 0 {
			t.Errorf("no case of %q was drawn: %v", name, seen)
		}
	}
}

// countCases counts the recorded and refused starts, and the jobs of the table by state.
func countCases(seen map[string]int, t *Table, starts []Start, recorded []bool) {
	for i, isRecorded := range recorded {
		seen[map[bool]string{true: "start", false: "no start"}[isRecorded]]++
		if job := t.Jobs[starts[i].Task.Job]; isRecorded && job.LastQueue != nil {
			seen["start by last queue"]++
		}
	}
	for _, job := range t.Jobs {
		seen[string(job.State)]++
		if job.Rounds == nil {
			seen["retired"]++
			continue
		}
		if job.LastQueue != nil {
			seen["last queue"]++
		}
		if t.QueueName(job) != job.Spec.Queue {
			seen["renamed"]++
		}
		for i, step := range job.Spec.Steps {
			if step.Gang && len(job.Rounds[0][i][0].Handles) > 0 {
				seen["gang"]++
			}
		}
	}
}

// apply applies a change and returns its answer as text.
func apply(t *Table, change any) string {
	var answer any
	var err error
	switch c := change.(type) {
	case Submit:
		answer, err = t.Submit(c)
	case Cancel:
		answer, err = t.Cancel(c)
	case Configure:
		err = t.Configure(c)
	case UpgradeSchema:
		err = t.UpgradeSchema(c)
	case Evacuate:
		err = t.Evacuate(c)
	case Register:
		t.Register(c)
	case time.Time:
		t.Purge(c)
	case Progress:
		var started ProgressResult
		if started, err = t.Progress(testTerm, c); err == nil {
			return fmt.Sprint(started, nil)
		}
	}
	return fmt.Sprint(answer, err)
}

// checkIndexes compares the indexes with a scan of all records.
func checkIndexes(rt *rapid.T, t *Table) {
	used, runs, queued := map[string]Resources{}, map[string][]RunKey{}, map[string]int{}
	eachHandle(t, func(ref TaskRef, handle Handle, needs Resources) {
		used[handle.Worker] = used[handle.Worker].plus(needs, 1)
		runs[handle.Worker] = append(runs[handle.Worker], RunKey{ref, handle.Number})
	})
	for _, id := range []string{"w1", "w2", "w3", "g1"} {
		slices.SortFunc(runs[id], RunKey.Compare)
		if t.Used(id) != used[id] || !reflect.DeepEqual(t.RunsOn(id), runs[id]) {
			rt.Fatalf("worker %s: used %v, runs %v; scanned %v, %v", id, t.Used(id), t.RunsOn(id), used[id], runs[id])
		}
		if len(runs[id]) > 0 && t.Workers[id] == nil {
			rt.Fatalf("worker %s has handles, but its record was deleted", id)
		}
	}
	footprint := int64(0)
	for _, job := range t.Jobs {
		if serving := expectedServing(t, &job.Spec); serving != nil && job.State == Queued {
			queued[serving.Name]++
		}
		footprint += footprintOf(job)
		checkJob(rt, t, job)
	}
	if t.Footprint() != footprint {
		rt.Fatalf("the footprint is %d, scanned %d", t.Footprint(), footprint)
	}
	for _, queue := range []string{"plain", "guarded", "other", "longer"} {
		if t.QueuedCount(queue) != queued[queue] {
			rt.Fatalf("queue %s: QueuedCount is %d, scanned %d", queue, t.QueuedCount(queue), queued[queue])
		}
	}
}

// checkQueues compares QueueOf with the queues that served the jobs last. A retired job has none.
func checkQueues(rt *rapid.T, t *Table, served servedJobs) {
	for id, job := range t.Jobs {
		if job.Rounds == nil {
			continue
		}
		var got, want Queue
		if queue := t.QueueOf(job); queue != nil {
			got = *queue
		}
		want = served[id]
		got.Document, want.Document = nil, nil
		if !reflect.DeepEqual(got, want) {
			rt.Fatalf("job %s, location %v: its queue is %+v, it was served last by %+v", id, job.Spec.Location, got, want)
		}
	}
}

// countTasks counts the handles of a job's tasks and the tasks that are not done, and checks that no task has more than
// one handle.
func countTasks(rt *rapid.T, job *Job) (handles, undone int) {
	for _, steps := range job.Rounds {
		for _, tasks := range steps {
			for _, task := range tasks {
				if handles += len(task.Handles); len(task.Handles) > 1 {
					rt.Fatalf("job %s: a task has more than one handle", job.Spec.ID)
				}
				if !task.Done {
					undone++
				}
			}
		}
	}
	return handles, undone
}

// checkJob compares the index of a job with a scan of its tasks, and checks that its state agrees with them.
func checkJob(rt *rapid.T, t *Table, job *Job) {
	handles, undone := countTasks(rt, job)
	if job.State.IsTerminal() && (job.Rounds == nil) != (handles == 0) || job.Rounds == nil && len(job.Spec.Steps) > 0 {
		rt.Fatalf("job %s is %s with %d handles, rounds %v", job.Spec.ID, job.State, handles, job.Rounds)
	}
	if job.Rounds != nil && !job.State.IsTerminal() && undone == 0 {
		rt.Fatalf("job %s is %s, but all its tasks are done", job.Spec.ID, job.State)
	}
	if job.index.handles != handles || job.index.undone != undone {
		rt.Fatalf("job %s: index %+v, scanned %d handles, %d undone", job.Spec.ID, job.index, handles, undone)
	}
	checkReady(rt, t, job)
}

// checkReady compares IsStepReady with a scan of the tasks that each step depends on.
func checkReady(rt *rapid.T, t *Table, job *Job) {
	for round, steps := range job.Rounds {
		for step := range steps {
			ready := true
			for _, before := range job.Spec.Steps[step].After {
				ready = ready && !slices.ContainsFunc(steps[before], func(task Task) bool { return !task.Done })
			}
			if t.IsStepReady(job, round, step) != ready {
				rt.Fatalf("job %s, round %d, step %d: IsStepReady differs from scanned %v", job.Spec.ID, round, step, ready)
			}
		}
	}
}
