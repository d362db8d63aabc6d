package jobssim

import (
	"slices"
	"time"

	"crosstide/internal/controller/scheduler"
)

// unknownStart records the start of a job that no client submitted, which is a violation.
func (ic *invariantChecker) unknownStart(order scheduler.StartOrder) {
	ic.violate(UnaskedInvariant, "start of %v, but no client submitted the job", order.Key)
}

// started judges the start of a run. It is called before the run is added to the worker's runs.
func (ic *invariantChecker) started(r *liveRun, order scheduler.StartOrder) {
	ic.sim.report.Starts++
	ic.sim.trace("start %s token %d late %v", r, order.Token, r.origin.isLate)
	j := ic.history(r.key.Task.Job)
	ic.checkCapacity(r)
	ic.checkNoDuplicateRun(j, r)
	ic.checkStepOrder(j, r)
	ic.checkRoute(r)
	ic.checkAttemptBudget(j, r)
	ic.checkRequested(j, r, order)
	ic.checkPlacement(r)
	ic.measureFailover(r, order.Token)
	t := j.task(r.key.Task)
	t.running = append(t.running, r)
	j.running++
	j.idleSince, j.idleSinceAnyCause = 0, 0 // the run may end before the next check
}

// checkCapacity requires that the run fits the capacity of a worker that does not check its capacity itself.
func (ic *invariantChecker) checkCapacity(r *liveRun) {
	if r.worker.host.checksCapacity {
		return
	}
	used := plus(r.worker.used(), r.step.Needs)
	ic.require(LimitInvariant, fits(used, r.worker.host.capacity), "%s: %+v of %+v in use",
		r, used, r.worker.host.capacity)
}

// checkNoDuplicateRun requires that the task, unless it is speculative, has no other run and is not done.
func (ic *invariantChecker) checkNoDuplicateRun(j *jobHistory, r *liveRun) {
	t := j.task(r.key.Task)
	if r.step.Speculative {
		return
	}
	ic.countCase(TwiceInvariant)
	for _, other := range t.running {
		ic.violate(TwiceInvariant, "%s (late %v) started while %s is running", r, r.origin.isLate, other)
	}
	for _, done := range j.endHistory(r.key.Task).done {
		if done.isAcknowledged {
			ic.violate(TwiceInvariant, "%s (late %v) started after %s had ended as done", r, r.origin.isLate, done.run)
		}
		done.starts = append(done.starts, r)
	}
}

// checkStepOrder requires that the steps on which the task depends are done and its round is due.
func (ic *invariantChecker) checkStepOrder(j *jobHistory, r *liveRun) {
	ref := r.key.Task
	for _, before := range r.step.After {
		ic.require(OrderInvariant, j.stepDone(ref.Round, before), "%s started before step %d is done", r, before)
	}
	if r.spec.Rounds > 0 {
		due := r.spec.FirstRun.Add(time.Duration(ref.Round) * r.spec.Interval)
		ic.require(OrderInvariant, !ic.sim.wall().Before(due.Add(-maxEarlyStart)), "%s started %s early",
			r, due.Sub(ic.sim.wall()))
	}
}

// checkRoute requires that the worker belongs to the service of the queue and satisfies the constraints of the step. An
// accepted job that no queue serves any longer runs on the service that served it last.
func (ic *invariantChecker) checkRoute(r *liveRun) {
	path := ic.sim.clients.byID[r.spec.ID].path()
	wasDirected, isDirected := false, false
	for i, c := range ic.sim.operator.configs {
		directed := ic.sim.operator.lastServiceAt(c, path) == r.worker.host.service
		wasDirected = wasDirected || directed
		isSuperseded := false // a newer one was acknowledged more than configTime ago
		for _, newer := range ic.sim.operator.configs[i+1:] {
			isSuperseded = isSuperseded || newer.isAcknowledged && ic.sim.now > newer.acknowledgedAt+configTime
		}
		isDirected = isDirected || directed && !isSuperseded
	}
	ic.require(RouteInvariant, wasDirected, "%s: no configuration directs %s to %s", r, path, r.worker.host.service)
	if !r.origin.isLate && r.origin.wasCoreStable {
		ic.require(ConfigInvariant, isDirected, "%s: no configuration in force directs %s to %s",
			r, path, r.worker.host.service)
	}
	if r.step.Label != "" {
		ic.require(RouteInvariant, slices.Contains(r.worker.host.labels, r.step.Label),
			"%s: the worker lacks the label %s", r, r.step.Label)
	}
	if r.step.MaxPerWorker > 0 {
		sameStep := 1
		for _, other := range r.worker.runs {
			if a, b := other.key.Task, r.key.Task; a.Job == b.Job && a.Round == b.Round && a.Step == b.Step {
				sameStep++
			}
		}
		ic.require(RouteInvariant, sameStep <= r.step.MaxPerWorker,
			"%s: the worker has %d runs of the step, the maximum is %d", r, sameStep, r.step.MaxPerWorker)
	}
}

