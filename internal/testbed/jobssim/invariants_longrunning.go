package jobssim

import (
	"time"

	"crosstide/internal/jobs"
)

// Bounds of the rules on lasting tasks and on the ends that workers list.
const (
	reattachTime    = 6 * time.Second // a lasting task runs again so long after its last run, where there is room
	calmBefore      = 4 * time.Second // before the idle time that is judged nothing was disrupted
	acknowledgeTime = ackTime         // an end that is listed is acknowledged within it
)

// longRunningTask is what the oracle knows of one task that lasts.
type longRunningTask struct {
	idleSince     time.Duration // since when it does not run; 0: it runs
	capacitySince time.Duration // since when there is room for it twice over meanwhile; 0: there is not
}

// findDetached finds lasting tasks that could run and do not, whether others of their job run or not.
func (o *invariantChecker) findDetached() {
	for _, c := range o.sim.clients.jobs {
		if !c.accepted || c.lastShown.IsTerminal() || c.cancelSent {
			continue
		}
		j := o.job(c.spec.ID)
		for number := range c.spec.Steps {
			if c.spec.Steps[number].LongRunning {
				o.checkLongRunning(j, number)
			}
		}
	}
}

// checkLongRunning judges the tasks of one lasting step.
func (o *invariantChecker) checkLongRunning(j *jobHistory, number int) {
	step := &j.job.spec.Steps[number]
	hasCapacity := o.couldAttach(j, step)
	for index := range step.Count {
		ref := jobs.TaskRef{Job: j.job.spec.ID, Step: number, Index: index}
		l := o.longRunning[ref]
		if l == nil {
			l = &longRunningTask{}
			o.longRunning[ref] = l
		}
		if len(j.task(ref).running) > 0 {
			*l = longRunningTask{}
			o.count(LongRunningRule)
			continue
		}
		if l.idleSince == 0 {
			l.idleSince = o.sim.now
		}
		switch {
		case !hasCapacity:
			l.capacitySince = 0
		case l.capacitySince == 0:
			l.capacitySince = o.sim.now
		}
		if l.capacitySince > 0 && o.sim.now-l.idleSince > reattachTime && o.sim.now-l.capacitySince > maxIdle {
			o.breach(LongRunningRule, "%s.%d of a lasting step has not run since %s, with room since %s", ref.Job, index, l.idleSince, l.capacitySince)
			*l = longRunningTask{}
		}
	}
}

// couldAttach tells whether a lasting step's tasks could be started now, by what any scheduler knows.
func (o *invariantChecker) couldAttach(j *jobHistory, step *jobs.Step) bool {
	if !o.sim.inTouch() || !o.sim.calmSince(o.sim.now-calmBefore) || o.sim.now < j.excusedUntil {
		return false
	}
	service := o.serviceOf(j)
	return service != "" && o.hasCapacityTwice(step, service)
}

// listed takes in that a worker has an end to tell.
func (o *invariantChecker) listed(w *workerIncarnation, e *endRecord) {
	since := o.sim.now
	o.sim.after(acknowledgeTime, func() {
		if !w.isUp() || e.isInvalidated || !o.sim.calmSince(since) || !o.sim.inTouch() || since < w.host.disruptedAt+contactTimeout {
			return
		}
		o.require(NotedRule, e.isAcknowledged, "%s ended %s at %s, which is not acknowledged", e.run, e.reason, since)
	})
}
