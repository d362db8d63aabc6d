package endtoend

import (
	"slices"

	"crosstide/internal/jobs"
)

// checkJob checks the invariants of a whole job. It is called after all events were observed.
func (a *auditor) checkJob(job Job) {
	spec := a.specs[job.ID]
	for round := range max(spec.Rounds, 1) {
		for step := range spec.Steps {
			done, tasks := a.countDone(job.ID, round, step), spec.Steps[step].Count
			if job.WantState == jobs.Succeeded && done != tasks {
				a.violate("%s: %d of %d tasks of step %d, round %d, were done", job.ID, done, tasks, step, round)
			}
			if spec.Steps[step].Gang {
				a.checkGang(job.ID, round, step)
			}
		}
	}
	if job.WantState == jobs.Failed {
		a.checkAttempts(job.ID)
	}
}

// checkGang checks every run number under which a member of the gang ended done: all members must have begun that run.
func (a *auditor) checkGang(job string, round, step int) {
	members := a.specs[job].Steps[step].Count
	began, isDone := map[int]int{}, map[int]bool{} // by number of the run
	for index := range members {
		taskHistory := a.tasks[jobs.TaskRef{Job: job, Round: round, Step: step, Index: index}]
		if taskHistory == nil {
			continue
		}
		for _, s := range taskHistory.spans {
			began[s.number]++
			isDone[s.number] = isDone[s.number] || s.reason == jobs.EndDone
		}
	}
	for number := range isDone {
		if isDone[number] && began[number] != members {
			a.violate("%s: run %d of the gang of step %d was done with %d of %d members", job, number, step,
				began[number], members)
		}
	}
}

// checkAttempts checks that some task of a failed job used all its attempts, and that none used more.
func (a *auditor) checkAttempts(job string) {
	maxFailures := 0
	for task, taskHistory := range a.tasks {
		if task.Job == job {
			maxFailures = max(maxFailures, taskHistory.failures())
		}
	}
	if maxFailures != Attempts {
		a.violate("%s failed after %d failed runs of a task, not %d", job, maxFailures, Attempts)
	}
}

// failures counts the failed runs of a task.
func (h *history) failures() int {
	count := 0
	for _, s := range h.spans {
		if s.reason == jobs.EndFailed {
			count++
		}
	}
	return count
}

// countDone returns how many tasks of a step are done in a round. Once one member of a gang is done, all count as done.
func (a *auditor) countDone(job string, round, step int) int {
	count := 0
	for index := range a.specs[job].Steps[step].Count {
		if a.isDone(jobs.TaskRef{Job: job, Round: round, Step: step, Index: index}) {
			count++
		}
	}
	if a.specs[job].Steps[step].Gang && count > 0 {
		return a.specs[job].Steps[step].Count
	}
	return count
}

// isDone reports whether any run of a task has ended done so far.
func (a *auditor) isDone(task jobs.TaskRef) bool {
	taskHistory := a.tasks[task]
	return taskHistory != nil &&
		slices.ContainsFunc(taskHistory.spans, func(s *span) bool { return s.reason == jobs.EndDone })
}
