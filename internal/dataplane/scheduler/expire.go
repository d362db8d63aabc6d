package scheduler

import (
	"cmp"
	"slices"
	"time"

	"crosstide/internal/state/command"
)

const (
	// gcInterval is how often records about finished jobs are dropped.
	gcInterval = 10 * time.Second
	// expiryMargin is added to a lease before it counts as expired: a worker needs some time to kill a run.
	expiryMargin = 200 * time.Millisecond
)

// sweep walks all records for what only the passing of time changes: it expires leases, proves runs dead whose orders
// were never sent, marks every worker as due for a call, and makes the next placement try all classes on all workers.
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
	if c.planInFlight == nil { // else its answer may still send them
		for _, r := range c.runs {
			if r.ofThisEpoch && r.orderedIn == 0 && !r.inOutbox {
				c.proveDead(r, command.ProofUnsent, "")
			}
		}
	}
	c.sortFacts(proofs, len(c.facts.unconfirmed))
	c.placement.current, c.placement.fullScan = false, true
	if now >= c.nextGCAt {
		c.nextGCAt = now + gcInterval
		c.collectGarbage()
	}
}

// collectGarbage drops records of released runs and of jobs that are finished.
func (c *Core) collectGarbage() {
	for runID := range c.released {
		c.findReleased(runID) // drops the record if no end of the run can count any more
	}
	c.health.dropFinishedJobs(func(key string) bool {
		job := c.st.Jobs[key]
		return job != nil && !job.Phase.IsTerminal()
	})
}

// sortFacts sorts the facts from the given offsets on. A walk over a map adds facts in random order; equal inputs must
// make equal plans.
func (c *Core) sortFacts(proofs, unconfirmed int) {
	slices.SortFunc(c.facts.proofs[proofs:], func(a, b command.Proof) int { return cmp.Compare(a.RunID, b.RunID) })
	slices.Sort(c.facts.unconfirmed[unconfirmed:])
}

// expireLease proves a run dead whose lease has surely run out on its worker. The worker must have left a call
// unanswered: one that answers reports what became of the run.
func (c *Core) expireLease(now time.Duration, w *worker, r *run) {
	if r.closing || r.inOutbox || r.inFlight || !w.unanswered {
		return
	}
	margin := expiryMargin
	if w.obeys() || w.heardAt == 0 {
		margin += c.cfg.Lateness
	}
	var expired bool
	if r.leaseUntil > 0 && r.leaseIncarnation == w.incarnation && w.heardAt > 0 {
		expired = w.clock+minElapsed(now-w.heardAt) > r.leaseUntil+margin
	} else {
		// Its lease is not known here. The latest renewal was sent before this node took the role, or before the worker
		// was last heard.
		atMost := max(r.handle.LeaseTTL, c.cfg.RunLease) + margin
		expired = minElapsed(now-c.role.since) > atMost && minElapsed(now-w.heardAt) > atMost
	}
	if expired {
		c.proveDead(r, command.ProofLeaseExpired, "its hold lapsed unheard")
	}
}

// maxClockDrift: a worker's clock runs slower than this node's by at most one part in so many.
const maxClockDrift = 500

// minElapsed returns the least by which a worker's clock has advanced while this node's advanced by d.
func minElapsed(d time.Duration) time.Duration { return d - d/maxClockDrift }
