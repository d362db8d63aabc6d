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
func (m *minion) clockAt(now time.Duration) time.Duration { return m.clock + (now - m.heard) }

// holdPass gives the calls that a minion is to get now: orders and urgent words on the order line, else the next
// waiting call.
func (c *Core) holdPass(now time.Duration, m *minion, out []CallOut) []CallOut {
	if m == nil {
		return out
	}
	rec := c.st.Workers[m.name]
	if rec == nil {
		return out
	}
	if len(m.outbox) > 0 && (now > m.outBy || m.drain || now-m.heard > c.cfg.OrderSilence) {
		c.unsend(m)
	}
	quiet := m.failures > 0 && now < m.retry
	if m.order == 0 && !quiet && m.heard > 0 && (len(m.outbox) > 0 || m.urgent && m.waiting != 0) {
		out = append(out, c.orderCall(now, m, rec))
	}
	if m.waiting == 0 && !quiet {
		call := c.call(now, m)
		call.Wait = c.cfg.HoldWait
		if m.heard == 0 || m.failures > 0 || m.floor > m.told {
			call.Wait = 0
		}
		m.waiting = call.Call
		out = append(out, CallOut{Minion: m.name, Addr: rec.Addr, Call: call})
	}
	return out
}

// call makes a call with all but starts.
func (c *Core) call(now time.Duration, m *minion) internalapi.HoldCall {
	m.call++
	c.called = max(c.called, m.call)
	m.urgent = false
	call := internalapi.HoldCall{Call: m.call, Epoch: c.epoch, Minion: m.name, Boot: m.boot, Floor: m.floor, Acked: m.acks}
	m.acks = nil
	var due []*run
	for _, t := range sortedRunIDs(m.runs) {
		r := m.runs[t]
		if r.stop != "" && r.listed {
			call.Stops = append(call.Stops, internalapi.StopOrder{RunID: t, Why: r.stop})
			c.Counts.Stops++
			continue
		}
		if m.heard > 0 && m.failures == 0 && r.listed {
			due = append(due, r)
		}
	}
	c.renew(now, m, due, &call)
	for _, t := range slices.Sorted(maps.Keys(m.strays)) {
		call.Stops = append(call.Stops, internalapi.StopOrder{RunID: t, Why: m.strays[t]})
		c.Counts.Stops++
	}
	clear(m.strays)
	return call
}

// renew puts renewals into a call. A hold is renewed in its first quarter, and only while the minion answers: a call
// that may or may not have arrived must not put the lapse off for ever. A call has one Until: of holds that differ
// in length, those go first that have used up most.
func (c *Core) renew(now time.Duration, m *minion, runs []*run, call *internalapi.HoldCall) {
	var pick time.Duration
	worst := 0.0
	spent := func(r *run) float64 {
		if r.boot != m.boot {
			return 1
		}
		return float64(m.clockAt(now)+c.holdOf(r)-r.until) / float64(c.holdOf(r))
	}
	for _, r := range runs {
		if used := spent(r); used > 0.25 && used > worst {
			worst, pick = used, c.holdOf(r)
		}
	}
	if pick == 0 {
		return
	}
	call.Until = m.clockAt(now) + pick
	for _, r := range runs {
		if c.holdOf(r) == pick && spent(r) > 0.25 {
			call.Renew = append(call.Renew, r.handle.RunID)
			r.until, r.boot = call.Until, m.boot
		}
	}
}

// holdOf is how long a run goes on unheard: as its placement policy had it when the run ID was given.
func (c *Core) holdOf(r *run) time.Duration { return cmp.Or(r.handle.LeaseTTL, c.cfg.Hold) }

// firstHold is the hold that a start order brings. A minion that starts whatever it is told looks at nothing else of
// an order but its hold: one that stood still with the order unread must not carry it out long after its job was
// cancelled or its zone evacuated. So its first hold is no longer than the bound on its lateness; the first answer
// that lists the run renews it in full. Others look at Void.
func (c *Core) firstHold(m *minion, r *run) time.Duration {
	if m.kind == "obey" && c.cfg.Lateness > 0 {
		return min(c.holdOf(r), c.cfg.Lateness)
	}
	return c.holdOf(r)
}

