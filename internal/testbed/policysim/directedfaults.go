package policysim

import (
	"time"

	"crosstide/internal/storage"
)

// A directed fault is a sequence of faults that random draws hardly ever produce. Each creates the situation that one
// of Guards protects against; see docs/design/simulator.md.

const (
	lagLead          = 2 * time.Second  // for which replicas lag before the role holder is killed
	lagFor           = 10 * time.Second // longer than the role's lease and its margin
	majorityAloneFor = 2 * time.Second  // for which the majority commits without the rest
	wipedAloneFor    = 10 * time.Second // for which the lagging members are alone with the wiped one

	planTimeout        = 2 * time.Second        // until a role holder has a plan in flight; below the role's lease
	replacementTimeout = 30 * time.Second       // until another node has been granted the role
	pollInterval       = 20 * time.Millisecond  // between two checks of a condition
	shortDelay         = 100 * time.Millisecond // too short for any timeout to matter
)

// lagReplicas stops the replicas of all data-plane nodes but the role holder's, and kills the holder: its successor is
// granted the role before its replica has the grant.
func (f *faultInjector) lagReplicas(targets) {
	s := f.sim
	holder := s.roleHolder()
	if holder == nil {
		return
	}
	s.report.Faults["lag"]++
	for _, d := range s.dataPlanes {
		if d != holder {
			d.lagUntil = s.now + lagLead + lagFor
		}
	}
	s.trace("fault lag, all replicas but that of %s", holder.addr)
	s.schedule(lagLead, func() { f.kill("lag", holder) })
}

// rejoinWiped cuts two control-plane nodes off until they lack entries, wipes the disk of a third, and leaves these
// three to themselves: they are a majority by their names, but none of them has the newest entries.
func (f *faultInjector) rejoinWiped(targets) {
	s := f.sim
	if f.wipedIsAway() {
		return
	}
	order := s.rng.Perm(len(s.controlPlanes))
	late := []*process{s.controlPlanes[order[0]].process, s.controlPlanes[order[1]].process}
	empty := s.controlPlanes[order[2]]
	rest := []*process{s.controlPlanes[order[3]].process, s.controlPlanes[order[4]].process}
	s.report.Faults["rejoin"]++
	s.trace("fault rejoin, %v lag, %s is wiped", addresses(late), empty.addr)
	heal := f.partition(late, true)
	s.schedule(majorityAloneFor, func() {
		if s.faultsOver || f.wipedIsAway() {
			heal()
			return
		}
		f.wipe(empty, shortDelay)
		healRest := f.partition(rest, true)
		s.schedule(shortDelay, heal)
		s.schedule(wipedAloneFor, healRest)
	})
}

// wipedIsAway reports whether the member whose disk was wiped last does not vote yet. No other disk is wiped before
// that: the store need not survive the loss of more disks at once.
func (f *faultInjector) wipedIsAway() bool {
	return f.wiped != nil && !f.sim.checker.isVoter(f.wiped)
}

// wipe crashes a control-plane node and replaces its disk by an empty one; the node restarts after the delay back.
func (f *faultInjector) wipe(c *controlPlane, back time.Duration) {
	f.wiped = c
	c.crash(false)
	if c.driver.Core() != nil {
		c.wipedID, c.wiped = c.driver.Core().Status().ID, c.durable
	}
	c.disk = storage.NewMemDisk()
	c.durable = durableLog{}
	f.sim.schedule(back, c.restart)
}

// freezeWithPlanOut crashes the leader of the store, freezes the role holder while its plan is in flight, and wakes it
// when another node has been granted the role: it then sends the plan again, to the new leader.
func (f *faultInjector) freezeWithPlanOut(targets) {
	s := f.sim
	holder, leader := s.roleHolder(), s.storeLeader()
	if holder == nil || leader == nil {
		return
	}
	s.report.Faults["staleplan"]++
	s.trace("fault staleplan, leader %s, holder %s", leader.addr, holder.addr)
	leader.crash(false)
	s.schedule(f.drawDuration(), leader.restart)
	generation, until := holder.generation, s.now+planTimeout
	s.waitUntil(until, func() bool { return holder.generation != generation || holder.planning }, func() {
		if holder.generation == generation && !holder.frozen && !s.faultsOver {
			f.freezeUntilReplaced(holder)
		}
	})
}

// freezeUntilReplaced freezes the role holder until another node has been granted the role.
func (f *faultInjector) freezeUntilReplaced(holder *dataPlane) {
	s := f.sim
	generation, epoch := holder.generation, holder.scheduler.Epoch()
	s.trace("%s freezes with a plan under way: %v", holder.addr, holder.planning)
	holder.freeze()
	s.waitUntil(s.now+replacementTimeout, func() bool {
		return s.faultsOver || s.checker.newestEpoch(s.checker.reference.Index) > epoch
	}, func() {
		if holder.generation == generation {
			s.trace("%s wakes", holder.addr)
			holder.wake()
		}
	})
}

// waitUntil calls do when the condition holds, or at the deadline.
func (s *sim) waitUntil(deadline time.Duration, condition func() bool, do func()) {
	if condition() || s.now >= deadline {
		do()
		return
	}
	s.schedule(pollInterval, func() { s.waitUntil(deadline, condition, do) })
}

// roleHolder returns the data-plane node that acts under the scheduler role now; nil if there is none.
func (s *sim) roleHolder() *dataPlane {
	for _, d := range s.dataPlanes {
		if d.alive && !d.frozen && d.scheduler.MayAct(d.Now()) {
			return d
		}
	}
	return nil
}

// storeLeader returns a control-plane node whose own role is leader; nil if there is none.
func (s *sim) storeLeader() *controlPlane {
	for _, c := range s.controlPlanes {
		if c.alive && !c.frozen && c.driver.Core() != nil && c.driver.Core().Status().Role == "leader" {
			return c
		}
	}
	return nil
}
