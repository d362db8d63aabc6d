package jobssim

import (
	"fmt"
	"slices"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// The platform's settings of workers.
const (
	maxLease           = 10 * time.Second
	maxStopDelay       = 400 * time.Millisecond
	gangTimeout        = 3 * time.Second
	checkpointInterval = time.Second
	restoreTime        = 100 * time.Millisecond
	drainTimeout       = 2 * time.Second
	spreadFactor       = 1.5
	slowestClock       = 0.98
)

// workerHost is a machine of workers: one incarnation of a worker after another at one address.
type workerHost struct {
	sim            *simulator
	address        string
	service        string
	checksCapacity bool
	zone           string
	rack           string
	labels         []string
	kinds          [2]string // of the present incarnation, and the other one
	capacity       jobs.Resources
	speed          float64            // how many times as long a task takes here
	current        *workerIncarnation // nil: nothing runs here

	isCutOff         bool           // from the whole core
	cutFrom          map[*node]bool // from single nodes
	lateUntil        time.Duration  // until then it carries many orders out late
	answersLostUntil time.Duration  // until then it loses answers
	answerLossShare  float64        // the share that it loses
	disruptedAt      time.Duration  // when it was last disrupted

	heartbeatsDelayedUntil    time.Duration // until then its heartbeats come late and out of order
	heartbeatsUnreliableUntil time.Duration // until then heartbeats may not come, or their answers do not count
}

// cutOff reports whether nothing passes between the host and a node.
func (host *workerHost) cutOff(n *node) bool { return host.isCutOff || host.cutFrom[n] }

// workerIncarnation is one incarnation of a worker; each has another ID.
type workerIncarnation struct {
	host            *workerHost
	id              string
	startedAt       time.Duration
	clockBase       time.Duration // its clock when it began
	clockRate       float64       // of its clock
	token           uint64        // highest fencing token seen
	leaseDeadline   time.Duration // on its clock
	runs            []*liveRun    // in the order they began
	unacknowledged  []scheduler.EndedRun
	newestEnd       uint64                // number of the newest end
	closedUpTo      map[jobs.TaskRef]int  // highest run of a task that was stopped or ended here
	endRecords      map[uint64]*endRecord // the checker's records of unacknowledged, by number
	pendingRenewals []*pendingRenewal

	stalledSince        time.Duration // its tasks make no progress since; 0: they do
	stalledFor          time.Duration // how long they made none before that
	failsAll            bool          // fails all it starts
	failShare           float64       // share of what it starts that fails
	refuses             bool          // it refuses starts as if it were unhealthy
	slowFactor          float64       // on top of the host's speed
	isDraining          bool
	drainAcknowledgedAt time.Duration // when the core first acknowledged it; 0: not yet
	isLeaving           bool          // it deregisters first and serves on
	leavingSince        time.Duration // when it first said that it drains or ends
	heartbeatSequence   uint64
	leaseNumber         int // of the newest extension: the timers of older ones are dropped
}

// pendingRenewal is a lease renewal whose answer waits for an end.
type pendingRenewal struct{ reply func() }

// startWorker starts a worker, if none runs here.
func (host *workerHost) startWorker() {
	if host.current != nil {
		return
	}
	s := host.sim
	s.incarnations++
	if s.incarnations%otherKindEvery == 0 {
		host.changeKind()
	}
	w := &workerIncarnation{host: host, id: fmt.Sprintf("w%03d", s.incarnations), startedAt: s.now,
		clockBase: s.between(time.Second, 500*time.Second),
		clockRate: slowestClock + (1-slowestClock)*s.rng.Float64(), slowFactor: 1,
		closedUpTo: map[jobs.TaskRef]int{}, endRecords: map[uint64]*endRecord{}}
	host.current = w
	w.heartbeatLoop()
}

// otherKindEvery is how often a new incarnation at an address is of another kind than the one before.
const otherKindEvery = 5

func (host *workerHost) changeKind() {
	host.kinds[0], host.kinds[1] = host.kinds[1], host.kinds[0]
	host.labels = []string{host.kinds[0], host.rack}
	host.sim.report.Seen["life of another kind"]++
}

// clock returns what the worker's own clock shows.
func (w *workerIncarnation) clock() time.Duration {
	return w.clockBase + time.Duration(float64(w.host.sim.now-w.startedAt)*w.clockRate)
}

// isUp reports whether this incarnation still runs.
func (w *workerIncarnation) isUp() bool { return w.host.current == w }

// workedTime returns the time in which its tasks made progress since it began.
func (w *workerIncarnation) workedTime() time.Duration {
	t := w.host.sim.now - w.startedAt - w.stalledFor
	if w.stalledSince > 0 {
		t -= w.host.sim.now - w.stalledSince
	}
	return t
}

// isFenced reports whether an order has a lower token than one seen before; else it keeps the token.
func (w *workerIncarnation) isFenced(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extendLease renews the lease of everything that runs.
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

// expireLease kills everything that runs.
func (w *workerIncarnation) expireLease() {
	w.host.sim.checker.leaseExpired(w)
	for _, r := range slices.Clone(w.runs) {
		w.finish(r, jobs.EndLeaseExpired)
	}
}

// start carries out a start order.
func (w *workerIncarnation) start(from order, o scheduler.StartOrder) scheduler.StartAnswer {
	refuse := func(why scheduler.Refusal) scheduler.StartAnswer {
		w.host.sim.report.Seen["start refused: "+string(why)]++
		return scheduler.StartAnswer{Clock: w.clock(), Refusal: why}
	}
	if w.isFenced(o.Token) {
		return refuse(scheduler.RefusedFenced)
	}
	if w.findRun(o.Key) != nil {
		w.extendLease(o.LeaseDeadline)
		return scheduler.StartAnswer{Clock: w.clock()}
	}
	if o.LeaseDeadline <= w.clock() {
		return refuse(scheduler.RefusedExpired)
	}
	if w.refuses || w.host.sim.chance(0.002) {
		return refuse(scheduler.RefusedUnhealthy)
	}
	w.extendLease(o.LeaseDeadline)
	if o.Key.Number <= w.closedUpTo[o.Key.Task] {
		return refuse(scheduler.RefusedStale)
	}
	spec := w.host.sim.clients.spec(o.Key.Task.Job)
	if spec == nil {
		w.host.sim.checker.unknownStart(o)
		return refuse(scheduler.RefusedInvalid)
	}
	step := &spec.Steps[o.Key.Task.Step]
	if w.host.checksCapacity && !fits(plus(w.used(), step.Needs), w.host.capacity) {
		return refuse(scheduler.RefusedCapacity)
	}
	w.beginRun(from, o, spec, step)
	return scheduler.StartAnswer{Clock: w.clock()}
}

// stop carries out a stop order; false if it is fenced.
func (w *workerIncarnation) stop(o scheduler.StopOrder) bool {
	if w.isFenced(o.Token) {
		return false
	}
	w.closedUpTo[o.Key.Task] = max(w.closedUpTo[o.Key.Task], o.Key.Number)
	if r := w.findRun(o.Key); r != nil && !r.isStopping {
		r.isStopping = true
		w.host.sim.after(w.host.sim.between(0, maxStopDelay), func() { w.finish(r, jobs.EndStopped) })
	}
	return true
}

// renewLease carries out a lease renewal; the answer may wait for an end.
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

// acknowledge drops the ends up to a number.
func (w *workerIncarnation) acknowledge(upTo uint64) {
	for len(w.unacknowledged) > 0 && w.unacknowledged[0].Sequence <= upTo {
		w.host.sim.checker.endAcknowledged(w.endRecords[w.unacknowledged[0].Sequence])
		delete(w.endRecords, w.unacknowledged[0].Sequence)
		w.unacknowledged = w.unacknowledged[1:]
	}
}

// maxEndsPerAnswer is how many ends an answer lists.
const maxEndsPerAnswer = 12

// status returns the answer to a lease renewal.
func (w *workerIncarnation) status() leaseReply {
	a := scheduler.RenewalAnswer{Clock: w.clock()}
	for _, r := range w.runs {
		a.Running = append(a.Running, scheduler.ListedRun{Key: r.key, Checkpoint: r.checkpoint(),
			Percent: r.percent()})
	}
	a.Ended = slices.Clone(w.unacknowledged[:min(maxEndsPerAnswer, len(w.unacknowledged))])
	if a.Full = len(w.unacknowledged) > maxEndsPerAnswer; a.Full {
		w.host.sim.report.Seen["answer full of ends"]++
	}
	return leaseReply{answer: a}
}

// used returns what all runs take, with those that are being stopped.
func (w *workerIncarnation) used() jobs.Resources {
	var sum jobs.Resources
	for _, r := range w.runs {
		sum = plus(sum, r.step.Needs)
	}
	return sum
}

func (w *workerIncarnation) findRun(key jobs.RunKey) *liveRun {
	for _, r := range w.runs {
		if r.key == key {
			return r
		}
	}
	return nil
}

// terminate ends this incarnation: everything on it is lost without an end.
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

func plus(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: a.MilliCPU + b.MilliCPU, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}

func fits(a, b jobs.Resources) bool {
	return a.MilliCPU <= b.MilliCPU && a.MemoryMB <= b.MemoryMB && a.GPUs <= b.GPUs
}
