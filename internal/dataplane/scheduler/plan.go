package scheduler

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// facts are observed changes of runs and workers that no plan contains yet. Core owns them; nextPlan moves them into a
// plan.
type facts struct {
	newlyRunning []uint64
	unconfirmed  []uint64
	ends         []command.End
	proofs       []command.Proof // that runs are dead: they can no longer execute
	reported     map[string]bool // workers whose record has a report, by name
}

// inFlightPlan is a plan that was proposed and whose answer is pending.
type inFlightPlan struct {
	plan        *command.Plan
	sentAt      time.Duration
	invalidated bool // the records were rebuilt since: its answer is ignored
}

// nextPlan returns a plan with the collected facts and starts for due tasks. It returns nil if there is nothing to
// commit or another plan is in flight.
func (c *Core) nextPlan(now time.Duration) *command.Plan {
	if c.planInFlight != nil {
		return nil
	}
	plan := &command.Plan{Epoch: c.role.epoch, BundleVersion: c.st.Bundle.Version, LeaseTTL: c.cfg.RunLease,
		Running: c.facts.newlyRunning, Unconfirmed: c.facts.unconfirmed, Ends: c.facts.ends, Dead: c.facts.proofs}
	if len(c.st.Inbox) > 0 {
		plan.Seq = c.st.Seq
	}
	for _, name := range sortedKeys(c.facts.reported) {
		if w := c.workers[name]; w != nil && w.report != nil {
			plan.Workers = append(plan.Workers, *w.report)
			w.report = nil
		}
	}
	clear(c.facts.reported)
	if !c.placement.isCurrent {
		c.place(now, plan)
		c.placement.isCurrent = true
	}
	changes := len(plan.Workers) + len(plan.Running) + len(plan.Unconfirmed) + len(plan.Ends) + len(plan.Dead) +
		len(plan.Starts)
	if plan.Seq == 0 && changes == 0 {
		return nil
	}
	c.facts = facts{reported: c.facts.reported}
	c.planInFlight = &inFlightPlan{plan: plan, sentAt: now}
	c.Counts.Plans++
	return plan
}

// PlanAnswered handles the answer to the plan in flight. The replica must have reached the plan's index, so that it
// has the handles of the plan's run IDs. A failed plan may have been committed nevertheless: planFailed queues its
// contents again, and no order is sent for run IDs that the store assigned to it.
func (c *Core) PlanAnswered(now time.Duration, epoch uint64, planned command.Planned, err error) {
	c.now = now
	inFlight := c.planInFlight
	if inFlight == nil || inFlight.plan.Epoch != epoch {
		return
	}
	if c.planInFlight, c.placement.isCurrent = nil, false; inFlight.invalidated || c.role.phase != Ready {
		return
	}
	for _, start := range inFlight.plan.Starts { // the capacity of a refused start is still free
		c.placement.freedWorkers[start.Worker] = true
	}
	if err != nil {
		c.planFailed(inFlight.plan, err)
		return
	}
	sendBy := min(now+c.cfg.StartWindow, inFlight.sentAt+c.cfg.PlanWindow)
	for i, start := range inFlight.plan.Starts {
		runID := planned.RunIDs[i]
		if runID == 0 {
			c.Counts.StartsRefused++
			c.enqueue(start.Ref)
			continue
		}
		c.Counts.RunIDsAssigned++
		if r, w := c.runs[runID], c.workers[start.Worker]; r != nil && w != nil {
			c.queueOrder(now, r, w, sendBy)
		}
	}
}

// planFailed queues the ends, proofs and starts of a failed plan again; workers repeat its other facts in their next
// answers. A stale epoch means that another node has the role: the core steps down and keeps only the ends.
func (c *Core) planFailed(plan *command.Plan, err error) {
	c.Counts.PlanFailures++
	c.facts.ends = append(plan.Ends, c.facts.ends...)
	if errs.Is(err, errs.Stale) {
		c.StepDown()
		return
	}
	c.facts.proofs = append(plan.Dead, c.facts.proofs...)
	for _, start := range plan.Starts {
		c.enqueue(start.Ref)
	}
}

// queueOrder adds the start order of a committed run ID to its worker's outbox. If its deadline has passed, the order
// is never sent, which proves the run dead.
func (c *Core) queueOrder(now time.Duration, r *run, w *worker, sendBy time.Duration) {
	if now >= sendBy {
		c.proveDead(r, command.ProofUnsent, "")
		return
	}
	r.inOutbox = true
	w.outbox = append(w.outbox, r.handle.RunID)
	w.outboxDeadline = sendBy
	c.callsDue[w.name] = true
}

// proveDead adds a proof that a run can no longer execute to the facts for the next plan.
func (c *Core) proveDead(r *run, kind command.ProofKind, reason string) {
	if r.closing {
		return
	}
	r.closing = true
	c.facts.proofs = append(c.facts.proofs, command.Proof{RunID: r.handle.RunID, Kind: kind, Reason: reason})
	c.Counts.ProvedDead[kind]++
}

// markUnconfirmed adds a run to the facts for the next plan if it is unknown whether the run has started.
func (c *Core) markUnconfirmed(r *run) {
	if !r.closing && !r.listed && r.handle.Phase == state.TaskAssigned {
		c.facts.unconfirmed = append(c.facts.unconfirmed, r.handle.RunID)
		c.Counts.Unconfirmed++
	}
}
