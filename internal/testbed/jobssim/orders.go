package jobssim

import (
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// callTimeout is the timeout of start and stop orders, and of a lease renewal in addition to its wait. It mirrors the
// timeout of package controller.
const callTimeout = 700 * time.Millisecond

// dispatchActions executes the actions of a pass; it mirrors controller.Leader.dispatch.
func (n *node) dispatchActions(term uint64, actions scheduler.Actions) {
	if actions.Progress != nil {
		n.commit(term, actions.Progress)
	}
	for _, start := range actions.Starts {
		n.after(n.dispatchDelay(), func() { n.start(term, start) })
	}
	for _, stop := range actions.Stops {
		n.after(n.dispatchDelay(), func() { n.stop(term, stop) })
	}
	for _, renewal := range actions.Renewals {
		n.after(n.dispatchDelay(), func() { n.renewLease(term, renewal) })
	}
}

// dispatchDelay returns a random delay until an order is sent. Package controller sends each order on its own
// goroutine, so the orders of a pass are sent in any sequence.
func (n *node) dispatchDelay() time.Duration {
	if n.sim.chance(0.01) {
		return n.sim.between(0, 30*time.Millisecond)
	}
	return n.sim.between(0, 500*time.Microsecond)
}

// commit proposes the changes of a pass and passes the outcome to the scheduler.
func (n *node) commit(term uint64, progress *jobs.Progress) {
	if n.sim.options.WithoutGuard == StartBeforeCommit {
		n.startBeforeCommit(term, progress)
	}
	n.sim.log.propose(n, term, *progress, func(answer any, err error) {
		started, _ := answer.(jobs.ProgressResult)
		for _, e := range progress.Ends {
			n.sim.trace("%s commits end of %v on %s: %s (error %v)", n.name, e.Key, e.Worker, e.Reason, err)
		}
		n.deliver(func(c *scheduler.Core, now time.Duration) { c.Committed(now, progress, started, err) })
	})
}

// start sends a start order, unless the node no longer leads, and passes the outcome to the scheduler.
func (n *node) start(term uint64, start scheduler.StartAction) {
	id, key := start.Worker.ID, start.Order.Key
	answered := func(answer scheduler.StartAnswer, failure scheduler.StartOutcome) {
		if failure == scheduler.StartUnconfirmed {
			failure = n.startOutcome(term, start)
		}
		n.deliver(func(c *scheduler.Core, now time.Duration) { c.StartAnswered(now, id, key, answer, failure) })
	}
	if !n.leads(term) {
		answered(scheduler.StartAnswer{}, scheduler.StartUnsent)
		return
	}
	if n.sim.startFindsNoConnection() {
		n.failStart(answered)
		return
	}
	n.sim.checker.startSent(start)
	origin := startOrigin{node: n, sentAt: n.sim.now, wasCoreStable: n.sim.isCoreStable()}
	n.sim.callWorker(n, start.Worker, callTimeout, func(w *workerIncarnation, late bool, reply func(any)) {
		origin.isLate = late
		reply(w.start(origin, start.Order))
	}, func(answer any, outcome callOutcome) {
		startAnswer, _ := answer.(scheduler.StartAnswer)
		answered(startAnswer, startError(outcome))
	})
}

// startError maps the outcome of a start order to the error that is passed to the scheduler.
func startError(outcome callOutcome) scheduler.StartOutcome {
	switch outcome {
	case callAnswered:
		return scheduler.StartOK
	case callOtherIncarnation:
		return scheduler.StartOtherIncarnation
	case callUnsent:
		return scheduler.StartUnsent
	}
	return scheduler.StartUnconfirmed
}

// stop sends a stop order, unless the node no longer leads, and passes the outcome to the scheduler.
func (n *node) stop(term uint64, stop scheduler.StopAction) {
	id, key := stop.Worker.ID, stop.Order.Key
	done := func(failure scheduler.StopOutcome) {
		n.deliver(func(c *scheduler.Core, now time.Duration) { c.StopAnswered(now, id, key, failure) })
	}
	if !n.leads(term) {
		done(scheduler.StopFailed)
		return
	}
	if n.sim.urgentFindsNoConnection() {
		n.failStop(done)
		return
	}
	n.sim.callWorker(n, stop.Worker, callTimeout, func(w *workerIncarnation, _ bool, reply func(any)) {
		reply(w.stop(stop.Order))
	}, func(answer any, outcome callOutcome) {
		if isAccepted, _ := answer.(bool); outcome != callAnswered || !isAccepted {
			done(scheduler.StopFailed)
			return
		}
		done(scheduler.StopOK)
	})
}

// leaseReply is a worker's answer to a lease renewal.
type leaseReply struct {
	answer scheduler.RenewalAnswer
	fenced bool
}

// renewLease sends a lease renewal, unless the node no longer leads, and passes the outcome to the scheduler.
func (n *node) renewLease(term uint64, renewal scheduler.RenewalAction) {
	id, number, call := renewal.Worker.ID, renewal.Number, renewal.Call
	n.sim.trace("hold %d to %s wait %s", number, id, call.Wait)
	done := func(answer scheduler.RenewalAnswer, failure scheduler.RenewalOutcome) {
		n.sim.trace("hold %d to %s answered: %d running, %d ended, failure %d", number, id, len(answer.Running),
			len(answer.Ended), failure)
		for _, e := range answer.Ended {
			n.newestEnd[id] = max(n.newestEnd[id], e.Sequence)
		}
		n.deliver(func(c *scheduler.Core, now time.Duration) { c.RenewalAnswered(now, id, number, answer, failure) })
	}
	if !n.leads(term) {
		done(scheduler.RenewalAnswer{}, scheduler.RenewalFailed)
		return
	}
	if n.sim.urgentFindsNoConnection() {
		n.failLeaseRenewal(done)
		return
	}
	if n.sim.options.WithoutGuard == EarlyAcknowledgement {
		call.AcknowledgedUpTo = max(call.AcknowledgedUpTo, n.newestEnd[id])
	}
	n.sim.callWorker(n, renewal.Worker, call.Wait+callTimeout, func(w *workerIncarnation, _ bool, reply func(any)) {
		w.renewLease(call, func(r leaseReply) { reply(r) })
	}, func(answer any, f callOutcome) {
		r, _ := answer.(leaseReply)
		switch {
		case f == callOtherIncarnation:
			done(scheduler.RenewalAnswer{}, scheduler.RenewalOtherIncarnation)
		case f != callAnswered:
			done(scheduler.RenewalAnswer{}, scheduler.RenewalFailed)
		case r.fenced:
			done(scheduler.RenewalAnswer{}, scheduler.RenewalFenced)
		default:
			done(r.answer, scheduler.RenewalOK)
		}
	})
}
