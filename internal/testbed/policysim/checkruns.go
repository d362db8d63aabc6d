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

const (
	cancelTimeout     = 3 * time.Second // from an acknowledged cancel until nothing of the job starts any more
	drainTimeout      = 2 * time.Second // from the begin of a drain until no start is ordered at the worker any more
	evacuationTimeout = 5 * time.Second // from an acknowledged evacuation until nothing starts in the zone any more
)

// runRecords are all run IDs, and the runs as the workers show them.
type runRecords struct {
	runIDs      map[uint64]*runIDHistory
	ended       map[state.TaskRef][]*completion
	running     []*workerRun
	newestOrder map[*worker]uint64 // newest run ID whose start order arrived at a worker
}

// runIDHistory is what became of a run ID.
type runIDHistory struct {
	handle     state.Handle
	orderedAt  time.Duration // when its start order left the role holder; 0 before
	closedAt   time.Duration // when its handle was released
	leaseUntil time.Duration // end of the first lease, as the start order has it, in virtual time
}

// completion is a run that ended well at its worker.
type completion struct {
	runID        uint64
	worker       *worker
	generation   int                      // of the worker
	acknowledged map[uint64]time.Duration // when a role holder first had the end in an answer, by epoch
}

// workerRun is a run at a worker. It is known to be over when the worker says so, when its lease has expired, or with
// the worker's next incarnation.
type workerRun struct {
	ref        state.TaskRef
	runID      uint64
	worker     *worker
	generation int // of the worker
	cores      int
	leaseUntil time.Duration // virtual time
}

// observeLeaseCall checks a lease call as it leaves a data-plane node (invariants: fence, durable, ordered once).
func (ic *invariantChecker) observeLeaseCall(d *dataPlane, c scheduler.OutgoingCall) {
	s := ic.sim
	ic.checkFence(d, c)
	for _, st := range c.Call.Starts {
		t := ic.runIDs[st.RunID]
		if t == nil {
			s.reportBreach("durable", "the order of ticket %d leaves %s before it is committed", st.RunID, d.addr)
			return
		}
		s.countCase("ordered once")
		if t.orderedAt != 0 {
			s.reportBreach("ordered once", "ticket %d was ordered at %v already", st.RunID, t.orderedAt)
		}
		t.orderedAt = s.now
		s.trace("%s orders ticket %d (%s/%s/%d) at %s, epoch %d, call %d", d.addr, st.RunID, st.Job, st.Step, st.Task,
			c.Worker, c.Call.Epoch, c.Call.Call)
	}
}

// observeOrderArrived checks the start orders of a call that is at a worker (invariant: newer ticket).
func (ic *invariantChecker) observeOrderArrived(w *worker, call internalapi.LeaseCall) {
	for _, st := range call.Starts {
		if t := ic.runIDs[st.RunID]; t != nil {
			t.leaseUntil = w.clockZero + st.LeaseUntil
		}
		ic.sim.countCase("newer ticket")
		if st.RunID <= ic.newestOrder[w] && w.kind == policyworker.KindObey {
			ic.sim.reportBreach("newer ticket", "ticket %d reaches %s, which has seen %d", st.RunID, w.addr,
				ic.newestOrder[w])
		}
		ic.newestOrder[w] = max(ic.newestOrder[w], st.RunID)
	}
}

// observeRenewal extends the leases that a call renews; the worker has carried it out.
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

// observeAnswer records which ends a role holder learns from an answer.
func (ic *invariantChecker) observeAnswer(d *dataPlane, c scheduler.OutgoingCall, a internalapi.LeaseAnswer) {
	if a.Call != c.Call.Call || c.Call.Epoch != d.scheduler.Epoch() {
		return
	}
	for _, e := range a.Ended {
		t := ic.runIDs[e.RunID]
		if t == nil || e.Outcome != internalapi.OutcomeOK {
			continue
		}
		for _, end := range ic.ended[t.handle.Ref] {
			if end.runID == e.RunID {
				if _, ok := end.acknowledged[c.Call.Epoch]; !ok {
					end.acknowledged[c.Call.Epoch] = ic.sim.now
				}
			}
		}
	}
}

