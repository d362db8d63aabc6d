package jobs

import "time"

// recordEnd removes the handle of a run that ended, and updates its task and job. It returns false if the run has no
// handle.
func (t *Table) recordEnd(end End, at time.Time) bool {
	ref := end.Key.Task
	job, task := t.findTask(ref)
	if task == nil || !t.releaseHandle(job, task, end) {
		return false
	}
	members := job.members(ref)
	if end.Checkpoint != "" {
		for i := range members {
			members[i].Checkpoint = end.Checkpoint
		}
	}
	switch end.Reason {
	case EndDone:
		t.markDone(job, ref, members, at)
	case EndFailed:
		t.countFailure(job, task, &members[0], end.Key, at)
	}
	if job.State.IsTerminal() && job.Rounds != nil {
		t.retire(job)
	}
	return true
}

// releaseHandle removes the handle of the run that ended and closes its reservation. It returns false if the run has no
// handle.
func (t *Table) releaseHandle(job *Job, task *Task, end End) bool {
	for i, handle := range task.Handles {
		if handle.Number != end.Key.Number || handle.Worker != end.Worker {
			continue
		}
		if task.Handles = append(task.Handles[:i:i], task.Handles[i+1:]...); len(task.Handles) == 0 {
			task.Handles = nil
		}
		job.index.handles--
		t.closeReservation(end.Key, end.Reason)
		t.indexes.vacate(handle.Worker, end.Key, job.Spec.Steps[end.Key.Task.Step].Needs)
		return true
	}
	return false
}

// markDone marks a task and the other members of its gang as done. A long-running task is never done: it is due again.
func (t *Table) markDone(job *Job, ref TaskRef, members []Task, at time.Time) {
	if job.Spec.Steps[ref.Step].LongRunning {
		return
	}
	for i := range members {
		if !members[i].Done {
			members[i].Done = true
			job.index.remaining[ref.Round][ref.Step]--
			job.index.undone--
		}
	}
	t.succeedIfDone(job, at)
}

// countFailure counts a failed run of a task, and fails the job when the queue's MaxAttempts is reached. counter is the
// task whose Failures are increased: the first member of a gang, otherwise the task itself. A run of a gang counts
// once, even if several members report a failure.
func (t *Table) countFailure(job *Job, task, counter *Task, key RunKey, at time.Time) {
	step := &job.Spec.Steps[key.Task.Step]
	if task.Done || job.State.IsTerminal() || step.LongRunning {
		return
	}
	if step.Gang {
		if key.Number <= counter.FailedRun {
			return
		}
		counter.FailedRun = key.Number
	}
	counter.Failures++
	if queue := t.QueueOf(job); queue != nil && counter.Failures >= queue.MaxAttempts {
		t.finish(job, Failed, at)
	}
}
