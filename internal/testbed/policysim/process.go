package policysim

import (
	"time"

	"crosstide/internal/clock"
)

// process is a process on a machine of its own. It is the clock.Clock of the daemon that runs as it: its clock has its
// own zero, and goes on while the process is frozen.
type process struct {
	sim        *sim
	addr       string
	zone       string
	generation int // goes up with every start and end: what was scheduled for another one is dropped
	alive      bool
	frozen     bool
	delayed    []func()      // what fell due while it was frozen
	wokeAt     time.Duration // virtual time of the last waking
	clockZero  time.Duration // virtual time at which its clock was 0
	wallSkew   time.Duration // by which its time of day is ahead
}

// newProcess makes a process that is not alive yet.
func (s *sim) newProcess(addr, zone string) *process {
	p := &process{sim: s, addr: addr, zone: zone, wallSkew: s.between(-2*time.Second, 2*time.Second)}
	s.processes = append(s.processes, p)
	s.byAddr[addr] = p
	return p
}

// startIncarnation starts an incarnation of the process, with a clock of its own.
func (p *process) startIncarnation() {
	p.generation++
	p.alive, p.frozen, p.delayed = true, false, nil
	p.clockZero = p.sim.now - p.sim.between(time.Second, time.Hour)
}

// endIncarnation ends the incarnation; nothing that was scheduled for it is run.
func (p *process) endIncarnation() {
	p.generation++
	p.alive, p.frozen, p.delayed = false, false, nil
}

// execute runs what reaches a generation of the process; a frozen process runs it when it wakes.
func (p *process) execute(generation int, do func()) {
	switch {
	case !p.alive || p.generation != generation:
	case p.frozen:
		p.delayed = append(p.delayed, do)
	default:
		do()
	}
}

// after is a timer of this incarnation.
func (p *process) after(d time.Duration, do func()) {
	generation := p.generation
	p.sim.schedule(d, func() { p.execute(generation, do) })
}

func (p *process) freeze() { p.frozen = p.alive }

// wake runs all that fell due meanwhile, in any order.
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

// timer is a clock.Stopper.
type timer struct{ off bool }

// Stop keeps the timer from firing and tells whether it was still to fire.
func (t *timer) Stop() bool {
	pending := !t.off
	t.off = true
	return pending
}

// Set starts a timer of the process.
func (p *process) Set(d time.Duration, call func()) clock.Stopper {
	t := &timer{}
	p.after(d, func() {
		if !t.off {
			t.off = true
			call()
		}
	})
	return t
}
