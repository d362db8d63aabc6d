package jobssim

import (
	"time"

	"crosstide/internal/jobs"
)

// failure is the outcome of a call to a worker, as the node knows it.
type failure int

const (
	answered         failure = iota
	unsent                   // no byte of it was sent
	unknown                  // it may be carried out, now or later
	otherIncarnation         // another incarnation has the address
)

const (
	minLinkDelay = 300 * time.Microsecond
	maxLinkDelay = 3 * time.Millisecond
	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
)

// linkDelay draws how long a message takes.
func (s *simulator) linkDelay() time.Duration {
	if s.chance(0.01) {
		return s.between(20*time.Millisecond, 400*time.Millisecond)
	}
	return s.between(minLinkDelay, maxLinkDelay)
}

// handler handles a call on a worker. isLate is set if the call arrives long after it was sent.
type handler func(w *workerIncarnation, isLate bool, reply func(any))

// exchange is a call to a worker. done is called once on the node, with the answer or with what is known of it.
type exchange struct {
	node   *node
	host   *workerHost
	to     jobs.Worker
	handle handler
	done   func(any, failure)
	isOver bool
}

// exchange makes a call to a worker; after timeout without an answer it counts as unknown.
func (s *simulator) exchange(n *node, to jobs.Worker, timeout time.Duration, handle handler, done func(any, failure)) {
	e := &exchange{node: n, host: s.hostAt(to.Address), to: to, handle: handle, done: done}
	n.after(timeout, func() {
		if !e.isOver {
			s.report.Seen["call without an answer"]++
		}
		e.finish(nil, unknown)
	})
	if e.host == nil {
		return
	}
	switch {
	case e.host.cutOff(n) || e.host.current == nil:
		if s.chance(0.3) {
			n.after(s.linkDelay(), func() { e.finish(nil, unsent) })
		} else if s.chance(0.4) {
			s.after(s.between(minLateDelay, maxLateDelay), e.deliverLate)
		}
	case s.now < e.host.lateUntil && s.chance(0.4):
		s.after(s.between(minLateDelay, maxLateDelay), e.deliverLate)
	default:
		s.after(s.linkDelay(), func() { e.deliver(false, e.sendBack) })
	}
}

// finish passes the first outcome to the caller.
func (e *exchange) finish(answer any, f failure) {
	if !e.isOver {
		e.isOver = true
		e.done(answer, f)
	}
}

// deliver lets the worker handle the call, if it is the incarnation that was called and is reachable.
func (e *exchange) deliver(isLate bool, answer func(any, failure)) {
	w := e.host.current
	switch {
	case w == nil || e.host.cutOff(e.node):
	case w.id != e.to.ID:
		answer(nil, otherIncarnation)
	default:
		e.handle(w, isLate, func(a any) { answer(a, answered) })
	}
}

// deliverLate delivers a call that the caller no longer waits for.
func (e *exchange) deliverLate() { e.deliver(true, func(any, failure) {}) }

// sendBack sends an answer back, unless it is lost.
func (e *exchange) sendBack(answer any, f failure) {
	s := e.host.sim
	if e.host.cutOff(e.node) || s.now < e.host.answersLostUntil && s.chance(e.host.answerLossShare) {
		return
	}
	e.node.after(s.linkDelay(), func() { e.finish(answer, f) })
}
