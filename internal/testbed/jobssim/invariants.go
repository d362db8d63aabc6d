package jobssim

import (
	"fmt"
	"slices"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// Rule names a rule of the platform, or one of the simulator's own.
type Rule string

// The rules on jobs.
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
	LongRunningRule Rule = "LASTING" // LOST, of tasks that last
	NotedRule       Rule = "NOTED"   // ACKS, of the ends that workers list
	ReplicaRule     Rule = "REPLICA" // all nodes have the same table
	EndRule         Rule = "END"     // every job ends within a bound once disruptions are over
)

// Rules lists all rules.
func Rules() []Rule {
	return []Rule{LimitRule, TwiceRule, OrderRule, RouteRule, BudgetRule, GangRule, UnaskedRule, RefusedRule, DrainRule,
		EvacRule, MixedRule, LostRule, ConfigRule, AckRule, RecoverRule, LongRunningRule, NotedRule, ReplicaRule, EndRule}
}

// Bounds of the rules.
const (
	configTime     = 2 * time.Second
	evacuationTime = 5 * time.Second
	cancelTime     = 3 * time.Second
	visibleTime    = 3 * time.Second
	ackTime        = 4 * time.Second
	recoveryTime   = 12 * time.Second
	earlyTime      = 250 * time.Millisecond
)

// endRecord is an end of a run as a worker listed it.
type endRecord struct {
	run            *liveRun
	reason         jobs.EndReason
	at             time.Duration
	isAcknowledged bool       // it was acknowledged while the lease that it ended under was in force
	isInvalidated  bool       // the lease of its worker lapsed before it was acknowledged
	starts         []*liveRun // of the task after this end, before it was noted
}

// taskHistory is what became of a task, or of a gang.
type taskHistory struct {
	running     []*liveRun
	done        []*endRecord
	failed      []*endRecord
	checkpoints map[string]bool
}

// jobHistory is what became of a job.
type jobHistory struct {
	job               *clientJob
	tasks             map[jobs.TaskRef]*taskHistory
	running           int           // runs on workers
	idleSince         time.Duration // since when it is idle although it could run; 0: it is not
	idleSinceAnyCause time.Duration // the same without any excuse of the scheduler
	excusedUntil      time.Duration // until then a disruption of a worker may keep it from running
	succeeded         bool          // it was shown as succeeded
}

// checker judges what workers and clients saw.
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
	return &invariantChecker{sim: s, histories: map[string]*jobHistory{}, gangCheckpoints: map[gangKey]string{}, gangHosts: map[gangKey][]*workerHost{},
		longRunning: map[jobs.TaskRef]*longRunningTask{}}
}

func (o *invariantChecker) count(rule Rule) { o.sim.report.Cases[rule]++ }

func (o *invariantChecker) breach(rule Rule, format string, args ...any) {
	b := Breach{Rule: rule, At: o.sim.now, What: fmt.Sprintf(format, args...)}
	o.sim.trace("BREACH %s: %s", rule, b.What)
	o.sim.report.Breaches = append(o.sim.report.Breaches, b)
}

// require counts a case of a rule and notes a breach if it does not hold.
func (o *invariantChecker) require(rule Rule, pendingRenewals bool, format string, args ...any) {
	o.count(rule)
	if !pendingRenewals {
		o.breach(rule, format, args...)
	}
}

func (o *invariantChecker) job(id string) *jobHistory {
	j := o.histories[id]
	if j == nil {
		j = &jobHistory{job: o.sim.clients.byID[id], tasks: map[jobs.TaskRef]*taskHistory{}}
		o.histories[id] = j
	}
	return j
}

func (j *jobHistory) task(ref jobs.TaskRef) *taskHistory {
	t := j.tasks[ref]
	if t == nil {
		t = &taskHistory{checkpoints: map[string]bool{}}
		j.tasks[ref] = t
	}
	return t
}

// ending is the truth that counts for the end of a task: its own, or that of its gang's first member.
func (j *jobHistory) ending(ref jobs.TaskRef) *taskHistory {
	if j.job.spec.Steps[ref.Step].Gang {
		ref.Index = 0
	}
	return j.task(ref)
}

// String names the run and its worker for a report.
func (r *liveRun) String() string {
	k := r.key
	return fmt.Sprintf("%s.%d.%d.%d run %d on %s", k.Task.Job, k.Task.Round, k.Task.Step, k.Task.Index, k.Number, r.worker.id)
}

