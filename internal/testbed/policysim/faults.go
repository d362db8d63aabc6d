package policysim

import (
	"slices"
	"time"
)

// Faults are the names that Options.Faults takes.
var Faults = []string{
	"net",      // messages lost, delayed, doubled; answers lost, answers crossed
	"kill",     // a cplane's process ends and comes back
	"power",    // a cplane loses power, and what was not synced
	"blackout", // the whole core loses power at once
	"wipe",     // a cplane loses its disk and joins anew
	"sync",     // a sync fails, the process ends
	"slow",     // a disk is slow
	"freeze",   // a cplane or dplane stands still and wakes
	"holder",   // the dplane that holds sched is killed, frozen or cut off
	"dkill",    // a dplane ends and comes back with nothing
	"leave",    // a dplane is told to end
	"split",    // the machines fall into two sets
	"oneway",   // bytes go one way only
	"island",   // a zone, or the holder of sched with some minions, is cut off from the rest
	"cut",      // one machine is cut off
	"stall",    // a minion stands still and wakes
	"boot",     // a minion ends and comes back under a new boot
	"late",     // minions carry orders out late
	"lost",     // minions lose answers
	"drain",    // a minion drains for a while
	"zone",     // operators evacuate a zone and lift it
	"cancel",   // clients cancel

	"lag",       // replicas stand still, and then the holder of sched ends
	"rejoin",    // a member that lost its disk comes back among two that lack entries
	"staleplan", // the holder of sched freezes with a plan under way and wakes when it is replaced
}

// Guards are the guards that Options.WithoutGuard takes out.
var Guards = []string{
	"epoch",   // the store does not look at a plan's epoch
	"rebuild", // a holder releases before it has followed the store up to its grant
	"floor",   // minions keep neither the floor nor the time after which an order is void
	"sync",    // a cplane answers before its log is synced
	"learner", // a wiped cplane votes under its old name
	"reserve", // the scheduler keeps no room for what fits nowhere
	"balance", // accounts have a credit that no draw reaches, so that the check in the commit of a start lets all pass
	"lease",   // holders think that leases last longer than the granter waits
}

type faultInjector struct {
	sim     *sim
	enabled map[string]bool
	pace    time.Duration
	wiped   *controlPlane
}

func (f *faultInjector) start() {
	s := f.sim
	f.pace = s.between(200*time.Millisecond, 2500*time.Millisecond)
	if s.options.MeanFaultInterval > 0 {
		f.pace = s.options.MeanFaultInterval
	}
	f.enabled = map[string]bool{}
	for _, name := range s.options.Faults {
		f.enabled[name] = true
	}
	if f.enabled["net"] {
		s.net.lossRate, s.net.duplicateRate = s.rng.Float64()*0.02, s.rng.Float64()*0.05
		s.net.delayRate, s.net.maxDelay = s.rng.Float64()*0.05, s.between(10*time.Millisecond, 1500*time.Millisecond)
		s.net.crossedAnswerRate = s.rng.Float64() * 0.005
	}
	for _, m := range s.workers {
		if f.enabled["late"] {
			m.lateOrderRate = s.rng.Float64() * 0.3
		}
		if f.enabled["lost"] {
			m.answerLossRate = s.rng.Float64() * 0.05
		}
	}
	s.schedule(s.between(2*time.Second, 6*time.Second), f.injectNext)
	s.schedule(s.options.FaultPeriod, f.stop)
}

// stop ends all faults.
func (f *faultInjector) stop() {
	s := f.sim
	s.trace("faults end")
	s.faultsOver = true
	s.net = net{}
	for _, m := range s.workers {
		m.lateOrderRate, m.answerLossRate = 0, 0
		m.wake()
		m.drain(false)
	}
	for _, c := range s.controlPlanes {
		c.syncDelay, c.failNextSync = 0, false
		c.wake()
	}
	for _, d := range s.dataPlanes {
		d.lagUntil = 0
		d.wakeProcess()
	}
	s.clients.lift()
}

func (d *dataPlane) wakeProcess() { d.process.wake() }

func (f *faultInjector) injectNext() {
	s := f.sim
	if s.faultsOver {
		return
	}
	if len(s.options.Faults) > 0 {
		f.inject(s.options.Faults[s.rng.IntN(len(s.options.Faults))])
	}
	s.schedule(s.between(0, 2*f.pace), f.injectNext)
}

// drawDuration draws how long a fault lasts: mostly short, now and then past every lease and hold.
func (f *faultInjector) drawDuration() time.Duration {
	s := f.sim
	switch s.rng.IntN(4) {
	case 0:
		return s.between(10*time.Millisecond, 600*time.Millisecond)
	case 1:
		return s.between(15*time.Second, 30*time.Second)
	}
	return s.between(500*time.Millisecond, 8*time.Second)
}

func pick[T any](s *sim, list []T) T { return list[s.rng.IntN(len(list))] }