// orderCall makes a call with all the starts of the outbox, in run ID order.
func (c *Core) orderCall(now time.Duration, m *minion, rec *state.Worker) CallOut {
	call := c.call(now, m)
	void := m.clockAt(now) + c.cfg.StartWindow
	for _, t := range m.outbox {
		r := m.runs[t]
		if r == nil || r.gone {
			continue
		}
		j, task := c.st.TaskOf(r.handle.Ref)
		if r.out = false; r.stop != "" || task == nil || task.RunID != t || r.handle.Incarnation != m.boot {
			c.kill(r, command.ProofUnsent, "")
			continue
		}
		step := &j.Spec.Steps[r.handle.Ref.Step]
		until := m.clockAt(now) + c.firstHold(m, r)
		r.call, r.inFlight, r.until, r.boot = call.Call, true, until, m.boot
		call.Starts = append(call.Starts, internalapi.StartOrder{RunID: t, Job: r.handle.Ref.Job, Step: step.Name, Task: r.handle.Ref.Task,
			Type: step.Type, Queue: j.Spec.Queue, Cores: step.Cores, GPUs: step.GPUs, Labels: step.Labels, Run: step.Run,
			Void: void, Until: until})
		c.Counts.Sent++
	}
	m.outbox = nil
	m.order = call.Call
	co := CallOut{Minion: m.name, Addr: rec.Addr, Order: true, Call: call}
	if len(call.Starts) > 0 {
		co.Before = m.outBy
	}
	return co
}

// unsend voids orders that did not leave in time: they never left, so their handles are dead.
func (c *Core) unsend(m *minion) {
	for _, t := range m.outbox {
		if r := m.runs[t]; r != nil {
			r.out = false
			c.kill(r, command.ProofUnsent, "")
		}
	}
	m.outbox = nil
}

// Failure takes in that a call got no answer. sent tells whether any byte of it may have left.
func (c *Core) Failure(now time.Duration, name string, order bool, call internalapi.HoldCall, sent bool) {
	c.now = now
	m := c.line(name, order, call)
	if m == nil {
		return
	}
	c.Counts.CallFailures++
	m.failures++
	m.vain = m.vain || call.Call > m.before
	m.retry = now + c.cfg.Retry
	m.acks = append(call.Acked, m.acks...)
	for _, s := range call.Starts {
		r := m.runs[s.RunID]
		if r == nil {
			continue
		}
		r.inFlight = false
		if !sent {
			r.call = 0
			c.kill(r, command.ProofUnsent, "")
			continue
		}
		m.floor = max(m.floor, s.RunID)
		c.doubt(r)
	}
}

func (c *Core) doubt(r *run) {
	if !r.gone && !r.listed && r.handle.Phase == state.TaskAssigned {
		c.doubts = append(c.doubts, r.handle.RunID)
		c.Counts.Doubts++
	}
}

// line finds the minion whose call came back and frees the line it went on; nil if that call is none of this
// epoch's or not the one under way.
func (c *Core) line(name string, order bool, call internalapi.HoldCall) *minion {
	m := c.minions[name]
	if m == nil || c.phase != Ready || call.Epoch != c.epoch {
		return nil
	}
	at := &m.waiting
	if order {
		at = &m.order
	}
	if *at != call.Call {
		return nil
	}
	*at = 0
	c.dirty[name], c.fresh[name] = true, true
	c.swept = false
	return m
}

// Answer takes in the answer to a call. An answer that is older than one taken in already, or that names another
// call, tells nothing any more.
func (c *Core) Answer(now time.Duration, name string, order bool, call internalapi.HoldCall, a internalapi.HoldAnswer) {
	c.now = now
	if a.Call != call.Call {
		c.Counts.Crossed++
		c.Failure(now, name, order, call, true)
		return
	}
	m := c.line(name, order, call)
	if m == nil {
		return
	}
	for _, s := range call.Starts {
		if r := m.runs[s.RunID]; r != nil {
			r.inFlight = false
		}
	}
	for _, ref := range a.Refused {
		if r := m.runs[ref.RunID]; r != nil && r.call == call.Call {
			c.kill(r, command.ProofRefuse, "refused by "+name+": "+ref.Why)
			c.Counts.Refused++
		}
	}
	if call.Call < m.taken {
		c.Counts.Crossed++
		// Its starts are judged by a newer answer; that floor lets them be proved either way.
		for _, s := range call.Starts {
			if r := m.runs[s.RunID]; r != nil && !r.listed {
				m.floor = max(m.floor, s.RunID)
			}
		}
		c.endings(now, m, a.Ended)
		return
	}
	if m.past[a.Boot] { // made before one that was taken in, although its call is newer
		c.Counts.Crossed++
		c.endings(now, m, a.Ended)
		return
	}
	if m.boot != "" && m.boot != a.Boot {
		if m.past == nil {
			m.past = map[string]bool{}
		}
		m.past[m.boot] = true
	}
	m.taken = call.Call
	m.failures, m.vain = 0, false
	m.boot, m.kind, m.drain = a.Boot, a.Kind, a.Draining
	m.heard, m.clock, m.told = now, a.Clock, a.Floor
	c.hear(m, a)
	c.listing(now, m, call, a)
}