// unknownStart judges a start of a job that no client sent.
func (o *invariantChecker) unknownStart(order scheduler.StartOrder) {
	o.breach(UnaskedRule, "start of %v, which no client sent", order.Key)
}

// started judges a start; the run is not among the worker's runs yet.
func (o *invariantChecker) started(r *liveRun, order scheduler.StartOrder) {
	o.sim.report.Starts++
	o.sim.trace("start %s token %d late %v", r, order.Token, r.order.isLate)
	j := o.job(r.key.Task.Job)
	o.checkCapacity(r)
	o.checkNoDuplicateRun(j, r)
	o.checkStepOrder(j, r)
	o.checkRoute(r)
	o.checkAttemptBudget(j, r)
	o.checkRequested(j, r, order)
	o.checkPlacement(r)
	o.measureFailover(r, order.Token)
	t := j.task(r.key.Task)
	t.running = append(t.running, r)
	j.running++
}

func (o *invariantChecker) checkCapacity(r *liveRun) {
	if r.worker.host.checksCapacity {
		return
	}
	used := plus(r.worker.used(), r.step.Needs)
	o.require(LimitRule, fits(used, r.worker.host.capacity), "%s: %+v of %+v in use", r, used, r.worker.host.capacity)
}

func (o *invariantChecker) checkNoDuplicateRun(j *jobHistory, r *liveRun) {
	t := j.task(r.key.Task)
	if r.step.Speculative {
		return
	}
	o.count(TwiceRule)
	for _, other := range t.running {
		o.breach(TwiceRule, "%s (late %v) beside %s", r, r.order.isLate, other)
	}
	for _, done := range j.ending(r.key.Task).done {
		if done.isAcknowledged {
			o.breach(TwiceRule, "%s (late %v) after %s ended done", r, r.order.isLate, done.run)
		}
		done.starts = append(done.starts, r)
	}
}

func (o *invariantChecker) checkStepOrder(j *jobHistory, r *liveRun) {
	ref := r.key.Task
	for _, before := range r.step.After {
		o.require(OrderRule, j.stepDone(ref.Round, before), "%s before step %d is done", r, before)
	}
	if r.spec.Rounds > 0 {
		due := r.spec.FirstRun.Add(time.Duration(ref.Round) * r.spec.Interval)
		o.require(OrderRule, !o.sim.wall().Before(due.Add(-earlyTime)), "%s is %s early", r, due.Sub(o.sim.wall()))
	}
}

// stepDone tells whether every task of a step of a round has ended done.
func (j *jobHistory) stepDone(round, step int) bool {
	for index := range j.job.spec.Steps[step].Count {
		if len(j.ending(jobs.TaskRef{Job: j.job.spec.ID, Round: round, Step: step, Index: index}).done) == 0 {
			return false
		}
	}
	return true
}

func (o *invariantChecker) checkRoute(r *liveRun) {
	queue := queueOf(o.sim.clients.byID[r.spec.ID].prefix)
	ever, now := false, false
	for i, c := range o.sim.operator.configs {
		directed := c.services[queue] == r.worker.host.service
		ever = ever || directed
		over := false // a newer one was acknowledged long enough ago
		for _, newer := range o.sim.operator.configs[i+1:] {
			over = over || newer.acked && o.sim.now > newer.ackedAt+configTime
		}
		now = now || directed && !over
	}
	o.require(RouteRule, ever, "%s: no configuration directs %s to %s", r, queue, r.worker.host.service)
	if !r.order.isLate && r.order.wasInTouch {
		o.require(ConfigRule, now, "%s: no configuration in force directs %s to %s", r, queue, r.worker.host.service)
	}
	if r.step.Label != "" {
		o.require(RouteRule, slices.Contains(r.worker.host.labels, r.step.Label), "%s: no label %s", r, r.step.Label)
	}
	if r.step.MaxPerWorker > 0 {
		beside := 1
		for _, other := range r.worker.runs {
			if a, b := other.key.Task, r.key.Task; a.Job == b.Job && a.Round == b.Round && a.Step == b.Step {
				beside++
			}
		}
		o.require(RouteRule, beside <= r.step.MaxPerWorker, "%s: %d of the step on the worker, at most %d", r, beside, r.step.MaxPerWorker)
	}
}

func queueOf(prefix string) string { return prefix[1 : len(prefix)-1] }

func (o *invariantChecker) checkAttemptBudget(j *jobHistory, r *liveRun) {
	if r.step.LongRunning {
		return
	}
	noted := 0
	for _, f := range j.ending(r.key.Task).failed {
		if f.isAcknowledged {
			noted++
		}
		f.starts = append(f.starts, r)
	}
	o.require(BudgetRule, noted < maxAttempts, "%s after %d runs that failed", r, noted)
}

