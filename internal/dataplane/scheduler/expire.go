package scheduler

import (
	"cmp"
	"slices"
	"time"

	"crosstide/internal/state/command"
)

const (
	// gcInterval is the interval between garbage collections of records.
	gcInterval = 10 * time.Second
	// expiryMargin is added to a lease before it counts as expired, because a worker needs time to kill a run.
	expiryMargin = 200 * time.Millisecond
)

// sweep applies the transitions driven by time to all records. It expires leases, proves runs dead whose orders were
// never sent, marks every worker as due for a call, and makes the next placement consider all classes on all workers.
func (c *Core) sweep(now time.Duration) {
	proofs := len(c.facts.proofs)
	for _, w := range c.workers {
		c.callsDue[w.name] = true
		if w.heardAt == 0 || now-w.heardAt > c.cfg.PlacementTimeout {
			for _, r := range w.runs {
				c.expireLease(now, w, r)
			}
		}
	}
	if c.planInFlight == nil { // otherwise its answer may still queue their orders
		for _, r := range c.runs {
			if r.ofThisEpoch && r.orderCall == 0 && !r.inOutbox {
				c.proveDead(r, command.ProofUnsent, "")
			}
		}
	}
	c.sortFacts(proofs, len(c.facts.unconfirmed))
	c.placement.isCurrent, c.placement.fullScan = false, true
	if now >= c.nextGCAt {
		c.nextGCAt = now + gcInterval
		c.collectGarbage()
	}
}

// collectGarbage drops records of released runs whose end can no longer count, and of finished jobs.
func (c *Core) collectGarbage() {
	for runID := range c.released {
		c.findReleased(runID) // drops the record if an end of the run can no longer count
	}
	c.health.dropFinishedJobs(func(key string) bool {
		job := c.st.Jobs[key]
		return job != nil && !job.Phase.IsTerminal()
	})
}

// sortFacts sorts the proofs and unconfirmed run IDs from the given offsets on. Iteration over a map adds them in
// random order, and equal inputs must produce equal plans.
func (c *Core) sortFacts(proofs, unconfirmed int) {
	slices.SortFunc(c.facts.proofs[proofs:], func(a, b command.Proof) int { return cmp.Compare(a.RunID, b.RunID) })
	slices.Sort(c.facts.unconfirmed[unconfirmed:])
}

// expireLease proves a run dead once its lease has certainly expired on its worker. It requires that the worker left a
// call unanswered, because a worker that answers reports the state of the run itself.
func (c *Core) expireLease(now time.Duration, w *worker, r *run) {
	if r.closing || r.inOutbox || r.inFlight || !w.unanswered {
		return
	}
	margin := expiryMargin
	if w.obeys() || w.heardAt == 0 {
		margin += c.cfg.MaxOrderDelay
	}
	var expired bool
	if r.leaseUntil > 0 && r.leaseIncarnation == w.incarnation && w.heardAt > 0 {
		expired = w.clock+minElapsed(now-w.heardAt) > r.leaseUntil+margin
	} else {
		// The end of the lease is unknown. The latest renewal was sent before this node took the role, or before the
		// worker's latest answer.
		maxRemaining := max(r.handle.LeaseTTL, c.cfg.RunLease) + margin
		expired = minElapsed(now-c.role.since) > maxRemaining && minElapsed(now-w.heardAt) > maxRemaining
	}
	if expired {
		c.proveDead(r, command.ProofLeaseExpired, "its hold lapsed unheard")
	}
}

// maxClockDrift is the reciprocal of the largest drift: a worker's clock runs slower than this node's by at most one
// part in 500.
const maxClockDrift = 500

// minElapsed returns the least time by which a worker's clock advances while this node's advances by d.
func minElapsed(d time.Duration) time.Duration { return d - d/maxClockDrift }
