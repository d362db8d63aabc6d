package endtoend

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/testbed/jobsworker"
)

// Report is what an audit found.
type Report struct {
	Runs       int                    // runs that began
	Ends       map[jobs.EndReason]int // runs that ended, by how
	Failed     map[string]int         // runs that ended as failed, by job
	Refused    map[string]int         // starts that workers refused, by reason
	Violations []string               // broken promises
}

// auditor is the state of an audit.
type auditor struct {
	report      Report
	evacuations []Evacuation
	specs       map[string]jobs.Spec
	programs    map[string]jobsworker.Program
	workers     map[string]jobsworker.Event // by ID: the event of its birth
	tasks       map[jobs.TaskRef]*history
	running     map[string][]*span // by worker: runs that go on
	tokens      map[string]uint64  // by worker: newest token of a start
}

// span is one run as its worker journaled it.
type span struct {
	worker     string
	number     int
	needs      jobs.Resources
	task       jobs.TaskRef
	began      time.Time
	ended      time.Time
	reason     jobs.EndReason
	resumed    string // checkpoint that its start told
	checkpoint string // checkpoint at its end
}

func (s *span) hasEnded() bool { return s.reason != "" }

// history is all runs of one task, in the order they began.
type history struct{ spans []*span }

// Evacuation is a time in which a zone was evacuated, by the answers to its order and its withdrawal.
type Evacuation struct {
	Zone     string
	From, To time.Time
}

// evacuationGrace is how long after the answer to an evacuation a start that was under way may arrive.
const evacuationGrace = 500 * time.Millisecond

// Audit checks the journals of all workers against the jobs that were accepted. All workers' clocks are one machine's.
//
//   - nothing lost: every task of a job that succeeded has a run that ended done;
//   - nothing twice: no two runs of a task overlap, none begins after one that ended done, no worker starts under a lower
//     token than before;
//   - order: a step begins after the steps before it, a round not before its time;
//   - room and place: no worker runs more than it has room for, labels and the most per worker hold, nothing begins in a
//     zone while that is closed;
//   - a gang's run begins whole; a run goes on from the progress that the last one saved; a job that failed used its
//     attempts, no more.
func Audit(accepted []Job, evacuations []Evacuation, events []jobsworker.Event) (Report, error) {
	a := &auditor{evacuations: evacuations, specs: map[string]jobs.Spec{}, programs: map[string]jobsworker.Program{}, workers: map[string]jobsworker.Event{},
		tasks: map[jobs.TaskRef]*history{}, running: map[string][]*span{}, tokens: map[string]uint64{}}
	a.report.Ends, a.report.Failed, a.report.Refused = map[jobs.EndReason]int{}, map[string]int{}, map[string]int{}
	for _, job := range accepted {
		spec, err := job.spec()
		if err != nil {
			return Report{}, errs.Pass(err, "audit")
		}
		a.specs[job.ID], a.programs[job.ID] = spec, job.Program
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(x, y jobsworker.Event) int { return x.At.Compare(y.At) })
	for _, e := range events {
		a.observe(e)
	}
	for _, job := range accepted {
		a.checkJob(job)
	}
	return a.report, nil
}

func (a *auditor) violate(format string, args ...any) {
	a.report.Violations = append(a.report.Violations, fmt.Sprintf(format, args...))
}

func (a *auditor) observe(e jobsworker.Event) {
	switch e.Event {
	case jobsworker.EventWorkerStart:
		a.workers[e.Worker] = e
	case jobsworker.EventRunStart:
		a.onStart(e)
	case jobsworker.EventRunEnd:
		a.onEnd(e)
	case jobsworker.EventRunRefuse:
		a.report.Refused[e.Reason]++
	}
}

func (a *auditor) onStart(e jobsworker.Event) {
	a.report.Runs++
	key := e.Run.Key()
	s := &span{worker: e.Worker, number: key.Number, needs: e.Needs, task: key.Task, began: e.At, resumed: e.Checkpoint}
	if _, known := a.specs[key.Task.Job]; !known {
		a.violate("%v began on %s: no such job was accepted", key, e.Worker)
		return
	}
	if e.Token < a.tokens[e.Worker] {
		a.violate("%v began on %s under token %d after %d", key, e.Worker, e.Token, a.tokens[e.Worker])
	}
	a.tokens[e.Worker] = max(a.tokens[e.Worker], e.Token)
	past := a.tasks[key.Task]
	if past == nil {
		past = &history{}
		a.tasks[key.Task] = past
	}
	a.checkExclusive(s, past)
	past.spans = append(past.spans, s)
	a.running[e.Worker] = append(a.running[e.Worker], s)
	a.checkPlacement(s)
	a.checkOrder(s)
}

