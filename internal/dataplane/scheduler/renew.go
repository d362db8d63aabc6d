package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// clockAt is the least that the minion's clock shows at now.
func (m *worker) clockAt(now time.Duration) time.Duration { return m.clock + (now - m.heardAt) }

// appendCalls gives the calls that a minion is to get now: orders and urgent words on the order line, else the next
// waiting call.
func (c *Core) appendCalls(now time.Duration, m *worker, out []OutgoingCall) []OutgoingCall {
	if m == nil {
		return out
	}
	rec := c.st.Workers[m.name]
	if rec == nil {
		return out
	}
	if len(m.outbox) > 0 && (now > m.outboxDeadline || m.draining || now-m.heardAt > c.cfg.OrderTimeout) {
		c.dropUnsentOrders(m)
	}
	quiet := m.failures > 0 && now < m.retryAt
	if m.orderCall == 0 && !quiet && m.heardAt > 0 && (len(m.outbox) > 0 || m.urgent && m.pollCall != 0) {
		out = append(out, c.newOrderCall(now, m, rec))
	}
	if m.pollCall == 0 && !quiet {
		call := c.newLeaseCall(now, m)
		call.Wait = c.cfg.PollWait
		if m.heardAt == 0 || m.failures > 0 || m.floor > m.ackedFloor {
			call.Wait = 0
		}
		m.pollCall = call.Call
		out = append(out, OutgoingCall{Worker: m.name, Addr: rec.Addr, Call: call})
	}
	return out
}

// lastCall makes a call with all but starts.
func (c *Core) newLeaseCall(now time.Duration, m *worker) internalapi.LeaseCall {
	m.lastCall++
	c.highestCall = max(c.highestCall, m.lastCall)
	m.urgent = false
	call := internalapi.LeaseCall{Call: m.lastCall, Epoch: c.epoch, Worker: m.name, Incarnation: m.incarnation, Floor: m.floor, Acked: m.acks}
	m.acks = nil
	var due []*run
	for _, t := range sortedRunIDs(m.runs) {
		r := m.runs[t]
		if r.stopReason != "" && r.listed {
			call.Stops = append(call.Stops, internalapi.StopOrder{RunID: t, Why: r.stopReason})
			c.Counts.Stops++
			continue
		}
		if m.heardAt > 0 && m.failures == 0 && r.listed {
			due = append(due, r)
		}
	}
	c.addRenewals(now, m, due, &call)
	for _, t := range slices.Sorted(maps.Keys(m.orphans)) {
		call.Stops = append(call.Stops, internalapi.StopOrder{RunID: t, Why: m.orphans[t]})
		c.Counts.Stops++
	}
	clear(m.orphans)
	return call
}

// addRenewals puts renewals into a call. A hold is renewed in its first quarter, and only while the minion answers: a call
// that may or may not have arrived must not put the lapse off for ever. A call has one Until: of holds that differ
// in length, those go first that have used up most.
func (c *Core) addRenewals(now time.Duration, m *worker, runs []*run, call *internalapi.LeaseCall) {
	var pick time.Duration
	worst := 0.0
	spent := func(r *run) float64 {
		if r.leaseIncarnation != m.incarnation {
			return 1
		}
		return float64(m.clockAt(now)+c.leaseOf(r)-r.leaseUntil) / float64(c.leaseOf(r))
	}
	for _, r := range runs {
		if used := spent(r); used > 0.25 && used > worst {
			worst, pick = used, c.leaseOf(r)
		}
	}
	if pick == 0 {
		return
	}
	call.RenewUntil = m.clockAt(now) + pick
	for _, r := range runs {
		if c.leaseOf(r) == pick && spent(r) > 0.25 {
			call.Renew = append(call.Renew, r.handle.RunID)
			r.leaseUntil, r.leaseIncarnation = call.RenewUntil, m.incarnation
		}
	}
}

