package jobs

import "cmp"

// Compare orders runs by job, round, step, index and number.
func (k RunKey) Compare(other RunKey) int {
	return cmp.Or(
		cmp.Compare(k.Task.Job, other.Task.Job),
		cmp.Compare(k.Task.Round, other.Task.Round),
		cmp.Compare(k.Task.Step, other.Task.Step),
		cmp.Compare(k.Task.Index, other.Task.Index),
		cmp.Compare(k.Number, other.Number),
	)
}

// findTask returns a task and its job. It returns nil if the task does not exist or its job is retired.
func (t *Table) findTask(ref TaskRef) (*Job, *Task) {
	job := t.Jobs[ref.Job]
	if job == nil || ref.Round < 0 || ref.Round >= len(job.Rounds) {
		return nil, nil
	}
	steps := job.Rounds[ref.Round]
	if ref.Step < 0 || ref.Step >= len(steps) || ref.Index < 0 || ref.Index >= len(steps[ref.Step]) {
		return nil, nil
	}
	return job, &steps[ref.Step][ref.Index]
}

// newRounds returns the tasks of a new job by round, step and index.
func newRounds(spec *Spec) [][][]Task {
	rounds := make([][][]Task, max(1, spec.Rounds))
	for round := range rounds {
		rounds[round] = make([][]Task, len(spec.Steps))
		for step := range spec.Steps {
			rounds[round][step] = make([]Task, spec.Steps[step].Count)
		}
	}
	return rounds
}

// members returns the tasks that start and end together with a task: all tasks of the step if it is a gang, otherwise
// only the task itself.
func (j *Job) members(ref TaskRef) []Task {
	tasks := j.Rounds[ref.Round][ref.Step]
	if j.Spec.Steps[ref.Step].Gang {
		return tasks
	}
	return tasks[ref.Index : ref.Index+1]
}
