package jobssim

import (
	"time"

	"crosstide/internal/jobs"
)

// Bounds of the invariants of long-running tasks and of the ends that workers list.
const (
	restartTime       = 6 * time.Second // from the last run of a task to the next one, if there is capacity
	undisruptedBefore = 4 * time.Second // time without disruptions before a task is expected to start
	acknowledgeTime   = ackTime         // from the listing of an end to its acknowledgement
)

// longRunningTask records since when a long-running task has not been running.
type longRunningTask struct {
	idleSince     time.Duration // since when it is not running; 0: it is running
	capacitySince time.Duration // since when there is capacity for it twice; 0: there is none
}

// checkLongRunningTasks judges for how long long-running tasks that could run have not run. Unlike checkIdleJobs, it
// checks each task, even if other tasks of its job are running, and however full the service is.
func (ic *invariantChecker) checkLongRunningTasks() {
	for _, c := range ic.sim.clients.jobs {
		if !c.isAccepted || c.lastState.IsTerminal() || c.isCancelSent {
			continue
		}
		j := ic.history(c.spec.ID)
		for number := range c.spec.Steps {
			if c.spec.Steps[number].LongRunning {
				ic.checkLongRunningStep(j, number)
			}
		}
	}
}

// checkLongRunningStep judges the tasks of one long-running step.
func (ic *invariantChecker) checkLongRunningStep(j *jobHistory, number int) {
	step := &j.job.spec.Steps[number]
	hasCapacity := ic.couldRunLongRunning(j, step)
	for index := range step.Count {
		ref := jobs.TaskRef{Job: j.job.spec.ID, Step: number, Index: index}
		l := ic.longRunning[ref]
		if l == nil {
			l = &longRunningTask{}
			ic.longRunning[ref] = l
		}
		if len(j.task(ref).running) > 0 {
			*l = longRunningTask{}
			ic.countCase(LongRunningInvariant)
			continue
		}
		if l.idleSince == 0 {
			l.idleSince = ic.sim.now
		}
		switch {
		case !hasCapacity:
			l.capacitySince = 0
		case l.capacitySince == 0:
			l.capacitySince = ic.sim.now
		}
		hadCapacity := l.capacitySince > 0 && ic.sim.now-l.capacitySince > maxIdle
		if hadCapacity && ic.sim.now-l.idleSince > restartTime {
			ic.violate(LongRunningInvariant,
				"%s.%d of a long-running step has not run since %s, with capacity since %s",
				ref.Job, index, l.idleSince, l.capacitySince)
			*l = longRunningTask{}
		}
	}
}

// couldRunLongRunning reports whether every correct scheduler can be expected to start the tasks of a long-running step
// now.
func (ic *invariantChecker) couldRunLongRunning(j *jobHistory, step *jobs.Step) bool {
	if !ic.sim.isCoreStable() || !ic.sim.undisruptedSince(ic.sim.now-undisruptedBefore) || ic.sim.now < j.excusedUntil {
		return false
	}
	service := ic.serviceOf(j)
	return service != "" && ic.hasCapacityTwice(step, service)
}

// endListed records that a worker lists an end, and verifies later that the end was acknowledged.
func (ic *invariantChecker) endListed(w *workerIncarnation, e *endRecord) {
	since := ic.sim.now
	ic.sim.after(acknowledgeTime, func() {
		isPending := w.isUp() && !e.isInvalidated
		isUndisrupted := ic.sim.undisruptedSince(since) && ic.sim.isCoreStable() &&
			since >= w.host.disruptedUntil+contactTimeout
		if !isPending || !isUndisrupted {
			return
		}
		ic.require(NotedInvariant, e.isAcknowledged, "%s ended as %s at %s, but this is not acknowledged",
			e.run, e.reason, since)
	})
}
