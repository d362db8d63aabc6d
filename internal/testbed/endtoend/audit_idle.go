package endtoend

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/testbed/jobsworker"
)

// maxIdle is how long a job may have nothing running while it could run.
const maxIdle = 3 * time.Second

// Disturbance is a period in which jobs may be idle, and with a Worker also a worker that may take no starts: either
// control-plane nodes or, from From on, the worker with that name was stopped.
type Disturbance struct {
	Worker   string // empty: the control plane
	From, To time.Time
}

// AuditIdle checks that no job is idle for maxIdle: that it has nothing running while a task is due, there is capacity
// for the task twice over, and less than half of each resource is in use. For a long-running step the load does not
// matter. It checks the jobs with an AcceptedAt that are expected to succeed, and cancelled ones until then. It returns
// the violations.
func AuditIdle(accepted []Job, evacuations []Evacuation, disturbances []Disturbance,
	events []jobsworker.Event) ([]string, error) {
	a := &idleAuditor{evacuations: evacuations, disturbances: disturbances,
		workers: map[string]*auditedWorker{}, running: map[string]int{},
		needs: map[jobs.RunKey]jobs.Resources{}, done: map[jobs.TaskRef]bool{}}
	for _, job := range accepted {
		spec, err := job.spec()
		if err != nil {
			return nil, errs.Pass(err, "audit")
		}
		isOwed := job.WantState == jobs.Succeeded || !job.CancelledAt.IsZero()
		if isOwed && !job.AcceptedAt.IsZero() {
			a.jobs = append(a.jobs, &idleJob{spec: spec, acceptedAt: job.AcceptedAt, cancelledAt: job.CancelledAt})
		}
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(x, y jobsworker.Event) int { return x.At.Compare(y.At) })
	for _, e := range events {
		a.checkUntil(e.At)
		a.observe(e)
	}
	return a.violations, nil
}

// idleAuditor is an audit in progress. Its state is that after the events observed so far.
type idleAuditor struct {
	evacuations  []Evacuation
	disturbances []Disturbance
	jobs         []*idleJob
	workers      map[string]*auditedWorker      // by ID
	running      map[string]int                 // number of runs by job
	needs        map[jobs.RunKey]jobs.Resources // of the runs that have not ended
	done         map[jobs.TaskRef]bool
	checkedAt    time.Time
	violations   []string
}

// auditedWorker is a worker whose process has started.
type auditedWorker struct {
	started jobsworker.Event // its Needs are the capacity
	used    jobs.Resources
}

// idleJob is a job and since when it has been idle although it could run.
type idleJob struct {
	spec        jobs.Spec
	acceptedAt  time.Time
	cancelledAt time.Time // zero: it was not cancelled
	idleSince   time.Time // zero: it is not idle
	isReported  bool
}

// idleCheckInterval is the interval of checks between two events: disturbances and due times pass without an event.
const idleCheckInterval = 100 * time.Millisecond

// checkUntil judges all jobs at intervals from the last check until a time.
func (a *idleAuditor) checkUntil(until time.Time) {
	if a.checkedAt.IsZero() {
		a.checkedAt = until
	}
	for a.checkedAt.Before(until) {
		a.checkedAt = a.checkedAt.Add(min(idleCheckInterval, until.Sub(a.checkedAt)))
		for _, job := range a.jobs {
			a.checkJob(job)
		}
	}
}

// checkJob judges for how long a job has been idle.
func (a *idleAuditor) checkJob(job *idleJob) {
	if !a.couldRun(job) {
		job.idleSince = time.Time{}
		return
	}
	if job.idleSince.IsZero() {
		job.idleSince = a.checkedAt
	}
	if a.checkedAt.Sub(job.idleSince) > maxIdle && !job.isReported {
		job.isReported = true
		a.violations = append(a.violations, fmt.Sprintf("%s has been idle since %s although it could run", job.spec.ID,
			job.idleSince.Format(time.StampMilli)))
	}
}

// couldRun reports whether a job has nothing running although one of its steps could run.
func (a *idleAuditor) couldRun(job *idleJob) bool {
	isCancelled := !job.cancelledAt.IsZero() && !a.checkedAt.Before(job.cancelledAt)
	if a.checkedAt.Before(job.acceptedAt) || isCancelled || a.running[job.spec.ID] > 0 || a.isDisturbed() {
		return false
	}
	for round := range max(job.spec.Rounds, 1) {
		due := job.spec.FirstRun.Add(time.Duration(round) * job.spec.Interval)
		if job.spec.Rounds > 0 && a.checkedAt.Before(due) {
			continue
		}
		for number := range job.spec.Steps {
			step := &job.spec.Steps[number]
			if a.isDue(job, round, number) && a.hasCapacityTwice(step) && (step.LongRunning || a.isHalfFree()) {
				return true
			}
		}
	}
	return false
}

// isDisturbed reports whether the control plane is disturbed.
func (a *idleAuditor) isDisturbed() bool {
	return slices.ContainsFunc(a.disturbances, func(d Disturbance) bool {
		return d.Worker == "" && !a.checkedAt.Before(d.From) && a.checkedAt.Before(d.To)
	})
}

