package jobssim

import (
	"slices"
	"time"

	"crosstide/internal/controller/scheduler"
)

// unknownStart judges a start of a job that no client sent.
func (ic *invariantChecker) unknownStart(order scheduler.StartOrder) {
	ic.breach(UnaskedRule, "start of %v, which no client sent", order.Key)
}

// started judges a start; the run is not among the worker's runs yet.
func (ic *invariantChecker) started(r *liveRun, order scheduler.StartOrder) {
	ic.sim.report.Starts++
	ic.sim.trace("start %s token %d late %v", r, order.Token, r.order.isLate)
	j := ic.job(r.key.Task.Job)
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
}

func (ic *invariantChecker) checkCapacity(r *liveRun) {
	if r.worker.host.checksCapacity {
		return
	}
	used := plus(r.worker.used(), r.step.Needs)
	ic.require(LimitRule, fits(used, r.worker.host.capacity), "%s: %+v of %+v in use", r, used, r.worker.host.capacity)
}

func (ic *invariantChecker) checkNoDuplicateRun(j *jobHistory, r *liveRun) {
	t := j.task(r.key.Task)
	if r.step.Speculative {
		return
	}
	ic.count(TwiceRule)
	for _, other := range t.running {
		ic.breach(TwiceRule, "%s (late %v) beside %s", r, r.order.isLate, other)
	}
	for _, done := range j.ending(r.key.Task).done {
		if done.isAcknowledged {
			ic.breach(TwiceRule, "%s (late %v) after %s ended done", r, r.order.isLate, done.run)
		}
		done.starts = append(done.starts, r)
	}
}

func (ic *invariantChecker) checkStepOrder(j *jobHistory, r *liveRun) {
	ref := r.key.Task
	for _, before := range r.step.After {
		ic.require(OrderRule, j.stepDone(ref.Round, before), "%s before step %d is done", r, before)
	}
	if r.spec.Rounds > 0 {
		due := r.spec.FirstRun.Add(time.Duration(ref.Round) * r.spec.Interval)
		ic.require(OrderRule, !ic.sim.wall().Before(due.Add(-earlyTime)), "%s is %s early", r, due.Sub(ic.sim.wall()))
	}
}

func (ic *invariantChecker) checkRoute(r *liveRun) {
	queue := queueOf(ic.sim.clients.byID[r.spec.ID].prefix)
	ever, now := false, false
	for i, c := range ic.sim.operator.configs {
		directed := c.services[queue] == r.worker.host.service
		ever = ever || directed
		over := false // a newer one was acknowledged long enough ago
		for _, newer := range ic.sim.operator.configs[i+1:] {
			over = over || newer.acked && ic.sim.now > newer.ackedAt+configTime
		}
		now = now || directed && !over
	}
	ic.require(RouteRule, ever, "%s: no configuration directs %s to %s", r, queue, r.worker.host.service)
	if !r.order.isLate && r.order.wasInTouch {
		ic.require(ConfigRule, now, "%s: no configuration in force directs %s to %s", r, queue, r.worker.host.service)
	}
	if r.step.Label != "" {
		ic.require(RouteRule, slices.Contains(r.worker.host.labels, r.step.Label), "%s: no label %s", r, r.step.Label)
	}
	if r.step.MaxPerWorker > 0 {
		beside := 1
		for _, other := range r.worker.runs {
			if a, b := other.key.Task, r.key.Task; a.Job == b.Job && a.Round == b.Round && a.Step == b.Step {
				beside++
			}
		}
		ic.require(RouteRule, beside <= r.step.MaxPerWorker, "%s: %d of the step on the worker, at most %d", r, beside,
			r.step.MaxPerWorker)
	}
}

func queueOf(prefix string) string { return prefix[1 : len(prefix)-1] }

func (ic *invariantChecker) checkAttemptBudget(j *jobHistory, r *liveRun) {
	if r.step.LongRunning {
		return
	}
	acknowledged := 0
	for _, f := range j.ending(r.key.Task).failed {
		if f.isAcknowledged {
			acknowledged++
		}
		f.starts = append(f.starts, r)
	}
	ic.require(BudgetRule, acknowledged < maxAttempts, "%s after %d runs that failed", r, acknowledged)
}

func (ic *invariantChecker) checkRequested(j *jobHistory, r *liveRun, order scheduler.StartOrder) {
	c := j.job
	ic.require(UnaskedRule, order.Payload == c.spec.Payload, "%s with another payload: %q", r, order.Payload)
	if order.Checkpoint != "" {
		isOfTask := j.ending(r.key.Task).checkpoints[order.Checkpoint]
		ic.require(UnaskedRule, isOfTask, "%s with checkpoint %q, which is not the task's", r, order.Checkpoint)
	}
	if r.step.Gang {
		ic.checkGangCheckpoint(r, order.Checkpoint)
	}
	ic.require(RefusedRule, !c.isRejected, "%s although its job was refused", r)
	if c.isCancelled && r.order.wasInTouch && !r.order.isLate {
		since := ic.sim.now - c.cancelAt
		ic.require(UnaskedRule, since <= cancelTime, "%s %s after its cancelling", r, since)
	}
}

// checkGangCheckpoint judges that all members of one run of a gang bring the same checkpoint.
func (ic *invariantChecker) checkGangCheckpoint(r *liveRun, checkpoint string) {
	key := r.gangKey()
	first, known := ic.gangCheckpoints[key]
	if !known {
		ic.gangCheckpoints[key] = checkpoint
		return
	}
	ic.require(UnaskedRule, first == checkpoint, "%s with checkpoint %q, another member brought %q", r, checkpoint,
		first)
}

// checkPlacement judges starts on workers that drain or have deregistered, and in zones that are evacuated.
func (ic *invariantChecker) checkPlacement(r *liveRun) {
	if r.order.isLate || !r.order.wasInTouch {
		return
	}
	if done := r.worker.drainAcknowledgedAt; done != 0 {
		since := ic.sim.now - done
		ic.require(DrainRule, since <= drainTimeout, "%s %s after its leaving was acknowledged", r, since)
	}
	for _, e := range ic.sim.operator.evacuations {
		if e.zone == r.worker.host.zone && e.acked && !e.finished {
			since := ic.sim.now - e.ackedAt
			ic.require(EvacRule, since <= evacuationTime, "%s %s after the evacuation of %s", r, since, e.zone)
		}
	}
}

// sent records that a start order is sent. One to a worker that is disrupted may be unconfirmed until the lease there
// has expired: nothing else proves that it was not carried out.
func (ic *invariantChecker) sent(start scheduler.StartAction) {
	host := ic.sim.hostAt(start.Worker.Address)
	ref, spec := start.Order.Key.Task, ic.sim.clients.spec(start.Order.Key.Task.Job)
	if spec != nil && spec.Steps[ref.Step].Gang {
		key := gangKey{ref.Job, ref.Round, ref.Step, start.Order.Key.Number}
		ic.gangHosts[key] = append(ic.gangHosts[key], host)
	}
	if ic.sim.now < host.disruptedAt || host.current == nil || host.current.id != start.Worker.ID {
		ic.expectUnconfirmed(ic.job(start.Order.Key.Task.Job))
	}
}

// expectUnconfirmed excuses a job from running for as long as a run of it may be unconfirmed.
func (ic *invariantChecker) expectUnconfirmed(j *jobHistory) {
	j.excusedUntil = max(j.excusedUntil, ic.sim.now+ic.sim.schedulerConfig().Lease+2*contactTimeout)
}