// leaseOf is how long a run goes on unheard: as its placement policy had it when the run ID was given.
func (c *Core) leaseOf(r *run) time.Duration { return cmp.Or(r.handle.LeaseTTL, c.cfg.RunLease) }

// firstLease is the hold that a start order brings. A minion that starts whatever it is told looks at nothing else of
// an order but its hold: one that stood still with the order unread must not carry it out long after its job was
// cancelled or its zone evacuated. So its first hold is no longer than the bound on its lateness; the first answer
// that lists the run renews it in full. Others look at Void.
func (c *Core) firstLease(m *worker, r *run) time.Duration {
	if m.kind == "obey" && c.cfg.Lateness > 0 {
		return min(c.leaseOf(r), c.cfg.Lateness)
	}
	return c.leaseOf(r)
}

// newOrderCall makes a call with all the starts of the outbox, in run ID order.
func (c *Core) newOrderCall(now time.Duration, m *worker, rec *state.Worker) OutgoingCall {
	call := c.newLeaseCall(now, m)
	startBy := m.clockAt(now) + c.cfg.StartWindow
	for _, t := range m.outbox {
		r := m.runs[t]
		if r == nil || r.closing {
			continue
		}
		j, task := c.st.TaskOf(r.handle.Ref)
		if r.inOutbox = false; r.stopReason != "" || task == nil || task.RunID != t || r.handle.Incarnation != m.incarnation {
			c.proveDead(r, command.ProofUnsent, "")
			continue
		}
		step := &j.Spec.Steps[r.handle.Ref.Step]
		until := m.clockAt(now) + c.firstLease(m, r)
		r.orderedIn, r.inFlight, r.leaseUntil, r.leaseIncarnation = call.Call, true, until, m.incarnation
		call.Starts = append(call.Starts, internalapi.StartOrder{RunID: t, Job: r.handle.Ref.Job, Step: step.Name, Task: r.handle.Ref.Task,
			Type: step.Type, Queue: j.Spec.Queue, Cores: step.Cores, GPUs: step.GPUs, Labels: step.Labels, Run: step.Run,
			StartBy: startBy, LeaseUntil: until})
		c.Counts.Sent++
	}
	m.outbox = nil
	m.orderCall = call.Call
	co := OutgoingCall{Worker: m.name, Addr: rec.Addr, IsOrder: true, Call: call}
	if len(call.Starts) > 0 {
		co.WriteBy = m.outboxDeadline
	}
	return co
}

// dropUnsentOrders voids orders that did not leave in time: they never left, so their handles are dead.
func (c *Core) dropUnsentOrders(m *worker) {
	for _, t := range m.outbox {
		if r := m.runs[t]; r != nil {
			r.inOutbox = false
			c.proveDead(r, command.ProofUnsent, "")
		}
	}
	m.outbox = nil
}

// CallFailed takes in that a call got no answer. sent tells whether any byte of it may have left.
func (c *Core) CallFailed(now time.Duration, name string, order bool, call internalapi.LeaseCall, sent bool) {
	c.now = now
	m := c.finishCall(name, order, call)
	if m == nil {
		return
	}
	c.Counts.CallFailures++
	m.failures++
	m.unanswered = m.unanswered || call.Call > m.lastCallBeforePause
	m.retryAt = now + c.cfg.RetryInterval
	m.acks = append(call.Acked, m.acks...)
	for _, s := range call.Starts {
		r := m.runs[s.RunID]
		if r == nil {
			continue
		}
		r.inFlight = false
		if !sent {
			r.orderedIn = 0
			c.proveDead(r, command.ProofUnsent, "")
			continue
		}
		m.floor = max(m.floor, s.RunID)
		c.markUnconfirmed(r)
	}
}

func (c *Core) markUnconfirmed(r *run) {
	if !r.closing && !r.listed && r.handle.Phase == state.TaskAssigned {
		c.unconfirmed = append(c.unconfirmed, r.handle.RunID)
		c.Counts.Unconfirmed++
	}
}

