package policysim

import (
	"iter"
	"slices"
	"time"

	"crosstide/internal/state"
)

// endTimeout bounds the time from the end of the faults until every job has ended. It covers the longest lease followed
// by retries and long runs.
const endTimeout = 150 * time.Second

const (
	idleTimeout      = 3 * time.Second  // for which a due task may wait although capacity is free
	recoveryTime     = 30 * time.Second // from the end of the faults until idleTimeout applies
	startTimeout     = 20 * time.Second // until the oldest due task has a run ID; covers the longest run
	gangStartTimeout = 45 * time.Second // the same for a gang, which needs several free workers at once
)

// dueTasks records since when tasks wait, according to the committed entries.
type dueTasks struct {
	dueAt       map[state.TaskRef]time.Duration // when a task may start; may be in the future
	idleSince   map[state.TaskRef]time.Duration // since when a worker has had capacity for a due task
	oldestTask  state.TaskRef                   // the oldest due task that would fit if the workers were empty
	oldestSince time.Duration                   // since when it is the oldest; 0: no such task, or !isServing
}

// checkWaiting checks the waiting tasks every 250 ms after the faults have ended.
func (ic *invariantChecker) checkWaiting() {
	s := ic.sim
	s.schedule(250*time.Millisecond, ic.checkWaiting)
	if !s.faultsEnded {
		return
	}
	ic.checkPassedOver()
	if s.now >= s.options.FaultPeriod+recoveryTime {
		ic.checkIdle()
	}
}

// checkIdle checks that no due task waits although capacity is free (invariant: not idle beside room).
func (ic *invariantChecker) checkIdle() {
	for _, key := range ic.runningJobs() {
		j := ic.reference.Jobs[key]
		for ref := range tasksOf(j) {
			ic.checkIdleTask(j, ref)
		}
	}
}

func (ic *invariantChecker) checkIdleTask(j *state.Job, ref state.TaskRef) {
	s := ic.sim
	if !ic.isStartable(j, ref) {
		delete(ic.idleSince, ref)
		return
	}
	if ic.idleSince[ref] == 0 {
		ic.idleSince[ref] = s.now
	}
	s.countCase("not idle beside room")
	if s.now-ic.idleSince[ref] > idleTimeout {
		s.reportViolation("not idle beside room", "%v is due since %v and there is room for it since %v",
			ref, ic.dueAt[ref], ic.idleSince[ref])
	}
}

// checkPassedOver checks that the oldest due task that would fit if the workers were empty starts in time (invariant:
// not passed over): younger tasks that need less capacity must not starve it. The time counts only while isServing, as
// a process that a fault ended may be down for up to recoveryTime after the faults.
func (ic *invariantChecker) checkPassedOver() {
	s := ic.sim
	ref, found := ic.oldestPlaceable()
	switch {
	case !found || !ic.isServing():
		ic.oldestSince = 0
	case ic.oldestSince == 0 || ref != ic.oldestTask:
		ic.oldestTask, ic.oldestSince = ref, s.now
	default:
		s.countCase("not passed over")
		timeout := startTimeout
		if ic.reference.Jobs[ref.Job].Spec.Steps[ref.Step].Gang {
			timeout = gangStartTimeout
		}
		if s.now-ic.oldestSince > timeout {
			s.reportViolation("not passed over", "%v is the oldest due task since %v", ref, ic.oldestSince)
		}
	}
}

// isServing reports whether a majority of the store's voters and at least one data-plane node are running, so that the
// fleet can start tasks.
func (ic *invariantChecker) isServing() bool {
	up := map[string]bool{}
	for _, c := range ic.sim.controlPlanes {
		if c.alive && !c.frozen && c.driver.Core() != nil {
			up[c.driver.Core().Status().ID] = true
		}
	}
	return isMajority(ic.members, up) &&
		slices.ContainsFunc(ic.sim.dataPlanes, func(d *dataPlane) bool { return d.alive && !d.frozen })
}

// oldestPlaceable returns the oldest due task that would fit if the workers were empty.
func (ic *invariantChecker) oldestPlaceable() (first state.TaskRef, found bool) {
	var seq uint64
	for _, key := range ic.runningJobs() {
		j := ic.reference.Jobs[key]
		if found && j.Seq > seq {
			continue
		}
		if ref, ok := ic.firstPlaceable(j); ok {
			first, seq, found = ref, j.Seq, true
		}
	}
	return first, found
}

