package scheduler

import (
	"maps"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// CallFailed handles a call that got no answer. sent reports whether any byte of it may have left this node. If none
// did, the runs of the call's start orders are proved dead; otherwise the worker may still execute the orders.
func (c *Core) CallFailed(now time.Duration, outgoing OutgoingCall, sent bool) {
	c.now = now
	call := outgoing.Call
	w := c.finishCall(outgoing)
	if w == nil {
		return
	}
	c.Counts.CallFailures++
	w.failures++
	w.unanswered = w.unanswered || call.Call > w.lastCallBeforePause
	w.retryAt = now + c.cfg.RetryInterval
	w.acks = append(call.Acked, w.acks...)
	for _, start := range call.Starts {
		r := w.runs[start.RunID]
		if r == nil {
			continue
		}
		r.inFlight = false
		if !sent {
			r.orderCall = 0
			c.proveDead(r, command.ProofUnsent, "")
			continue
		}
		w.floor = max(w.floor, start.RunID) // the next answer under it either lists the run or shows that it is dead
		c.markUnconfirmed(r)
	}
}

// finishCall marks the connection of a finished call as free and returns the call's worker. It returns nil if the call
// belongs to another epoch or is not the one in flight.
func (c *Core) finishCall(outgoing OutgoingCall) *worker {
	w := c.workers[outgoing.Worker]
	if w == nil || c.role.phase != Ready || outgoing.Call.Epoch != c.role.epoch {
		return nil
	}
	inFlight := &w.pollCall
	if outgoing.IsOrder {
		inFlight = &w.orderCall
	}
	if *inFlight != outgoing.Call.Call {
		return nil
	}
	*inFlight = 0
	c.callsDue[w.name], c.placement.freedWorkers[w.name] = true, true
	c.placement.isCurrent = false
	return w
}

// CallAnswered handles the answer to a call. Of an answer that is older than one handled before, or of a past
// incarnation of the worker, only the ends and refusals are used. If the answer names another call, the call is treated
// as failed.
func (c *Core) CallAnswered(now time.Duration, outgoing OutgoingCall, answer internalapi.LeaseAnswer) {
	c.now = now
	call := outgoing.Call
	if answer.Call != call.Call {
		c.Counts.StaleAnswers++
		c.CallFailed(now, outgoing, true)
		return
	}
	w := c.finishCall(outgoing)
	if w == nil {
		return
	}
	c.recordStarts(w, call, answer.Refused)
	isOlder := call.Call < w.lastAnswered
	if isOlder {
		w.raiseFloor(call.Starts)
	}
	// An answer of a past incarnation was made before one that was handled, although its call is newer.
	if isOlder || w.pastIncarnations[answer.Incarnation] {
		c.Counts.StaleAnswers++
		c.recordEnds(now, w, answer.Ended)
		return
	}
	if w.incarnation != "" && w.incarnation != answer.Incarnation {
		if w.pastIncarnations == nil {
			w.pastIncarnations = map[string]bool{}
		}
		w.pastIncarnations[w.incarnation] = true
	}
	w.lastAnswered = call.Call
	w.failures, w.unanswered = 0, false
	w.incarnation, w.kind, w.draining = answer.Incarnation, answer.Kind, answer.Draining
	w.heardAt, w.clock, w.ackedFloor = now, answer.Clock, answer.Floor
	c.updateReport(w, answer)
	c.reconcile(now, w, call, answer)
}

// recordStarts marks the start orders of an answered call as no longer in flight, and proves the runs of refused ones
// dead.
func (c *Core) recordStarts(w *worker, call internalapi.LeaseCall, refused []internalapi.StartRefusal) {
	for _, start := range call.Starts {
		if r := w.runs[start.RunID]; r != nil {
			r.inFlight = false
		}
	}
	for _, refusal := range refused {
		if r := w.runs[refusal.RunID]; r != nil && r.orderCall == call.Call {
			c.proveDead(r, command.ProofRefuse, "refused by "+w.name+": "+refusal.Why)
			c.Counts.StartsRefused++
		}
	}
}

// raiseFloor raises the floor to the run IDs of starts that no answer has listed. Once the worker has received that
// floor, an answer that omits such a run shows that it is dead.
func (w *worker) raiseFloor(starts []internalapi.StartOrder) {
	for _, start := range starts {
		if r := w.runs[start.RunID]; r != nil && !r.listed {
			w.floor = max(w.floor, start.RunID)
		}
	}
}

// updateReport queues the worker's attributes in an answer for the next plan if they differ from the store's record.
func (c *Core) updateReport(w *worker, answer internalapi.LeaseAnswer) {
	rec := c.st.Workers[w.name]
	if rec == nil {
		return
	}
	report := state.Worker{Name: w.name, Addr: rec.Addr, Closed: rec.Closed, Incarnation: answer.Incarnation,
		Kind: answer.Kind, Zone: answer.Zone, Rack: answer.Rack, Labels: answer.Labels, Cores: answer.Cores,
		GPUs: answer.GPUs, Draining: answer.Draining}
	w.report = nil
	if !sameWorker(&report, rec) {
		w.report = &report
		c.facts.reported[w.name] = true
	}
}

// sameWorker reports whether two records have equal values in the fields that a worker reports.
func sameWorker(a, b *state.Worker) bool {
	return a.Incarnation == b.Incarnation && a.Kind == b.Kind && a.Zone == b.Zone && a.Rack == b.Rack &&
		a.Cores == b.Cores && a.GPUs == b.GPUs && a.Draining == b.Draining && maps.Equal(a.Labels, b.Labels)
}

// recordEnds handles the ends that an answer lists. Ends are valid regardless of the age of the answer.
func (c *Core) recordEnds(now time.Duration, w *worker, ended []internalapi.RunEnd) {
	for _, end := range ended {
		r := w.runs[end.RunID]
		if r == nil {
			c.recordLateEnd(w, end)
			continue
		}
		ok, failed := end.Outcome == internalapi.OutcomeOK, end.Outcome == internalapi.OutcomeFailed
		if r.endPending || r.closing && !ok && !failed {
			continue // only a success or failure takes precedence over a proof not committed yet
		}
		r.endPending = ok || failed
		switch {
		case ok, failed:
			r.closing = true
			c.facts.ends = append(c.facts.ends,
				command.End{RunID: end.RunID, Ref: r.handle.Ref, OK: ok, Reason: end.Reason})
			c.Counts.Ended++
			c.health.recordEnd(now, r.handle, ok)
			if failed {
				c.Counts.FailedEnds++
				c.checkHealth(now, w, r.handle.Type)
			}
		case end.Outcome == internalapi.OutcomeLeaseExpired:
			c.proveDead(r, command.ProofLeaseExpired, "its hold lapsed")
		default:
			c.proveDead(r, command.ProofStop, end.Reason)
		}
	}
}

// recordLateEnd handles a listed end of a run ID without a handle. The successful end of a run whose handle was
// released on a proof is accepted if its task has no newer run ID. All other ends are acknowledged, so that the
// worker drops them.
func (c *Core) recordLateEnd(w *worker, end internalapi.RunEnd) {
	r := c.findReleased(end.RunID)
	switch {
	case r == nil || end.Outcome != internalapi.OutcomeOK:
		w.acks = append(w.acks, end.RunID)
	case !r.endPending:
		r.endPending = true
		c.facts.ends = append(c.facts.ends, command.End{RunID: end.RunID, Ref: r.ref, OK: true})
		c.Counts.Ended++
	}
}

// reconcile compares the runs that a worker lists with its handles. Listed runs without a handle are orphans and are
// stopped. A handle whose run the answer should list but does not is passed to recordAbsence.
func (c *Core) reconcile(now time.Duration, w *worker, call internalapi.LeaseCall, answer internalapi.LeaseAnswer) {
	listed := make(map[uint64]bool, len(answer.Running)+len(answer.Ended))
	for _, runID := range answer.Running {
		listed[runID] = true
		c.recordRunning(w, runID)
	}
	for _, end := range answer.Ended {
		listed[end.RunID] = true
	}
	c.recordEnds(now, w, answer.Ended)
	proofs, unconfirmed := len(c.facts.proofs), len(c.facts.unconfirmed)
	for runID, r := range w.runs {
		// The answer to this call need not reflect an order that was sent after the call, or not at all.
		unsentAtCall := r.ofThisEpoch && (r.orderCall == 0 || r.orderCall > call.Call)
		if listed[runID] || r.closing || r.inOutbox || r.inFlight || unsentAtCall {
			continue
		}
		r.listed = false
		c.recordAbsence(now, w, r, answer)
	}
	c.sortFacts(proofs, unconfirmed)
	c.callsDue[w.name] = true
}

// recordRunning handles a run that a worker lists as running.
func (c *Core) recordRunning(w *worker, runID uint64) {
	r := w.runs[runID]
	if r == nil {
		w.orphans[runID] = "no handle"
		w.urgent = true
		return
	}
	r.listed, r.absentSince = true, 0
	if r.handle.Phase != state.TaskRunning && !r.closing {
		c.facts.newlyRunning = append(c.facts.newlyRunning, runID)
	}
	if r.stopReason != "" {
		w.urgent = true
	}
}

// recordAbsence handles a run that has a handle but is missing from a worker's answer. If the worker has not received
// a floor that covers the run, its order may still arrive, so the floor is raised first. Once the worker has received
// it, the absence proves the run dead at once if the worker checks orders. A worker of kind obey may execute an order
// late, so the run must have been absent for Config.MaxOrderDelay.
func (c *Core) recordAbsence(now time.Duration, w *worker, r *run, answer internalapi.LeaseAnswer) {
	if answer.Floor < r.handle.RunID {
		w.floor = max(w.floor, r.handle.RunID)
		w.urgent = true
		c.markUnconfirmed(r)
		return
	}
	if w.obeys() {
		if c.role.lastInheritedRunID > 0 && now < c.role.since+c.cfg.StartWindow {
			return // an order queued before this node took the role again may not have been sent yet
		}
		if r.absentSince == 0 || r.absentIncarnation != answer.Incarnation {
			r.absentSince, r.absentIncarnation = max(answer.Clock, 1), answer.Incarnation
			c.markUnconfirmed(r)
		}
		// By the worker's clock: the answer describes the moment at which it was made, and may have been delayed
		// since.
		if minElapsed(answer.Clock-r.absentSince) < c.cfg.MaxOrderDelay {
			return
		}
	}
	c.proveDead(r, command.ProofFloor, "")
}
