package jobssim

import (
	"fmt"
	"time"

	"crosstide/internal/jobs"
)

// accepted takes in that a job was accepted.
func (o *invariantChecker) accepted(j *clientJob) { o.job(j.spec.ID) }

// rejected takes in that every attempt to hand a job in was rejected.
func (o *invariantChecker) rejected(j *clientJob) {
	t := o.job(j.spec.ID)
	started := t.running > 0 || len(t.tasks) > 0
	o.require(RefusedRule, !started, "job %s was refused and has started", j.spec.ID)
}

// lastShown judges what a client is told of its job.
func (o *invariantChecker) shown(c *clientJob, a jobAnswer) {
	j := o.job(c.spec.ID)
	if a.gone {
		if c.accepted && !c.cancelSent {
			o.require(LostRule, o.sim.now <= c.acceptedAt+visibleTime || !o.sim.inTouch(), "job %s is accepted and not known", c.spec.ID)
		}
		return
	}
	switch a.state {
	case jobs.Succeeded:
		o.require(MixedRule, j.allDone(), "job %s is shown as succeeded and is not done", c.spec.ID)
		j.succeeded = true
	case jobs.Failed:
		o.require(LostRule, j.attemptsExhausted(), "job %s is shown as failed without cause", c.spec.ID)
	case jobs.Cancelled:
		o.require(LostRule, c.cancelSent, "job %s is shown as cancelled without cause", c.spec.ID)
	default:
		o.count(LostRule)
		if c.lastShown.IsTerminal() {
			o.breach(LostRule, "job %s is shown as %s after %s", c.spec.ID, a.state, c.lastShown)
		}
	}
}

// rounds is how many times the steps of a job are run.
func rounds(spec *jobs.Spec) int { return max(1, spec.Rounds) }

// allDone tells whether every task has ended done.
func (j *jobHistory) allDone() bool {
	for round := range rounds(&j.job.spec) {
		for step := range j.job.spec.Steps {
			if !j.stepDone(round, step) {
				return false
			}
		}
	}
	return true
}

// attemptsExhausted tells whether a task has failed as often as it may.
func (j *jobHistory) attemptsExhausted() bool {
	for ref, t := range j.tasks {
		if !j.job.spec.Steps[ref.Step].LongRunning && len(t.failed) >= maxAttempts {
			return true
		}
	}
	return false
}

// cancelled takes in that a job's cancelling was acknowledged.
func (o *invariantChecker) cancelled(c *clientJob) {
	since := o.sim.now
	o.sim.after(cancelTime+maxStopDelay, func() {
		if !o.sim.calmSince(since) {
			return
		}
		for _, host := range o.sim.hosts {
			if host.current == nil {
				continue
			}
			for _, r := range host.current.runs {
				if r.spec.ID == c.spec.ID {
					o.breach(UnaskedRule, "%s runs on after its cancelling", r)
				}
			}
		}
		o.count(UnaskedRule)
	})
}

// checkAcknowledgement judges how long an order waited for its acknowledgement in the newest stretch in which the core was stable.
func (o *invariantChecker) checkAcknowledgement(what string, sent time.Duration) {
	stable := max(sent, o.sim.quiet.coreUntil+contactTimeout)
	o.require(AckRule, o.sim.now-stable <= ackTime, "%s waited %s for its acknowledgement, the core being stable", what, o.sim.now-stable)
}

const (
	maxIdle           = 3 * time.Second
	idleCheckInterval = 250 * time.Millisecond
)

// onTableChange looks for idle jobs again and again.
func (o *invariantChecker) watchIdle() {
	o.sim.after(idleCheckInterval, func() {
		o.findIdle()
		o.findDetached()
		o.watchIdle()
	})
}

// findIdle finds jobs that could run and do not.
func (o *invariantChecker) findIdle() {
	for _, c := range o.sim.clients.jobs {
		if !c.accepted || c.lastShown.IsTerminal() || c.cancelSent {
			continue
		}
		j := o.job(c.spec.ID)
		if !o.couldRun(j) {
			j.idleSince, j.idleSinceAnyCause = 0, 0
			continue
		}
		o.recordIdlePeriod(j)
		if o.sim.now < j.excusedUntil {
			j.idleSince = 0
			continue
		}
		if j.idleSince == 0 {
			j.idleSince = o.sim.now
			continue
		}
		if o.sim.now-j.idleSince > maxIdle {
			o.breach(LostRule, "job %s has been idle since %s: %s", c.spec.ID, j.idleSince, o.describe(queueOf(c.prefix)))
			j.idleSince = o.sim.now
		}
		o.count(LostRule)
	}
}

// recordIdlePeriod keeps account of how long a job is idle, whatever the cause.
func (o *invariantChecker) recordIdlePeriod(j *jobHistory) {
	if j.idleSinceAnyCause == 0 {
		j.idleSinceAnyCause = o.sim.now
	}
	disruptionPeriod := o.sim.now - j.idleSinceAnyCause
	if disruptionPeriod > maxIdle && disruptionPeriod <= maxIdle+idleCheckInterval {
		o.sim.report.IdlePeriods++
		o.sim.trace("job %s has been idle for %s", j.job.spec.ID, disruptionPeriod)
	}
	o.sim.report.LongestIdle = max(o.sim.report.LongestIdle, disruptionPeriod)
}