// observeWorkerStart forgets the runs of a worker's former incarnation: they ended with it.
func (ic *invariantChecker) observeWorkerStart(w *worker) {
	ic.running = slices.DeleteFunc(ic.running, func(r *workerRun) bool { return r.worker == w })
	ic.sim.trace("%s boots as %s", w.addr, w.traits.Incarnation)
}

func (ic *invariantChecker) observeWorkerKill(w *worker) { ic.sim.trace("%s is killed", w.addr) }

// observeJournal takes in what a worker did, as its journal has it.
func (ic *invariantChecker) observeJournal(w *worker, e journal.Entry) {
	if e.Event == journal.NewIncarnation {
		return
	}
	ic.sim.trace("%s %s ticket %d %s/%s/%d ok=%v %s", w.addr, e.Event, e.RunID, e.Job, e.Step, e.Task, e.OK, e.Reason)
	switch e.Event {
	case journal.Start:
		ic.checkStart(w, e)
		if t := ic.runIDs[e.RunID]; t != nil {
			ic.sim.billingChecker.observeStart(t.handle.Ref, e.RunID)
		}
	case journal.Refuse:
		ic.sim.report.Counts["refused: "+e.Reason]++
	case journal.End, journal.Stop, journal.Expire:
		if e.Event == journal.Expire {
			ic.sim.report.Counts["lapsed"]++
		}
		n := len(ic.running)
		ic.running = slices.DeleteFunc(ic.running,
			func(r *workerRun) bool { return r.worker == w && r.runID == e.RunID })
		if t := ic.runIDs[e.RunID]; e.Event == journal.End && e.OK && t != nil && n > len(ic.running) {
			ic.ended[t.handle.Ref] = append(ic.ended[t.handle.Ref],
				&completion{e.RunID, w, w.generation, map[uint64]time.Duration{}})
		}
	}
}

// checkStart checks a start, the one event that must never be wrong.
func (ic *invariantChecker) checkStart(w *worker, e journal.Entry) {
	s := ic.sim
	started := ic.runIDs[e.RunID]
	if started == nil || started.orderedAt == 0 || started.handle.Worker != w.addr {
		s.reportBreach("durable", "%s starts ticket %d, which was not ordered there", w.addr, e.RunID)
		return
	}
	if !s.faultsOver {
		s.report.Counts["starts under faults"]++
	}
	ic.checkOnceAtATime(w, started)
	s.countCase("not after it ended well")
	for _, end := range ic.ended[started.handle.Ref] {
		ic.checkRepeat(started, end)
	}
	ic.checkCancelled(started)
	ic.checkNotLate(w, started)
	ic.checkWorkerOpen(w, started)
	ic.checkFits(w, started)
}

// checkOnceAtATime checks that no other run of the task has a lease.
func (ic *invariantChecker) checkOnceAtATime(w *worker, started *runIDHistory) {
	s, ref := ic.sim, started.handle.Ref
	s.countCase("once at a time")
	for _, r := range ic.running {
		if r.ref == ref && s.now < r.leaseUntil {
			s.reportBreach("once at a time", "%v starts as ticket %d on %s while ticket %d runs on %s",
				ref, started.handle.RunID, w.addr, r.runID, r.worker.addr)
		}
	}
}

// checkRepeat checks the start of a task of which a run ended well before. The scheduler knows of the end once a role
// holder had it in an answer; until then nobody can know it, and a task must not wait for ever for a worker that is
// gone. So it is a breach if the store has the task as done, or if the holder that decided the start knew of the end a
// second before the old handle was released. Else it is counted apart.
func (ic *invariantChecker) checkRepeat(t *runIDHistory, end *completion) {
	s := ic.sim
	old := ic.runIDs[end.runID]
	if end.runID >= t.handle.RunID {
		return
	}
	if _, task := ic.reference.TaskOf(t.handle.Ref); task == nil || task.Phase == state.TaskDone &&
		task.RunID != t.handle.RunID {
		s.reportBreach("not after it ended well", "ticket %d starts %v, which the store has as done", t.handle.RunID,
			t.handle.Ref)
	}
	if at, ok := end.acknowledged[t.handle.Epoch]; ok && at+time.Second < old.closedAt {
		s.reportBreach("not after it ended well",
			"ticket %d starts %v; its holder was told at %v that ticket %d ended well, which was closed at %v",
			t.handle.RunID, t.handle.Ref, at, end.runID, old.closedAt)
	}
	if end.worker.generation != end.generation {
		s.report.Counts["ran again: the minion forgot the end with its boot"]++
	} else {
		s.report.Counts["ran again: the end was not heard until the hold had lapsed"]++
	}
}

