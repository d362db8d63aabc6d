package jobssim

import (
	"time"

	"crosstide/internal/jobs"
)

// failure says how a call to a worker went.
type failure int

const (
	answered         failure = iota
	unsent                   // no byte of it left
	unknown                  // it may be carried out, now or later
	otherIncarnation         // another life has the address
)

const (
	minLinkDelay = 300 * time.Microsecond
	maxLinkDelay = 3 * time.Millisecond
	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
)

// linkDelay draws how long a message is on its way.
func (s *simulator) linkDelay() time.Duration {
	if s.chance(0.01) {
		return s.between(20*time.Millisecond, 400*time.Millisecond)
	}
	return s.between(minLinkDelay, maxLinkDelay)
}

// handler is what a worker does with a call. late: it is carried out late.
type handler func(w *workerIncarnation, late bool, reply func(any))

// exchange makes a call to a worker: done is called once on the node, with the answer or with what is known of it.
func (s *simulator) exchange(n *node, to jobs.Worker, limit time.Duration, handle handler, done func(any, failure)) {
	over := false
	finish := func(answer any, f failure) {
		if !over {
			over = true
			done(answer, f)
		}
	}
	n.after(limit, func() {
		if !over {
			s.report.Seen["call without an answer"]++
		}
		finish(nil, unknown)
	})
	host := s.hostAt(to.Address)
	if host == nil {
		return
	}
	deliver := func(late bool, answer func(any, failure)) {
		w := host.current
		switch {
		case w == nil || host.cutOff(n):
		case w.id != to.ID:
			answer(nil, otherIncarnation)
		default:
			handle(w, late, func(a any) { answer(a, answered) })
		}
	}
	nothing := func(any, failure) {}
	send := func(answer any, f failure) {
		if host.cutOff(n) || s.now < host.answersLostUntil && s.chance(host.answerLossShare) {
			return // the answer is lost
		}
		n.after(s.linkDelay(), func() { finish(answer, f) })
	}
	switch {
	case host.cutOff(n) || host.current == nil:
		if s.chance(0.3) {
			n.after(s.linkDelay(), func() { finish(nil, unsent) })
		} else if s.chance(0.4) {
			s.after(s.between(minLateDelay, maxLateDelay), func() { deliver(true, nothing) })
		}
	case s.now < host.lateUntil && s.chance(0.4):
		s.after(s.between(minLateDelay, maxLateDelay), func() { deliver(true, nothing) })
	default:
		s.after(s.linkDelay(), func() { deliver(false, send) })
	}
}
