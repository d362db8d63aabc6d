package policysim

import (
	"fmt"
	"slices"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/testbed/policyworker"
)

// maxOrderDelay bounds the time from the arrival of an order until an obeying worker carries it out. The bound in the
// scheduler's settings is higher by the time for which an order may be in flight.
const maxOrderDelay = 1700 * time.Millisecond

// worker hosts a policyworker.Core: it passes calls and the current time to the core and carries out its actions.
type worker struct {
	*process
	kind   string
	cores  int
	gpus   int
	labels map[string]string

	// Each incarnation resets the fields down to floor.
	core           *policyworker.Core
	traits         policyworker.Traits
	pendingReplies map[uint64]func(any, error) // replies to calls in flight, by tag
	draining       bool
	drainingSince  time.Duration // virtual time
	floor          uint64        // highest floor of any call; used without the guard floor only

	lastTag        uint64  // tag of the newest call
	answerLossRate float64 // set by the fault lost
	lateOrderRate  float64 // set by the fault late
}

// open starts an incarnation without runs. Its clock starts at 0.
func (w *worker) open() {
	s := w.sim
	w.startIncarnation()
	w.traits = policyworker.Traits{Name: w.addr, Incarnation: fmt.Sprintf("%s-%d", w.addr, w.generation), Kind: w.kind,
		Zone: w.zone, Labels: w.labels, Cores: w.cores, GPUs: w.gpus,
		Grace: 5 * time.Second, FailProbability: 0.03, SlowFactor: 1.2, Seed: s.rng.Uint64()}
	w.clockZero = s.now
	w.core, w.pendingReplies = policyworker.NewCore(w.traits), map[uint64]func(any, error){}
	w.draining, w.floor = false, 0
	s.checker.observeWorkerStart(w)
	w.perform(w.core.Start())
	w.announce()
}

// restart starts another incarnation, unless one is running.
func (w *worker) restart() {
	if !w.alive {
		w.open()
	}
}

// kill ends the process. Its runs continue until their leases expire or the next incarnation starts.
func (w *worker) kill() {
	if w.alive {
		w.endIncarnation()
		w.sim.checker.observeWorkerKill(w)
	}
}

// announce announces the worker to a random data-plane node, periodically.
func (w *worker) announce() {
	s := w.sim
	d := pick(s, s.dataPlanes)
	s.request(request{from: w.process, addr: d.addr, timeout: 2 * time.Second, resendFor: 2 * time.Second,
		mayRepeat: true,
		serve:     func(to *process, reply func(any, error)) { s.dataPlaneAt(to).announceWorker(w, reply) },
		onAnswer: func(_ any, err error, _ bool) {
			interval := 3 * time.Second
			if err != nil {
				interval = 500 * time.Millisecond
			}
			w.after(interval, w.announce)
		}})
}

// perform carries out the core's actions. The checker gets the journal entries before any answer is sent.
func (w *worker) perform(actions policyworker.Actions) {
	for _, entry := range actions.Journal {
		w.sim.checker.observeJournal(w, entry)
	}
	for _, r := range actions.Replies {
		reply := w.pendingReplies[r.Tag]
		if reply == nil {
			continue
		}
		delete(w.pendingReplies, r.Tag)
		if w.sim.options.WithoutGuard == "floor" {
			r.Answer.Floor = max(r.Answer.Floor, w.floor)
		}
		reply(r.Answer, r.Err)
	}
	if actions.WakeAt != policyworker.Never {
		w.after(actions.WakeAt-w.Now(), func() { w.perform(w.core.Tick(w.Now())) })
	}
}

// renewLease serves a lease call, subject to the faults late and lost.
func (w *worker) renewLease(call internalapi.LeaseCall, reply func(any, error)) {
	s := w.sim
	isLost, late := s.chance(w.answerLossRate), time.Duration(0)
	if len(call.Starts) > 0 {
		s.checker.observeOrderArrived(w, call)
		if s.chance(w.lateOrderRate) {
			s.report.Faults["late order"]++
			late = s.between(0, maxOrderDelay)
			isLost = isLost || s.chance(0.5)
		}
	}
	w.after(late, func() {
		if isLost {
			s.report.Faults["lost at the minion"]++
			reply = func(any, error) {}
		}
		w.handle(call, reply, isLost)
	})
}

// handle passes a call to the core. If the answer is lost, it then notifies the core.
func (w *worker) handle(call internalapi.LeaseCall, reply func(any, error), isLost bool) {
	w.lastTag++
	tag := w.lastTag
	w.pendingReplies[tag] = reply
	if w.sim.options.WithoutGuard == "floor" {
		call = w.withoutFloor(call)
	}
	actions := w.core.RenewLease(w.Now(), tag, call)
	w.sim.checker.observeRenewal(w, call)
	w.perform(actions)
	if isLost {
		delete(w.pendingReplies, tag)
		w.core.AnswerLost(tag)
	}
}

// withoutFloor returns a copy of call without the floor and without the times after which its orders are invalid.
func (w *worker) withoutFloor(call internalapi.LeaseCall) internalapi.LeaseCall {
	w.floor = max(w.floor, call.Floor)
	call.Floor = 0
	call.Starts = slices.Clone(call.Starts)
	for i := range call.Starts {
		call.Starts[i].StartBy = policyworker.Never
	}
	return call
}

// drain starts or ends draining.
func (w *worker) drain(on bool) {
	if w.alive && !w.frozen && w.draining != on {
		w.draining = on
		w.drainingSince = w.sim.now
		w.perform(w.core.Drain(w.Now(), on, false))
	}
}
