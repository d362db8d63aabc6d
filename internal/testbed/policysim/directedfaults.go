package policysim

import (
	"time"

	"crosstide/internal/storage"
)

// Directed faults are several faults in an order that chance hardly ever draws. Each makes the moment for which one
// guard of the product is there; see docs/design/simulator.md.

const (
	lagLead            = 2 * time.Second        // for which replicas lag before their holder ends
	lagFor             = 10 * time.Second       // over the lease of a duty, with its margin
	majorityAloneFor   = 2 * time.Second        // for which the majority commits without the rest
	wipedAloneFor      = 10 * time.Second       // for which the rest has the emptied member to itself
	planTimeout        = 2 * time.Second        // a holder has a plan under way by then; under the lease of a duty
	replacementTimeout = 30 * time.Second       // another holder has been granted the duty by then
	pollInterval       = 20 * time.Millisecond  // how often a directed fault looks for its moment
	shortDelay         = 100 * time.Millisecond // as good as at once
)

// lagReplicas lets the replicas of all dplanes but the holder's stand still, and ends the holder: its successor is granted the
// duty before its replica has the grant.
func (f *faultInjector) lagReplicas(count func(*process, string)) {
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
	s.schedule(lagLead, func() { f.killDataPlane(holder, count) })
}

// rejoinWiped cuts two cplanes off until they lack entries, takes the disk of a third, and leaves these three to themselves:
// they are a majority by their names, but none of them has the newest entries.
func (f *faultInjector) rejoinWiped() {
	s := f.sim
	if f.wiped != nil && !s.invariantChecker.isVoter(f.wiped) {
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
		if s.faultsOver || f.wiped != nil && !s.invariantChecker.isVoter(f.wiped) {
			heal()
			return
		}
		f.wipe(empty, shortDelay)
		healRest := f.partition(rest, true)
		s.schedule(shortDelay, heal)
		s.schedule(wipedAloneFor, healRest)
	})
}

// wipe ends a cplane and takes its disk; it comes back empty after a while.
func (f *faultInjector) wipe(c *controlPlane, back time.Duration) {
	f.wiped = c
	c.crash(false)
	if c.driver.Core() != nil {
		c.wipedID, c.wipedTerms, c.wipedSnapshot = c.driver.Core().Status().ID, c.durableTerms, c.durableSnapshot
	}
	c.disk = storage.NewMemDisk()
	c.durableSnapshot, c.durableIndex, c.durableTerms = 0, 0, nil
	f.sim.schedule(back, c.restart)
}

// stalePlan ends the leader of the store, freezes the holder while a plan of it is under way, and wakes it once another
// was granted the duty: it sends the plan again, to the new leader.
func (f *faultInjector) stalePlan() {
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

// freezeUntilReplaced freezes the holder until another one has been granted its duty.
func (f *faultInjector) freezeUntilReplaced(holder *dataPlane) {
	s := f.sim
	generation, epoch := holder.generation, holder.scheduler.Epoch()
	s.trace("%s freezes with a plan under way: %v", holder.addr, holder.planning)
	holder.freeze()
	s.waitUntil(s.now+replacementTimeout, func() bool {
		return s.faultsOver || s.invariantChecker.newestEpoch(s.invariantChecker.reference.Index) > epoch
	}, func() {
		if holder.generation == generation {
			s.trace("%s wakes", holder.addr)
			holder.process.wake()
		}
	})
}

// waitUntil looks again and again until something is so, or a time is over, and then does what is to be done.
func (s *sim) waitUntil(until time.Duration, so func() bool, do func()) {
	if so() || s.now >= until {
		do()
		return
	}
	s.schedule(pollInterval, func() { s.waitUntil(until, so, do) })
}

// roleHolder is the dplane that acts under the duty now; nil if there is none.
func (s *sim) roleHolder() *dataPlane {
	for _, d := range s.dataPlanes {
		if d.alive && !d.frozen && d.scheduler.MayAct(d.Now()) {
			return d
		}
	}
	return nil
}

// storeLeader is a cplane that leads the store in its own eyes; nil if there is none.
func (s *sim) storeLeader() *controlPlane {
	for _, c := range s.controlPlanes {
		if c.alive && !c.frozen && c.driver.Core() != nil && c.driver.Core().Status().Role == "leader" {
			return c
		}
	}
	return nil
}
