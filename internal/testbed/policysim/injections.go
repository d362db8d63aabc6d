package policysim

import (
	"slices"
	"time"
)

// The inject functions of the table faults. Each counts a case under the fault's name and traces it, unless its target
// is down or already has the fault.

func (f *faultInjector) killControlPlane(targets faultTargets) {
	f.crash("kill", targets.controlPlane, false)
}

func (f *faultInjector) cutPower(targets faultTargets) { f.crash("power", targets.controlPlane, true) }

func (f *faultInjector) crash(name string, c *controlPlane, power bool) {
	if c.alive {
		f.count(name, c.process, name)
		c.crash(power)
		f.sim.schedule(f.drawDuration(), c.restart)
	}
}

func (f *faultInjector) blackOut(faultTargets) {
	s := f.sim
	s.report.Faults["blackout"]++
	s.trace("fault blackout")
	for _, c := range s.controlPlanes {
		c.crash(true)
		s.schedule(s.between(0, 3*time.Second), c.restart)
	}
}

func (f *faultInjector) wipeDisk(targets faultTargets) {
	if f.isWipedNodeRejoining() {
		return
	}
	f.count("wipe", targets.controlPlane.process, "wipe")
	f.wipe(targets.controlPlane, f.sim.between(10*time.Millisecond, 3*time.Second))
}

// failSync makes the next sync fail. The case is counted when that happens, in controlPlane.finishSync.
func (*faultInjector) failSync(targets faultTargets) {
	if targets.controlPlane.alive {
		targets.controlPlane.failNextSync = true
	}
}

func (f *faultInjector) slowDisk(targets faultTargets) {
	c := targets.controlPlane
	f.count("slow", c.process, "slow")
	c.syncDelay = f.sim.between(5*time.Millisecond, 400*time.Millisecond)
	f.sim.schedule(f.drawDuration(), func() { c.syncDelay = 0 })
}

func (f *faultInjector) freezeNode(targets faultTargets) {
	f.freeze("freeze", pick(f.sim, []*process{targets.controlPlane.process, targets.dataPlane.process}))
}

func (f *faultInjector) freezeWorker(targets faultTargets) { f.freeze("stall", targets.worker.process) }

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

// disturbRoleHolder kills, freezes or isolates the first data-plane node whose role lease allows it to act, even if the
// node is frozen already.
func (f *faultInjector) disturbRoleHolder(faultTargets) {
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
			f.isolate([]*process{d.process}, true)
		}
		return
	}
}

func (f *faultInjector) killDataPlane(targets faultTargets) { f.kill("dkill", targets.dataPlane) }

// kill ends a data-plane node and restarts it later, without any state.
func (f *faultInjector) kill(name string, d *dataPlane) {
	if d.alive {
		f.count(name, d.process, "kill")
		d.endIncarnation()
		f.sim.schedule(f.drawDuration(), d.restart)
	}
}

// shutDownDataPlane makes a data-plane node release the role, then ends it and restarts it.
func (f *faultInjector) shutDownDataPlane(targets faultTargets) {
	s, d := f.sim, targets.dataPlane
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

func (f *faultInjector) splitNetwork(faultTargets) { f.split("split", true) }

func (f *faultInjector) splitNetworkOneWay(faultTargets) { f.split("oneway", false) }

// split isolates about half of the processes from the others.
func (f *faultInjector) split(name string, bidirectional bool) {
	s := f.sim
	var isolated []*process
	for _, p := range s.processes {
		if p != s.clients.process && s.chance(0.5) {
			isolated = append(isolated, p)
		}
	}
	s.report.Faults[name]++
	s.trace("fault %s %s", name, addresses(isolated))
	f.isolate(isolated, bidirectional)
}

// isolateZoneOrScheduler isolates a zone, or the role holder together with about half of the workers.
func (f *faultInjector) isolateZoneOrScheduler(faultTargets) {
	s := f.sim
	cutZone, withScheduler := zone(s.rng.IntN(3)), s.chance(0.5)
	var isolated []*process
	for _, p := range s.processes {
		if withScheduler && f.isIsolatedWithScheduler(p) || !withScheduler && p.zone == cutZone {
			isolated = append(isolated, p)
		}
	}
	s.report.Faults["island"]++
	s.trace("fault island %s", addresses(isolated))
	f.isolate(isolated, true)
}

// isIsolatedWithScheduler reports whether a process belongs to the group of the role holder: the holder itself always,
// a worker with probability 0.5.
func (f *faultInjector) isIsolatedWithScheduler(p *process) bool {
	d, w := f.sim.dataPlaneAt(p), f.sim.workerAt(p)
	return d != nil && d.alive && d.scheduler.MayAct(d.Now()) || w != nil && f.sim.chance(0.5)
}

func (f *faultInjector) isolateOne(faultTargets) {
	s := f.sim
	p := pick(s, s.processes)
	if p != s.clients.process {
		f.count("cut", p, "cut")
		f.isolate([]*process{p}, true)
	}
}

// isolate partitions a set of processes from the others for a random time.
func (f *faultInjector) isolate(isolated []*process, bidirectional bool) {
	f.sim.schedule(f.drawDuration(), f.partition(isolated, bidirectional))
}

// partition separates a set of processes from the others, but not from the clients, until heal is called. Unless
// bidirectional is set, only messages from the set are dropped.
func (f *faultInjector) partition(isolated []*process, bidirectional bool) (heal func()) {
	s := f.sim
	added := &networkPartition{from: map[*process]bool{}, to: map[*process]bool{}, bidirectional: bidirectional}
	for _, p := range s.processes {
		if slices.Contains(isolated, p) {
			added.from[p] = true
		} else if p != s.clients.process {
			added.to[p] = true
		}
	}
	s.network.partitions = append(s.network.partitions, added)
	return func() {
		s.trace("a cut heals")
		s.network.partitions = slices.DeleteFunc(s.network.partitions,
			func(other *networkPartition) bool { return other == added })
	}
}

func (f *faultInjector) restartWorker(targets faultTargets) {
	s, w := f.sim, targets.worker
	if !w.alive || w.frozen {
		return
	}
	f.count("boot", w.process, "boot")
	w.kill()
	s.schedule(s.between(time.Millisecond, 4*time.Second), w.restart)
}

func (f *faultInjector) drainWorker(targets faultTargets) {
	s, w := f.sim, targets.worker
	if w.alive && !w.frozen && !w.draining {
		f.count("drain", w.process, "drain")
		w.drain(true)
		s.schedule(s.between(time.Second, 10*time.Second), func() { w.drain(false) })
	}
}

func (f *faultInjector) evacuateZone(faultTargets) {
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