// checkAttemptBudget requires that the task has fewer than maxAttempts acknowledged failures.
func (ic *invariantChecker) checkAttemptBudget(j *jobHistory, r *liveRun) {
	if r.step.LongRunning {
		return
	}
	acknowledged := 0
	for _, f := range j.endHistory(r.key.Task).failed {
		if f.isAcknowledged {
			acknowledged++
		}
		f.starts = append(f.starts, r)
	}
	ic.require(BudgetInvariant, acknowledged < maxAttempts, "%s started after %d failed runs", r, acknowledged)
}

// checkRequested requires that the job was neither rejected nor cancelled and that payload and checkpoint are its own.
func (ic *invariantChecker) checkRequested(j *jobHistory, r *liveRun, order scheduler.StartOrder) {
	c := j.job
	ic.require(UnaskedInvariant, order.Payload == c.spec.Payload,
		"%s started with payload %q, which differs from that submitted", r, order.Payload)
	if order.Checkpoint != "" {
		isOfTask := j.endHistory(r.key.Task).checkpoints[order.Checkpoint]
		ic.require(UnaskedInvariant, isOfTask, "%s started with checkpoint %q, which no run of the task saved",
			r, order.Checkpoint)
	}
	if r.step.Gang {
		ic.checkGangCheckpoint(r, order.Checkpoint)
	}
	ic.require(RefusedInvariant, !c.isRejected, "%s started although its job was rejected", r)
	if c.isCancelled && r.origin.wasCoreStable && !r.origin.isLate {
		since := ic.sim.now - c.cancelledAt
		ic.require(UnaskedInvariant, since <= cancelTime, "%s started %s after its job was cancelled", r, since)
	}
}

// checkGangCheckpoint requires that all members of one run of a gang start with the same checkpoint.
func (ic *invariantChecker) checkGangCheckpoint(r *liveRun, checkpoint string) {
	key := r.gangKey()
	first, known := ic.gangCheckpoints[key]
	if !known {
		ic.gangCheckpoints[key] = checkpoint
		return
	}
	ic.require(UnaskedInvariant, first == checkpoint, "%s started with checkpoint %q, another member with %q",
		r, checkpoint, first)
}

// checkPlacement requires that the worker is not draining or leaving and its zone is not evacuated.
func (ic *invariantChecker) checkPlacement(r *liveRun) {
	if r.origin.isLate || !r.origin.wasCoreStable {
		return
	}
	if acknowledgedAt := r.worker.leavingAcknowledgedAt; acknowledgedAt != 0 {
		since := ic.sim.now - acknowledgedAt
		ic.require(DrainInvariant, since <= drainTimeout,
			"%s started %s after the departure of its worker was acknowledged", r, since)
	}
	for _, e := range ic.sim.operator.evacuations {
		if e.zone == r.worker.host.zone && e.isAcknowledged && !e.isWithdrawalSent {
			since := ic.sim.now - e.acknowledgedAt
			ic.require(EvacInvariant, since <= evacuationTime,
				"%s started %s after the evacuation of %s was acknowledged", r, since, e.zone)
		}
	}
}

// startSent records that a start order is sent. If the worker is disrupted, the order may remain unconfirmed until the
// lease of the worker has expired, because nothing else proves that it was not executed.
func (ic *invariantChecker) startSent(start scheduler.StartAction) {
	host := ic.sim.hostAt(start.Worker.Address)
	ref, spec := start.Order.Key.Task, ic.sim.clients.spec(start.Order.Key.Task.Job)
	if spec != nil && spec.Steps[ref.Step].Gang {
		key := gangKey{ref.Job, ref.Round, ref.Step, start.Order.Key.Number}
		ic.gangHosts[key] = append(ic.gangHosts[key], host)
	}
	if ic.sim.now < host.disruptedUntil || host.current == nil || host.current.id != start.Worker.ID {
		ic.excuseIdle(ic.history(start.Order.Key.Task.Job))
	}
}

// excuseIdle allows a job to be idle for as long as one of its runs may be unconfirmed.
func (ic *invariantChecker) excuseIdle(j *jobHistory) {
	j.excusedUntil = max(j.excusedUntil, ic.sim.now+ic.sim.schedulerConfig().Lease+2*contactTimeout)
}
