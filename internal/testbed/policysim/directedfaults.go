package policysim

import (
	"time"

	"crosstide/internal/storage"
)

// A directed fault is a sequence of faults that random draws hardly ever produce. Each creates the situation that one
// of Guards protects against; see docs/design/simulator.md.

const (
	lagBeforeKill      = 2 * time.Second  // how long replicas lag before the role holder is killed
	lagAfterKill       = 10 * time.Second // how long replicas lag after it; longer than the role's lease and its margin
	majorityCommitTime = 2 * time.Second  // how long the other three nodes commit without the lagging two
	wipedIsolationTime = 10 * time.Second // how long the lagging nodes are isolated with the wiped one

	planTimeout        = 2 * time.Second        // limit of the wait for a plan in flight; below the role's lease
	replacementTimeout = 30 * time.Second       // limit of the wait for a grant to another node
	pollInterval       = 20 * time.Millisecond  // between two checks of a condition
	shortDelay         = 100 * time.Millisecond // too short for any timeout to matter
)

// lagReplicas stops the replicas of all data-plane nodes except the role holder's, and then kills the holder. Its
// successor is granted the role before its own replica has reached the grant.
func (f *faultInjector) lagReplicas(faultTargets) {
	s := f.sim
	holder := s.roleHolder()
	if holder == nil {
		return
	}
	s.report.Faults["lag"]++
	for _, d := range s.dataPlanes {
		if d != holder {
			d.lagUntil = s.now + lagBeforeKill + lagAfterKill
		}
	}
	s.trace("fault lag, all replicas but that of %s", holder.addr)
	s.schedule(lagBeforeKill, func() { f.kill("lag", holder) })
}

// rejoinWiped isolates two control-plane nodes until they lack entries, wipes the disk of a third, and then isolates
// these three from the other two. By their names the three are a majority, but none of them has the newest entries.
func (f *faultInjector) rejoinWiped(faultTargets) {
	s := f.sim
	if f.isWipedNodeRejoining() {
		return
	}
	order := s.rng.Perm(len(s.controlPlanes))
	lagging := []*process{s.controlPlanes[order[0]].process, s.controlPlanes[order[1]].process}
	wiped := s.controlPlanes[order[2]]
	majority := []*process{s.controlPlanes[order[3]].process, s.controlPlanes[order[4]].process}
	s.report.Faults["rejoin"]++
	s.trace("fault rejoin, %v lag, %s is wiped", addresses(lagging), wiped.addr)
	healLagging := f.partition(lagging, true)
	s.schedule(majorityCommitTime, func() {
		if s.faultsEnded || f.isWipedNodeRejoining() {
			healLagging()
			return
		}
		f.wipe(wiped, shortDelay)
		healMajority := f.partition(majority, true)
		s.schedule(shortDelay, healLagging)
		s.schedule(wipedIsolationTime, healMajority)
	})
}

// isWipedNodeRejoining reports whether the node whose disk was wiped last is not a voter again yet. Until then no other
// disk is wiped: the store need not survive the loss of several disks at once.
func (f *faultInjector) isWipedNodeRejoining() bool {
	return f.wiped != nil && !f.sim.checker.isVoter(f.wiped)
}

// wipe crashes a control-plane node, replaces its disk by an empty one, and restarts the node after restartDelay.
func (f *faultInjector) wipe(c *controlPlane, restartDelay time.Duration) {
	f.wiped = c
	c.crash(false)
	if c.driver.Core() != nil {
		c.wipedID, c.wipedLog = c.driver.Core().Status().ID, c.durable
	}
	c.disk = storage.NewMemDisk()
	c.durable = durableLog{}
	f.sim.schedule(restartDelay, c.restart)
}

// freezeWithPlanInFlight crashes the leader of the store, freezes the role holder while its plan is in flight, and
// wakes it when another node has been granted the role. The old holder then sends the plan again, to the new leader.
func (f *faultInjector) freezeWithPlanInFlight(faultTargets) {
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
		if holder.generation == generation && !holder.frozen && !s.faultsEnded {
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
		return s.faultsEnded || s.checker.newestEpoch(s.checker.reference.Index) > epoch
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

// roleHolder returns the first running data-plane node that may act under its role lease, or nil.
func (s *sim) roleHolder() *dataPlane {
	for _, d := range s.dataPlanes {
		if d.alive && !d.frozen && d.scheduler.MayAct(d.Now()) {
			return d
		}
	}
	return nil
}

// storeLeader returns the first running control-plane node whose raft role is leader, or nil.
func (s *sim) storeLeader() *controlPlane {
	for _, c := range s.controlPlanes {
		if c.alive && !c.frozen && c.driver.Core() != nil && c.driver.Core().Status().Role == "leader" {
			return c
		}
	}
	return nil
}
