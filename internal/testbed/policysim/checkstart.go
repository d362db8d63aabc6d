package policysim

import (
	"time"

	"crosstide/internal/state"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/policyworker"
)

const (
	cancelTimeout     = 3 * time.Second // from an acknowledged cancel until no task of the job may start
	drainTimeout      = 2 * time.Second // from the start of a drain until no start order may be sent to the worker
	evacuationTimeout = 5 * time.Second // from an acknowledged evacuation until no task may start in the zone
)

// checkStart checks a start against all invariants that restrict starts. It does so at once, as a wrong start cannot be
// undone.
func (ic *invariantChecker) checkStart(w *worker, e journal.Entry) {
	s := ic.sim
	started := ic.runIDs[e.RunID]
	if started == nil || started.orderedAt == 0 || started.handle.Worker != w.addr {
		s.reportViolation("durable", "%s starts ticket %d, which was not ordered there", w.addr, e.RunID)
		return
	}
	if !s.faultsEnded {
		s.report.Counts["starts under faults"]++
	}
	ic.checkOnceAtATime(w, started)
	s.countCase("not after it ended well")
	for _, end := range ic.completions[started.handle.Ref] {
		ic.checkRerun(started, end)
	}
	ic.checkCancelled(started)
	ic.checkNotLate(w, started)
	ic.checkWorkerAvailable(w, started)
	ic.checkFits(w, started)
}

// checkOnceAtATime checks that no other run of the task has a valid lease (invariant: once at a time).
func (ic *invariantChecker) checkOnceAtATime(w *worker, started *runIDHistory) {
	s, ref := ic.sim, started.handle.Ref
	s.countCase("once at a time")
	for _, r := range ic.running {
		if r.ref == ref && s.now < r.leaseUntil {
			s.reportViolation("once at a time", "%v starts as ticket %d on %s while ticket %d runs on %s",
				ref, started.handle.RunID, w.addr, r.runID, r.worker.addr)
		}
	}
}

// checkRerun checks the start of a task of which an earlier run succeeded (invariant: not after it ended well). The
// scheduler learns of that end only from an answer of the worker, and a task must not wait forever for a worker that is
// lost. So the start is a violation if the task is done in the store, or if the role holder that decided the start got
// the end more than a second before the old handle was released. Other cases are only counted.
func (ic *invariantChecker) checkRerun(started *runIDHistory, end *completion) {
	s := ic.sim
	old := ic.runIDs[end.runID]
	if end.runID >= started.handle.RunID {
		return
	}
	ref, runID := started.handle.Ref, started.handle.RunID
	if _, task := ic.reference.TaskOf(ref); task == nil || task.Phase == state.TaskDone && task.RunID != runID {
		s.reportViolation("not after it ended well", "ticket %d starts %v, which the store has as done", runID, ref)
	}
	if at, ok := end.reportedAt[started.handle.Epoch]; ok && at+time.Second < old.releasedAt {
		s.reportViolation("not after it ended well",
			"ticket %d starts %v; its holder was told at %v that ticket %d ended well, which was closed at %v",
			runID, ref, at, end.runID, old.releasedAt)
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
		s.reportViolation("cancelled starts nothing", "ticket %d of %s, cancelled at %v", started.handle.RunID, key,
			j.cancelledAt)
	}
}

// checkNotLate checks that a start order was carried out in time after it left the role holder (invariant: not late).
// If it arrived at a frozen machine, the time counts from when the machine wakes.
func (ic *invariantChecker) checkNotLate(w *worker, started *runIDHistory) {
	s := ic.sim
	s.countCase("not late")
	// The time after which the order is invalid by the worker's clock, plus the time for which the worker's report of
	// its clock was in flight.
	late := 700 * time.Millisecond
	if w.kind == policyworker.KindObey {
		// At worst the order was in flight until its connection was closed.
		late = callTimeout/2 + maxOrderDelay + 100*time.Millisecond
	}
	if s.now-max(started.orderedAt, w.wokeAt) > late {
		s.reportViolation("not late", "ticket %d was written at %v and starts on %s (%s)",
			started.handle.RunID, started.orderedAt, w.addr, w.kind)
	}
}

// checkWorkerAvailable checks that a start is neither in an evacuated zone nor on a draining worker (invariants:
// evacuated, draining).
func (ic *invariantChecker) checkWorkerAvailable(w *worker, started *runIDHistory) {
	s := ic.sim
	if at, out := ic.evacuated[w.zone]; out && s.now > at+evacuationTimeout {
		s.reportViolation("evacuated", "ticket %d starts on %s, %s is evacuated since %v",
			started.handle.RunID, w.addr, w.zone, at)
	}
	if !w.draining {
		return
	}
	s.countCase("draining")
	if started.orderedAt > w.drainingSince+drainTimeout {
		s.reportViolation("draining", "ticket %d was written at %v for %s, which drains since %v",
			started.handle.RunID, started.orderedAt, w.addr, w.drainingSince)
	}
}

// checkFits checks that the worker has the labels and the cores for a start (invariant: fits), and records the run.
func (ic *invariantChecker) checkFits(w *worker, started *runIDHistory) {
	s, ref := ic.sim, started.handle.Ref
	s.countCase("fits")
	step := ic.jobs[ref.Job].spec.Steps[ref.Step]
	for label, value := range step.Labels {
		if w.labels[label] != value {
			s.reportViolation("fits", "ticket %d wants %s=%s, %s has not", started.handle.RunID, label, value, w.addr)
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
		s.reportViolation("fits", "%d cores run on %s, it has %d", taken, w.addr, w.cores)
	}
}
