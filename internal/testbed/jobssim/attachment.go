package jobssim

import (
	"time"

	"crosstide/internal/jobs"
)

// Bounds of the rules on lasting tasks and on the ends that workers list.
const (
	reattachTime = 6 * time.Second // a lasting task runs again so long after its last run, where there is room
	calmBefore   = 4 * time.Second // before the idle time that is judged nothing was disrupted
	noteTime     = ackTime         // an end that is listed is acknowledged within it
)

// lastingTask is what the oracle knows of one task that lasts.
type lastingTask struct {
	idleFrom time.Duration // since when it does not run; 0: it runs
	roomFrom time.Duration // since when there is room for it twice over meanwhile; 0: there is not
}

// findDetached finds lasting tasks that could run and do not, whether others of their job run or not.
func (o *oracle) findDetached() {
	for _, c := range o.sim.clients.jobs {
		if !c.accepted || c.shown.IsTerminal() || c.cancelSent {
			continue
		}
		j := o.job(c.spec.ID)
		for number := range c.spec.Steps {
			if c.spec.Steps[number].LongRunning {
				o.watchLasting(j, number)
			}
		}
	}
}

// watchLasting judges the tasks of one lasting step.
func (o *oracle) watchLasting(j *jobTruth, number int) {
	step := &j.job.spec.Steps[number]
	room := o.couldAttach(j, step)
	for index := range step.Count {
		ref := jobs.TaskRef{Job: j.job.spec.ID, Step: number, Index: index}
		l := o.lasting[ref]
		if l == nil {
			l = &lastingTask{}
			o.lasting[ref] = l
		}
		if len(j.task(ref).running) > 0 {
			*l = lastingTask{}
			o.count(LastingRule)
			continue
		}
		if l.idleFrom == 0 {
			l.idleFrom = o.sim.now
		}
		switch {
		case !room:
			l.roomFrom = 0
		case l.roomFrom == 0:
			l.roomFrom = o.sim.now
		}
		if l.roomFrom > 0 && o.sim.now-l.idleFrom > reattachTime && o.sim.now-l.roomFrom > idleMost {
			o.breach(LastingRule, "%s.%d of a lasting step has not run since %s, with room since %s", ref.Job, index, l.idleFrom, l.roomFrom)
			*l = lastingTask{}
		}
	}
}

// couldAttach tells whether a lasting step's tasks could be started now, by what any scheduler knows.
func (o *oracle) couldAttach(j *jobTruth, step *jobs.Step) bool {
	if !o.sim.inTouch() || !o.sim.calmSince(o.sim.now-calmBefore) || o.sim.now < j.disturbed {
		return false
	}
	service := o.serviceOf(j)
	return service != "" && o.roomTwice(step, service)
}

// listed takes in that a worker has an end to tell.
func (o *oracle) listed(w *life, e *endRecord) {
	since := o.sim.now
	o.sim.after(noteTime, func() {
		if !w.up() || e.voided || !o.sim.calmSince(since) || !o.sim.inTouch() || since < w.slot.troubled+contactTimeout {
			return
		}
		o.require(NotedRule, e.noted, "%s ended %s at %s, which is not acknowledged", e.run, e.how, since)
	})
}
