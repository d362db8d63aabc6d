package policysim

import (
	"fmt"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/testbed/policyworker"
)

// lateness is how late an obeying minion carries out an order at most, counted from its arrival; under the bound
// that the scheduler is told by what an order may be under way.
const lateness = 1700 * time.Millisecond

// worker is the host of one policyworker.Core.
type workerIncarnation struct {
	core   *policyworker.Core
	traits policyworker.Traits
}

type worker struct {
	*process
	workerIncarnation
	kind           string
	cores          int
	gpus           int
	labels         map[string]string
	tag            uint64
	pendingReplies map[uint64]func(any, error)
	answerLossRate float64
	lateOrderRate  float64
	floor          uint64 // told, where the guard is out
	// draining since then; 0: not
	drainingSince time.Duration
	draining      bool
}

func (m *worker) open() {
	s := m.sim
	m.startIncarnation()
	m.traits = policyworker.Traits{Name: m.addr, Incarnation: fmt.Sprintf("%s-%d", m.addr, m.generation), Kind: m.kind, Zone: m.zone, Labels: m.labels,
		Cores: m.cores, GPUs: m.gpus, Grace: 5 * time.Second, FailProbability: 0.03, SlowFactor: 1.2, Seed: s.rng.Uint64()}
	m.clockZero = s.now // the minion's clock starts with the boot
	m.core, m.pendingReplies, m.draining, m.floor = policyworker.NewCore(m.traits), map[uint64]func(any, error){}, false, 0
	s.checker.observeWorkerStart(m)
	m.perform(m.core.Start())
	m.announce()
}

func (m *worker) announce() {
	s := m.sim
	d := s.dataPlanes[s.rng.IntN(len(s.dataPlanes))]
	s.request(request{from: m.process, addr: d.addr, timeout: 2 * time.Second, resendFor: 2 * time.Second, mayRepeat: true,
		serve: func(to *process, reply func(any, error)) { s.dataPlaneAt(to).announceWorker(m, reply) },
		onAnswer: func(_ any, err error, _ bool) {
			again := 3 * time.Second
			if err != nil {
				again /= 6
			}
			m.after(again, m.announce)
		}})
}

// perform does what a step asks for: the witness first, then the answers.
func (m *worker) perform(step policyworker.Actions) {
	for _, e := range step.Journal {
		m.sim.checker.observeJournal(m, e)
	}
	for _, r := range step.Replies {
		if w := m.pendingReplies[r.Tag]; w != nil {
			delete(m.pendingReplies, r.Tag)
			if m.sim.options.WithoutGuard == "floor" {
				r.Answer.Floor = max(r.Answer.Floor, m.floor)
			}
			w(r.Answer, r.Err)
		}
	}
	if step.WakeAt != policyworker.Never {
		m.after(step.WakeAt-m.Now(), func() { m.perform(m.core.Tick(m.Now())) })
	}
}

// renewLease takes in a call, perhaps late, and answers, perhaps not.
func (m *worker) renewLease(call internalapi.LeaseCall, reply func(any, error)) {
	s := m.sim
	lost, late := s.chance(m.answerLossRate), time.Duration(0)
	if len(call.Starts) > 0 {
		s.checker.observeOrderArrived(m, call)
		if s.chance(m.lateOrderRate) {
			s.report.Faults["late order"]++
			late = s.between(0, lateness)
			lost = lost || s.chance(0.5)
		}
	}
	m.after(late, func() {
		m.tag++
		tag := m.tag
		m.pendingReplies[tag] = func(a any, err error) {
			if !lost {
				reply(a, err)
			}
		}
		if lost {
			s.report.Faults["lost at the minion"]++
		}
		if s.options.WithoutGuard == "floor" {
			m.floor = max(m.floor, call.Floor)
			call.Floor = 0
			starts := append([]internalapi.StartOrder(nil), call.Starts...)
			for i := range starts {
				starts[i].StartBy = policyworker.Never
			}
			call.Starts = starts
		}
		step := m.core.RenewLease(m.Now(), tag, call)
		s.checker.observeRenewal(m, call)
		m.perform(step)
		if lost {
			delete(m.pendingReplies, tag)
			m.core.AnswerLost(tag)
		}
	})
}

// drain switches draining.
func (m *worker) drain(on bool) {
	if m.alive && !m.frozen && m.draining != on {
		m.draining = on
		m.drainingSince = m.sim.now
		m.perform(m.core.Drain(m.Now(), on, false))
	}
}

// kill ends the process; what it ran goes on until its hold lapses or the next life begins.
func (m *worker) kill() {
	if m.alive {
		m.endIncarnation()
		m.sim.checker.observeWorkerKill(m)
	}
}

// restart starts another incarnation, unless one runs.
func (m *worker) restart() {
	if !m.alive {
		m.open()
	}
}
