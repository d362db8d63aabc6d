package jobs

import (
	"slices"
	"strings"
)

// expectedStarts is a simple model of recordStarts. On a copy of the table it records the ends, then places the starts
// and gangs one after another, scanning all tasks for each. It returns which starts must be recorded.
func expectedStarts(t *Table, p Progress) []bool {
	if len(p.Starts) == 0 {
		return nil
	}
	state := t.decodedCopy()
	_, err := state.Progress(testTerm, Progress{Term: p.Term, At: p.At, Ends: p.Ends})
	must(err)
	recorded := make([]bool, len(p.Starts))
	tried := make([]bool, len(p.Starts))
	for i, start := range p.Starts {
		group := expectedGroup(state, p.Starts, i)
		if tried[i] || len(group) == 0 {
			continue
		}
		for _, member := range group {
			tried[member] = true
		}
		next, isPlaced := state.decodedCopy(), true
		for _, member := range group {
			isPlaced = isPlaced && placeIfAllowed(next, p.Starts[member])
		}
		if job := state.Jobs[start.Task.Job]; isPlaced && job.Spec.Steps[start.Task.Step].Gang {
			isPlaced = len(group) == job.Spec.Steps[start.Task.Step].Count
		}
		if isPlaced {
			state = next
			for _, member := range group {
				recorded[member] = true
			}
		}
	}
	return recorded
}

// expectedGroup returns the positions of the starts that must be recorded together with start i, including i. It
// returns nil if the task does not exist.
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

// placeIfAllowed records the handle of a start if its preconditions hold, and reports whether it did so. It does not
// update the indexes.
func placeIfAllowed(t *Table, start Start) bool {
	job := t.Jobs[start.Task.Job]
	step := job.Spec.Steps[start.Task.Step]
	tasks := job.Rounds[start.Task.Round]
	task := &tasks[start.Task.Step][start.Task.Index]
	worker, queue := t.Workers[start.Worker], expectedQueue(t, job)
	switch {
	case job.State.IsTerminal(), task.Done, start.Number <= task.LastRun, len(task.Handles) > 0,
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
	used, runsOfStep := step.Needs, 1
	eachHandle(t, func(ref TaskRef, handle Handle, needs Resources) {
		if handle.Worker != start.Worker {
			return
		}
		used = used.plus(needs, 1)
		if ref.stepRef() == start.Task.stepRef() {
			runsOfStep++
		}
	})
	if step.MaxPerWorker > 0 && runsOfStep > step.MaxPerWorker {
		return false
	}
	if !t.Config.Service(worker.Service).ChecksCapacity && !used.fitsIn(worker.Capacity) {
		return false
	}
	task.LastRun, task.Handles = start.Number, []Handle{{Number: start.Number, Worker: start.Worker, Term: testTerm}}
	return true
}

// expectedServing is a simple model of servingQueue: it scans all queues.
func expectedServing(t *Table, spec *Spec) (serving *Queue) {
	for i, queue := range t.Config.Queues {
		if spec.Location == nil {
			if queue.Name == spec.Queue {
				serving = &t.Config.Queues[i]
			}
			continue
		}
		serves := queue.Host == spec.Location.Host && strings.HasPrefix(spec.Location.Path, queue.Prefix)
		if serves && (serving == nil || len(queue.Prefix) > len(serving.Prefix)) {
			serving = &t.Config.Queues[i]
		}
	}
	return serving
}

// expectedQueue is a simple model of QueueOf.
func expectedQueue(t *Table, job *Job) *Queue {
	if serving := expectedServing(t, &job.Spec); serving != nil {
		return serving
	}
	return job.LastQueue
}

// servedJobs is a model of the queues that served the jobs last, by job ID.
type servedJobs map[string]Queue

// observe records the queues that serve the jobs after a change. Before SchemaLocations a job that is not served has no
// queue.
func (s servedJobs) observe(t *Table) {
	for id, job := range t.Jobs {
		if serving := expectedServing(t, &job.Spec); serving != nil {
			s[id] = *serving
		} else if t.Schema < SchemaLocations {
			delete(s, id)
		}
	}
}

// eachHandle calls visit with every handle of the table, its task and the needs of the task.
func eachHandle(t *Table, visit func(TaskRef, Handle, Resources)) {
	for id, job := range t.Jobs {
		for round, steps := range job.Rounds {
			for step, tasks := range steps {
				for index, task := range tasks {
					for _, handle := range task.Handles {
						visit(TaskRef{id, round, step, index}, handle, job.Spec.Steps[step].Needs)
					}
				}
			}
		}
	}
}