// finishCall finds the minion whose call came back and frees the line it went on; nil if that call is none of this
// epoch's or not the one under way.
func (c *Core) finishCall(name string, order bool, call internalapi.LeaseCall) *worker {
	m := c.workers[name]
	if m == nil || c.phase != Ready || call.Epoch != c.epoch {
		return nil
	}
	at := &m.pollCall
	if order {
		at = &m.orderCall
	}
	if *at != call.Call {
		return nil
	}
	*at = 0
	c.callsDue[name], c.freedWorkers[name] = true, true
	c.placementCurrent = false
	return m
}

// CallAnswered takes in the answer to a call. An answer that is older than one taken in already, or that names another
// call, tells nothing any more.
func (c *Core) CallAnswered(now time.Duration, name string, order bool, call internalapi.LeaseCall, a internalapi.LeaseAnswer) {
	c.now = now
	if a.Call != call.Call {
		c.Counts.StaleAnswers++
		c.CallFailed(now, name, order, call, true)
		return
	}
	m := c.finishCall(name, order, call)
	if m == nil {
		return
	}
	for _, s := range call.Starts {
		if r := m.runs[s.RunID]; r != nil {
			r.inFlight = false
		}
	}
	for _, ref := range a.Refused {
		if r := m.runs[ref.RunID]; r != nil && r.orderedIn == call.Call {
			c.proveDead(r, command.ProofRefuse, "refused by "+name+": "+ref.Why)
			c.Counts.Refused++
		}
	}
	if call.Call < m.lastAnswered {
		c.Counts.StaleAnswers++
		// Its starts are judged by a newer answer; that floor lets them be proved either way.
		for _, s := range call.Starts {
			if r := m.runs[s.RunID]; r != nil && !r.listed {
				m.floor = max(m.floor, s.RunID)
			}
		}
		c.recordEnds(now, m, a.Ended)
		return
	}
	if m.pastIncarnations[a.Incarnation] { // made before one that was taken in, although its call is newer
		c.Counts.StaleAnswers++
		c.recordEnds(now, m, a.Ended)
		return
	}
	if m.incarnation != "" && m.incarnation != a.Incarnation {
		if m.pastIncarnations == nil {
			m.pastIncarnations = map[string]bool{}
		}
		m.pastIncarnations[m.incarnation] = true
	}
	m.lastAnswered = call.Call
	m.failures, m.unanswered = 0, false
	m.incarnation, m.kind, m.draining = a.Incarnation, a.Kind, a.Draining
	m.heardAt, m.clock, m.ackedFloor = now, a.Clock, a.Floor
	c.updateReport(m, a)
	c.reconcile(now, m, call, a)
}

// updateReport takes in what the minion says of itself.
func (c *Core) updateReport(m *worker, a internalapi.LeaseAnswer) {
	rec := c.st.Workers[m.name]
	if rec == nil {
		return
	}
	report := state.Worker{Name: m.name, Addr: rec.Addr, Closed: rec.Closed, Incarnation: a.Incarnation, Kind: a.Kind, Zone: a.Zone, Rack: a.Rack,
		Labels: a.Labels, Cores: a.Cores, GPUs: a.GPUs, Draining: a.Draining}
	m.report = nil
	if report.Incarnation != rec.Incarnation || report.Kind != rec.Kind || report.Zone != rec.Zone || report.Rack != rec.Rack ||
		report.Cores != rec.Cores || report.GPUs != rec.GPUs || report.Draining != rec.Draining || !maps.Equal(report.Labels, rec.Labels) {
		m.report = &report
		c.reported[m.name] = true
	}
}