func (f *faultInjector) inject(name string) {
	s := f.sim
	count := func(p *process, what string) {
		s.report.Faults[name]++
		s.trace("fault %s %s", what, p.addr)
	}
	c, d, m := pick(s, s.controlPlanes), pick(s, s.dataPlanes), pick(s, s.workers)
	switch name {
	case "kill", "power":
		if c.alive {
			count(c.process, name)
			c.crash(name == "power")
			s.schedule(f.drawDuration(), c.restart)
		}
	case "blackout":
		s.report.Faults[name]++
		s.trace("fault blackout")
		for _, c := range s.controlPlanes {
			c.crash(true)
			s.schedule(s.between(0, 3*time.Second), c.restart)
		}
	case "wipe":
		if f.wiped != nil && !s.invariantChecker.isVoter(f.wiped) {
			return
		}
		count(c.process, name)
		f.wipe(c, s.between(10*time.Millisecond, 3*time.Second))
	case "sync":
		if c.alive {
			c.failNextSync = true
		}
	case "slow":
		count(c.process, name)
		c.syncDelay = s.between(5*time.Millisecond, 400*time.Millisecond)
		s.schedule(f.drawDuration(), func() { c.syncDelay = 0 })
	case "freeze":
		p := pick(s, []*process{c.process, d.process})
		f.freezeForSpan(p, count)
	case "holder":
		for _, d := range s.dataPlanes {
			if d.alive && d.scheduler.MayAct(d.Now()) {
				switch s.rng.IntN(3) {
				case 0:
					f.killDataPlane(d, count)
				case 1:
					f.freezeForSpan(d.process, count)
				default:
					count(d.process, "cut off")
					f.cutOff([]*process{d.process}, true)
				}
				return
			}
		}
	case "dkill":
		f.killDataPlane(d, count)
	case "leave":
		if d.alive && !d.frozen && !d.leaving {
			count(d.process, name)
			generation := d.generation
			d.releaseRole()
			s.schedule(s.between(100*time.Millisecond, 2*time.Second), func() {
				if d.generation == generation {
					d.endIncarnation()
					s.schedule(s.between(0, time.Second), d.restart)
				}
			})
		}
	case "split", "oneway":
		var side []*process
		for _, p := range s.processes {
			if p != s.clients.process && s.chance(0.5) {
				side = append(side, p)
			}
		}
		s.report.Faults[name]++
		s.trace("fault %s %s", name, addresses(side))
		f.cutOff(side, name == "split")
	case "island":
		z, half := zone(s.rng.IntN(3)), s.chance(0.5)
		var side []*process
		for _, p := range s.processes {
			d, m := s.dataPlaneAt(p), s.workerAt(p)
			if half && (d != nil && d.alive && d.scheduler.MayAct(d.Now()) || m != nil && s.chance(0.5)) || !half && p.zone == z {
				side = append(side, p)
			}
		}
		s.report.Faults[name]++
		s.trace("fault island %s", addresses(side))
		f.cutOff(side, true)
	case "cut":
		p := pick(s, s.processes)
		if p != s.clients.process {
			count(p, name)
			f.cutOff([]*process{p}, true)
		}
	case "stall":
		f.freezeForSpan(m.process, count)
	case "boot":
		if m.alive && !m.frozen {
			count(m.process, name)
			m.kill()
			s.schedule(s.between(time.Millisecond, 4*time.Second), func() {
				if !m.alive {
					m.open()
				}
			})
		}
	case "drain":
		if m.alive && !m.frozen && !m.draining {
			count(m.process, name)
			m.drain(true)
			s.schedule(s.between(time.Second, 10*time.Second), func() { m.drain(false) })
		}
	case "lag":
		f.lagReplicas(count)
	case "rejoin":
		f.rejoinWiped()
	case "staleplan":
		f.stalePlan()
	case "zone":
		if s.clients.evacuate(zone(s.rng.IntN(3))) {
			s.report.Faults[name]++
		}
	}
}

func (d *dataPlane) restart() {
	if !d.alive {
		d.open()
	}
}

func (f *faultInjector) killDataPlane(d *dataPlane, count func(*process, string)) {
	if d.alive {
		count(d.process, "kill")
		d.endIncarnation()
		f.sim.schedule(f.drawDuration(), d.restart)
	}
}

func (f *faultInjector) freezeForSpan(p *process, count func(*process, string)) {
	if p.alive && !p.frozen {
		count(p, "freeze")
		generation := p.generation
		p.freeze()
		f.sim.schedule(f.drawDuration(), func() {
			if p.generation == generation {
				f.sim.trace("%s wakes", p.addr)
				p.wake()
			}
		})
	}
}

// cutOff parts a set from all others for a while.
func (f *faultInjector) cutOff(side []*process, both bool) {
	f.sim.schedule(f.drawDuration(), f.partition(side, both))
}

// partition parts a set from all others until what it gives is called.
func (f *faultInjector) partition(side []*process, both bool) (heal func()) {
	s := f.sim
	c := &cut{from: map[*process]bool{}, to: map[*process]bool{}, bothWays: both}
	for _, p := range s.processes {
		if slices.Contains(side, p) {
			c.from[p] = true
		} else if p != s.clients.process {
			c.to[p] = true
		}
	}
	s.net.cuts = append(s.net.cuts, c)
	return func() {
		s.trace("a cut heals")
		s.net.cuts = slices.DeleteFunc(s.net.cuts, func(x *cut) bool { return x == c })
	}
}

func addresses(list []*process) (out []string) {
	for _, p := range list {
		out = append(out, p.addr)
	}
	return out
}