// checkExclusive checks a run against those of its task before it.
func (a *auditor) checkExclusive(s *span, past *history) {
	for _, before := range past.spans {
		switch {
		case !before.hasEnded():
			a.violate("%v: run %d began on %s while run %d goes on at %s", s.task, s.number, s.worker, before.number, before.worker)
		case before.reason == jobs.EndDone && !a.step(s.task).LongRunning:
			a.violate("%v: run %d began on %s after run %d was done", s.task, s.number, s.worker, before.number)
		case before.number >= s.number:
			a.violate("%v: run %d began on %s after run %d", s.task, s.number, s.worker, before.number)
		}
	}
	if step := a.step(s.task); len(past.spans) > 0 && step.Checkpoints && !step.Gang {
		if last := past.spans[len(past.spans)-1]; last.hasEnded() && last.checkpoint != s.resumed {
			a.violate("%v: run %d goes on from %q, run %d had saved %q", s.task, s.number, s.resumed, last.number, last.checkpoint)
		}
	}
}

func (a *auditor) step(task jobs.TaskRef) jobs.Step { return a.specs[task.Job].Steps[task.Step] }

// checkPlacement checks that a run's worker may have it, with all that goes on there.
func (a *auditor) checkPlacement(s *span) {
	worker, step := a.workers[s.worker], a.step(s.task)
	if step.Label != "" && !slices.Contains(worker.Labels, step.Label) {
		a.violate("%v began on %s, which has no label %s", s.task, s.worker, step.Label)
	}
	for _, c := range a.evacuations {
		if worker.Zone == c.Zone && s.began.After(c.From.Add(evacuationGrace)) && s.began.Before(c.To) {
			a.violate("%v began on %s %s after zone %s was evacuated", s.task, s.worker, s.began.Sub(c.From), c.Zone)
		}
	}
	var used jobs.Resources
	same := 0
	for _, other := range a.running[s.worker] {
		used.MilliCPU += other.needs.MilliCPU
		used.MemoryMB += other.needs.MemoryMB
		used.GPUs += other.needs.GPUs
		if other.task.Job == s.task.Job && other.task.Round == s.task.Round && other.task.Step == s.task.Step {
			same++
		}
	}
	if capacity := worker.Needs; used.MilliCPU > capacity.MilliCPU || used.MemoryMB > capacity.MemoryMB || used.GPUs > capacity.GPUs {
		a.violate("%s runs %+v, it has %+v", s.worker, used, capacity)
	}
	if step.MaxPerWorker > 0 && same > step.MaxPerWorker {
		a.violate("%v: %d tasks of the step run on %s", s.task, same, s.worker)
	}
}

// checkOrder checks that a run's time and the steps before it have come.
func (a *auditor) checkOrder(s *span) {
	spec := a.specs[s.task.Job]
	if due := spec.FirstRun.Add(time.Duration(s.task.Round) * spec.Interval); spec.Rounds > 0 && s.began.Before(due) {
		a.violate("%v began %s before its time", s.task, due.Sub(s.began))
	}
	for _, before := range spec.Steps[s.task.Step].After {
		if done, tasks := a.done(s.task.Job, s.task.Round, before), spec.Steps[before].Count; done < tasks {
			a.violate("%v began with %d of %d tasks of step %d done", s.task, done, tasks, before)
		}
	}
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

func (a *auditor) onEnd(e jobsworker.Event) {
	a.report.Ends[jobs.EndReason(e.Reason)]++
	key := e.Run.Key()
	if jobs.EndReason(e.Reason) == jobs.EndFailed {
		a.report.Failed[key.Task.Job]++
	}
	if jobs.EndReason(e.Reason) == jobs.EndDone && key.Number <= a.programs[key.Task.Job].Fails {
		a.violate("run %d of %v ended well, though it was to fail", key.Number, key.Task)
	}
	for i, s := range a.running[e.Worker] {
		if s.task == key.Task && s.number == key.Number {
			s.ended, s.reason, s.checkpoint = e.At, jobs.EndReason(e.Reason), cmp.Or(e.Checkpoint, s.resumed)
			a.running[e.Worker] = slices.Delete(a.running[e.Worker], i, i+1)
			return
		}
	}
	a.violate("%v ended on %s: it did not run there", key, e.Worker)
}

// checkJob checks a job as a whole.
func (a *auditor) checkJob(job Job) {
	spec := a.specs[job.ID]
	for round := range max(spec.Rounds, 1) {
		for step := range spec.Steps {
			if done, tasks := a.done(job.ID, round, step), spec.Steps[step].Count; job.WantState == jobs.Succeeded && done != tasks {
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
	count := a.specs[job].Steps[step].Count
	began, done := map[int]int{}, map[int]bool{}
	for index := range count {
		past := a.tasks[jobs.TaskRef{Job: job, Round: round, Step: step, Index: index}]
		if past == nil {
			continue
		}
		for _, s := range past.spans {
			began[s.number]++
			done[s.number] = done[s.number] || s.reason == jobs.EndDone
		}
	}
	for number, is := range done {
		if is && began[number] != count {
			a.violate("%s: run %d of the gang of step %d was done with %d of %d members", job, number, step, began[number], count)
		}
	}
}

// checkAttempts checks that some task of a failed job has used its attempts, and none more.
func (a *auditor) checkAttempts(job string) {
	most := 0
	for task, past := range a.tasks {
		if task.Job != job {
			continue
		}
		failed := 0
		for _, s := range past.spans {
			if s.reason == jobs.EndFailed {
				failed++
			}
		}
		most = max(most, failed)
	}
	if most != Attempts {
		a.violate("%s failed after %d failed runs of a task, not %d", job, most, Attempts)
	}
}
