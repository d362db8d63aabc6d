package jobssim

import (
	"fmt"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// accepted records that a job was accepted.
func (ic *invariantChecker) accepted(j *clientJob) { ic.history(j.spec.ID) }

// rejected records that every attempt to submit a job was rejected.
func (ic *invariantChecker) rejected(j *clientJob) {
	history := ic.history(j.spec.ID)
	started := history.running > 0 || len(history.tasks) > 0
	ic.require(RefusedInvariant, !started, "job %s was rejected but has started", j.spec.ID)
}

// checkState judges the state that a poll or a cancel of a job returned.
func (ic *invariantChecker) checkState(c *clientJob, answer jobAnswer) {
	j := ic.history(c.spec.ID)
	if answer.notFound {
		if c.isAccepted && !c.isCancelSent {
			isExcused := ic.sim.now <= c.acceptedAt+visibleTime || !ic.sim.isCoreStable()
			ic.require(LostInvariant, isExcused, "accepted job %s does not exist", c.spec.ID)
		}
		return
	}
	switch answer.state {
	case jobs.Succeeded:
		ic.require(MixedInvariant, j.allDone(),
			"job %s is reported as succeeded, but its tasks are not all done", c.spec.ID)
		j.succeeded = true
	case jobs.Failed:
		ic.require(LostInvariant, j.attemptsExhausted(),
			"job %s is reported as failed, but no task has exhausted its attempts", c.spec.ID)
	case jobs.Cancelled:
		ic.require(LostInvariant, c.isCancelSent, "job %s is reported as cancelled, but no cancel was sent", c.spec.ID)
	default:
		ic.countCase(LostInvariant)
		if c.lastState.IsTerminal() {
			ic.violate(LostInvariant, "job %s is reported as %s after %s", c.spec.ID, answer.state, c.lastState)
		}
	}
}

// checkAnswered requires that a poll or a cancel of an accepted job isn't refused because no queue serves its path.
func (ic *invariantChecker) checkAnswered(c *clientJob, call string, err error) {
	ic.require(LostInvariant, !errs.Is(err, errs.Unknown), "a %s of accepted job %s is refused: %v", call, c.spec.ID,
		err)
}

// cancelled records that the cancel of a job was acknowledged, and verifies later that no run of it remains.
func (ic *invariantChecker) cancelled(c *clientJob) {
	since := ic.sim.now
	ic.sim.after(cancelTime+maxStopDelay, func() {
		if !ic.sim.undisruptedSince(since) {
			return
		}
		for _, host := range ic.sim.hosts {
			if host.current == nil {
				continue
			}
			for _, r := range host.current.runs {
				if r.spec.ID == c.spec.ID {
					ic.violate(UnaskedInvariant, "%s still runs after its job was cancelled", r)
				}
			}
		}
		ic.countCase(UnaskedInvariant)
	})
}

// checkAcknowledgement judges how long a request waited for its acknowledgement. Only the time since the core became
// stable counts.
func (ic *invariantChecker) checkAcknowledgement(what string, sent time.Duration) {
	stableSince := max(sent, ic.sim.disrupted.coreUntil+contactTimeout)
	waited := ic.sim.now - stableSince
	ic.require(AckInvariant, waited <= ackTime, "%s waited %s for its acknowledgement while the core was stable",
		what, waited)
}

const (
	maxIdle           = 3 * time.Second // for a job that could run
	idleCheckInterval = 250 * time.Millisecond
)

// scheduleIdleChecks checks for idle jobs and long-running tasks at intervals of idleCheckInterval.
func (ic *invariantChecker) scheduleIdleChecks() {
	ic.sim.after(idleCheckInterval, func() {
		ic.checkIdleJobs()
		ic.checkLongRunningTasks()
		ic.scheduleIdleChecks()
	})
}

// checkIdleJobs judges for how long jobs that could run have not run.
func (ic *invariantChecker) checkIdleJobs() {
	for _, c := range ic.sim.clients.jobs {
		if !c.isAccepted || c.lastState.IsTerminal() || c.isCancelSent {
			continue
		}
		j := ic.history(c.spec.ID)
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
			ic.violate(LostInvariant, "job %s has been idle since %s: %s", c.spec.ID, j.idleSince,
				ic.describeWorkers(c.path()))
			j.idleSince = ic.sim.now
		}
		ic.countCase(LostInvariant)
	}
}

// recordIdlePeriod records how long a job has been idle, whatever the cause.
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

// describeWorkers returns the running workers of the service to which the accepted jobs of a path are directed.
func (ic *invariantChecker) describeWorkers(path string) string {
	configs := ic.sim.operator.configs
	service := ic.sim.operator.lastServiceAt(configs[len(configs)-1], path)
	text := service
	for _, host := range ic.sim.hosts {
		if host.service == service && host.current != nil {
			text += fmt.Sprintf(" %s(healthy %v, used %v)", host.current.id, ic.isHealthy(host), host.current.used())
		}
	}
	return text
}

// couldRun reports whether no task of a job is running although a step is ready and there is capacity for it twice.
func (ic *invariantChecker) couldRun(j *jobHistory) bool {
	if j.running > 0 || !ic.sim.isCoreStable() || j.attemptsExhausted() {
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
		for step := range spec.Steps {
			if ic.isStepReady(j, round, step) && ic.hasCapacityTwice(&spec.Steps[step], service) &&
				ic.isHalfFree(service) {
				return true
			}
		}
	}
	return false
}