// recordEnds takes in listed ends. An end is a fact however old the answer is that lists it.
func (c *Core) recordEnds(now time.Duration, m *worker, ended []internalapi.RunEnd) {
	for _, e := range ended {
		r := m.runs[e.RunID]
		if r == nil {
			c.recordLateEnd(m, e)
			continue
		}
		well := e.Outcome == internalapi.OutcomeOK || e.Outcome == internalapi.OutcomeFailed
		if r.endPending || r.closing && !well {
			continue // gone by a proof that is not committed yet: a true end still goes before it
		}
		r.endPending = well
		switch e.Outcome {
		case internalapi.OutcomeOK, internalapi.OutcomeFailed:
			r.closing = true
			c.ends = append(c.ends, command.End{RunID: e.RunID, Ref: r.handle.Ref, OK: e.Outcome == internalapi.OutcomeOK, Reason: e.Reason})
			c.Counts.Ended++
			c.health.recordEnd(now, r.handle, e.Outcome == internalapi.OutcomeOK)
			if e.Outcome == internalapi.OutcomeFailed {
				c.Counts.FailedEnds++
				c.checkHealth(now, m, r.handle.Type)
			}
		case internalapi.OutcomeLeaseExpired:
			c.proveDead(r, command.ProofLeaseExpired, "its hold lapsed")
		default:
			c.proveDead(r, command.ProofStop, e.Reason)
		}
	}
}

// recordLateEnd takes in a listed end of a run ID without a handle. One that was let go by a proof has ended well all the
// same if its task has no newer run ID; all others may be forgotten.
func (c *Core) recordLateEnd(m *worker, e internalapi.RunEnd) {
	r := c.findReleased(e.RunID)
	switch {
	case r == nil || e.Outcome != internalapi.OutcomeOK:
		m.acks = append(m.acks, e.RunID)
	case !r.endPending:
		r.endPending = true
		c.ends = append(c.ends, command.End{RunID: e.RunID, Ref: r.ref, OK: true})
		c.Counts.Ended++
	}
}

// reconcile holds what runs and what ended there against the handles, both ways.
func (c *Core) reconcile(now time.Duration, m *worker, call internalapi.LeaseCall, a internalapi.LeaseAnswer) {
	seen := make(map[uint64]bool, len(a.Running)+len(a.Ended))
	for _, t := range a.Running {
		seen[t] = true
		r := m.runs[t]
		if r == nil {
			m.orphans[t] = "no handle"
			m.urgent = true
			continue
		}
		r.listed, r.absentSince = true, 0
		if r.handle.Phase != state.TaskRunning && !r.closing {
			c.newlyRunning = append(c.newlyRunning, t)
		}
		if r.stopReason != "" {
			m.urgent = true
		}
	}
	for _, e := range a.Ended {
		seen[e.RunID] = true
	}
	c.recordEnds(now, m, a.Ended)
	dead, unconfirmed := len(c.proofs), len(c.unconfirmed)
	for t, r := range m.runs {
		if seen[t] || r.closing || r.inOutbox || r.inFlight || r.ofThisEpoch && (r.orderedIn == 0 || r.orderedIn > call.Call) {
			continue
		}
		r.listed = false
		if a.Floor < t {
			m.floor = max(m.floor, t)
			m.urgent = true
			c.markUnconfirmed(r)
			continue
		}
		if m.kind == "obey" {
			if c.lastInheritedRunID > 0 && now < c.leaderSince+c.cfg.StartWindow { // an order of before, under this epoch, may not have left yet
				continue
			}
			if r.absentSince == 0 || r.absentIncarnation != a.Incarnation {
				r.absentSince, r.absentIncarnation = max(a.Clock, 1), a.Incarnation
				c.markUnconfirmed(r)
			}
			// By the minion's clock: the answer may have been under way for long, and tells of when it was made.
			if minElapsed(a.Clock-r.absentSince) < c.cfg.Lateness {
				continue
			}
		}
		c.proveDead(r, command.ProofFloor, "")
	}
	c.sortProofs(dead, unconfirmed)
	c.callsDue[m.name] = true
}

func sortedRunIDs(runs map[uint64]*run) []uint64 { return slices.Sorted(maps.Keys(runs)) }
