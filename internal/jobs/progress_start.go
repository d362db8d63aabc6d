package jobs

import (
	"slices"
	"time"
)

// gangRun identifies one run of a gang.
type gangRun struct {
	step   stepRef
	number int
}

// recordStarts records the starts whose preconditions hold, and returns for each start whether it was recorded. The
// starts of a gang are recorded together or not at all. It fails jobs that have no attempts left.
func (t *Table) recordStarts(term uint64, at time.Time, starts []Start) []bool {
	if len(starts) == 0 {
		return nil
	}
	recorded := make([]bool, len(starts))
	gangs := t.gangRuns(starts)
	for i, start := range starts {
		job, task := t.findTask(start.Task)
		if task == nil || t.failIfOutOfAttempts(job, start.Task, at) {
			continue
		}
		group := []int{i}
		if job.Spec.Steps[start.Task.Step].Gang {
			group = gangs[gangRun{start.Task.stepRef(), start.Number}]
		}
		if group[0] == i && t.mayStart(job, starts, group) && t.isCovered(job, starts, group) {
			for _, member := range group {
				t.recordStart(job, starts[member], term)
				recorded[member] = true
			}
		}
	}
	return recorded
}

// failIfOutOfAttempts fails a job if a task or gang has failed as often as its queue allows, and reports whether it did
// so. recordEnd normally does this, but it cannot if the job has no queue when the run ends, or if a later
// configuration allows fewer attempts.
func (t *Table) failIfOutOfAttempts(job *Job, ref TaskRef, at time.Time) bool {
	queue := t.QueueOf(job)
	failures := job.members(ref)[0].Failures
	if queue == nil || failures == 0 || failures < queue.MaxAttempts || job.State.IsTerminal() {
		return false
	}
	t.finish(job, Failed, at)
	t.notify(JobChanged, job.Spec.ID)
	return true
}

// gangRuns returns the positions in starts of the members of each run of a gang.
func (t *Table) gangRuns(starts []Start) map[gangRun][]int {
	var gangs map[gangRun][]int
	for i, start := range starts {
		job, task := t.findTask(start.Task)
		if task == nil || !job.Spec.Steps[start.Task.Step].Gang {
			continue
		}
		if gangs == nil {
			gangs = map[gangRun][]int{}
		}
		run := gangRun{start.Task.stepRef(), start.Number}
		gangs[run] = append(gangs[run], i)
	}
	return gangs
}

// mayStart reports whether all starts of a group may be recorded together. A group is a single task or a run of a gang;
// group holds the positions of its starts.
func (t *Table) mayStart(job *Job, starts []Start, group []int) bool {
	first := starts[group[0]].Task
	isComplete := len(group) == len(job.members(first))
	if job.State.IsTerminal() || !isComplete || !t.IsStepReady(job, first.Round, first.Step) {
		return false
	}
	members := map[int]bool{}
	placed := map[string]int{} // number of members placed on each worker
	for _, i := range group {
		start := starts[i]
		task := &job.Rounds[first.Round][first.Step][start.Task.Index]
		if members[start.Task.Index] || task.Done || len(task.Handles) > 0 || start.Number <= task.LastRun {
			return false
		}
		members[start.Task.Index] = true
		placed[start.Worker]++
		if !t.canAccept(start.Worker, job, first.stepRef(), placed[start.Worker]) {
			return false
		}
	}
	return true
}

// canAccept reports whether a worker can accept a number of additional runs of a step.
func (t *Table) canAccept(id string, job *Job, ref stepRef, runs int) bool {
	worker := t.Workers[id]
	queue := t.QueueOf(job)
	if worker == nil || worker.Draining || worker.Left || t.Evacuated[worker.Zone] {
		return false
	}
	if queue == nil || queue.Service != worker.Service {
		return false
	}
	step := &job.Spec.Steps[ref.step]
	if step.Label != "" && !slices.Contains(worker.Labels, step.Label) {
		return false
	}
	if step.MaxPerWorker > 0 && t.runsOfStep(id, ref)+runs > step.MaxPerWorker {
		return false
	}
	if service := t.Config.Service(worker.Service); service != nil && service.ChecksCapacity {
		return true
	}
	return t.Used(id).plus(step.Needs, runs).fitsIn(worker.Capacity)
}

// recordStart records the handle of a start for which mayStart and isCovered returned true.
func (t *Table) recordStart(job *Job, start Start, term uint64) {
	ref := start.Task
	key := RunKey{Task: ref, Number: start.Number}
	task := &job.Rounds[ref.Round][ref.Step][ref.Index]
	t.reserve(job, key)
	task.LastRun = start.Number
	task.Handles = []Handle{{Number: start.Number, Worker: start.Worker, Term: term}}
	job.index.handles++
	t.indexes.occupy(start.Worker, key, job.Spec.Steps[ref.Step].Needs)
	if job.State == Queued {
		t.setState(job, Running)
	}
}
