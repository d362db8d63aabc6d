package jobssim

import (
	"time"

	"crosstide/internal/jobs"
)

// callOutcome is the outcome of a call to a worker from the point of view of the calling node.
type callOutcome int

const (
	callAnswered         callOutcome = iota
	callUnsent                       // nothing was sent
	callUnknown                      // the call may have been executed or may still be
	callOtherIncarnation             // another incarnation of the worker uses the address
)

const (
	minLinkDelay = 300 * time.Microsecond
	maxLinkDelay = 3 * time.Millisecond
	minLateDelay = 2 * time.Second // of a call that is delivered late
	maxLateDelay = 12 * time.Second
)

// linkDelay returns a random delay for one message.
func (s *simulator) linkDelay() time.Duration {
	if s.chance(0.01) {
		return s.between(20*time.Millisecond, 400*time.Millisecond)
	}
	return s.between(minLinkDelay, maxLinkDelay)
}

// handler executes a call on a worker. isLate is set if the call is delivered late, see deliverLate.
type handler func(w *workerIncarnation, isLate bool, reply func(any))

// workerCall is a call to a worker. done is called once on the node, with the answer or the outcome.
type workerCall struct {
	node       *node
	host       *workerHost
	to         jobs.Worker
	handle     handler
	done       func(any, callOutcome)
	isFinished bool
}

// callWorker calls a worker. Without an answer within timeout, the outcome is callUnknown.
func (s *simulator) callWorker(n *node, to jobs.Worker, timeout time.Duration, handle handler,
	done func(any, callOutcome),
) {
	call := &workerCall{node: n, host: s.hostAt(to.Address), to: to, handle: handle, done: done}
	n.after(timeout, func() {
		if !call.isFinished {
			s.report.Counts["call without an answer"]++
		}
		call.finish(nil, callUnknown)
	})
	if call.host == nil {
		return
	}
	switch {
	case call.host.cutOff(n) || call.host.current == nil:
		if s.chance(0.3) {
			n.after(s.linkDelay(), func() { call.finish(nil, callUnsent) })
		} else if s.chance(0.4) {
			s.after(s.between(minLateDelay, maxLateDelay), call.deliverLate)
		}
	case s.now < call.host.lateUntil && s.chance(0.4):
		s.after(s.between(minLateDelay, maxLateDelay), call.deliverLate)
	default:
		s.after(s.linkDelay(), func() { call.deliver(false, call.sendBack) })
	}
}

// finish passes the outcome to the caller, unless the caller already has one.
func (call *workerCall) finish(answer any, outcome callOutcome) {
	if !call.isFinished {
		call.isFinished = true
		call.done(answer, outcome)
	}
}

// deliver executes the call on the worker if the host is reachable and runs the incarnation that was called.
func (call *workerCall) deliver(isLate bool, answer func(any, callOutcome)) {
	w := call.host.current
	switch {
	case w == nil || call.host.cutOff(call.node):
	case w.id != call.to.ID:
		answer(nil, callOtherIncarnation)
	default:
		call.handle(w, isLate, func(a any) { answer(a, callAnswered) })
	}
}

// deliverLate delivers a call, and drops the answer because the caller no longer waits for it.
func (call *workerCall) deliverLate() { call.deliver(true, func(any, callOutcome) {}) }

// sendBack sends an answer to the caller, unless it is lost on the way.
func (call *workerCall) sendBack(answer any, outcome callOutcome) {
	s := call.host.sim
	if call.host.cutOff(call.node) || s.now < call.host.answersLostUntil && s.chance(call.host.answerLossShare) {
		return
	}
	call.node.after(s.linkDelay(), func() { call.finish(answer, outcome) })
}
