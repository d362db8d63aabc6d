package jobssim

// elected records the election of a leader. With measureFailover it measures the time from the last start of a leader
// to the first one of the next leader.
func (ic *invariantChecker) elected(term uint64) {
	ic.lastStartBeforeLoss = ic.lastStartAt
	if ic.awaitsFirstStart {
		ic.lastStartBeforeLoss = 0 // the leader before was lost before it started anything: two losses in one
	}
	ic.newestTerm, ic.electedAt, ic.awaitsFirstStart = term, ic.sim.now, true
	for _, j := range ic.histories {
		// The excuse begins anew for a leader that did not see its cause.
		if j.excusedUntil > ic.sim.now-2*contactTimeout {
			ic.expectUnconfirmed(j)
		}
	}
}

// measureFailover records a start under a term, and the failover that ends with it.
func (ic *invariantChecker) measureFailover(r *liveRun, token uint64) {
	if r.order.isLate {
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