func (ic *invariantChecker) checkCancelled(started *runIDHistory) {
	s, key := ic.sim, started.handle.Ref.Job
	j := ic.jobs[key]
	if j.cancelledAt > 0 && s.now > j.cancelledAt+cancelTimeout {
		s.reportBreach("cancelled starts nothing", "ticket %d of %s, cancelled at %v", started.handle.RunID, key,
			j.cancelledAt)
	}
}

// checkNotLate checks that a start order was carried out in time after it left the role holder. What lay in the kernel
// of a frozen machine is carried out when it wakes, and counts from there.
func (ic *invariantChecker) checkNotLate(w *worker, started *runIDHistory) {
	s := ic.sim
	s.countCase("not late")
	// The time after which the order is invalid, by the worker's clock, and the time that the worker's report of its
	// clock was in flight.
	late := 700 * time.Millisecond
	if w.kind == policyworker.KindObey {
		// The order was in flight until its connection was closed at most.
		late = callTimeout/2 + lateness + 100*time.Millisecond
	}
	if s.now-max(started.orderedAt, w.wokeAt) > late {
		s.reportBreach("not late", "ticket %d was written at %v and starts on %s (%s)",
			started.handle.RunID, started.orderedAt, w.addr, w.kind)
	}
}

// checkWorkerOpen checks that a start isn't in an evacuated zone or at a draining worker (invariants: evacuated,
// draining).
func (ic *invariantChecker) checkWorkerOpen(w *worker, started *runIDHistory) {
	s := ic.sim
	if at, out := ic.evacuated[w.zone]; out && s.now > at+evacuationTimeout {
		s.reportBreach("evacuated", "ticket %d starts on %s, %s is evacuated since %v",
			started.handle.RunID, w.addr, w.zone, at)
	}
	if !w.draining {
		return
	}
	s.countCase("draining")
	if started.orderedAt > w.drainingSince+drainTimeout {
		s.reportBreach("draining", "ticket %d was written at %v for %s, which drains since %v",
			started.handle.RunID, started.orderedAt, w.addr, w.drainingSince)
	}
}

// checkFits checks the labels and the cores of a worker with a start, which is among its runs from here on.
func (ic *invariantChecker) checkFits(w *worker, started *runIDHistory) {
	s, ref := ic.sim, started.handle.Ref
	s.countCase("fits")
	step := ic.jobs[ref.Job].spec.Steps[ref.Step]
	for label, value := range step.Labels {
		if w.labels[label] != value {
			s.reportBreach("fits", "ticket %d wants %s=%s, %s has not", started.handle.RunID, label, value, w.addr)
		}
	}
	ic.running = append(ic.running,
		&workerRun{ref: ref, runID: started.handle.RunID, worker: w, generation: w.generation,
			cores: step.Cores, leaseUntil: started.leaseUntil})
	taken := 0
	for _, r := range ic.running {
		if r.worker == w && s.now < r.leaseUntil {
			taken += r.cores
		}
	}
	if taken > w.cores {
		s.reportBreach("fits", "%d cores run on %s, it has %d", taken, w.addr, w.cores)
	}
}

// checkDone checks a job that its client sees as done (invariant: done): each of its tasks ended well at a worker.
func (ic *invariantChecker) checkDone(j *clientJob) {
	if j.outcome != state.JobDone {
		return
	}
	ic.sim.countCase("done")
	for i, step := range j.spec.Steps {
		for k := range step.Tasks {
			if len(ic.ended[state.TaskRef{Job: j.spec.Key, Step: i, Task: k}]) == 0 {
				ic.sim.reportBreach("done", "%s is shown as done, task %d of step %d never ended well", j.spec.Key, k,
					i)
			}
		}
	}
}
