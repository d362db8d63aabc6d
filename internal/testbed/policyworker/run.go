package policyworker

import (
	"math/rand/v2"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/testbed/journal"
)

// run is a run that has not ended. Its times are on the worker's clock.
type run struct {
	order      internalapi.StartOrder
	epoch      uint64        // of the call that brought the order
	endsAt     time.Duration // unless it is stopped or expires earlier; Never if long-running
	leaseUntil time.Duration // it is killed then; never decreases
	outcome    string        // at endsAt
	reason     string        // of that outcome
}

// startRun carries out a start order, or returns the reason why it is refused.
func (c *Core) startRun(call internalapi.LeaseCall, order internalapi.StartOrder) (refused string) {
	r := &run{order: order, epoch: call.Epoch, leaseUntil: order.LeaseUntil}
	c.record(journal.Order, r, "")
	if c.traits.Kind == KindCheck {
		refused = c.refusalReason(call, order)
	}
	c.highestRunID = max(c.highestRunID, order.RunID)
	c.hasUpdate = true
	if refused != "" {
		c.record(journal.Refuse, r, refused)
		return refused
	}
	if order.LeaseUntil <= c.now { // even an obeying worker does not run past its lease
		c.expireAtStart(r)
		return ""
	}
	c.drawOutcome(r)
	c.runs = append(c.runs, r)
	c.usedCores += order.Cores
	c.usedGPUs += order.GPUs
	c.record(journal.Start, r, "")
	return ""
}

// expireAtStart ends a run whose lease had expired before it started. The end is journaled, but not listed while
// another run with its ID is in progress: a listed end proves that no such run is.
func (c *Core) expireAtStart(r *run) {
	r.outcome, r.reason = internalapi.OutcomeLeaseExpired, "the hold had lapsed before the start"
	if c.isRunning(r.order.RunID) {
		c.record(journal.Expire, r, r.reason)
	} else {
		c.recordEnd(journal.Expire, r)
	}
}

// refusalReason returns the first reason for which a checking worker refuses an order, or "" if it accepts the order.
func (c *Core) refusalReason(call internalapi.LeaseCall, order internalapi.StartOrder) string {
	switch {
	case call.Incarnation != c.traits.Incarnation:
		return "boot"
	case order.RunID <= c.highestRunID:
		return "ticket"
	case order.RunID <= c.runIDFloor:
		return "floor"
	case c.now > order.StartBy, c.now >= order.LeaseUntil:
		return "late"
	case c.usedCores+order.Cores > c.traits.Cores, c.usedGPUs+order.GPUs > c.traits.GPUs:
		return "room"
	case !c.hasLabels(order.Labels):
		return "label"
	case c.isDraining:
		return "drain"
	}
	return ""
}

func (c *Core) hasLabels(labels map[string]string) bool {
	for key, value := range labels {
		if has, ok := c.traits.Labels[key]; !ok || has != value {
			return false
		}
	}
	return true
}

func (c *Core) isRunning(runID uint64) bool {
	return slices.ContainsFunc(c.runs, func(r *run) bool { return r.order.RunID == runID })
}

// drawOutcome sets endsAt and the outcome at that time. The draws depend only on the seed and the run ID.
func (c *Core) drawOutcome(r *run) {
	program, err := parseProgram(r.order.Run)
	if err != nil {
		r.endsAt, r.outcome, r.reason = c.now, internalapi.OutcomeFailed, errs.Of(err).Message
		return
	}
	rng := rand.New(rand.NewPCG(c.traits.Seed, r.order.RunID))
	fails, factor := rng.Float64() < c.traits.FailProbability, 1+rng.Float64()*max(c.traits.SlowFactor-1, 0)
	r.endsAt, r.outcome = Never, internalapi.OutcomeOK
	if program.duration >= 0 {
		r.endsAt = addSaturating(c.now, time.Duration(float64(program.duration)*factor))
	}
	switch {
	case !program.succeeds:
		r.outcome, r.reason = internalapi.OutcomeFailed, "the run is not ok"
	case fails:
		r.outcome, r.reason = internalapi.OutcomeFailed, "failed by chance"
	}
}

// endDueRuns ends the runs that are due: expired leases first, so that a run that outlived its lease never counts as a
// success.
func (c *Core) endDueRuns() {
	isExpired := func(r *run) bool { return r.leaseUntil <= c.now }
	c.endRuns(isExpired, journal.Expire, internalapi.OutcomeLeaseExpired, "the hold lapsed")
	c.endRuns(func(r *run) bool { return r.endsAt <= c.now }, journal.End, "", "")
}

// endRuns ends the runs that match with outcome and reason, or with their drawn ones if outcome is empty.
func (c *Core) endRuns(match func(*run) bool, event, outcome, reason string) {
	c.runs = slices.DeleteFunc(c.runs, func(r *run) bool {
		if !match(r) {
			return false
		}
		if outcome != "" {
			r.outcome, r.reason = outcome, reason
		}
		c.usedCores -= r.order.Cores
		c.usedGPUs -= r.order.GPUs
		c.recordEnd(event, r)
		return true
	})
}

// recordEnd journals an end and adds it to the unacknowledged ends, once per run ID: an obeying worker may run a run ID
// twice.
func (c *Core) recordEnd(event string, r *run) {
	hasRunID := func(e internalapi.RunEnd) bool { return e.RunID == r.order.RunID }
	if !slices.ContainsFunc(c.unacknowledged, hasRunID) {
		end := internalapi.RunEnd{RunID: r.order.RunID, Outcome: r.outcome, Reason: r.reason}
		c.unacknowledged = append(c.unacknowledged, end)
	}
	c.hasUpdate = true
	c.record(event, r, r.reason)
}
