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

// renewAfter is the elapsed fraction of a lease after which the lease is renewed.
const renewAfter = 0.25

// appendCalls appends the calls that must be sent to a worker now: start orders and urgent stops on its order
// connection, and the next poll if none is in flight. w is nil if the worker was retired.
func (c *Core) appendCalls(now time.Duration, w *worker, calls []OutgoingCall) []OutgoingCall {
	if w == nil {
		return calls
	}
	rec := c.st.Workers[w.name]
	if rec == nil {
		return calls
	}
	if len(w.outbox) > 0 && (now > w.outboxDeadline || w.draining || now-w.heardAt > c.cfg.OrderTimeout) {
		c.dropUnsentOrders(w)
	}
	if w.failures > 0 && now < w.retryAt {
		return calls
	}
	if w.orderCall == 0 && w.heardAt > 0 && (len(w.outbox) > 0 || w.urgent && w.pollCall != 0) {
		calls = append(calls, c.newOrderCall(now, w, rec))
	}
	if w.pollCall == 0 {
		call := c.newLeaseCall(now, w)
		call.Wait = c.cfg.PollWait
		if w.heardAt == 0 || w.failures > 0 || w.floor > w.ackedFloor { // the answer is needed at once
			call.Wait = 0
		}
		w.pollCall = call.Call
		calls = append(calls, OutgoingCall{Worker: w.name, Addr: rec.Addr, Call: call})
	}
	return calls
}

// newLeaseCall returns the next call to a worker, with stops, renewals and acknowledgements, but without starts.
func (c *Core) newLeaseCall(now time.Duration, w *worker) internalapi.LeaseCall {
	w.lastCall++
	c.role.highestCall = max(c.role.highestCall, w.lastCall)
	call := internalapi.LeaseCall{Call: w.lastCall, Epoch: c.role.epoch, Worker: w.name, Incarnation: w.incarnation,
		Floor: w.floor, Acked: w.acks}
	w.acks, w.urgent = nil, false
	var renewable []*run
	for _, runID := range sortedRunIDs(w.runs) {
		r := w.runs[runID]
		switch {
		case !r.listed:
		case r.stopReason != "":
			call.Stops = append(call.Stops, internalapi.StopOrder{RunID: runID, Why: r.stopReason})
		case w.heardAt > 0 && w.failures == 0:
			renewable = append(renewable, r)
		}
	}
	c.addRenewals(now, w, renewable, &call)
	for _, runID := range slices.Sorted(maps.Keys(w.orphans)) {
		call.Stops = append(call.Stops, internalapi.StopOrder{RunID: runID, Why: w.orphans[runID]})
	}
	clear(w.orphans)
	c.Counts.StopOrders += uint64(len(call.Stops))
	return call
}

// addRenewals adds renewals to a call. runs must belong to a worker that answers: renewals in calls that may not have
// arrived would postpone the known end of a lease for ever. A lease is renewed once a quarter of it has elapsed. A
// call has a single RenewUntil, so it renews only leases of one length: that of the lease with the largest elapsed
// fraction.
func (c *Core) addRenewals(now time.Duration, w *worker, runs []*run, call *internalapi.LeaseCall) {
	elapsedFraction := func(r *run) float64 {
		if r.leaseIncarnation != w.incarnation {
			return 1
		}
		return float64(w.clockAt(now)+c.leaseOf(r)-r.leaseUntil) / float64(c.leaseOf(r))
	}
	var length time.Duration
	largestFraction := 0.0
	for _, r := range runs {
		if fraction := elapsedFraction(r); fraction > renewAfter && fraction > largestFraction {
			largestFraction, length = fraction, c.leaseOf(r)
		}
	}
	if length == 0 {
		return
	}
	call.RenewUntil = w.clockAt(now) + length
	for _, r := range runs {
		if c.leaseOf(r) == length && elapsedFraction(r) > renewAfter {
			call.Renew = append(call.Renew, r.handle.RunID)
			r.leaseUntil, r.leaseIncarnation = call.RenewUntil, w.incarnation
		}
	}
}

// leaseOf returns the length of a run's lease according to the placement policy in force when its run ID was assigned.
func (c *Core) leaseOf(r *run) time.Duration { return cmp.Or(r.handle.LeaseTTL, c.cfg.RunLease) }

// firstLease returns the length of the lease in a start order. A worker of kind obey checks only the lease of an
// order. If it was suspended before it read the order, it must not execute the order long after the job was cancelled
// or the zone evacuated. Its first lease is therefore at most Config.MaxOrderDelay, and is renewed in full after the
// first answer that lists the run. Other workers check StartBy.
func (c *Core) firstLease(w *worker, r *run) time.Duration {
	if w.obeys() && c.cfg.MaxOrderDelay > 0 {
		return min(c.leaseOf(r), c.cfg.MaxOrderDelay)
	}
	return c.leaseOf(r)
}

// newOrderCall returns a call with the start orders of the outbox, in the order of run IDs. A run that must no longer
// start is left out and proved dead as unsent.
func (c *Core) newOrderCall(now time.Duration, w *worker, rec *state.Worker) OutgoingCall {
	call := c.newLeaseCall(now, w)
	startBy := w.clockAt(now) + c.cfg.StartWindow
	for _, runID := range w.outbox {
		r := w.runs[runID]
		if r == nil || r.closing {
			continue
		}
		r.inOutbox = false
		job, task := c.st.TaskOf(r.handle.Ref)
		if r.stopReason != "" || task == nil || task.RunID != runID || r.handle.Incarnation != w.incarnation {
			c.proveDead(r, command.ProofUnsent, "")
			continue
		}
		r.orderCall, r.inFlight = call.Call, true
		r.leaseUntil, r.leaseIncarnation = w.clockAt(now)+c.firstLease(w, r), w.incarnation
		call.Starts = append(call.Starts, startOrder(r, job, startBy))
		c.Counts.StartOrders++
	}
	w.outbox = nil
	w.orderCall = call.Call
	outgoing := OutgoingCall{Worker: w.name, Addr: rec.Addr, IsOrder: true, Call: call}
	if len(call.Starts) > 0 {
		outgoing.WriteBy = w.outboxDeadline
	}
	return outgoing
}

// startOrder returns the start order for a run.
func startOrder(r *run, job *state.Job, startBy time.Duration) internalapi.StartOrder {
	ref := r.handle.Ref
	step := &job.Spec.Steps[ref.Step]
	return internalapi.StartOrder{
		RunID: r.handle.RunID, Job: ref.Job, Step: step.Name, Task: ref.Task, Type: step.Type, Queue: job.Spec.Queue,
		Cores: step.Cores, GPUs: step.GPUs, Labels: step.Labels, Run: step.Run,
		StartBy: startBy, LeaseUntil: r.leaseUntil,
	}
}

// dropUnsentOrders empties a worker's outbox. Its orders were never sent, which proves their runs dead.
func (c *Core) dropUnsentOrders(w *worker) {
	for _, runID := range w.outbox {
		if r := w.runs[runID]; r != nil {
			r.inOutbox = false
			c.proveDead(r, command.ProofUnsent, "")
		}
	}
	w.outbox = nil
}
