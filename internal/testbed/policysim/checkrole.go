package policysim

import (
	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/state/command"
)

// newestEpoch returns the newest epoch of the scheduler role that was granted at or before an index of the log, or 0.
func (ic *invariantChecker) newestEpoch(index uint64) (epoch uint64) {
	for _, granted := range ic.grants {
		if granted <= index {
			epoch = granted
		}
	}
	return epoch
}

// observePlanCommitted checks that a plan was committed and applied under the current epoch (invariant: decided in
// office).
func (ic *invariantChecker) observePlanCommitted(epoch, index uint64) {
	ic.sim.countCase("decided in office")
	if newest := ic.newestEpoch(index); newest != epoch {
		ic.sim.reportViolation("decided in office", "a plan of epoch %d counts at %d, where %d was granted", epoch,
			index, newest)
	}
}

// observePlanMade checks the replica of a role holder that makes a plan (invariant: rebuilt). A holder must not make
// any plan before its replica has reached the grant, because ends and proofs depend on the replica's handles too. Only
// plans with starts are counted as cases.
func (ic *invariantChecker) observePlanMade(d *dataPlane, p *command.Plan) {
	if d.state().Index < p.Epoch {
		ic.sim.reportViolation("rebuilt", "%s makes a plan of %d starts under epoch %d with its replica at %d", d.addr,
			len(p.Starts), p.Epoch, d.state().Index)
	}
	if len(p.Starts) == 0 {
		return
	}
	ic.sim.countCase("rebuilt")
	if len(d.state().Handles) > 0 && d.scheduler.Epoch() == p.Epoch {
		ic.checkRebuilt(d)
	}
}

// checkRebuilt compares the running counts of a role holder with the handles of its replica (invariant: rebuilt).
func (ic *invariantChecker) checkRebuilt(d *dataPlane) {
	want := d.state().HandlesByType()
	for taskType, n := range want {
		if got := d.scheduler.RunningCount(taskType); got != n {
			ic.sim.reportViolation("rebuilt", "%s has a tally of %d for %s, %d handles are out", d.addr, got, taskType,
				n)
		}
	}
}

// checkFence checks the epoch of a lease call when it leaves a data-plane node (invariant: fence).
func (ic *invariantChecker) checkFence(d *dataPlane, c scheduler.OutgoingCall) {
	s := ic.sim
	s.countCase("fence")
	if newest := ic.newestEpoch(ic.reference.Index); c.Call.Epoch < newest {
		s.reportViolation("fence", "%s writes to %s under epoch %d, %d was granted", d.addr, c.Worker, c.Call.Epoch,
			newest)
	}
}