// serviceOf returns the service to which the newest configuration directs an accepted job, or the service that served
// the job last if no queue of that configuration does. It is empty if that configuration may not be in force yet.
func (ic *invariantChecker) serviceOf(j *jobHistory) string {
	configs := ic.sim.operator.configs
	newest := configs[len(configs)-1]
	if !newest.isAcknowledged || ic.sim.now < newest.acknowledgedAt+configTime {
		return ""
	}
	return ic.sim.operator.lastServiceAt(newest, j.job.path())
}

// isStepReady reports whether a step of a round is not done, but all steps on which it depends are.
func (*invariantChecker) isStepReady(j *jobHistory, round, step int) bool {
	if j.stepDone(round, step) {
		return false
	}
	for _, before := range j.job.spec.Steps[step].After {
		if !j.stepDone(round, before) {
			return false
		}
	}
	return true
}

// hasCapacityTwice reports whether the healthy workers of a service have free capacity for two tasks of a step, or two
// gangs.
func (ic *invariantChecker) hasCapacityTwice(step *jobs.Step, service string) bool {
	wanted, placeable := 2, 0
	if step.Gang {
		wanted = 2 * step.Count
	}
	for _, host := range ic.healthyHosts(service) {
		w := host.current
		if step.Label != "" && !slices.Contains(host.labels, step.Label) {
			continue
		}
		onHost, usedWithNext := 0, plus(w.used(), step.Needs)
		for fits(usedWithNext, host.capacity) && (step.MaxPerWorker == 0 || onHost < step.MaxPerWorker) &&
			onHost < wanted {
			onHost++
			usedWithNext = plus(usedWithNext, step.Needs)
		}
		placeable += onHost
	}
	return placeable >= wanted
}

// isHalfFree reports whether less than half of the capacity of the healthy workers of a service is in use.
func (ic *invariantChecker) isHalfFree(service string) bool {
	var capacity, used jobs.Resources
	for _, host := range ic.healthyHosts(service) {
		capacity, used = plus(capacity, host.capacity), plus(used, host.current.used())
	}
	return 2*used.MilliCPU < capacity.MilliCPU && 2*used.MemoryMB < capacity.MemoryMB && 2*used.GPUs <= capacity.GPUs
}

// healthyHosts returns the hosts of a service whose workers are healthy.
func (ic *invariantChecker) healthyHosts(service string) []*workerHost {
	var healthy []*workerHost
	for _, host := range ic.sim.hosts {
		if host.service == service && host.current != nil && ic.isHealthy(host) {
			healthy = append(healthy, host)
		}
	}
	return healthy
}

// isHealthy reports whether every correct scheduler can be expected to assign runs to the worker of a host.
func (ic *invariantChecker) isHealthy(host *workerHost) bool {
	w := host.current
	isImpaired := w.isDraining || w.isLeaving || w.refuses || w.failShare > 0 || w.failsAll || w.stalledSince > 0
	isUnreachable := host.isCutOff || len(host.cutFrom) > 0 || ic.sim.now < host.disruptedUntil ||
		ic.sim.now-w.startedAt < contactTimeout
	if isImpaired || isUnreachable {
		return false
	}
	for _, e := range ic.sim.operator.evacuations {
		if e.zone == host.zone && !(e.isWithdrawalSent && ic.sim.now > e.acknowledgedAt+evacuationTime+contactTimeout) {
			return false
		}
	}
	return true
}

// finish judges the state at the end of the run.
func (ic *invariantChecker) finish() {
	for _, c := range ic.sim.clients.jobs {
		if !c.isAccepted {
			continue
		}
		ic.require(EndInvariant, c.lastState.IsTerminal(), "accepted job %s has the state %q at the end", c.spec.ID,
			c.lastState)
	}
	ic.checkRecovery()
	ic.checkFinalConfig()
	ic.sim.compareReplicas()
}

// checkRecovery requires that at least a quarter of the jobs submitted after the final fault were accepted.
func (ic *invariantChecker) checkRecovery() {
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
		ic.require(RecoverInvariant, 4*accepted >= submitted, "%d of %d jobs were accepted after the final fault",
			accepted, submitted)
	}
}

// checkFinalConfig compares the configuration and the evacuations in force at the end with those acknowledged.
func (ic *invariantChecker) checkFinalConfig() {
	n := ic.sim.log.leader
	if n == nil {
		ic.violate(EndInvariant, "there is no leader at the end")
		return
	}
	n.catchUp()
	inForce, newestAcknowledged := -1, -1
	for i, c := range ic.sim.operator.configs {
		if c.change.Version == n.table.Config.Version && (c.isAcknowledged || !c.hasLostRace) {
			inForce = i
		}
		if c.isAcknowledged {
			newestAcknowledged = i
		}
	}
	ic.require(ConfigInvariant, inForce >= newestAcknowledged && inForce >= 0,
		"version %d is in force at the end, but it was never sent or a newer one was acknowledged",
		n.table.Config.Version)
	for _, e := range ic.sim.operator.evacuations {
		if e.isAcknowledged && !e.isWithdrawalSent {
			ic.require(LostInvariant, n.table.Evacuated[e.zone], "the evacuation of %s was lost", e.zone)
		}
	}
}