// firstPlaceable returns the first due task of a job that would fit if the workers were empty.
func (ic *invariantChecker) firstPlaceable(j *state.Job) (state.TaskRef, bool) {
	for ref := range tasksOf(j) {
		isDue := j.Tasks[ref.Step][ref.Task].Phase == state.TaskDue && ic.sim.now >= ic.dueAt[ref]
		if isDue && ic.sim.billingChecker.isPayable(j, ref) && ic.fitsEmptyFleet(j, ref.Step) {
			return ref, true
		}
	}
	return state.TaskRef{}, false
}

// fitsEmptyFleet reports whether the tasks of a step that start together, all of a gang or else one, would fit if the
// workers were empty.
func (ic *invariantChecker) fitsEmptyFleet(j *state.Job, stepIndex int) bool {
	step := &j.Spec.Steps[stepIndex]
	need, have := 1, 0
	if step.Gang {
		need = step.Tasks
	}
	for _, w := range ic.usableWorkers() {
		if ic.reference.PlacementRefusal(&j.Spec, step, ic.reference.Workers[w.addr]) == "" {
			have += w.cores / step.Cores
		}
	}
	return have >= need
}

// tasksOf returns the tasks of a job, in order.
func tasksOf(j *state.Job) iter.Seq[state.TaskRef] {
	return func(yield func(state.TaskRef) bool) {
		for step := range j.Tasks {
			for task := range j.Tasks[step] {
				if !yield(state.TaskRef{Job: j.Spec.Key, Step: step, Task: task}) {
					return
				}
			}
		}
	}
}

// runningJobs returns the keys of the running jobs, in order.
func (ic *invariantChecker) runningJobs() []string {
	var keys []string
	for key, j := range ic.reference.Jobs {
		if j.Phase == state.JobRunning {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// isStartable reports whether a task is due and payable, and a worker has capacity for it now.
func (ic *invariantChecker) isStartable(j *state.Job, ref state.TaskRef) bool {
	return ic.fitsNow(j, ref) && ic.sim.billingChecker.isPayable(j, ref)
}

// fitsNow reports whether a task is due and a worker has capacity for it now. It is false for a task of a gang, whose
// tasks must all be placed at once.
func (ic *invariantChecker) fitsNow(j *state.Job, ref state.TaskRef) bool {
	step := &j.Spec.Steps[ref.Step]
	if j.Tasks[ref.Step][ref.Task].Phase != state.TaskDue || step.Gang || ic.sim.now < ic.dueAt[ref] {
		return false
	}
	return slices.ContainsFunc(ic.usableWorkers(), func(w *worker) bool {
		return ic.reference.PlacementRefusal(&j.Spec, step, ic.reference.Workers[w.addr]) == "" &&
			ic.reference.UsageOf(w.addr).Cores+step.Cores <= w.cores
	})
}

// usableWorkers returns the workers that the scheduler must use for starts: those that are running, not draining and
// not ejected by the scheduler as unhealthy.
func (ic *invariantChecker) usableWorkers() []*worker {
	var unhealthy []string
	for _, d := range ic.sim.dataPlanes {
		if d.alive && d.scheduler.Epoch() > 0 {
			unhealthy = d.scheduler.UnhealthyWorkers()
		}
	}
	var usable []*worker
	for _, w := range ic.sim.workers {
		if ic.reference.Workers[w.addr] != nil && w.alive && !w.frozen && !w.draining &&
			!slices.Contains(unhealthy, w.addr) {
			usable = append(usable, w)
		}
	}
	return usable
}

// checkEnd checks, at the end of a run, that every job has ended (invariant: all ends) and that all states are equal.
func (ic *invariantChecker) checkEnd() {
	s := ic.sim
	s.countCase("all ends")
	for _, j := range s.clients.jobs {
		if !j.abandoned && j.outcome == "" {
			phase := state.JobPhase("unknown")
			if known := ic.reference.Jobs[j.spec.Key]; known != nil {
				phase = known.Phase
			}
			s.reportViolation("all ends", "%s, sent at %v, accepted at %v, has not ended; the log has it as %q",
				j.spec.Key, j.sentAt, j.acceptedAt, phase)
		}
	}
	ic.compareStates()
}
