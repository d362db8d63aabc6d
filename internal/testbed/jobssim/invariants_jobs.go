package jobssim

import (
	"fmt"
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// accepted records that a job was accepted.
func (ic *invariantChecker) accepted(j *clientJob) { ic.job(j.spec.ID) }

// rejected records that every attempt to submit a job was rejected.
func (ic *invariantChecker) rejected(j *clientJob) {
	t := ic.job(j.spec.ID)
	started := t.running > 0 || len(t.tasks) > 0
	ic.require(RefusedRule, !started, "job %s was refused and has started", j.spec.ID)
}

// shown judges what a client is shown of its job.
func (ic *invariantChecker) shown(c *clientJob, a jobAnswer) {
	j := ic.job(c.spec.ID)
	if a.gone {
		if c.isAccepted && !c.isCancelSent {
			isExcused := ic.sim.now <= c.acceptedAt+visibleTime || !ic.sim.inTouch()
			ic.require(LostRule, isExcused, "job %s is accepted and not known", c.spec.ID)
		}
		return
	}
	switch a.state {
	case jobs.Succeeded:
		ic.require(MixedRule, j.allDone(), "job %s is shown as succeeded and is not done", c.spec.ID)
		j.succeeded = true
	case jobs.Failed:
		ic.require(LostRule, j.attemptsExhausted(), "job %s is shown as failed without cause", c.spec.ID)
	case jobs.Cancelled:
		ic.require(LostRule, c.isCancelSent, "job %s is shown as cancelled without cause", c.spec.ID)
	default:
		ic.count(LostRule)
		if c.lastShown.IsTerminal() {
			ic.breach(LostRule, "job %s is shown as %s after %s", c.spec.ID, a.state, c.lastShown)
		}
	}
}

// cancelled records that a job's cancel was acknowledged.
func (ic *invariantChecker) cancelled(c *clientJob) {
	since := ic.sim.now
	ic.sim.after(cancelTime+maxStopDelay, func() {
		if !ic.sim.calmSince(since) {
			return
		}
		for _, host := range ic.sim.hosts {
			if host.current == nil {
				continue
			}
			for _, r := range host.current.runs {
				if r.spec.ID == c.spec.ID {
					ic.breach(UnaskedRule, "%s runs on after its cancelling", r)
				}
			}
		}
		ic.count(UnaskedRule)
	})
}

// checkAcknowledgement judges how long an order waited for its acknowledgement in the newest time in which the core was
// stable.
func (ic *invariantChecker) checkAcknowledgement(what string, sent time.Duration) {
	stable := max(sent, ic.sim.quiet.coreUntil+contactTimeout)
	waited := ic.sim.now - stable
	ic.require(AckRule, waited <= ackTime, "%s waited %s for its acknowledgement, the core being stable", what, waited)
}

const (
	maxIdle           = 3 * time.Second
	idleCheckInterval = 250 * time.Millisecond
)

// watchIdle looks for idle jobs at intervals.
func (ic *invariantChecker) watchIdle() {
	ic.sim.after(idleCheckInterval, func() {
		ic.findIdle()
		ic.findDetached()
		ic.watchIdle()
	})
}

// findIdle judges jobs that could run and do not.
func (ic *invariantChecker) findIdle() {
	for _, c := range ic.sim.clients.jobs {
		if !c.isAccepted || c.lastShown.IsTerminal() || c.isCancelSent {
			continue
		}
		j := ic.job(c.spec.ID)
		if !ic.couldRun(j) {
			j.idleSince, j.idleSinceAnyCause = 0, 0
			continue
		}
		ic.recordIdlePeriod(j)
		if ic.sim.now < j.excusedUntil {
			j.idleSince = 0
			continue
		}
		if j.idleSince == 0 {
			j.idleSince = ic.sim.now
			continue
		}
		if ic.sim.now-j.idleSince > maxIdle {
			ic.breach(LostRule, "job %s has been idle since %s: %s", c.spec.ID, j.idleSince,
				ic.describe(queueOf(c.prefix)))
			j.idleSince = ic.sim.now
		}
		ic.count(LostRule)
	}
}

// recordIdlePeriod records how long a job is idle, whatever the cause.
func (ic *invariantChecker) recordIdlePeriod(j *jobHistory) {
	if j.idleSinceAnyCause == 0 {
		j.idleSinceAnyCause = ic.sim.now
	}
	period := ic.sim.now - j.idleSinceAnyCause
	if period > maxIdle && period <= maxIdle+idleCheckInterval {
		ic.sim.report.IdlePeriods++
		ic.sim.trace("job %s has been idle for %s", j.job.spec.ID, period)
	}
	ic.sim.report.LongestIdle = max(ic.sim.report.LongestIdle, period)
}

// describe lists the workers of the service of a queue.
func (ic *invariantChecker) describe(queue string) string {
	configs := ic.sim.operator.configs
	service := configs[len(configs)-1].services[queue]
	text := service
	for _, host := range ic.sim.hosts {
		if host.service == service && host.current != nil {
			text += fmt.Sprintf(" %s(sound %v, used %v)", host.current.id, ic.isHealthy(host), host.current.used())
		}
	}
	return text
}

// couldRun reports whether nothing of a job runs although a task's turn has come and there is capacity for it twice.
func (ic *invariantChecker) couldRun(j *jobHistory) bool {
	if j.running > 0 || !ic.sim.inTouch() || j.attemptsExhausted() {
		return false
	}
	service := ic.serviceOf(j)
	if service == "" {
		return false
	}
	spec := &j.job.spec
	for round := range rounds(spec) {
		due := spec.FirstRun.Add(time.Duration(round)*spec.Interval + 200*time.Millisecond)
		if spec.Rounds > 0 && ic.sim.wall().Before(due) {
			continue
		}
		for number := range spec.Steps {
			if ic.turnHasCome(j, round, number) && ic.hasCapacityTwice(&spec.Steps[number], service) {
				return true
			}
		}
	}
	return false
}

// serviceOf returns the service to which the newest configuration directs a job; empty if none, or if that
// configuration need not be in force yet.
func (ic *invariantChecker) serviceOf(j *jobHistory) string {
	configs := ic.sim.operator.configs
	newest := configs[len(configs)-1]
	if !newest.acked || ic.sim.now < newest.ackedAt+configTime {
		return ""
	}
	return newest.services[queueOf(j.job.prefix)]
}

// turnHasCome reports whether a task of a step of a round is not done, and all steps before are.
func (*invariantChecker) turnHasCome(j *jobHistory, round, number int) bool {
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

// hasCapacityTwice reports whether healthy workers of a service have capacity for a task, or a gang, twice, and less
// than half of their capacity is in use.
func (ic *invariantChecker) hasCapacityTwice(step *jobs.Step, service string) bool {
	wanted, could := 2, 0
	if step.Gang {
		wanted = 2 * step.Count
	}
	var capacity, used jobs.Resources
	for _, host := range ic.sim.hosts {
		w := host.current
		if host.service != service || w == nil {
			continue
		}
		if !ic.isHealthy(host) {
			continue
		}
		capacity, used = plus(capacity, host.capacity), plus(used, w.used())
		if step.Label != "" && !slices.Contains(host.labels, step.Label) {
			continue
		}
		here, free := 0, plus(w.used(), step.Needs)
		for fits(free, host.capacity) && (step.MaxPerWorker == 0 || here < step.MaxPerWorker) && here < wanted {
			here++
			free = plus(free, step.Needs)
		}
		could += here
	}
	isHalfFree := 2*used.MilliCPU < capacity.MilliCPU && 2*used.MemoryMB < capacity.MemoryMB &&
		2*used.GPUs <= capacity.GPUs
	return could >= wanted && isHalfFree
}

// isHealthy reports whether any scheduler could assign starts to a worker.
func (ic *invariantChecker) isHealthy(host *workerHost) bool {
	w := host.current
	isImpaired := w.isDraining || w.isLeaving || w.refuses || w.failShare > 0 || w.failsAll || w.stalledSince > 0
	isOutOfTouch := host.isCutOff || len(host.cutFrom) > 0 || ic.sim.now < host.disruptedAt ||
		ic.sim.now-w.startedAt < contactTimeout
	if isImpaired || isOutOfTouch {
		return false
	}
	for _, e := range ic.sim.operator.evacuations {
		if e.zone == host.zone && !(e.finished && ic.sim.now > e.ackedAt+evacuationTime+contactTimeout) {
			return false
		}
	}
	return true
}

// finish judges what is left when a run is over.
func (ic *invariantChecker) finish() {
	for _, c := range ic.sim.clients.jobs {
		if !c.isAccepted {
			continue
		}
		ic.require(EndRule, c.lastShown.IsTerminal(), "job %s was accepted and is %q at the end", c.spec.ID,
			c.lastShown)
	}
	ic.recovered()
	ic.finishConfig()
	ic.sim.compareReplicas()
}

// recovered judges the jobs that were submitted after the final fault, when the machines had been back for long enough.
func (ic *invariantChecker) recovered() {
	accepted, submitted := 0, 0
	for _, c := range ic.sim.clients.jobs {
		if c.afterFault {
			submitted++
			if c.isAccepted {
				accepted++
			}
		}
	}
	if submitted > 0 {
		ic.require(RecoverRule, 4*accepted >= submitted, "%d of %d jobs were accepted after the final fault",
			accepted, submitted)
	}
}

// finishConfig compares what is in force at the end with what was acknowledged.
func (ic *invariantChecker) finishConfig() {
	n := ic.sim.log.leader
	if n == nil {
		ic.breach(EndRule, "there is no leader at the end")
		return
	}
	n.catchUp()
	at, newest := -1, -1
	for i, c := range ic.sim.operator.configs {
		if c.change.Version == n.table.Config.Version && (c.acked || !c.lost) {
			at = i
		}
		if c.acked {
			newest = i
		}
	}
	ic.require(ConfigRule, at >= newest && at >= 0,
		"version %d is in force at the end, older than what was acknowledged or never sent", n.table.Config.Version)
	for _, e := range ic.sim.operator.evacuations {
		if e.acked && !e.finished {
			ic.require(LostRule, n.table.Evacuated[e.zone], "the evacuation of %s is gone", e.zone)
		}
	}
}
