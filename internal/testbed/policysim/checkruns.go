package policysim

import (
	"slices"
	"time"

	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/policyworker"
)

// runRecords holds all run IDs from the committed entries, and the runs from the workers' journals.
type runRecords struct {
	runIDs      map[uint64]*runIDHistory
	completions map[state.TaskRef][]*completion // entries are never removed
	running     []*workerRun                    // in the order of their starts
	newestOrder map[*worker]uint64              // newest run ID whose start order arrived at a worker
}

// runIDHistory records what happened under a run ID.
type runIDHistory struct {
	handle     state.Handle
	orderedAt  time.Duration // when its start order left the role holder; 0: not yet
	releasedAt time.Duration // when its handle was released; 0: not yet
	leaseUntil time.Duration // virtual time at which the lease in its start order ends
}

// completion is a run that succeeded on its worker.
type completion struct {
	runID      uint64
	worker     *worker
	generation int                      // of the worker
	reportedAt map[uint64]time.Duration // when a role holder first got the end in an answer, by epoch
}

// workerRun is a run on a worker. It has ended when the worker's journal has its end, when its lease has expired, or
// when the worker's next incarnation starts.
type workerRun struct {
	ref        state.TaskRef
	runID      uint64
	worker     *worker
	generation int // of the worker
	cores      int
	leaseUntil time.Duration // virtual time
}

// observeLeaseCall checks a lease call when it leaves a data-plane node (invariants: fence, durable, ordered once).
func (ic *invariantChecker) observeLeaseCall(d *dataPlane, c scheduler.OutgoingCall) {
	s := ic.sim
	ic.checkFence(d, c)
	for _, order := range c.Call.Starts {
		ordered := ic.runIDs[order.RunID]
		if ordered == nil {
			s.reportViolation("durable", "the order of ticket %d leaves %s before it is committed", order.RunID, d.addr)
			return
		}
		s.countCase("ordered once")
		if ordered.orderedAt != 0 {
			s.reportViolation("ordered once", "ticket %d was ordered at %v already", order.RunID, ordered.orderedAt)
		}
		ordered.orderedAt = s.now
		s.trace("%s orders ticket %d (%s/%s/%d) at %s, epoch %d, call %d", d.addr, order.RunID, order.Job, order.Step,
			order.Task, c.Worker, c.Call.Epoch, c.Call.Call)
	}
}

// observeOrderArrived checks the start orders of a call that has arrived at a worker (invariant: newer ticket).
func (ic *invariantChecker) observeOrderArrived(w *worker, call internalapi.LeaseCall) {
	for _, order := range call.Starts {
		if ordered := ic.runIDs[order.RunID]; ordered != nil {
			ordered.leaseUntil = w.clockZero + order.LeaseUntil
		}
		ic.sim.countCase("newer ticket")
		newest := ic.newestOrder[w]
		if order.RunID <= newest && w.kind == policyworker.KindObey {
			ic.sim.reportViolation("newer ticket", "ticket %d reaches %s, which has seen %d", order.RunID, w.addr,
				newest)
		}
		ic.newestOrder[w] = max(newest, order.RunID)
	}
}

// observeRenewal extends the leases that a call renews, after the worker has carried it out.
func (ic *invariantChecker) observeRenewal(w *worker, call internalapi.LeaseCall) {
	if call.Incarnation != w.traits.Incarnation && call.Incarnation != "" {
		return
	}
	for _, r := range ic.running {
		if r.worker == w && r.generation == w.generation && slices.Contains(call.Renew, r.runID) {
			r.leaseUntil = max(r.leaseUntil, w.clockZero+call.RenewUntil)
		}
	}
}

// observeAnswer records the successful runs that an answer reports to a role holder for the first time.
func (ic *invariantChecker) observeAnswer(d *dataPlane, c scheduler.OutgoingCall, a internalapi.LeaseAnswer) {
	if a.Call != c.Call.Call || c.Call.Epoch != d.scheduler.Epoch() {
		return
	}
	for _, ended := range a.Ended {
		history := ic.runIDs[ended.RunID]
		if history == nil || ended.Outcome != internalapi.OutcomeOK {
			continue
		}
		for _, end := range ic.completions[history.handle.Ref] {
			_, known := end.reportedAt[c.Call.Epoch]
			if end.runID == ended.RunID && !known {
				end.reportedAt[c.Call.Epoch] = ic.sim.now
			}
		}
	}
}

// observeWorkerStart removes the runs of a worker's previous incarnation, as the new one has killed them.
func (ic *invariantChecker) observeWorkerStart(w *worker) {
	ic.running = slices.DeleteFunc(ic.running, func(r *workerRun) bool { return r.worker == w })
	ic.sim.trace("%s boots as %s", w.addr, w.traits.Incarnation)
}

func (ic *invariantChecker) observeWorkerKill(w *worker) { ic.sim.trace("%s is killed", w.addr) }

// observeJournal records and checks an entry of a worker's journal.
func (ic *invariantChecker) observeJournal(w *worker, e journal.Entry) {
	s := ic.sim
	if e.Event == journal.NewIncarnation {
		return
	}
	s.trace("%s %s ticket %d %s/%s/%d ok=%v %s", w.addr, e.Event, e.RunID, e.Job, e.Step, e.Task, e.OK, e.Reason)
	switch e.Event {
	case journal.Start:
		ic.checkStart(w, e)
		if started := ic.runIDs[e.RunID]; started != nil {
			s.billingChecker.observeStart(started.handle.Ref, e.RunID)
		}
	case journal.Refuse:
		s.report.Counts["refused: "+e.Reason]++
	case journal.Expire:
		s.report.Counts["lapsed"]++
		ic.observeEnd(w, e)
	case journal.End, journal.Stop:
		ic.observeEnd(w, e)
	}
}

// observeEnd records the end of a run on its worker.
func (ic *invariantChecker) observeEnd(w *worker, e journal.Entry) {
	before := len(ic.running)
	ic.running = slices.DeleteFunc(ic.running, func(r *workerRun) bool { return r.worker == w && r.runID == e.RunID })
	wasRunning := len(ic.running) < before
	if history := ic.runIDs[e.RunID]; e.Event == journal.End && e.OK && history != nil && wasRunning {
		ref := history.handle.Ref
		ic.completions[ref] = append(ic.completions[ref], &completion{runID: e.RunID, worker: w,
			generation: w.generation, reportedAt: map[uint64]time.Duration{}})
	}
}

// checkDone checks that each task succeeded on a worker if the client sees the job as done (invariant: done).
func (ic *invariantChecker) checkDone(j *clientJob) {
	if j.outcome != state.JobDone {
		return
	}
	ic.sim.countCase("done")
	for i, step := range j.spec.Steps {
		for k := range step.Tasks {
			if len(ic.completions[state.TaskRef{Job: j.spec.Key, Step: i, Task: k}]) == 0 {
				ic.sim.reportViolation("done", "%s is shown as done, task %d of step %d never ended well", j.spec.Key,
					k, i)
			}
		}
	}
}
