package jobs

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomChanges draws changes and makes them on a table and on one that is now and then encoded and decoded. Both
// must stay equal to the byte, answer alike and keep what is derived equal to a count by hand; each start must be
// recorded exactly when a check by hand of all its preconditions says so.
func TestRandomChanges(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		live, decodedCopy := testTable(), testTable()
		random := generator{rt, live}
		for range rapid.IntRange(30, 90).Draw(rt, "changes") {
			change := random.change()
			want, isProgress := change.(Progress)
			var expected []bool
			if isProgress {
				expected = expectedStarts(live, want)
			}
			answer, again := apply(live, change), apply(decodedCopy, change)
			if answer != again {
				rt.Fatalf("%+v: answers %s and %s", change, answer, again)
			}
			if isProgress && answer != fmt.Sprint(Started{Recorded: expected}, nil) {
				rt.Fatalf("%+v: answer %s, by hand %v", want, answer, expected)
			}
			countCases(seen, live, expected)
			if live.bytes() != decodedCopy.bytes() {
				rt.Fatalf("%+v: tables differ", change)
			}
			checkDerived(rt, live)
			checkDerived(rt, decodedCopy)
			if rapid.Bool().Draw(rt, "copy") {
				decodedCopy = decodedCopy.decodedCopy()
			}
		}
	})
	t.Logf("cases: %v", seen)
	for _, name := range []string{"start", "no start", "gang", string(Succeeded), string(Failed), string(Cancelled), "retired"} {
		if seen[name] == 0 {
			t.Errorf("no case of %q was drawn: %v", name, seen)
		}
	}
}

func countCases(seen map[string]int, t *Table, recorded []bool) {
	for _, yes := range recorded {
		seen[map[bool]string{true: "start", false: "no start"}[yes]]++
	}
	for _, job := range t.Jobs {
		seen[string(job.State)]++
		if job.Rounds == nil {
			seen["retired"]++
			continue
		}
		for i, step := range job.Spec.Steps {
			if step.Gang && len(job.Rounds[0][i][0].Runs) > 0 {
				seen["gang"]++
			}
		}
	}
}

// apply makes a change and gives its answer as text.
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
	case Evacuate:
		err = t.Evacuate(c)
	case Register:
		err = t.Register(c)
	case time.Time:
		t.Purge(c)
	case Progress:
		var started Started
		if started, err = t.Progress(testTerm, c); err == nil {
			return fmt.Sprint(started, nil)
		}
	}
	return fmt.Sprint(answer, err)
}

// generator draws changes that often fit what stands in a table.
type generator struct {
	*rapid.T
	table *Table
}

func (d generator) number(name string, least, most int) int {
	return rapid.IntRange(least, most).Draw(d.T, name)
}

func pick[T any](d generator, name string, list ...T) T {
	return rapid.SampledFrom(list).Draw(d.T, name)
}

func (d generator) at() time.Time {
	return noon.Add(time.Duration(d.number("at", 0, 50)) * time.Second)
}

func (d generator) worker() string { return pick(d, "worker", "w1", "w2", "w3", "g1") }

func (d generator) change() any {
	switch n := d.number("kind", 0, 31); {
	case n < 20 && len(d.table.Jobs) > 0: // small numbers are drawn more often
		return d.progress()
	case n < 26:
		return d.submit()
	case n == 26:
		return d.configure()
	case n == 27:
		return Evacuate{Zone: pick(d, "zone", "zone-1", "zone-2"), Start: d.number("start", 0, 3) == 3}
	case n == 28:
		return d.register()
	case n == 29:
		return Cancel{ID: pick(d, "id", "a", "b", "c"), At: d.at()}
	default:
		return d.at()
	}
}

func (d generator) submit() Submit {
	steps := make([]Step, d.number("steps", 1, 2))
	for i := range steps {
		steps[i] = Step{
			Count: d.number("count", 1, 3), Needs: Resources{MilliCPU: 500 * d.number("cores", 0, 2)},
			MaxPerWorker: pick(d, "most", 0, 0, 1, 2), Label: pick(d, "label", "", "", "", "ssd", "fast"),
			Gang: d.number("gang", 0, 2) == 2, LongRunning: d.number("lasting", 0, 5) == 5,
		}
		if i > 0 && d.number("after", 0, 1) == 0 {
			steps[i].After = []int{0}
		}
	}
	c := testJob(pick(d, "id", "a", "b", "c", "d"), steps...)
	c.Spec.Queue, c.Spec.Rounds = pick(d, "queue", "plain", "plain", "guarded", "plain", "guarded", "none"), d.number("rounds", 0, 2)
	return c
}

