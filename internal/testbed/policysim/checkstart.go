package policysim

import (
	"time"

	"crosstide/internal/state"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/policyworker"
)

const (
	cancelTimeout     = 3 * time.Second // from an acknowledged cancel until no task of the job starts any more
	drainTimeout      = 2 * time.Second // from the start of a drain until the worker gets no start order any more
	evacuationTimeout = 5 * time.Second // from an acknowledged evacuation until no task starts in the zone any more
)

// checkStart checks a start against all invariants that limit starts: a wrong one cannot be undone.
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

// checkRepeat checks the start of a task of which an earlier run ended well (invariant: not after it ended well). The
// scheduler knows of that end once a role holder got it in an answer. Before, it cannot know it, and a task must not
// wait forever for a worker that is gone. So the start is a breach if the store has the task as done, or if the holder
// that decided it knew of the end a second before the old handle was released. Otherwise it is only counted.
func (ic *invariantChecker) checkRepeat(started *runIDHistory, end *completion) {
	s := ic.sim
	old := ic.runIDs[end.runID]
	if end.runID >= started.handle.RunID {
		return
	}
	ref, runID := started.handle.Ref, started.handle.RunID
	if _, task := ic.reference.TaskOf(ref); task == nil || task.Phase == state.TaskDone && task.RunID != runID {
		s.reportBreach("not after it ended well", "ticket %d starts %v, which the store has as done", runID, ref)
	}
	if at, ok := end.acknowledged[started.handle.Epoch]; ok && at+time.Second < old.closedAt {
		s.reportBreach("not after it ended well",
			"ticket %d starts %v; its holder was told at %v that ticket %d ended well, which was closed at %v",
			runID, ref, at, end.runID, old.closedAt)
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

// checkNotLate checks that a start order was carried out in time after it left the role holder (invariant: not late).
// An order that arrived at a frozen machine is carried out when that wakes, and its time counts from there.
func (ic *invariantChecker) checkNotLate(w *worker, started *runIDHistory) {
	s := ic.sim
	s.countCase("not late")
	// The time after which the order is invalid by the worker's clock, plus the time for which the worker's report of
	// its clock was in flight.
	late := 700 * time.Millisecond
	if w.kind == policyworker.KindObey {
		// At worst the order was in flight until its connection was closed.
		late = callTimeout/2 + lateness + 100*time.Millisecond
	}
	if s.now-max(started.orderedAt, w.wokeAt) > late {
		s.reportBreach("not late", "ticket %d was written at %v and starts on %s (%s)",
			started.handle.RunID, started.orderedAt, w.addr, w.kind)
	}
}

// checkWorkerOpen checks that a start is neither in an evacuated zone nor on a draining worker (invariants: evacuated,
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

// checkFits checks the labels and the cores of the worker of a start (invariant: fits), and adds the run to its runs.
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