// isDue reports whether a step of a round has tasks that aren't done, and all steps before it are done.
func (a *idleAuditor) isDue(job *idleJob, round, number int) bool {
	isDone := func(step int) bool {
		for index := range job.spec.Steps[step].Count {
			ref := jobs.TaskRef{Job: job.spec.ID, Round: round, Step: step, Index: index}
			if job.spec.Steps[step].Gang {
				ref.Index = 0
			}
			if !a.done[ref] {
				return false
			}
		}
		return true
	}
	return !isDone(number) && !slices.ContainsFunc(job.spec.Steps[number].After, func(i int) bool { return !isDone(i) })
}

// availableWorkers returns the workers that may be sent starts.
func (a *idleAuditor) availableWorkers() []*auditedWorker {
	var available []*auditedWorker
	for id, worker := range a.workers {
		isStopped := slices.ContainsFunc(a.disturbances, func(d Disturbance) bool {
			return d.Worker != "" && strings.HasPrefix(id, d.Worker+"-") && !a.checkedAt.Before(d.From)
		})
		isEvacuated := slices.ContainsFunc(a.evacuations, func(e Evacuation) bool {
			return e.Zone == worker.started.Zone && !a.checkedAt.Before(e.From) && a.checkedAt.Before(e.To)
		})
		if !isStopped && !isEvacuated {
			available = append(available, worker)
		}
	}
	return available
}

// hasCapacityTwice reports whether there is capacity for two tasks of a step, or for its gang twice.
func (a *idleAuditor) hasCapacityTwice(step *jobs.Step) bool {
	wanted := 2
	if step.Gang {
		wanted *= step.Count
	}
	for _, worker := range a.availableWorkers() {
		if step.Label != "" && !slices.Contains(worker.started.Labels, step.Label) {
			continue
		}
		used := worker.used
		for here := 0; wanted > 0 && (step.MaxPerWorker == 0 || here < step.MaxPerWorker); here++ {
			used = sum(used, step.Needs)
			if !fitsIn(used, worker.started.Needs) {
				break
			}
			wanted--
		}
	}
	return wanted == 0
}

// isHalfFree reports whether less than half of each resource of the available workers is in use.
func (a *idleAuditor) isHalfFree() bool {
	var used, capacity jobs.Resources
	for _, worker := range a.availableWorkers() {
		used, capacity = sum(used, worker.used), sum(capacity, worker.started.Needs)
	}
	isFree := func(used, capacity int) bool { return 2*used < capacity || capacity == 0 }
	return isFree(used.MilliCPU, capacity.MilliCPU) && isFree(used.MemoryMB, capacity.MemoryMB) &&
		isFree(used.GPUs, capacity.GPUs)
}

// observe applies an event to the state.
func (a *idleAuditor) observe(e jobsworker.Event) {
	switch e.Event {
	case jobsworker.EventWorkerStart:
		a.workers[e.Worker] = &auditedWorker{started: e}
	case jobsworker.EventRunStart:
		a.startRun(e)
	case jobsworker.EventRunEnd:
		a.endRun(e)
	}
}

// startRun records that a run began on a worker.
func (a *idleAuditor) startRun(e jobsworker.Event) {
	key := e.Run.Key()
	a.needs[key] = e.Needs
	a.running[key.Task.Job]++
	if w := a.workers[e.Worker]; w != nil {
		w.used = sum(w.used, e.Needs)
	}
	for _, job := range a.jobs {
		if job.spec.ID == key.Task.Job {
			job.idleSince = time.Time{} // the run may end before the next check
		}
	}
}

// endRun records that a run ended on a worker.
func (a *idleAuditor) endRun(e jobsworker.Event) {
	key := e.Run.Key()
	needs, isKnown := a.needs[key]
	if !isKnown {
		return
	}
	delete(a.needs, key)
	a.running[key.Task.Job]--
	if w := a.workers[e.Worker]; w != nil {
		w.used = sum(w.used, jobs.Resources{MilliCPU: -needs.MilliCPU, MemoryMB: -needs.MemoryMB, GPUs: -needs.GPUs})
	}
	if jobs.EndReason(e.Reason) == jobs.EndDone {
		a.markDone(key.Task)
	}
}

// markDone records that a task, or the gang that it belongs to, is done.
func (a *idleAuditor) markDone(task jobs.TaskRef) {
	a.done[task] = true
	for _, job := range a.jobs {
		if job.spec.ID == task.Job && job.spec.Steps[task.Step].Gang {
			task.Index = 0
			a.done[task] = true
		}
	}
}

func sum(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: a.MilliCPU + b.MilliCPU, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}

// fitsIn reports whether used doesn't exceed a capacity in any resource.
func fitsIn(used, capacity jobs.Resources) bool {
	return used.MilliCPU <= capacity.MilliCPU && used.MemoryMB <= capacity.MemoryMB && used.GPUs <= capacity.GPUs
}
