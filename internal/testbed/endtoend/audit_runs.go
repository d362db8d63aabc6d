package endtoend

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
	"crosstide/internal/testbed/jobsworker"
)

// onStart adds a run that begins to the auditor's state and checks it against the runs before it.
func (a *auditor) onStart(e jobsworker.Event) {
	a.report.Runs++
	key := e.Run.Key()
	s := &span{worker: e.Worker, number: key.Number, needs: e.Needs, task: key.Task, began: e.At,
		resumed: e.Checkpoint}
	if _, known := a.specs[key.Task.Job]; !known {
		a.violate("%v began on %s: no such job was accepted", key, e.Worker)
		return
	}
	if e.Token < a.tokens[e.Worker] {
		a.violate("%v began on %s under token %d after %d", key, e.Worker, e.Token, a.tokens[e.Worker])
	}
	a.tokens[e.Worker] = max(a.tokens[e.Worker], e.Token)
	taskHistory := a.tasks[key.Task]
	if taskHistory == nil {
		taskHistory = &history{}
		a.tasks[key.Task] = taskHistory
	}
	a.checkExclusive(s, taskHistory)
	a.checkResumed(s, taskHistory)
	taskHistory.spans = append(taskHistory.spans, s)
	a.running[e.Worker] = append(a.running[e.Worker], s)
	a.checkPlacement(s)
	a.checkOrder(s)
}

// checkExclusive checks that a run begins after all earlier runs of its task have ended, under a higher number, and
// that no earlier run was done. Only a long-running task may run again after a run that was done.
func (a *auditor) checkExclusive(s *span, taskHistory *history) {
	for _, before := range taskHistory.spans {
		switch {
		case !before.hasEnded():
			a.violate("%v: run %d began on %s while run %d was in progress on %s", s.task, s.number, s.worker,
				before.number, before.worker)
		case before.reason == jobs.EndDone && !a.step(s.task).LongRunning:
			a.violate("%v: run %d began on %s after run %d was done", s.task, s.number, s.worker, before.number)
		case before.number >= s.number:
			a.violate("%v: run %d began on %s after run %d", s.task, s.number, s.worker, before.number)
		}
	}
}

// checkResumed checks that a run resumes from the checkpoint that the previous run of its task saved.
func (a *auditor) checkResumed(s *span, taskHistory *history) {
	step := a.step(s.task)
	if len(taskHistory.spans) == 0 || !step.Checkpoints || step.Gang {
		return
	}
	last := taskHistory.spans[len(taskHistory.spans)-1]
	if last.hasEnded() && last.checkpoint != s.resumed {
		a.violate("%v: run %d resumed from %q, but run %d had saved %q", s.task, s.number, s.resumed, last.number,
			last.checkpoint)
	}
}

func (a *auditor) step(task jobs.TaskRef) jobs.Step { return a.specs[task.Job].Steps[task.Step] }

// checkPlacement checks the label, zone and capacity of a run's worker.
func (a *auditor) checkPlacement(s *span) {
	worker, step := a.workers[s.worker], a.step(s.task)
	if step.Label != "" && !slices.Contains(worker.Labels, step.Label) {
		a.violate("%v began on %s, which has no label %s", s.task, s.worker, step.Label)
	}
	for _, e := range a.evacuations {
		if worker.Zone == e.Zone && s.began.After(e.From.Add(evacuationGrace)) && s.began.Before(e.To) {
			a.violate("%v began on %s %s after zone %s was evacuated", s.task, s.worker, s.began.Sub(e.From), e.Zone)
		}
	}
	a.checkCapacity(s, worker.Needs, step.MaxPerWorker) // Needs of an EventWorkerStart are the worker's capacity
}

// checkCapacity checks that the runs in progress on a run's worker, including that run, fit its capacity and the
// maximum per worker.
func (a *auditor) checkCapacity(s *span, capacity jobs.Resources, maxPerWorker int) {
	var used jobs.Resources
	sameStep := 0
	for _, other := range a.running[s.worker] {
		used.MilliCPU += other.needs.MilliCPU
		used.MemoryMB += other.needs.MemoryMB
		used.GPUs += other.needs.GPUs
		if other.task.Job == s.task.Job && other.task.Round == s.task.Round && other.task.Step == s.task.Step {
			sameStep++
		}
	}
	if used.MilliCPU > capacity.MilliCPU || used.MemoryMB > capacity.MemoryMB || used.GPUs > capacity.GPUs {
		a.violate("%s runs %+v, more than its capacity %+v", s.worker, used, capacity)
	}
	if maxPerWorker > 0 && sameStep > maxPerWorker {
		a.violate("%v: %d tasks of the step run on %s", s.task, sameStep, s.worker)
	}
}

// checkOrder checks that a run's round is due and that the steps before it are done.
func (a *auditor) checkOrder(s *span) {
	spec := a.specs[s.task.Job]
	due := spec.FirstRun.Add(time.Duration(s.task.Round) * spec.Interval)
	if spec.Rounds > 0 && s.began.Before(due) {
		a.violate("%v began %s before its round was due", s.task, due.Sub(s.began))
	}
	for _, before := range spec.Steps[s.task.Step].After {
		done, tasks := a.countDone(s.task.Job, s.task.Round, before), spec.Steps[before].Count
		if done < tasks {
			a.violate("%v began with %d of %d tasks of step %d done", s.task, done, tasks, before)
		}
	}
}
