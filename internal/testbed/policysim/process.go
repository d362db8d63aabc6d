package policysim

import (
	"time"

	"crosstide/internal/clock"
)

// process is a daemon's process on its own machine. It implements clock.Clock for the daemon; the clock starts at a
// random value with each incarnation, and advances while the process is frozen.
type process struct {
	sim        *sim
	addr       string
	zone       string
	generation int // increased by every start and end; events of an older generation are dropped
	alive      bool
	frozen     bool
	delayed    []func()      // events that became due while it was frozen
	wokeAt     time.Duration // virtual time at which it last woke
	clockZero  time.Duration // virtual time at which its clock was 0
	wallSkew   time.Duration // offset of its wall clock from virtual time
}

// newProcess returns a process that is not alive yet.
func (s *sim) newProcess(addr, zone string) *process {
	p := &process{sim: s, addr: addr, zone: zone, wallSkew: s.between(-2*time.Second, 2*time.Second)}
	s.processes = append(s.processes, p)
	s.byAddr[addr] = p
	return p
}

// startIncarnation starts an incarnation of the process, with a new clock.
func (p *process) startIncarnation() {
	p.generation++
	p.alive, p.frozen, p.delayed = true, false, nil
	p.clockZero = p.sim.now - p.sim.between(time.Second, time.Hour)
}

// endIncarnation ends the incarnation; its scheduled events are dropped.
func (p *process) endIncarnation() {
	p.generation++
	p.alive, p.frozen, p.delayed = false, false, nil
}

// execute runs do if the process is alive and still of that generation. If it is frozen, do runs after it wakes.
func (p *process) execute(generation int, do func()) {
	switch {
	case !p.alive || p.generation != generation:
	case p.frozen:
		p.delayed = append(p.delayed, do)
	default:
		do()
	}
}

// after runs do after d, unless the incarnation has ended by then.
func (p *process) after(d time.Duration, do func()) {
	generation := p.generation
	p.sim.schedule(d, func() { p.execute(generation, do) })
}

func (p *process) freeze() { p.frozen = p.alive }

// wake ends the freeze and runs the delayed events within 1 ms, in random order.
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

// Now returns the time of the process's clock.
func (p *process) Now() time.Duration { return p.sim.now - p.clockZero }

// Wall returns the machine's time of day.
func (p *process) Wall() time.Time { return time.Unix(1_700_000_000, 0).Add(p.sim.now + p.wallSkew) }

// timer implements clock.Stopper.
type timer struct{ done bool } // done: it has fired or was stopped

// Stop prevents the timer from firing, and reports whether it was pending.
func (t *timer) Stop() bool {
	pending := !t.done
	t.done = true
	return pending
}

// Set runs call after d, unless the timer is stopped or the incarnation ends before.
func (p *process) Set(d time.Duration, call func()) clock.Stopper {
	t := &timer{}
	p.after(d, func() {
		if !t.done {
			t.done = true
			call()
		}
	})
	return t
}