func (d generator) configure() Configure {
	c := testConfig()
	c.Base = d.table.Config.Version
	c.Version = c.Base + uint64(d.number("step", 0, 2))
	c.Digest = fmt.Sprint("order ", d.number("order", 0, 9))
	c.Queues[0].MaxAttempts = d.number("attempts", 1, 3)
	if d.number("remove", 0, 3) == 3 {
		c.Queues = c.Queues[1:]
		c.RemoveQueues = []string{"plain"}
	}
	return c
}

func (d generator) register() Register {
	id := d.worker()
	worker := testWorker(id, map[byte]string{'w': "open", 'g': "guard"}[id[0]])
	worker.Draining, worker.Left = d.number("draining", 0, 9) == 9, d.number("left", 0, 9) == 9
	if d.number("fast", 0, 1) == 0 {
		worker.Labels = append(worker.Labels, "fast")
	}
	return Register{Workers: []Worker{worker}}
}

func (d generator) progress() Progress {
	p := Progress{Term: testTerm, At: d.at()}
	for range d.number("ends", 0, 3) {
		keys := d.table.RunsOn(d.worker())
		if len(keys) == 0 {
			continue
		}
		key := pick(d, "key", keys...)
		_, task := d.table.findTask(key.Task)
		end := End{Key: key, Worker: task.Runs[0].Worker, Reason: pick(d, "how", EndDone, EndDone, EndFailed, EndLost)}
		end.Checkpoint = pick(d, "checkpoint", "", "", "half")
		p.Ends = append(p.Ends, end)
	}
	for range d.number("starts", 0, 3) {
		p.Starts = append(p.Starts, d.starts()...)
	}
	if d.number("forget", 0, 9) == 9 {
		p.Forget = []string{d.worker()}
	}
	return p
}

// starts draws starts of a step: of one task, or of most or all members of a gang.
func (d generator) starts() []Start {
	job := d.table.Jobs[pick(d, "job", "a", "b", "c", "d")]
	if job == nil || job.Rounds == nil {
		return nil
	}
	round := d.number("round", 0, len(job.Rounds)-1)
	step := d.number("step", 0, len(job.Spec.Steps)-1)
	tasks := job.Rounds[round][step]
	start := func(index, number int) Start {
		worker := d.worker()
		if job.Spec.Queue == "guarded" && d.number("other", 0, 9) < 9 {
			worker = "g1"
		}
		return startOf(TaskRef{Job: job.Spec.ID, Round: round, Step: step, Index: index}, number, worker)
	}
	if !job.Spec.Steps[step].Gang {
		index := d.number("index", 0, len(tasks)-1)
		return []Start{start(index, tasks[index].LastRun+pick(d, "number", 1, 1, 2, 1, 0))}
	}
	var starts []Start
	number := tasks[0].LastRun + pick(d, "number", 1, 1, 2, 1, 0)
	for index := range tasks {
		if d.number("leave out", 0, 9) < 9 {
			starts = append(starts, start(index, number))
		}
	}
	return starts
}

// expectedStarts says by hand which starts must be recorded: it makes the ends, then places one start or gang after
// the other on a copy, looking at every task of the table each time.
func expectedStarts(t *Table, p Progress) []bool {
	if len(p.Starts) == 0 {
		return nil
	}
	c := t.decodedCopy()
	_, err := c.Progress(testTerm, Progress{Term: p.Term, At: p.At, Ends: p.Ends})
	must(err)
	recorded := make([]bool, len(p.Starts))
	tried := make([]bool, len(p.Starts))
	for i, start := range p.Starts {
		group := expectedGroup(c, p.Starts, i)
		if tried[i] || len(group) == 0 {
			continue
		}
		for _, member := range group {
			tried[member] = true
		}
		next, all := c.decodedCopy(), true
		for _, member := range group {
			all = all && expectPlacement(next, p.Starts[member])
		}
		if job := c.Jobs[start.Task.Job]; all && job.Spec.Steps[start.Task.Step].Gang {
			all = len(group) == job.Spec.Steps[start.Task.Step].Count
		}
		if all {
			c = next
			for _, member := range group {
				recorded[member] = true
			}
		}
	}
	return recorded
}

// expectedGroup gives the starts that go together with one.
func expectedGroup(t *Table, starts []Start, i int) []int {
	job := t.Jobs[starts[i].Task.Job]
	if job == nil || job.Rounds == nil {
		return nil
	}
	if !job.Spec.Steps[starts[i].Task.Step].Gang {
		return []int{i}
	}
	var group []int
	for k, other := range starts {
		task := other.Task
		task.Index = starts[i].Task.Index
		if task == starts[i].Task && other.Number == starts[i].Number {
			group = append(group, k)
		}
	}
	return group
}