// describe lists the workers of the service of a queue.
func (o *invariantChecker) describe(queue string) string {
	configs := o.sim.operator.configs
	service := configs[len(configs)-1].services[queue]
	text := service
	for _, host := range o.sim.hosts {
		if host.service == service && host.current != nil {
			text += fmt.Sprintf(" %s(sound %v, used %v)", host.current.id, o.isHealthy(host), host.current.used())
		}
	}
	return text
}

// couldRun tells whether nothing of a job runs although a task's turn has come and there is room twice over.
func (o *invariantChecker) couldRun(j *jobHistory) bool {
	if j.running > 0 || !o.sim.inTouch() || j.attemptsExhausted() {
		return false
	}
	service := o.serviceOf(j)
	if service == "" {
		return false
	}
	for round := range rounds(&j.job.spec) {
		spec := &j.job.spec
		if spec.Rounds > 0 && o.sim.wall().Before(spec.FirstRun.Add(time.Duration(round)*spec.Interval+200*time.Millisecond)) {
			continue
		}
		for number := range spec.Steps {
			if o.turnHasCome(j, round, number) && o.hasCapacityTwice(&spec.Steps[number], service) {
				return true
			}
		}
	}
	return false
}

// serviceOf is the service to which the newest configuration directs a job; empty if none, or if that one need not be in
// force yet.
func (o *invariantChecker) serviceOf(j *jobHistory) string {
	configs := o.sim.operator.configs
	newest := configs[len(configs)-1]
	if !newest.acked || o.sim.now < newest.ackedAt+configTime {
		return ""
	}
	return newest.services[queueOf(j.job.prefix)]
}

// turnHasCome tells whether a task of a step of a round is not done, and all steps before are.
func (o *invariantChecker) turnHasCome(j *jobHistory, round, number int) bool {
	if j.stepDone(round, number) {
		return false
	}
	for _, before := range j.job.spec.Steps[number].After {
		if !j.stepDone(round, before) {
			return false
		}
	}
	return true
}

// hasCapacityTwice tells whether sound workers of a service have room for a task, or a gang, twice over, and whether under
// half of what these workers have is in use.
func (o *invariantChecker) hasCapacityTwice(step *jobs.Step, service string) bool {
	wanted, could := 2, 0
	if step.Gang {
		wanted = 2 * step.Count
	}
	var capacity, used jobs.Resources
	for _, host := range o.sim.hosts {
		w := host.current
		if host.service != service || w == nil {
			continue
		}
		if !o.isHealthy(host) {
			continue
		}
		capacity, used = plus(capacity, host.capacity), plus(used, w.used())
		if step.Label != "" && !labelled(host, step.Label) {
			continue
		}
		here, free := 0, plus(w.used(), step.Needs)
		for fits(free, host.capacity) && (step.MaxPerWorker == 0 || here < step.MaxPerWorker) && here < wanted {
			here++
			free = plus(free, step.Needs)
		}
		could += here
	}
	return could >= wanted && 2*used.MilliCPU < capacity.MilliCPU && 2*used.MemoryMB < capacity.MemoryMB && 2*used.GPUs <= capacity.GPUs
}

// isHealthy tells whether a worker could be given starts by any scheduler.
func (o *invariantChecker) isHealthy(host *workerHost) bool {
	w := host.current
	if w.draining || w.leaving || w.refuses || w.failShare > 0 || w.failsAll || w.stalledSince > 0 || host.cut || len(host.cutFrom) > 0 || o.sim.now < host.disruptedAt || o.sim.now-w.startedAt < contactTimeout {
		return false
	}
	for _, e := range o.sim.operator.evacuations {
		if e.zone == host.zone && !(e.finished && o.sim.now > e.ackedAt+evacuationTime+contactTimeout) {
			return false
		}
	}
	return true
}

func labelled(host *workerHost, label string) bool {
	for _, l := range host.labels {
		if l == label {
			return true
		}
	}
	return false
}

// finish judges what is left when a run is over.
func (o *invariantChecker) finish() {
	for _, c := range o.sim.clients.jobs {
		if !c.accepted {
			continue
		}
		o.require(EndRule, c.lastShown.IsTerminal(), "job %s was accepted and is %q at the end", c.spec.ID, c.lastShown)
	}
	o.recovered()
	o.finishConfig()
	o.sim.compareReplicas()
}

// recovered judges the jobs that were handed in after the final fault, when the machines had been back for long enough.
func (o *invariantChecker) recovered() {
	served, all := 0, 0
	for _, c := range o.sim.clients.jobs {
		if c.afterFault {
			all++
			if c.accepted {
				served++
			}
		}
	}
	if all > 0 {
		o.require(RecoverRule, 4*served >= all, "%d of %d jobs were accepted after the final fault", served, all)
	}
}

// finishConfig holds what is in force at the end against what was acknowledged.
func (o *invariantChecker) finishConfig() {
	n := o.sim.log.leader
	if n == nil {
		o.breach(EndRule, "there is no leader at the end")
		return
	}
	n.catchUp()
	at, newest := -1, -1
	for i, c := range o.sim.operator.configs {
		if c.change.Version == n.table.Config.Version && (c.acked || !c.lost) {
			at = i
		}
		if c.acked {
			newest = i
		}
	}
	o.require(ConfigRule, at >= newest && at >= 0, "version %d is in force at the end, older than what was acknowledged or never sent",
		n.table.Config.Version)
	for _, e := range o.sim.operator.evacuations {
		if e.acked && !e.finished {
			o.require(LostRule, n.table.Evacuated[e.zone], "the evacuation of %s is gone", e.zone)
		}
	}
}
