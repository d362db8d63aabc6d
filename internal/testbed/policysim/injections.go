package policysim

import (
	"slices"
	"time"
)

// The inject functions of the table faults. Each draws what it needs, counts a case under the fault's name and writes a
// line of the trace, or does nothing if its target is down or has the fault already.

func (f *faultInjector) killControlPlane(at targets) { f.crash("kill", at.controlPlane, false) }

func (f *faultInjector) cutPower(at targets) { f.crash("power", at.controlPlane, true) }

func (f *faultInjector) crash(name string, c *controlPlane, power bool) {
	if c.alive {
		f.count(name, c.process, name)
		c.crash(power)
		f.sim.schedule(f.drawDuration(), c.restart)
	}
}

func (f *faultInjector) blackOut(targets) {
	s := f.sim
	s.report.Faults["blackout"]++
	s.trace("fault blackout")
	for _, c := range s.controlPlanes {
		c.crash(true)
		s.schedule(s.between(0, 3*time.Second), c.restart)
	}
}

func (f *faultInjector) wipeDisk(at targets) {
	if f.wipedIsAway() {
		return
	}
	f.count("wipe", at.controlPlane.process, "wipe")
	f.wipe(at.controlPlane, f.sim.between(10*time.Millisecond, 3*time.Second))
}

// failSync makes the next sync fail. The case is counted when that happens, in controlPlane.finishSync.
func (*faultInjector) failSync(at targets) {
	if at.controlPlane.alive {
		at.controlPlane.failNextSync = true
	}
}

func (f *faultInjector) slowDisk(at targets) {
	c := at.controlPlane
	f.count("slow", c.process, "slow")
	c.syncDelay = f.sim.between(5*time.Millisecond, 400*time.Millisecond)
	f.sim.schedule(f.drawDuration(), func() { c.syncDelay = 0 })
}

func (f *faultInjector) freezeNode(at targets) {
	f.freeze("freeze", pick(f.sim, []*process{at.controlPlane.process, at.dataPlane.process}))
}

func (f *faultInjector) freezeWorker(at targets) { f.freeze("stall", at.worker.process) }

// freeze freezes a process and wakes it later, unless it has ended by then.
func (f *faultInjector) freeze(name string, p *process) {
	if !p.alive || p.frozen {
		return
	}
	f.count(name, p, "freeze")
	generation := p.generation
	p.freeze()
	f.sim.schedule(f.drawDuration(), func() {
		if p.generation == generation {
			f.sim.trace("%s wakes", p.addr)
			p.wake()
		}
	})
}

// disturbRoleHolder kills, freezes or cuts off the first data-plane node whose role lease allows it to act. It may be
// frozen already.
func (f *faultInjector) disturbRoleHolder(targets) {
	for _, d := range f.sim.dataPlanes {
		if !d.alive || !d.scheduler.MayAct(d.Now()) {
			continue
		}
		switch f.sim.rng.IntN(3) {
		case 0:
			f.kill("holder", d)
		case 1:
			f.freeze("holder", d.process)
		default:
			f.count("holder", d.process, "cut off")
			f.cutOff([]*process{d.process}, true)
		}
		return
	}
}

func (f *faultInjector) killDataPlane(at targets) { f.kill("dkill", at.dataPlane) }

// kill ends a data-plane node, which restarts later without any state.
func (f *faultInjector) kill(name string, d *dataPlane) {
	if d.alive {
		f.count(name, d.process, "kill")
		d.endIncarnation()
		f.sim.schedule(f.drawDuration(), d.restart)
	}
}

// shutDownDataPlane has a data-plane node release the role, ends it and restarts it later.
func (f *faultInjector) shutDownDataPlane(at targets) {
	s, d := f.sim, at.dataPlane
	if !d.alive || d.frozen || d.leaving {
		return
	}
	f.count("leave", d.process, "leave")
	generation := d.generation
	d.releaseRole()
	s.schedule(s.between(100*time.Millisecond, 2*time.Second), func() {
		if d.generation == generation {
			d.endIncarnation()
			s.schedule(s.between(0, time.Second), d.restart)
		}
	})
}

