package jobssim

import (
	"time"

	"crosstide/internal/jobs"
)

// Bounds of the invariants of long-running tasks and of the ends that workers list.
const (
	reattachTime    = 6 * time.Second // from the last run of a task to the next, with capacity
	calmBefore      = 4 * time.Second // before the idle time that is judged nothing was disrupted
	acknowledgeTime = ackTime         // an end that is listed is acknowledged within it
)

// longRunningTask is what the checker knows of one long-running task.
type longRunningTask struct {
	idleSince     time.Duration // since when it does not run; 0: it runs
	capacitySince time.Duration // since when there is capacity for it twice; 0: there is not
}

// findDetached judges long-running tasks that could run and do not, whether others of their job run or not.
func (ic *invariantChecker) findDetached() {
	for _, c := range ic.sim.clients.jobs {
		if !c.isAccepted || c.lastShown.IsTerminal() || c.isCancelSent {
			continue
		}
		j := ic.job(c.spec.ID)
		for number := range c.spec.Steps {
			if c.spec.Steps[number].LongRunning {
				ic.checkLongRunning(j, number)
			}
		}
	}
}

// checkLongRunning judges the tasks of one long-running step.
func (ic *invariantChecker) checkLongRunning(j *jobHistory, number int) {
	step := &j.job.spec.Steps[number]
	hasCapacity := ic.couldAttach(j, step)
	for index := range step.Count {
		ref := jobs.TaskRef{Job: j.job.spec.ID, Step: number, Index: index}
		l := ic.longRunning[ref]
		if l == nil {
			l = &longRunningTask{}
			ic.longRunning[ref] = l
		}
		if len(j.task(ref).running) > 0 {
			*l = longRunningTask{}
			ic.count(LongRunningRule)
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
		if hadCapacity && ic.sim.now-l.idleSince > reattachTime {
			ic.breach(LongRunningRule, "%s.%d of a lasting step has not run since %s, with room since %s", ref.Job,
				index, l.idleSince, l.capacitySince)
			*l = longRunningTask{}
		}
	}
}

// couldAttach reports whether a long-running step's tasks could be started now, by what any scheduler knows.
func (ic *invariantChecker) couldAttach(j *jobHistory, step *jobs.Step) bool {
	if !ic.sim.inTouch() || !ic.sim.calmSince(ic.sim.now-calmBefore) || ic.sim.now < j.excusedUntil {
		return false
	}
	service := ic.serviceOf(j)
	return service != "" && ic.hasCapacityTwice(step, service)
}

// listed records that a worker lists an end, which must be acknowledged in time.
func (ic *invariantChecker) listed(w *workerIncarnation, e *endRecord) {
	since := ic.sim.now
	ic.sim.after(acknowledgeTime, func() {
		isStill := w.isUp() && !e.isInvalidated
		isCalm := ic.sim.calmSince(since) && ic.sim.inTouch() && since >= w.host.disruptedAt+contactTimeout
		if !isStill || !isCalm {
			return
		}
		ic.require(NotedRule, e.isAcknowledged, "%s ended %s at %s, which is not acknowledged", e.run, e.reason, since)
	})
}
