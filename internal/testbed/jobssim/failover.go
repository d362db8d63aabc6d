package jobssim

// elected records the election of a leader. Together with measureFailover it measures the time from the last run
// started by a leader to the first one started by its successor.
func (ic *invariantChecker) elected(term uint64) {
	ic.lastStartBeforeLoss = ic.lastStartAt
	if ic.awaitsFirstStart {
		ic.lastStartBeforeLoss = 0 // the previous leader started nothing, so the time would span two losses
	}
	ic.newestTerm, ic.electedAt, ic.awaitsFirstStart = term, ic.sim.now, true
	for _, j := range ic.histories {
		// The new leader has not observed the cause of the excuse, so the excuse period begins again.
		if j.excusedUntil > ic.sim.now-2*contactTimeout {
			ic.excuseIdle(j)
		}
	}
}

// measureFailover records a start, and the duration of the failover if it is the first start in the newest term. A late
// start may have been ordered by an earlier leader and does not count.
func (ic *invariantChecker) measureFailover(r *liveRun, token uint64) {
	if r.origin.isLate {
		return
	}
	if token == ic.newestTerm && ic.awaitsFirstStart {
		ic.awaitsFirstStart = false
		if ic.lastStartBeforeLoss > 0 {
			ic.sim.report.Failovers = append(ic.sim.report.Failovers, ic.sim.now-ic.lastStartBeforeLoss)
			ic.sim.report.Takeovers = append(ic.sim.report.Takeovers, ic.sim.now-ic.electedAt)
		}
	}
	ic.lastStartAt = ic.sim.now
}
