package scheduler

import (
	"maps"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// CallFailed handles a call that got no answer. sent reports whether any byte of it may have left this node: if none
// did, the call's starts are proved dead; otherwise the worker may still carry them out.
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
			r.orderedIn = 0
			c.proveDead(r, command.ProofUnsent, "")
			continue
		}
		w.floor = max(w.floor, start.RunID) // the next answer either lists the run or proves it dead
		c.markUnconfirmed(r)
	}
}

// finishCall marks the connection of a finished call as free, and returns its worker; nil if the call is of another
// epoch or is not the one in flight.
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
	c.placement.current = false
	return w
}

// CallAnswered handles the answer to a call. If it is older than one handled before, only its ends and refusals count.
// If it names another call, the call counts as failed.
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
	older := call.Call < w.lastAnswered
	if older {
		w.raiseFloor(call.Starts)
	}
	if older || w.pastIncarnations[answer.Incarnation] { // made before one that was handled, although its call is newer
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

// recordStarts marks the starts of an answered call as no longer in flight, and proves the refused ones dead.
func (c *Core) recordStarts(w *worker, call internalapi.LeaseCall, refused []internalapi.StartRefusal) {
	for _, start := range call.Starts {
		if r := w.runs[start.RunID]; r != nil {
			r.inFlight = false
		}
	}
	for _, refusal := range refused {
		if r := w.runs[refusal.RunID]; r != nil && r.orderedIn == call.Call {
			c.proveDead(r, command.ProofRefuse, "refused by "+w.name+": "+refusal.Why)
			c.Counts.Refused++
		}
	}
}

// raiseFloor raises the floor to starts that no answer has listed. Once the worker has received that floor, an answer
// that does not list them proves them dead.
func (w *worker) raiseFloor(starts []internalapi.StartOrder) {
	for _, start := range starts {
		if r := w.runs[start.RunID]; r != nil && !r.listed {
			w.floor = max(w.floor, start.RunID)
		}
	}
}

// updateReport queues a worker's report of itself for the next plan if it differs from the store's record.
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

// sameWorker reports whether two records agree in the fields that a worker reports.
func sameWorker(a, b *state.Worker) bool {
	return a.Incarnation == b.Incarnation && a.Kind == b.Kind && a.Zone == b.Zone && a.Rack == b.Rack &&
		a.Cores == b.Cores && a.GPUs == b.GPUs && a.Draining == b.Draining && maps.Equal(a.Labels, b.Labels)
}

// recordEnds handles listed ends. An end is a fact however old the answer is that lists it.
func (c *Core) recordEnds(now time.Duration, w *worker, ended []internalapi.RunEnd) {
	for _, end := range ended {
		r := w.runs[end.RunID]
		if r == nil {
			c.recordLateEnd(w, end)
			continue
		}
		ok, failed := end.Outcome == internalapi.OutcomeOK, end.Outcome == internalapi.OutcomeFailed
		if r.endPending || r.closing && !ok && !failed {
			continue // a run with a proof that is not committed yet may still end: the end goes before the proof
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

// recordLateEnd handles a listed end of a run ID without a handle. A run whose handle was released on a proof has
// ended well all the same if its task has no newer run ID; all other ends may be forgotten by the worker.
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

// reconcile compares what a worker lists with its handles: listed runs without a handle are orphans to be stopped,
// handles without a listed run are dead as soon as the answer proves it.
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
		// An order that left after this call may not have arrived when the answer was made.
		unsent := r.ofThisEpoch && (r.orderedIn == 0 || r.orderedIn > call.Call)
		if listed[runID] || r.closing || r.inOutbox || r.inFlight || unsent {
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

// recordAbsence handles a run that a worker should list and does not. Under a floor that the worker has not received
// its order may still arrive: the floor is raised first. With it a worker that checks orders proves the run dead at
// once; one of kind obey may carry an order out late, and proves it only after its bound.
func (c *Core) recordAbsence(now time.Duration, w *worker, r *run, answer internalapi.LeaseAnswer) {
	if answer.Floor < r.handle.RunID {
		w.floor = max(w.floor, r.handle.RunID)
		w.urgent = true
		c.markUnconfirmed(r)
		return
	}
	if w.obeys() {
		if c.role.lastInheritedRunID > 0 && now < c.role.since+c.cfg.StartWindow {
			return // an order of before the return to this epoch may not have left yet
		}
		if r.absentSince == 0 || r.absentIncarnation != answer.Incarnation {
			r.absentSince, r.absentIncarnation = max(answer.Clock, 1), answer.Incarnation
			c.markUnconfirmed(r)
		}
		// By the worker's clock: the answer may have been on its way for long, and is true of when it was made.
		if minElapsed(answer.Clock-r.absentSince) < c.cfg.Lateness {
			return
		}
	}
	c.proveDead(r, command.ProofFloor, "")
}