func (f *faultInjector) splitNetwork(targets) { f.split("split", true) }

func (f *faultInjector) splitNetworkOneWay(targets) { f.split("oneway", false) }

// split separates about half of the processes from the others for a while.
func (f *faultInjector) split(name string, bothWays bool) {
	s := f.sim
	var side []*process
	for _, p := range s.processes {
		if p != s.clients.process && s.chance(0.5) {
			side = append(side, p)
		}
	}
	s.report.Faults[name]++
	s.trace("fault %s %s", name, addresses(side))
	f.cutOff(side, bothWays)
}

// isolateZoneOrScheduler cuts off a zone, or the role holder with about half of the workers.
func (f *faultInjector) isolateZoneOrScheduler(targets) {
	s := f.sim
	cutZone, withScheduler := zone(s.rng.IntN(3)), s.chance(0.5)
	var side []*process
	for _, p := range s.processes {
		if withScheduler && f.joinsScheduler(p) || !withScheduler && p.zone == cutZone {
			side = append(side, p)
		}
	}
	s.report.Faults["island"]++
	s.trace("fault island %s", addresses(side))
	f.cutOff(side, true)
}

// joinsScheduler reports whether a process is cut off together with the role holder: that itself, and workers by
// chance.
func (f *faultInjector) joinsScheduler(p *process) bool {
	d, w := f.sim.dataPlaneAt(p), f.sim.workerAt(p)
	return d != nil && d.alive && d.scheduler.MayAct(d.Now()) || w != nil && f.sim.chance(0.5)
}

func (f *faultInjector) isolateOne(targets) {
	s := f.sim
	p := pick(s, s.processes)
	if p != s.clients.process {
		f.count("cut", p, "cut")
		f.cutOff([]*process{p}, true)
	}
}

// cutOff separates a set of processes from the others for a while.
func (f *faultInjector) cutOff(side []*process, bothWays bool) {
	f.sim.schedule(f.drawDuration(), f.partition(side, bothWays))
}

// partition separates a set of processes from the others, but not from the clients, until heal is called. Unless
// bothWays, only messages from the set are dropped.
func (f *faultInjector) partition(side []*process, bothWays bool) (heal func()) {
	s := f.sim
	c := &cut{from: map[*process]bool{}, to: map[*process]bool{}, bothWays: bothWays}
	for _, p := range s.processes {
		if slices.Contains(side, p) {
			c.from[p] = true
		} else if p != s.clients.process {
			c.to[p] = true
		}
	}
	s.network.cuts = append(s.network.cuts, c)
	return func() {
		s.trace("a cut heals")
		s.network.cuts = slices.DeleteFunc(s.network.cuts, func(other *cut) bool { return other == c })
	}
}

func (f *faultInjector) restartWorker(at targets) {
	s, w := f.sim, at.worker
	if !w.alive || w.frozen {
		return
	}
	f.count("boot", w.process, "boot")
	w.kill()
	s.schedule(s.between(time.Millisecond, 4*time.Second), w.restart)
}

func (f *faultInjector) drainWorker(at targets) {
	s, w := f.sim, at.worker
	if w.alive && !w.frozen && !w.draining {
		f.count("drain", w.process, "drain")
		w.drain(true)
		s.schedule(s.between(time.Second, 10*time.Second), func() { w.drain(false) })
	}
}

func (f *faultInjector) evacuateZone(targets) {
	s := f.sim
	if s.clients.evacuateZone(zone(s.rng.IntN(3))) {
		s.report.Faults["zone"]++
	}
}

func addresses(processes []*process) (addrs []string) {
	for _, p := range processes {
		addrs = append(addrs, p.addr)
	}
	return addrs
}
