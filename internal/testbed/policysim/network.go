package policysim

import (
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// newProcess is a process on a machine of its own. Its clock has its own zero and goes on while it is frozen.
type process struct {
	sim        *sim
	addr       string
	zone       string
	generation int // goes up with every start and end
	alive      bool
	frozen     bool
	delayed    []func()
	wokeAt     time.Duration // when it woke last
	clockZero  time.Duration
	wallSkew   time.Duration // of its wall clock
}

func (s *sim) newProcess(addr, zone string) *process {
	p := &process{sim: s, addr: addr, zone: zone, wallSkew: s.between(-2*time.Second, 2*time.Second)}
	s.processes = append(s.processes, p)
	s.byAddr[addr] = p
	return p
}

// startIncarnation starts a life of the process.
func (p *process) startIncarnation() {
	p.generation++
	p.alive, p.frozen, p.delayed = true, false, nil
	p.clockZero = p.sim.now - p.sim.between(time.Second, time.Hour)
}

// endIncarnation ends it.
func (p *process) endIncarnation() {
	p.generation++
	p.alive, p.frozen, p.delayed = false, false, nil
}

// execute does what reaches the process now; a frozen one does it when it wakes.
func (p *process) execute(generation int, do func()) {
	switch {
	case !p.alive || p.generation != generation:
	case p.frozen:
		p.delayed = append(p.delayed, do)
	default:
		do()
	}
}

// after is an timer of this life.
func (p *process) after(d time.Duration, do func()) {
	generation := p.generation
	p.sim.schedule(d, func() { p.execute(generation, do) })
}

func (p *process) freeze() { p.frozen = p.alive }

// schedulePass goes on with all that fell due meanwhile, in any order.
func (p *process) wake() {
	if !p.alive || !p.frozen {
		return
	}
	delayed := p.delayed
	p.frozen, p.delayed, p.wokeAt = false, nil, p.sim.now
	if p.sim.chance(0.5) {
		p.sim.rng.Shuffle(len(delayed), func(i, j int) { delayed[i], delayed[j] = delayed[j], delayed[i] })
	}
	for _, do := range delayed {
		p.after(p.sim.between(0, time.Millisecond), do)
	}
}

// Now is the process's clock.
func (p *process) Now() time.Duration { return p.sim.now - p.clockZero }

// Wall is the time of day as this machine has it.
func (p *process) Wall() time.Time { return time.Unix(1_700_000_000, 0).Add(p.sim.now + p.wallSkew) }

type timer struct{ off bool }

// Stop keeps the timer from firing and tells whether it was still to fire.
func (r *timer) Stop() bool { was := !r.off; r.off = true; return was }

// Set is an timer of the process.
func (p *process) Set(d time.Duration, call func()) clock.Stopper {
	r := &timer{}
	p.after(d, func() {
		if !r.off {
			r.off = true
			call()
		}
	})
	return r
}

// network is what lies between the processes.
type network struct {
	lossRate, duplicateRate, delayRate float64       // per message
	maxDelay                           time.Duration // of a delay
	crossedAnswerRate                  float64       // an answer is that of another call
	cuts                               []*cut
}

// cutOff drops what goes from one set of processes to another.
type cut struct {
	from, to map[*process]bool
	bothWays bool
}

func (s *sim) blocked(from, to *process) bool {
	for _, c := range s.network.cuts {
		if c.from[from] && c.to[to] || c.bothWays && c.from[to] && c.to[from] {
			return true
		}
	}
	return false
}

// latency draws how long a message is under way.
func (s *sim) latency() time.Duration {
	d := s.between(100*time.Microsecond, 2*time.Millisecond)
	if s.chance(s.network.delayRate) {
		s.report.Faults["delay"]++
		d = s.between(0, s.network.maxDelay)
	}
	return d
}

// transmit brings do to the other side once, never, or (if twice) now and then two times. What meets a cut stays in
// the kernel, which sends it again until keep is over or the connection is closed.
func (s *sim) transmit(from, to *process, resendFor time.Duration, mayRepeat bool, open func() bool, do func()) {
	if s.chance(s.network.lossRate) {
		s.report.Faults["lose"]++
		return
	}
	n := 1
	if mayRepeat && s.chance(s.network.duplicateRate) {
		s.report.Faults["double"]++
		n = 2
	}
	for range n {
		s.deliver(from, to, s.now+resendFor, open, do)
	}
}

func (s *sim) deliver(from, to *process, until time.Duration, open func() bool, do func()) {
	if !s.blocked(from, to) {
		s.schedule(s.latency(), func() {
			if !s.blocked(from, to) || s.chance(0.5) {
				do()
			}
		})
		return
	}
	s.report.Faults["dropped by a cut"]++
	if s.now+20*time.Millisecond < until {
		s.schedule(20*time.Millisecond, func() {
			if open() {
				s.deliver(from, to, until, open, do)
			}
		})
	}
}

// request is a call with its answer. back comes once: with the answer, or a fault; sent tells whether a byte of the call
// may have left. keep is how long the kernel resends.
type request struct {
	from      *process
	addr      string
	timeout   time.Duration
	resendFor time.Duration
	mayRepeat bool // the call may arrive two times
	serve     func(to *process, reply func(any, error))
	onAnswer  func(a any, err error, sent bool)
}

func (s *sim) request(q request) {
	over := false
	generation := q.from.generation
	finish := func(a any, err error, sent bool) {
		q.from.execute(generation, func() {
			if !over {
				over = true
				q.onAnswer(a, err, sent)
			}
		})
	}
	to := s.byAddr[q.addr]
	if to == nil || !to.alive {
		if s.chance(0.7) {
			s.schedule(s.latency(), func() { finish(nil, errs.New(errs.Unavailable, "%s refuses the connection", q.addr), false) })
			return
		}
	}
	q.from.after(q.timeout, func() { finish(nil, errs.New(errs.Timeout, "no answer of %s", q.addr), true) })
	if to == nil || !to.alive {
		return
	}
	incarnation := to.generation // the connection leads to this life of the other side
	open := func() bool { return !over }
	s.transmit(q.from, to, q.resendFor, q.mayRepeat, open, func() {
		if over && !q.mayRepeat { // closed with a reset, which went the same way
			return
		}
		if !to.alive || to.generation != incarnation {
			s.deliver(to, q.from, s.now, open, func() { finish(nil, errs.New(errs.Unavailable, "%s reset the connection", q.addr), true) })
			return
		}
		to.execute(incarnation, func() {
			q.serve(to, func(a any, err error) {
				if s.chance(s.network.lossRate) {
					s.report.Faults["lost answer"]++
					return
				}
				s.transmit(to, q.from, q.resendFor, false, open, func() { finish(a, err, true) })
			})
		})
	})
}