func (o *invariantChecker) checkRequested(j *jobHistory, r *liveRun, order scheduler.StartOrder) {
	c := j.job
	o.require(UnaskedRule, order.Payload == c.spec.Payload, "%s with another payload: %q", r, order.Payload)
	if order.Checkpoint != "" {
		o.require(UnaskedRule, j.ending(r.key.Task).checkpoints[order.Checkpoint], "%s with checkpoint %q, which is not the task's", r, order.Checkpoint)
	}
	if r.step.Gang {
		o.checkGangCheckpoint(r, order.Checkpoint)
	}
	o.require(RefusedRule, !c.rejected, "%s although its job was refused", r)
	if c.cancelled && r.order.wasInTouch && !r.order.isLate {
		o.require(UnaskedRule, o.sim.now <= c.cancelAt+cancelTime, "%s %s after its cancelling", r, o.sim.now-c.cancelAt)
	}
}

// checkGangCheckpoint judges that all members of one run of a gang bring the same checkpoint.
func (o *invariantChecker) checkGangCheckpoint(r *liveRun, checkpoint string) {
	key := r.gangKey()
	first, known := o.gangCheckpoints[key]
	if !known {
		o.gangCheckpoints[key] = checkpoint
		return
	}
	o.require(UnaskedRule, first == checkpoint, "%s with checkpoint %q, another member brought %q", r, checkpoint, first)
}

// checkPlacement judges starts on workers that drain or have deregistered, and in zones that are evacuated.
func (o *invariantChecker) checkPlacement(r *liveRun) {
	if r.order.isLate || !r.order.wasInTouch {
		return
	}
	if done := r.worker.drainAcknowledgedAt; done != 0 {
		o.require(DrainRule, o.sim.now <= done+drainTimeout, "%s %s after its leaving was acknowledged", r, o.sim.now-done)
	}
	for _, e := range o.sim.operator.evacuations {
		if e.zone == r.worker.host.zone && e.acked && !e.finished {
			o.require(EvacRule, o.sim.now <= e.ackedAt+evacuationTime, "%s %s after the evacuation of %s", r, o.sim.now-e.ackedAt, e.zone)
		}
	}
}

// sent takes in that a start order leaves. One to a worker that is disrupted may be in doubt until the lease there is
// over: nothing else proves that it was not carried out.
func (o *invariantChecker) sent(start scheduler.StartAction) {
	host := o.sim.hostAt(start.Worker.Address)
	ref, spec := start.Order.Key.Task, o.sim.clients.spec(start.Order.Key.Task.Job)
	if spec != nil && spec.Steps[ref.Step].Gang {
		key := gangKey{ref.Job, ref.Round, ref.Step, start.Order.Key.Number}
		o.gangHosts[key] = append(o.gangHosts[key], host)
	}
	if o.sim.now < host.disruptedAt || host.current == nil || host.current.id != start.Worker.ID {
		o.expectUnconfirmed(o.job(start.Order.Key.Task.Job))
	}
}

// expectUnconfirmed excuses a job from running for as long as a run of it may be in doubt.
func (o *invariantChecker) expectUnconfirmed(j *jobHistory) {
	j.excusedUntil = max(j.excusedUntil, o.sim.now+o.sim.schedulerConfig().Lease+2*contactTimeout)
}

// ended takes in the end of a run.
func (o *invariantChecker) ended(r *liveRun, reason jobs.EndReason) *endRecord {
	o.sim.trace("end %s %s", r, reason)
	j := o.job(r.key.Task.Job)
	o.removeRun(j, r)
	if o.sim.now < r.worker.host.disruptedAt {
		o.expectUnconfirmed(j)
	}
	o.sim.report.Seen["end: "+string(reason)]++
	if reason == jobs.EndStopped && !j.job.cancelSent && !j.attemptsExhausted() {
		o.sim.report.Seen["stopped for other work"]++
	}
	e := &endRecord{run: r, reason: reason, at: o.sim.now}
	o.listed(r.worker, e)
	t := j.ending(r.key.Task)
	switch reason {
	case jobs.EndDone:
		t.done = append(t.done, e)
	case jobs.EndFailed:
		t.failed = append(t.failed, e)
	case jobs.EndGangTimeout:
		o.checkGangStart(j, r)
	case jobs.EndLeaseExpired:
		j.excusedUntil = max(j.excusedUntil, o.sim.now+contactTimeout)
	}
	return e
}

