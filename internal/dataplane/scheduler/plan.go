package scheduler

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// facts are findings about runs and workers that no plan contains yet. Owner: Core; nextPlan empties them.
type facts struct {
	newlyRunning []uint64
	unconfirmed  []uint64
	ends         []command.End
	proofs       []command.Proof // of runs that can never run any more
	reported     map[string]bool // workers whose record has a report
}

// inFlightPlan is a plan that was proposed and has not been answered.
type inFlightPlan struct {
	plan        *command.Plan
	sentAt      time.Duration
	invalidated bool // the records were rebuilt since: its answer is dropped
}

// nextPlan collects the facts, places due tasks, and returns both as one plan; nil if there is nothing to commit, or
// while another plan is in flight.
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
	if !c.placement.current {
		c.place(now, plan)
		c.placement.current = true
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

// PlanAnswered handles the answer to the plan in flight. The replica must have reached the plan's index, so that it has
// the handles of the plan's run IDs. A plan that failed may have been committed all the same: its contents are proposed
// again with the next one, and no order is sent for the run IDs that it was given.
func (c *Core) PlanAnswered(now time.Duration, epoch uint64, planned command.Planned, err error) {
	c.now = now
	sent := c.planInFlight
	if sent == nil || sent.plan.Epoch != epoch {
		return
	}
	if c.planInFlight, c.placement.current = nil, false; sent.invalidated || c.role.phase != Ready {
		return
	}
	for _, start := range sent.plan.Starts { // a refused start left its capacity free
		c.placement.freedWorkers[start.Worker] = true
	}
	if err != nil {
		c.planFailed(sent.plan, err)
		return
	}
	sendBy := min(now+c.cfg.StartWindow, sent.sentAt+c.cfg.PlanWindow)
	for i, start := range sent.plan.Starts {
		runID := planned.RunIDs[i]
		if runID == 0 {
			c.Counts.Refused++
			c.enqueue(start.Ref)
			continue
		}
		c.Counts.RunIDs++
		if r, w := c.runs[runID], c.workers[start.Worker]; r != nil && w != nil {
			c.queueOrder(now, r, w, sendBy)
		}
	}
}

// planFailed restores the ends, proofs and starts of a failed plan; its other facts recur in the next answers of
// workers. A stale epoch means that another node has the role.
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

// queueOrder puts the start order of a committed run ID into its worker's outbox. One whose window is over already is
// never sent, which proves the run dead.
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

// proveDead puts the proof that a run can never run any more into the next plan.
func (c *Core) proveDead(r *run, kind command.ProofKind, reason string) {
	if r.closing {
		return
	}
	r.closing = true
	c.facts.proofs = append(c.facts.proofs, command.Proof{RunID: r.handle.RunID, Kind: kind, Reason: reason})
	c.Counts.ProvedDead[kind]++
}

// markUnconfirmed records for the next plan that it is unknown whether a run has started.
func (c *Core) markUnconfirmed(r *run) {
	if !r.closing && !r.listed && r.handle.Phase == state.TaskAssigned {
		c.facts.unconfirmed = append(c.facts.unconfirmed, r.handle.RunID)
		c.Counts.Unconfirmed++
	}
}