// expectPlacement puts one handle on the table if its preconditions hold, and leaves what is derived alone.
func expectPlacement(t *Table, start Start) bool {
	job := t.Jobs[start.Task.Job]
	step := job.Spec.Steps[start.Task.Step]
	tasks := job.Rounds[start.Task.Round]
	task := &tasks[start.Task.Step][start.Task.Index]
	worker, queue := t.Workers[start.Worker], t.Config.Queue(job.Spec.Queue)
	switch {
	case job.State.IsTerminal(), task.Done, start.Number <= task.LastRun, len(task.Runs) > 0,
		worker == nil, queue == nil:
		return false
	case worker.Draining, worker.Left, t.Evacuated[worker.Zone], worker.Service != queue.Service,
		step.Label != "" && !slices.Contains(worker.Labels, step.Label):
		return false
	}
	for _, before := range step.After {
		for _, other := range tasks[before] {
			if !other.Done {
				return false
			}
		}
	}
	used, ofStep := step.Needs, 1
	eachHandle(t, func(ref TaskRef, run Run, needs Resources) {
		if run.Worker != start.Worker {
			return
		}
		used = used.plus(needs, 1)
		if ref.stepRef() == start.Task.stepRef() {
			ofStep++
		}
	})
	if step.MaxPerWorker > 0 && ofStep > step.MaxPerWorker {
		return false
	}
	if !t.Config.Service(worker.Service).ChecksCapacity && !used.fitsIn(worker.Capacity) {
		return false
	}
	task.LastRun, task.Runs = start.Number, []Run{{Number: start.Number, Worker: start.Worker, Term: testTerm}}
	return true
}

func eachHandle(t *Table, do func(TaskRef, Run, Resources)) {
	for id, job := range t.Jobs {
		for round, steps := range job.Rounds {
			for step, tasks := range steps {
				for index, task := range tasks {
					for _, run := range task.Runs {
						do(TaskRef{id, round, step, index}, run, job.Spec.Steps[step].Needs)
					}
				}
			}
		}
	}
}

// checkDerived compares what the table keeps beside its fields with a count by hand.
func checkDerived(rt *rapid.T, t *Table) {
	used, runs, waiting := map[string]Resources{}, map[string][]RunKey{}, map[string]int{}
	eachHandle(t, func(ref TaskRef, run Run, needs Resources) {
		used[run.Worker] = used[run.Worker].plus(needs, 1)
		runs[run.Worker] = append(runs[run.Worker], RunKey{ref, run.Number})
	})
	for _, id := range []string{"w1", "w2", "w3", "g1"} {
		slices.SortFunc(runs[id], RunKey.Compare)
		if t.Used(id) != used[id] || !reflect.DeepEqual(t.RunsOn(id), runs[id]) {
			rt.Fatalf("worker %s: used %v, runs %v; by hand %v, %v", id, t.Used(id), t.RunsOn(id), used[id], runs[id])
		}
		if len(runs[id]) > 0 && t.Workers[id] == nil {
			rt.Fatalf("worker %s is forgotten with handles", id)
		}
	}
	for _, job := range t.Jobs {
		if job.State == Queued {
			waiting[job.Spec.Queue]++
		}
		checkJob(rt, t, job)
	}
	for _, queue := range []string{"plain", "guarded"} {
		if t.QueuedCount(queue) != waiting[queue] {
			rt.Fatalf("queue %s: %d wait, by hand %d", queue, t.QueuedCount(queue), waiting[queue])
		}
	}
}

func checkJob(rt *rapid.T, t *Table, job *Job) {
	handles, undone := 0, 0
	for _, steps := range job.Rounds {
		for _, tasks := range steps {
			for _, task := range tasks {
				if handles += len(task.Runs); len(task.Runs) > 1 {
					rt.Fatalf("job %s: two handles of a task", job.Spec.ID)
				}
				if !task.Done {
					undone++
				}
			}
		}
	}
	if job.State.IsTerminal() && (job.Rounds == nil) != (handles == 0) || job.Rounds == nil && len(job.Spec.Steps) > 0 {
		rt.Fatalf("job %s is %s with %d handles, rounds %v", job.Spec.ID, job.State, handles, job.Rounds)
	}
	if job.Rounds != nil && !job.State.IsTerminal() && undone == 0 {
		rt.Fatalf("job %s is %s without tasks left", job.Spec.ID, job.State)
	}
	if job.index.handles != handles || job.index.undone != undone {
		rt.Fatalf("job %s: index %+v, by hand %d handles, %d undone", job.Spec.ID, job.index, handles, undone)
	}
	for round, steps := range job.Rounds {
		for step := range steps {
			ready := true
			for _, before := range job.Spec.Steps[step].After {
				ready = ready && !slices.ContainsFunc(steps[before], func(task Task) bool { return !task.Done })
			}
			if t.IsStepReady(job, round, step) != ready {
				rt.Fatalf("job %s, round %d, step %d: ready is %v by hand", job.Spec.ID, round, step, ready)
			}
		}
	}
}
