package jobssim

import (
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// callTimeout bounds start and stop orders and the part of a hold call beyond its wait, as the controller's does.
const callTimeout = 700 * time.Millisecond

// carryOut does what a pass wants done, as controller.Leader.carryOut.
func (n *node) carryOut(term uint64, out scheduler.Actions) {
	if out.Progress != nil {
		n.commit(term, out.Progress)
	}
	for _, start := range out.Starts {
		n.do(n.dispatch(), func() { n.start(term, start) })
	}
	for _, stop := range out.Stops {
		n.do(n.dispatch(), func() { n.stop(term, stop) })
	}
	for _, hold := range out.Renewals {
		n.do(n.dispatch(), func() { n.hold(term, hold) })
	}
}

// dispatch is how long an order waits for its goroutine: orders of a pass leave in any order.
func (n *node) dispatch() time.Duration {
	if n.sim.chance(0.01) {
		return n.sim.between(0, 30*time.Millisecond)
	}
	return n.sim.between(0, 500*time.Microsecond)
}

func (n *node) commit(term uint64, progress *jobs.Progress) {
	if n.sim.opt.Break == StartBeforeCommit {
		n.startAhead(term, progress)
	}
	n.sim.log.propose(n, term, *progress, func(answer any, err error) {
		started, _ := answer.(jobs.Started)
		for _, e := range progress.Ends {
			n.sim.trace("%s commits end of %v on %s: %s (error %v)", n.name, e.Key, e.Worker, e.Reason, err)
		}
		n.tell(func(c *scheduler.Core, now time.Duration) { c.Committed(now, progress, started, err) })
	})
}

func (n *node) start(term uint64, start scheduler.StartAction) {
	id, key := start.Worker.ID, start.Order.Key
	answered := func(answer scheduler.StartAnswer, failure scheduler.StartError) {
		if failure == scheduler.StartUnknown {
			failure = n.doubted(term, start)
		}
		n.tell(func(c *scheduler.Core, now time.Duration) { c.StartAnswered(now, id, key, answer, failure) })
	}
	if !n.leads(term) {
		answered(scheduler.StartAnswer{}, scheduler.StartUnsent)
		return
	}
	if n.sim.findsNoRoom() {
		n.shortStart(answered)
		return
	}
	n.sim.oracle.sent(start)
	order := order{from: n, sent: n.sim.now, inTouch: n.sim.inTouch()}
	n.sim.exchange(n, start.Worker, callTimeout, func(w *life, late bool, reply func(any)) {
		order.late = late
		reply(w.start(order, start.Order))
	}, func(answer any, failure failure) {
		told, _ := answer.(scheduler.StartAnswer)
		answered(told, startError(failure))
	})
}

func startError(f failure) scheduler.StartError {
	switch f {
	case answered:
		return scheduler.StartOK
	case otherLife:
		return scheduler.StartOtherIncarnation
	case unsent:
		return scheduler.StartUnsent
	}
	return scheduler.StartUnknown
}

func (n *node) stop(term uint64, stop scheduler.StopAction) {
	id, key := stop.Worker.ID, stop.Order.Key
	told := func(failure scheduler.StopError) {
		n.tell(func(c *scheduler.Core, now time.Duration) { c.StopAnswered(now, id, key, failure) })
	}
	if !n.leads(term) {
		told(scheduler.StopFailed)
		return
	}
	if n.sim.urgentFindsNoRoom() {
		n.shortStop(told)
		return
	}
	n.sim.exchange(n, stop.Worker, callTimeout, func(w *life, _ bool, reply func(any)) {
		reply(w.stop(stop.Order))
	}, func(answer any, f failure) {
		if taken, _ := answer.(bool); f != answered || !taken {
			told(scheduler.StopFailed)
			return
		}
		told(scheduler.StopOK)
	})
}

// holdReply is a worker's answer to a hold call.
type holdReply struct {
	answer scheduler.RenewalAnswer
	fenced bool
}

func (n *node) hold(term uint64, hold scheduler.RenewalAction) {
	id, number, call := hold.Worker.ID, hold.Number, hold.Call
	n.sim.trace("hold %d to %s wait %s", number, id, call.Wait)
	told := func(answer scheduler.RenewalAnswer, failure scheduler.RenewalError) {
		n.sim.trace("hold %d to %s answered: %d running, %d ended, failure %d", number, id, len(answer.Running), len(answer.Ended), failure)
		for _, e := range answer.Ended {
			n.ends[id] = max(n.ends[id], e.Sequence)
		}
		n.tell(func(c *scheduler.Core, now time.Duration) { c.RenewalAnswered(now, id, number, answer, failure) })
	}
	if !n.leads(term) {
		told(scheduler.RenewalAnswer{}, scheduler.RenewalFailed)
		return
	}
	if n.sim.urgentFindsNoRoom() {
		n.shortHold(told)
		return
	}
	if n.sim.opt.Break == EarlyAcknowledgement {
		call.AcknowledgedUpTo = max(call.AcknowledgedUpTo, n.ends[id])
	}
	n.sim.exchange(n, hold.Worker, call.Wait+callTimeout, func(w *life, _ bool, reply func(any)) {
		w.hold(call, func(r holdReply) { reply(r) })
	}, func(answer any, f failure) {
		r, _ := answer.(holdReply)
		switch {
		case f == otherLife:
			told(scheduler.RenewalAnswer{}, scheduler.RenewalOtherIncarnation)
		case f != answered:
			told(scheduler.RenewalAnswer{}, scheduler.RenewalFailed)
		case r.fenced:
			told(scheduler.RenewalAnswer{}, scheduler.RenewalFenced)
		default:
			told(r.answer, scheduler.RenewalOK)
		}
	})
}
