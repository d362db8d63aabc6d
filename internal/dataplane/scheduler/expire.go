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

// sweep is the pass over all records, for what time alone changes: it expires leases, proves runs dead whose orders
// were never sent, has each worker called, and lets the next placement try all classes on all workers.
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

// collectGarbage drops records about runs and jobs that are over.
func (c *Core) collectGarbage() {
	for runID := range c.released {
		c.findReleased(runID) // drops the record if no end of the run can count any more
	}
	c.health.dropFinishedJobs(func(key string) bool {
		job := c.st.Jobs[key]
		return job != nil && !job.Phase.IsTerminal()
	})
}

// sortFacts sorts the facts that a walk over a table has added from these places on, so that the same inputs make the
// same plan.
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
		// Its lease is not known here. It was renewed at latest when this node took the role, or when the worker was
		// heard.
		atMost := max(r.handle.LeaseTTL, c.cfg.RunLease) + margin
		expired = minElapsed(now-c.role.since) > atMost && minElapsed(now-w.heardAt) > atMost
	}
	if expired {
		c.proveDead(r, command.ProofLeaseExpired, "its hold lapsed unheard")
	}
}

// minElapsed is the least that a worker's clock has moved on while ours moved on by d: it may run a little slow.
func minElapsed(h time.Duration) time.Duration { return h - h/500 }