// checkGangStart judges a member of a gang that waited in vain.
func (o *invariantChecker) checkGangStart(j *jobHistory, r *liveRun) {
	if o.calmGang(r) && !j.job.cancelSent {
		o.breach(GangRule, "%s ended alone", r)
	}
}

// calmGang tells whether no disruption is near a run of a gang: neither of the core nor of a worker that a member was
// sent to.
func (o *invariantChecker) calmGang(r *liveRun) bool {
	if !r.order.wasInTouch || r.order.isLate || !o.sim.inTouch() {
		return false
	}
	for _, host := range o.gangHosts[r.gangKey()] {
		if r.began < host.disruptedAt+contactTimeout || host.current == nil {
			return false
		}
	}
	return true
}

// removeRun takes a run out of those that run.
func (o *invariantChecker) removeRun(j *jobHistory, r *liveRun) {
	t := j.task(r.key.Task)
	before := len(t.running)
	t.running = slices.DeleteFunc(t.running, func(other *liveRun) bool { return other == r })
	if len(t.running) < before {
		j.running--
	}
	if r.gang != nil && o.calmGang(r) {
		o.count(GangRule)
	}
}

// runLost takes in that a run has vanished with its worker.
func (o *invariantChecker) runLost(r *liveRun) {
	j := o.job(r.key.Task.Job)
	o.removeRun(j, r)
	o.expectUnconfirmed(j)
}

// workerLost takes in that a worker has vanished, or is disrupted, with ends that were not acknowledged.
func (o *invariantChecker) workerLost(w *workerIncarnation) {
	for _, e := range w.endRecords {
		o.expectUnconfirmed(o.job(e.run.key.Task.Job))
	}
}

// leaseExpired takes in that the lease of a worker is over.
func (o *invariantChecker) leaseExpired(w *workerIncarnation) {
	o.sim.trace("lease of %s is over", w.id)
	for _, e := range w.endRecords {
		e.isInvalidated = true
	}
}

// isAcknowledged takes in that an end is acknowledged.
func (o *invariantChecker) endAcknowledged(e *endRecord) {
	if e == nil || e.isInvalidated {
		return
	}
	e.isAcknowledged = true
	o.sim.trace("noted %s %s", e.run, e.reason)
	j := o.job(e.run.key.Task.Job)
	for _, r := range e.starts {
		if e.reason == jobs.EndDone {
			o.breach(TwiceRule, "%s began after %s ended done, which was acknowledged later", r, e.run)
		} else if noted := j.failedBefore(r); noted >= maxAttempts {
			o.breach(BudgetRule, "%s began after %d runs that failed, the last acknowledged later", r, noted)
		}
	}
	e.starts = nil
}

// failedBefore counts the noted failures of a run's task before it began.
func (j *jobHistory) failedBefore(r *liveRun) int {
	count := 0
	for _, f := range j.ending(r.key.Task).failed {
		if f.isAcknowledged && f.at <= r.began && !r.step.LongRunning {
			count++
		}
	}
	return count
}

// recordCheckpoint notes a checkpoint that a worker told.
func (o *invariantChecker) recordCheckpoint(r *liveRun, text string) {
	o.job(r.key.Task.Job).ending(r.key.Task).checkpoints[text] = true
}

// elected and failover measure the time from the last start of a leader to the first of the next one.
func (o *invariantChecker) elected(term uint64) {
	o.lastStartBeforeLoss = o.lastStartAt
	if o.awaitsFirstStart {
		o.lastStartBeforeLoss = 0 // the leader before was lost before it started anything: two losses in one
	}
	o.newestTerm, o.electedAt, o.awaitsFirstStart = term, o.sim.now, true
	for _, j := range o.histories {
		if j.excusedUntil > o.sim.now-2*contactTimeout { // the doubt begins anew for a leader that did not see how it came
			o.expectUnconfirmed(j)
		}
	}
}

func (o *invariantChecker) measureFailover(r *liveRun, token uint64) {
	if r.order.isLate {
		return
	}
	if token == o.newestTerm && o.awaitsFirstStart {
		o.awaitsFirstStart = false
		if o.lastStartBeforeLoss > 0 {
			o.sim.report.Failovers = append(o.sim.report.Failovers, o.sim.now-o.lastStartBeforeLoss)
			o.sim.report.Takeovers = append(o.sim.report.Takeovers, o.sim.now-o.electedAt)
		}
	}
	o.lastStartAt = o.sim.now
}
