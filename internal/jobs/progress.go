package jobs

import (
	"time"

	"crosstide/internal/errs"
)

// Progress records what the scheduler of a term has decided and heard: ends, then starts, then workers to forget.
// entryTerm is the term of the log entry that carries it. Failure: Stale: another leader's; nothing is changed.
func (t *Table) Progress(entryTerm uint64, p Progress) (Started, error) {
	if p.Term != entryTerm || p.Term < t.Term {
		return Started{}, errs.New(errs.Stale, "progress of term %d in an entry of term %d, after one of term %d", p.Term, entryTerm, t.Term)
	}
	t.Term = p.Term
	changed := changedJobs{known: map[string]bool{}}
	for _, end := range p.Ends {
		if t.endRun(end, p.At) {
			changed.add(end.Key.Task.Job)
		}
	}
	recorded := t.recordStarts(p.Term, p.At, p.Starts)
	for i := range recorded {
		if recorded[i] {
			changed.add(p.Starts[i].Task.Job)
		}
	}
	for _, id := range changed.order {
		t.notify(JobChanged, id)
	}
	t.dropWorkers(p.Forget)
	return Started{Recorded: recorded}, nil
}

// changedJobs lists jobs once each, in the order of their first change.
type changedJobs struct {
	order []string
	known map[string]bool
}

func (c *changedJobs) add(id string) {
	if !c.known[id] {
		c.known[id] = true
		c.order = append(c.order, id)
	}
}

// endRun removes a handle and draws what follows from its end; false if there is no such handle.
func (t *Table) endRun(end End, at time.Time) bool {
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
		t.endDone(job, ref, members, at)
	case EndFailed:
		t.endFailed(job, task, &members[0], end.Key, at)
	}
	if job.State.IsTerminal() && job.Rounds != nil {
		t.retire(job)
	}
	return true
}

// releaseHandle removes the handle that an end names.
func (t *Table) releaseHandle(job *Job, task *Task, end End) bool {
	for i, run := range task.Runs {
		if run.Number != end.Key.Number || run.Worker != end.Worker {
			continue
		}
		if task.Runs = append(task.Runs[:i:i], task.Runs[i+1:]...); len(task.Runs) == 0 {
			task.Runs = nil
		}
		job.index.handles--
		t.closeReservation(end.Key, end.Reason)
		t.vacate(run.Worker, end.Key, job.Spec.Steps[end.Key.Task.Step].Needs)
		return true
	}
	return false
}

// members gives the tasks that end together with a task: of a gang all, else it alone.
func (j *Job) members(ref TaskRef) []Task {
	tasks := j.Rounds[ref.Round][ref.Step]
	if j.Spec.Steps[ref.Step].Gang {
		return tasks
	}
	return tasks[ref.Index : ref.Index+1]
}

// endDone makes the tasks done; those of a lasting step are due again.
func (t *Table) endDone(job *Job, ref TaskRef, members []Task, at time.Time) {
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

// endFailed counts a failure at counter, the task itself or the first member of its gang, and gives the job up after
// the most attempts of its queue.
func (t *Table) endFailed(job *Job, task, counter *Task, key RunKey, at time.Time) {
	step := &job.Spec.Steps[key.Task.Step]
	if task.Done || job.State.IsTerminal() || step.LongRunning {
		return
	}
	if step.Gang {
		if key.Number <= counter.FailedRun {
			return // another member of this run was counted
		}
		counter.FailedRun = key.Number
	}
	counter.Failures++
	if queue := t.Config.Queue(job.Spec.Queue); queue != nil && counter.Failures >= queue.MaxAttempts {
		t.finish(job, Failed, at)
	}
}
