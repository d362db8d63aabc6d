package jobssim

import (
	"fmt"
	"slices"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// Rule is an invariant: of the platform, or one of the simulator's own.
type Rule string

// The invariants. The platform names most of them.
const (
	LimitRule       Rule = "LIMIT"
	TwiceRule       Rule = "TWICE"
	OrderRule       Rule = "ORDER"
	RouteRule       Rule = "ROUTE"
	BudgetRule      Rule = "BUDGET"
	GangRule        Rule = "GANG"
	UnaskedRule     Rule = "UNASKED"
	RefusedRule     Rule = "REFUSED"
	DrainRule       Rule = "DRAIN"
	EvacRule        Rule = "EVAC"
	MixedRule       Rule = "MIXED"
	LostRule        Rule = "LOST"
	ConfigRule      Rule = "CONFIG"
	AckRule         Rule = "ACKS"
	RecoverRule     Rule = "RECOVER"
	LongRunningRule Rule = "LASTING" // LOST, of long-running tasks
	NotedRule       Rule = "NOTED"   // ACKS, of the ends that workers list
	ReplicaRule     Rule = "REPLICA" // all nodes have the same table
	EndRule         Rule = "END"     // every job ends within a bound once disruptions are over
)

// Rules are all invariants.
func Rules() []Rule {
	return []Rule{LimitRule, TwiceRule, OrderRule, RouteRule, BudgetRule, GangRule, UnaskedRule, RefusedRule, DrainRule,
		EvacRule, MixedRule, LostRule, ConfigRule, AckRule, RecoverRule, LongRunningRule, NotedRule, ReplicaRule,
		EndRule}
}

// Bounds of the invariants.
const (
	configTime     = 2 * time.Second
	evacuationTime = 5 * time.Second
	cancelTime     = 3 * time.Second
	visibleTime    = 3 * time.Second
	ackTime        = 4 * time.Second
	recoveryTime   = 12 * time.Second
	earlyTime      = 250 * time.Millisecond
)

// invariantChecker judges what workers and clients saw. It asks neither the scheduler nor the table, but at the end.
type invariantChecker struct {
	sim                 *simulator
	histories           map[string]*jobHistory
	gangCheckpoints     map[gangKey]string        // checkpoints by run of a gang
	gangHosts           map[gangKey][]*workerHost // where the members of a run of a gang were sent
	longRunning         map[jobs.TaskRef]*longRunningTask
	lastStartAt         time.Duration // of the last start on a worker
	lastStartBeforeLoss time.Duration // last start before the lead was lost; 0: none
	newestTerm          uint64        // term that was elected last
	electedAt           time.Duration // when
	awaitsFirstStart    bool          // its first start has not come yet
}

func newInvariantChecker(s *simulator) *invariantChecker {
	return &invariantChecker{sim: s, histories: map[string]*jobHistory{}, gangCheckpoints: map[gangKey]string{},
		gangHosts: map[gangKey][]*workerHost{}, longRunning: map[jobs.TaskRef]*longRunningTask{}}
}

func (ic *invariantChecker) count(rule Rule) { ic.sim.report.Cases[rule]++ }

func (ic *invariantChecker) breach(rule Rule, format string, args ...any) {
	b := Breach{Rule: rule, At: ic.sim.now, What: fmt.Sprintf(format, args...)}
	ic.sim.trace("BREACH %s: %s", rule, b.What)
	ic.sim.report.Breaches = append(ic.sim.report.Breaches, b)
}

// require counts a case of an invariant and records a breach if it does not hold.
func (ic *invariantChecker) require(rule Rule, holds bool, format string, args ...any) {
	ic.count(rule)
	if !holds {
		ic.breach(rule, format, args...)
	}
}

func (ic *invariantChecker) job(id string) *jobHistory {
	j := ic.histories[id]
	if j == nil {
		j = &jobHistory{job: ic.sim.clients.byID[id], tasks: map[jobs.TaskRef]*taskHistory{}}
		ic.histories[id] = j
	}
	return j
}

// String names the run and its worker.
func (r *liveRun) String() string {
	k := r.key
	return fmt.Sprintf("%s.%d.%d.%d run %d on %s", k.Task.Job, k.Task.Round, k.Task.Step, k.Task.Index, k.Number,
		r.worker.id)
}

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
	ic.require(RefusedRule, !c.rejected, "%s although its job was refused", r)
	if c.cancelled && r.order.wasInTouch && !r.order.isLate {
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

// ended records the end of a run.
func (ic *invariantChecker) ended(r *liveRun, reason jobs.EndReason) *endRecord {
	ic.sim.trace("end %s %s", r, reason)
	j := ic.job(r.key.Task.Job)
	ic.removeRun(j, r)
	if ic.sim.now < r.worker.host.disruptedAt {
		ic.expectUnconfirmed(j)
	}
	ic.sim.report.Seen["end: "+string(reason)]++
	if reason == jobs.EndStopped && !j.job.cancelSent && !j.attemptsExhausted() {
		ic.sim.report.Seen["stopped for other work"]++
	}
	e := &endRecord{run: r, reason: reason, at: ic.sim.now}
	ic.listed(r.worker, e)
	t := j.ending(r.key.Task)
	switch reason {
	case jobs.EndDone:
		t.done = append(t.done, e)
	case jobs.EndFailed:
		t.failed = append(t.failed, e)
	case jobs.EndGangTimeout:
		ic.checkGangStart(j, r)
	case jobs.EndLeaseExpired:
		j.excusedUntil = max(j.excusedUntil, ic.sim.now+contactTimeout)
	}
	return e
}

// checkGangStart judges a member of a gang that waited in vain.
func (ic *invariantChecker) checkGangStart(j *jobHistory, r *liveRun) {
	if ic.calmGang(r) && !j.job.cancelSent {
		ic.breach(GangRule, "%s ended alone", r)
	}
}

// calmGang reports whether no disruption is near a run of a gang: neither of the core nor of a worker that a member was
// sent to.
func (ic *invariantChecker) calmGang(r *liveRun) bool {
	if !r.order.wasInTouch || r.order.isLate || !ic.sim.inTouch() {
		return false
	}
	for _, host := range ic.gangHosts[r.gangKey()] {
		if r.began < host.disruptedAt+contactTimeout || host.current == nil {
			return false
		}
	}
	return true
}

// removeRun removes a run from those that run.
func (ic *invariantChecker) removeRun(j *jobHistory, r *liveRun) {
	t := j.task(r.key.Task)
	before := len(t.running)
	t.running = slices.DeleteFunc(t.running, func(other *liveRun) bool { return other == r })
	if len(t.running) < before {
		j.running--
	}
	if r.gang != nil && ic.calmGang(r) {
		ic.count(GangRule)
	}
}

// runLost records that a run was lost with its worker.
func (ic *invariantChecker) runLost(r *liveRun) {
	j := ic.job(r.key.Task.Job)
	ic.removeRun(j, r)
	ic.expectUnconfirmed(j)
}

// workerLost records that a worker was lost, or is disrupted, with ends that were not acknowledged.
func (ic *invariantChecker) workerLost(w *workerIncarnation) {
	for _, e := range w.endRecords {
		ic.expectUnconfirmed(ic.job(e.run.key.Task.Job))
	}
}

// leaseExpired records that the lease of a worker has expired.
func (ic *invariantChecker) leaseExpired(w *workerIncarnation) {
	ic.sim.trace("lease of %s is over", w.id)
	for _, e := range w.endRecords {
		e.isInvalidated = true
	}
}

// endAcknowledged records that an end is acknowledged, and judges the starts since it.
func (ic *invariantChecker) endAcknowledged(e *endRecord) {
	if e == nil || e.isInvalidated {
		return
	}
	e.isAcknowledged = true
	ic.sim.trace("noted %s %s", e.run, e.reason)
	j := ic.job(e.run.key.Task.Job)
	for _, r := range e.starts {
		if e.reason == jobs.EndDone {
			ic.breach(TwiceRule, "%s began after %s ended done, which was acknowledged later", r, e.run)
		} else if failed := j.failedBefore(r); failed >= maxAttempts {
			ic.breach(BudgetRule, "%s began after %d runs that failed, the last acknowledged later", r, failed)
		}
	}
	e.starts = nil
}

// recordCheckpoint records a checkpoint that a worker reported.
func (ic *invariantChecker) recordCheckpoint(r *liveRun, text string) {
	ic.job(r.key.Task.Job).ending(r.key.Task).checkpoints[text] = true
}

// elected and measureFailover measure the time from the last start of a leader to the first of the next one.
func (ic *invariantChecker) elected(term uint64) {
	ic.lastStartBeforeLoss = ic.lastStartAt
	if ic.awaitsFirstStart {
		ic.lastStartBeforeLoss = 0 // the leader before was lost before it started anything: two losses in one
	}
	ic.newestTerm, ic.electedAt, ic.awaitsFirstStart = term, ic.sim.now, true
	for _, j := range ic.histories {
		if j.excusedUntil > ic.sim.now-2*contactTimeout { // it begins anew for a leader that did not see its cause
			ic.expectUnconfirmed(j)
		}
	}
}

func (ic *invariantChecker) measureFailover(r *liveRun, token uint64) {
	if r.order.isLate {
		return
	}
	if token == ic.newestTerm && ic.awaitsFirstStart {
		ic.awaitsFirstStart = false
		if ic.lastStartBeforeLoss > 0 {
			ic.sim.report.Failovers = append(ic.sim.report.Failovers, ic.sim.now-ic.lastStartBeforeLoss)
			ic.sim.report.Takeovers = append(ic.sim.report.Takeovers, ic.sim.now-ic.electedAt)
		}
	}
	ic.lastStartAt = ic.sim.now
}
