package jobssim

import (
	"fmt"
	"slices"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// Parameters of the workers, as defined by the platform.
const (
	maxLease           = 10 * time.Second
	maxStopDelay       = 400 * time.Millisecond
	gangTimeout        = 3 * time.Second
	checkpointInterval = time.Second
	restoreTime        = 100 * time.Millisecond
	drainTimeout       = 2 * time.Second
	spreadFactor       = 1.5  // multiplies the duration of tasks outside their preferred rack and of gangs across racks
	slowestClock       = 0.98 // lowest rate of a worker's clock
)

// workerHost is a machine that runs one worker at a time. All incarnations of the worker have the same address.
type workerHost struct {
	sim            *simulator
	address        string
	service        string
	checksCapacity bool
	zone           string
	rack           string
	labels         []string
	kinds          [2]string // label of the present incarnation, then the one after the next change of kind
	capacity       jobs.Resources
	durationFactor float64            // multiplies the duration of tasks on this host
	current        *workerIncarnation // nil: no worker is running

	isCutOff         bool           // disconnected from the whole core
	cutFrom          map[*node]bool // nodes from which it is disconnected
	lateUntil        time.Duration  // until then many orders are delivered late
	answersLostUntil time.Duration  // until then answers of its worker are lost
	answerLossShare  float64        // the share of answers that is lost
	disruptedUntil   time.Duration  // when the newest disruption ends or ended

	heartbeatsDelayedUntil    time.Duration // until then heartbeats arrive late and out of order
	heartbeatsUnreliableUntil time.Duration // until then heartbeats may be lost or their answers ignored
}

// cutOff reports whether the host and a node are disconnected.
func (host *workerHost) cutOff(n *node) bool { return host.isCutOff || host.cutFrom[n] }

// workerIncarnation is one incarnation of a worker. Each has its own ID.
type workerIncarnation struct {
	host            *workerHost
	id              string
	startedAt       time.Duration
	clockBase       time.Duration // its clock at startedAt
	clockRate       float64       // of its clock relative to virtual time
	token           uint64        // highest fencing token received
	leaseDeadline   time.Duration // on its clock
	runs            []*liveRun    // in the order of their starts
	unacknowledged  []scheduler.EndedRun
	newestEnd       uint64                // sequence number of the newest end
	closedUpTo      map[jobs.TaskRef]int  // highest run number of a task that was stopped or ended here
	endRecords      map[uint64]*endRecord // the checker's records of unacknowledged ends, by sequence
	pendingRenewals []*pendingRenewal

	stalledSince          time.Duration // since when its tasks make no progress; 0: they are not stalled
	stalledFor            time.Duration // total duration of earlier stalls
	failsAll              bool          // all runs that it starts fail
	failShare             float64       // the share of runs that fail
	refuses               bool          // it refuses starts as unhealthy
	slowFactor            float64       // multiplies the duration of tasks in addition to the factor of the host
	isDraining            bool
	leavingAcknowledgedAt time.Duration // when the core first acknowledged that it drains or leaves; 0: not yet
	isLeaving             bool          // it has deregistered without a drain and still executes orders
	leavingSince          time.Duration // when it began to drain or leave
	heartbeatSequence     uint64
	leaseNumber           int // of the newest extension of the lease; the timers of older ones are ignored
}

// pendingRenewal is a lease renewal that is answered when a run ends or its wait has passed.
type pendingRenewal struct{ reply func() }

// startWorker starts a new incarnation, unless one is running.
func (host *workerHost) startWorker() {
	if host.current != nil {
		return
	}
	s := host.sim
	s.incarnations++
	if s.incarnations%kindChangeInterval == 0 {
		host.changeKind()
	}
	w := &workerIncarnation{host: host, id: fmt.Sprintf("w%03d", s.incarnations), startedAt: s.now,
		clockBase: s.between(time.Second, 500*time.Second),
		clockRate: slowestClock + (1-slowestClock)*s.rng.Float64(), slowFactor: 1,
		closedUpTo: map[jobs.TaskRef]int{}, endRecords: map[uint64]*endRecord{}}
	host.current = w
	w.heartbeatLoop()
}

// kindChangeInterval is the number of started incarnations, over all hosts, per incarnation that changes its kind.
const kindChangeInterval = 5

// changeKind makes the next incarnation have the other kind label at the same address.
func (host *workerHost) changeKind() {
	host.kinds[0], host.kinds[1] = host.kinds[1], host.kinds[0]
	host.labels = []string{host.kinds[0], host.rack}
	host.sim.report.Counts["incarnation of another kind"]++
}

// clock returns the time on the worker's own clock.
func (w *workerIncarnation) clock() time.Duration {
	return w.clockBase + time.Duration(float64(w.host.sim.now-w.startedAt)*w.clockRate)
}

// isUp reports whether this incarnation is running.
func (w *workerIncarnation) isUp() bool { return w.host.current == w }

// workedTime returns the time since the start of the incarnation, without the time in which its tasks were stalled.
func (w *workerIncarnation) workedTime() time.Duration {
	t := w.host.sim.now - w.startedAt - w.stalledFor
	if w.stalledSince > 0 {
		t -= w.host.sim.now - w.stalledSince
	}
	return t
}

// isFenced reports whether the token of an order is lower than one received before. If not, it records the token.
func (w *workerIncarnation) isFenced(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extendLease extends the lease, which covers all runs of the worker, to a deadline on its clock.
func (w *workerIncarnation) extendLease(deadline time.Duration) {
	deadline = min(deadline, w.clock()+maxLease)
	if deadline <= w.leaseDeadline {
		return
	}
	w.leaseDeadline = deadline
	w.leaseNumber++
	number := w.leaseNumber
	remaining := time.Duration(float64(deadline-w.clock())/w.clockRate) + time.Millisecond
	w.host.sim.after(remaining, func() {
		if w.isUp() && number == w.leaseNumber && w.clock() >= w.leaseDeadline {
			w.expireLease()
		}
	})
}

// expireLease ends all runs because the lease has expired.
func (w *workerIncarnation) expireLease() {
	w.host.sim.checker.leaseExpired(w)
	for _, r := range slices.Clone(w.runs) {
		w.finish(r, jobs.EndLeaseExpired)
	}
}

// start executes a start order.
func (w *workerIncarnation) start(origin startOrigin, order scheduler.StartOrder) scheduler.StartAnswer {
	refuse := func(reason scheduler.Refusal) scheduler.StartAnswer {
		w.host.sim.report.Counts["start refused: "+string(reason)]++
		return scheduler.StartAnswer{Clock: w.clock(), Refusal: reason}
	}
	if w.isFenced(order.Token) {
		return refuse(scheduler.RefusedFenced)
	}
	if w.findRun(order.Key) != nil {
		w.extendLease(order.LeaseDeadline)
		return scheduler.StartAnswer{Clock: w.clock()}
	}
	if order.LeaseDeadline <= w.clock() {
		return refuse(scheduler.RefusedExpired)
	}
	if w.refuses || w.host.sim.chance(0.002) {
		return refuse(scheduler.RefusedUnhealthy)
	}
	w.extendLease(order.LeaseDeadline)
	if order.Key.Number <= w.closedUpTo[order.Key.Task] {
		return refuse(scheduler.RefusedStale)
	}
	spec := w.host.sim.clients.spec(order.Key.Task.Job)
	if spec == nil {
		w.host.sim.checker.unknownStart(order)
		return refuse(scheduler.RefusedInvalid)
	}
	step := &spec.Steps[order.Key.Task.Step]
	if w.host.checksCapacity && !fits(plus(w.used(), step.Needs), w.host.capacity) {
		return refuse(scheduler.RefusedCapacity)
	}
	w.beginRun(origin, order, spec, step)
	return scheduler.StartAnswer{Clock: w.clock()}
}

// stop executes a stop order. It returns false if the order is fenced.
func (w *workerIncarnation) stop(order scheduler.StopOrder) bool {
	if w.isFenced(order.Token) {
		return false
	}
	w.closedUpTo[order.Key.Task] = max(w.closedUpTo[order.Key.Task], order.Key.Number)
	if r := w.findRun(order.Key); r != nil && !r.isStopping {
		r.isStopping = true
		w.host.sim.after(w.host.sim.between(0, maxStopDelay), func() { w.finish(r, jobs.EndStopped) })
	}
	return true
}

// renewLease executes a lease renewal. Without unacknowledged ends, the answer waits until a run ends or call.Wait has
// passed.
func (w *workerIncarnation) renewLease(call scheduler.LeaseRenewal, reply func(leaseReply)) {
	if w.isFenced(call.Token) {
		reply(leaseReply{fenced: true})
		return
	}
	w.acknowledge(call.AcknowledgedUpTo)
	if call.LeaseDeadline > 0 {
		w.extendLease(call.LeaseDeadline)
	}
	if call.Wait <= 0 || len(w.unacknowledged) > 0 {
		reply(w.status())
		return
	}
	done := false
	answer := func() {
		if !done && w.isUp() {
			done = true
			reply(w.status())
		}
	}
	w.pendingRenewals = append(w.pendingRenewals, &pendingRenewal{reply: answer})
	w.host.sim.after(call.Wait, answer)
}

// acknowledge drops the listed ends up to a sequence number.
func (w *workerIncarnation) acknowledge(upTo uint64) {
	for len(w.unacknowledged) > 0 && w.unacknowledged[0].Sequence <= upTo {
		w.host.sim.checker.endAcknowledged(w.endRecords[w.unacknowledged[0].Sequence])
		delete(w.endRecords, w.unacknowledged[0].Sequence)
		w.unacknowledged = w.unacknowledged[1:]
	}
}

// maxEndsPerAnswer is the maximum number of ends in an answer.
const maxEndsPerAnswer = 12

// status returns the answer to a lease renewal, with the present runs and the oldest unacknowledged ends.
func (w *workerIncarnation) status() leaseReply {
	a := scheduler.RenewalAnswer{Clock: w.clock()}
	for _, r := range w.runs {
		a.Running = append(a.Running, scheduler.ListedRun{Key: r.key, Checkpoint: r.checkpoint(),
			Percent: r.percent()})
	}
	a.Ended = slices.Clone(w.unacknowledged[:min(maxEndsPerAnswer, len(w.unacknowledged))])
	if a.Truncated = len(w.unacknowledged) > maxEndsPerAnswer; a.Truncated {
		w.host.sim.report.Counts["answer with the maximum number of ends"]++
	}
	return leaseReply{answer: a}
}

// used returns the resources used by all runs, including those that are being stopped.
func (w *workerIncarnation) used() jobs.Resources {
	var sum jobs.Resources
	for _, r := range w.runs {
		sum = plus(sum, r.step.Needs)
	}
	return sum
}

// findRun returns the run with the given key, or nil.
func (w *workerIncarnation) findRun(key jobs.RunKey) *liveRun {
	for _, r := range w.runs {
		if r.key == key {
			return r
		}
	}
	return nil
}

// terminate ends this incarnation. Its runs are lost and no ends are listed for them.
func (w *workerIncarnation) terminate() {
	if !w.isUp() {
		return
	}
	w.host.current = nil
	w.host.sim.trace("%s dies", w.id)
	w.host.sim.checker.workerLost(w)
	for _, r := range slices.Clone(w.runs) {
		w.remove(r)
		w.host.sim.checker.runLost(r)
	}
}

// plus returns the sum of two amounts of resources.
func plus(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: a.MilliCPU + b.MilliCPU, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}

// fits reports whether no resource in a exceeds that in b.
func fits(a, b jobs.Resources) bool {
	return a.MilliCPU <= b.MilliCPU && a.MemoryMB <= b.MemoryMB && a.GPUs <= b.GPUs
}
