package policysim

import (
	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/state/command"
)

// newestEpoch is the last epoch of the scheduler role that was granted at or before an index of the log.
func (ic *invariantChecker) newestEpoch(index uint64) (epoch uint64) {
	for _, g := range ic.grants {
		if g <= index {
			epoch = g
		}
	}
	return epoch
}

// observePlanCommitted checks the epoch of a plan that was committed and applied (invariant: decided in office).
func (ic *invariantChecker) observePlanCommitted(epoch, index uint64) {
	ic.sim.countCase("decided in office")
	if now := ic.newestEpoch(index); now != epoch {
		ic.sim.reportBreach("decided in office", "a plan of epoch %d counts at %d, where %d was granted", epoch, index,
			now)
	}
}

// observePlanMade checks the replica of a role holder that makes a plan (invariant: rebuilt). Ends and proofs of death
// are judged by the handles too, so no plan may come from a replica that has not reached the grant; only plans with
// starts are counted.
func (ic *invariantChecker) observePlanMade(d *dataPlane, p *command.Plan) {
	if d.state().Index < p.Epoch {
		ic.sim.reportBreach("rebuilt", "%s makes a plan of %d starts under epoch %d with its replica at %d", d.addr,
			len(p.Starts), p.Epoch, d.state().Index)
	}
	if len(p.Starts) == 0 {
		return
	}
	ic.sim.countCase("rebuilt")
	if h := len(d.state().Handles); h > 0 && d.scheduler.Epoch() == p.Epoch {
		ic.checkRebuilt(d)
	}
}

// checkRebuilt compares the counts of runs of a new role holder with the handles of the log up to its grant.
func (ic *invariantChecker) checkRebuilt(d *dataPlane) {
	want := d.state().RunningCounts()
	for kind, n := range want {
		if got := d.scheduler.RunningCount(kind); got != n {
			ic.sim.reportBreach("rebuilt", "%s has a tally of %d for %s, %d handles are out", d.addr, got, kind, n)
		}
	}
}

// checkFence checks the epoch of a lease call as it leaves a data-plane node (invariant: fence).
func (ic *invariantChecker) checkFence(d *dataPlane, c scheduler.OutgoingCall) {
	s := ic.sim
	s.countCase("fence")
	if now := ic.newestEpoch(ic.reference.Index); c.Call.Epoch < now {
		s.reportBreach("fence", "%s writes to %s under epoch %d, %d was granted", d.addr, c.Worker, c.Call.Epoch, now)
	}
}