// hear takes in what the minion says of itself.
func (c *Core) hear(m *minion, a internalapi.HoldAnswer) {
	rec := c.st.Workers[m.name]
	if rec == nil {
		return
	}
	said := state.Worker{Name: m.name, Addr: rec.Addr, Closed: rec.Closed, Incarnation: a.Boot, Kind: a.Kind, Zone: a.Zone, Rack: a.Rack,
		Labels: a.Labels, Cores: a.Cores, GPUs: a.GPUs, Draining: a.Draining}
	m.report = nil
	if said.Incarnation != rec.Incarnation || said.Kind != rec.Kind || said.Zone != rec.Zone || said.Rack != rec.Rack ||
		said.Cores != rec.Cores || said.GPUs != rec.GPUs || said.Draining != rec.Draining || !maps.Equal(said.Labels, rec.Labels) {
		m.report = &said
		c.said[m.name] = true
	}
}

// endings takes in listed ends. An end is a fact however old the answer is that lists it.
func (c *Core) endings(now time.Duration, m *minion, ended []internalapi.EndNote) {
	for _, e := range ended {
		r := m.runs[e.RunID]
		if r == nil {
			c.lateEnd(m, e)
			continue
		}
		well := e.How == internalapi.EndWell || e.How == internalapi.EndFailure
		if r.ended || r.gone && !well {
			continue // gone by a proof that is not committed yet: a true end still goes before it
		}
		r.ended = well
		switch e.How {
		case internalapi.EndWell, internalapi.EndFailure:
			r.gone = true
			c.ends = append(c.ends, command.End{RunID: e.RunID, Ref: r.handle.Ref, OK: e.How == internalapi.EndWell, Reason: e.Reason})
			c.Counts.Ended++
			c.health.ended(now, r.handle, e.How == internalapi.EndWell)
			if e.How == internalapi.EndFailure {
				c.Counts.Failures++
				c.judge(now, m, r.handle.Type)
			}
		case internalapi.EndLapse:
			c.kill(r, command.ProofLeaseExpired, "its hold lapsed")
		default:
			c.kill(r, command.ProofStop, e.Reason)
		}
	}
}

// lateEnd takes in a listed end of a run ID without a handle. One that was let go by a proof has ended well all the
// same if its task has no newer run ID; all others may be forgotten.
func (c *Core) lateEnd(m *minion, e internalapi.EndNote) {
	r := c.late(e.RunID)
	switch {
	case r == nil || e.How != internalapi.EndWell:
		m.acks = append(m.acks, e.RunID)
	case !r.ended:
		r.ended = true
		c.ends = append(c.ends, command.End{RunID: e.RunID, Ref: r.ref, OK: true})
		c.Counts.Ended++
	}
}

// listing holds what runs and what ended there against the handles, both ways.
func (c *Core) listing(now time.Duration, m *minion, call internalapi.HoldCall, a internalapi.HoldAnswer) {
	seen := make(map[uint64]bool, len(a.Running)+len(a.Ended))
	for _, t := range a.Running {
		seen[t] = true
		r := m.runs[t]
		if r == nil {
			m.strays[t] = "no handle"
			m.urgent = true
			continue
		}
		r.listed, r.absent = true, 0
		if r.handle.Phase != state.TaskRunning && !r.gone {
			c.running = append(c.running, t)
		}
		if r.stop != "" {
			m.urgent = true
		}
	}
	for _, e := range a.Ended {
		seen[e.RunID] = true
	}
	c.endings(now, m, a.Ended)
	dead, doubts := len(c.dead), len(c.doubts)
	for t, r := range m.runs {
		if seen[t] || r.gone || r.out || r.inFlight || r.mine && (r.call == 0 || r.call > call.Call) {
			continue
		}
		r.listed = false
		if a.Floor < t {
			m.floor = max(m.floor, t)
			m.urgent = true
			c.doubt(r)
			continue
		}
		if m.kind == "obey" {
			if c.old > 0 && now < c.since+c.cfg.StartWindow { // an order of before, under this epoch, may not have left yet
				continue
			}
			if r.absent == 0 || r.missed != a.Boot {
				r.absent, r.missed = max(a.Clock, 1), a.Boot
				c.doubt(r)
			}
			// By the minion's clock: the answer may have been under way for long, and tells of when it was made.
			if drift(a.Clock-r.absent) < c.cfg.Lateness {
				continue
			}
		}
		c.kill(r, command.ProofFloor, "")
	}
	c.order(dead, doubts)
	c.dirty[m.name] = true
}

func sortedRunIDs(runs map[uint64]*run) []uint64 { return slices.Sorted(maps.Keys(runs)) }
