package endtoend

import (
	"slices"

	"crosstide/internal/jobs"
)

// checkJob checks a job as a whole, after all events.
func (a *auditor) checkJob(job Job) {
	spec := a.specs[job.ID]
	for round := range max(spec.Rounds, 1) {
		for step := range spec.Steps {
			done, tasks := a.done(job.ID, round, step), spec.Steps[step].Count
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

// checkGang checks that a run that was done had begun on all members.
func (a *auditor) checkGang(job string, round, step int) {
	members := a.specs[job].Steps[step].Count
	began, isDone := map[int]int{}, map[int]bool{} // by number of the run
	for index := range members {
		past := a.tasks[jobs.TaskRef{Job: job, Round: round, Step: step, Index: index}]
		if past == nil {
			continue
		}
		for _, s := range past.spans {
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

// checkAttempts checks that some task of a failed job has used its attempts, and none more.
func (a *auditor) checkAttempts(job string) {
	most := 0
	for task, past := range a.tasks {
		if task.Job == job {
			most = max(most, past.failures())
		}
	}
	if most != Attempts {
		a.violate("%s failed after %d failed runs of a task, not %d", job, most, Attempts)
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

// done counts the tasks of a step of a round that are done. Those of a gang are done together.
func (a *auditor) done(job string, round, step int) int {
	count := 0
	for index := range a.specs[job].Steps[step].Count {
		if a.taskDone(jobs.TaskRef{Job: job, Round: round, Step: step, Index: index}) {
			count++
		}
	}
	if a.specs[job].Steps[step].Gang && count > 0 {
		return a.specs[job].Steps[step].Count
	}
	return count
}

func (a *auditor) taskDone(task jobs.TaskRef) bool {
	past := a.tasks[task]
	return past != nil && slices.ContainsFunc(past.spans, func(s *span) bool { return s.reason == jobs.EndDone })
}
