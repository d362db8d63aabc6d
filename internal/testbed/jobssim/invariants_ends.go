package jobssim

import (
	"slices"

	"crosstide/internal/jobs"
)

// ended records the end of a run.
func (ic *invariantChecker) ended(r *liveRun, reason jobs.EndReason) *endRecord {
	ic.sim.trace("end %s %s", r, reason)
	j := ic.history(r.key.Task.Job)
	ic.removeRun(j, r)
	if ic.sim.now < r.worker.host.disruptedUntil {
		ic.excuseIdle(j)
	}
	ic.sim.report.Counts["end: "+string(reason)]++
	if reason == jobs.EndStopped && !j.job.isCancelSent && !j.attemptsExhausted() {
		ic.sim.report.Counts["stopped for other work"]++
	}
	e := &endRecord{run: r, reason: reason, at: ic.sim.now}
	ic.endListed(r.worker, e)
	t := j.endHistory(r.key.Task)
	switch reason {
	case jobs.EndDone:
		t.done = append(t.done, e)
	case jobs.EndFailed:
		t.failed = append(t.failed, e)
	case jobs.EndGangTimeout:
		ic.checkGangStart(j, r)
	case jobs.EndLeaseExpired:
		j.excusedUntil = max(j.excusedUntil, ic.sim.now+contactTimeout)
	}
	return e
}

// checkGangStart judges a run that ended because its gang did not become complete in time.
func (ic *invariantChecker) checkGangStart(j *jobHistory, r *liveRun) {
	if ic.isGangUndisrupted(r) && !j.job.isCancelSent {
		ic.violate(GangInvariant, "%s timed out waiting for its gang", r)
	}
}

// isGangUndisrupted reports whether no disruption of the core, or of a worker to which a member was sent, is near a run
// of a gang.
func (ic *invariantChecker) isGangUndisrupted(r *liveRun) bool {
	if !r.origin.wasCoreStable || r.origin.isLate || !ic.sim.isCoreStable() {
		return false
	}
	for _, host := range ic.gangHosts[r.gangKey()] {
		if r.began < host.disruptedUntil+contactTimeout || host.current == nil {
			return false
		}
	}
	return true
}

// removeRun removes a run from the running ones of its task.
func (ic *invariantChecker) removeRun(j *jobHistory, r *liveRun) {
	t := j.task(r.key.Task)
	before := len(t.running)
	t.running = slices.DeleteFunc(t.running, func(other *liveRun) bool { return other == r })
	if len(t.running) < before {
		j.running--
	}
	if r.gang != nil && ic.isGangUndisrupted(r) {
		ic.countCase(GangInvariant)
	}
}

// runLost records that a run was lost with its worker.
func (ic *invariantChecker) runLost(r *liveRun) {
	j := ic.history(r.key.Task.Job)
	ic.removeRun(j, r)
	ic.excuseIdle(j)
}

// workerLost records that a worker was lost or is disrupted, so that its unacknowledged ends may not be delivered.
func (ic *invariantChecker) workerLost(w *workerIncarnation) {
	for _, e := range w.endRecords {
		ic.excuseIdle(ic.history(e.run.key.Task.Job))
	}
}

// leaseExpired records that the lease of a worker has expired.
func (ic *invariantChecker) leaseExpired(w *workerIncarnation) {
	ic.sim.trace("lease of %s is over", w.id)
	for _, e := range w.endRecords {
		e.isInvalidated = true
	}
}

// endAcknowledged records that an end is acknowledged, and judges the starts of the task since that end.
func (ic *invariantChecker) endAcknowledged(e *endRecord) {
	if e == nil || e.isInvalidated {
		return
	}
	e.isAcknowledged = true
	ic.sim.trace("noted %s %s", e.run, e.reason)
	j := ic.history(e.run.key.Task.Job)
	for _, r := range e.starts {
		if e.reason == jobs.EndDone {
			ic.violate(TwiceInvariant, "%s began after %s had ended as done, which was acknowledged later", r, e.run)
		} else if failed := j.failedBefore(r); failed >= maxAttempts {
			ic.violate(BudgetInvariant, "%s began after %d failed runs, the last of them acknowledged later", r, failed)
		}
	}
	e.starts = nil
}

// recordCheckpoint records a checkpoint that a run has saved.
func (ic *invariantChecker) recordCheckpoint(r *liveRun, text string) {
	ic.history(r.key.Task.Job).endHistory(r.key.Task).checkpoints[text] = true
}
