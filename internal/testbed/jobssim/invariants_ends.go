package jobssim

import (
	"slices"

	"crosstide/internal/jobs"
)

// ended records the end of a run.
func (ic *invariantChecker) ended(r *liveRun, reason jobs.EndReason) *endRecord {
	ic.sim.trace("end %s %s", r, reason)
	j := ic.job(r.key.Task.Job)
	ic.removeRun(j, r)
	if ic.sim.now < r.worker.host.disruptedAt {
		ic.expectUnconfirmed(j)
	}
	ic.sim.report.Seen["end: "+string(reason)]++
	if reason == jobs.EndStopped && !j.job.isCancelSent && !j.attemptsExhausted() {
		ic.sim.report.Seen["stopped for other work"]++
	}
	e := &endRecord{run: r, reason: reason, at: ic.sim.now}
	ic.listed(r.worker, e)
	t := j.ending(r.key.Task)
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

// checkGangStart judges a member of a gang that waited in vain.
func (ic *invariantChecker) checkGangStart(j *jobHistory, r *liveRun) {
	if ic.calmGang(r) && !j.job.isCancelSent {
		ic.breach(GangRule, "%s ended alone", r)
	}
}

// calmGang reports whether no disruption is near a run of a gang: neither of the core nor of a worker that a member was
// sent to.
func (ic *invariantChecker) calmGang(r *liveRun) bool {
	if !r.order.wasInTouch || r.order.isLate || !ic.sim.inTouch() {
		return false
	}
	for _, host := range ic.gangHosts[r.gangKey()] {
		if r.began < host.disruptedAt+contactTimeout || host.current == nil {
			return false
		}
	}
	return true
}

// removeRun removes a run from those that run.
func (ic *invariantChecker) removeRun(j *jobHistory, r *liveRun) {
	t := j.task(r.key.Task)
	before := len(t.running)
	t.running = slices.DeleteFunc(t.running, func(other *liveRun) bool { return other == r })
	if len(t.running) < before {
		j.running--
	}
	if r.gang != nil && ic.calmGang(r) {
		ic.count(GangRule)
	}
}

// runLost records that a run was lost with its worker.
func (ic *invariantChecker) runLost(r *liveRun) {
	j := ic.job(r.key.Task.Job)
	ic.removeRun(j, r)
	ic.expectUnconfirmed(j)
}

// workerLost records that a worker was lost, or is disrupted, with ends that were not acknowledged.
func (ic *invariantChecker) workerLost(w *workerIncarnation) {
	for _, e := range w.endRecords {
		ic.expectUnconfirmed(ic.job(e.run.key.Task.Job))
	}
}

// leaseExpired records that the lease of a worker has expired.
func (ic *invariantChecker) leaseExpired(w *workerIncarnation) {
	ic.sim.trace("lease of %s is over", w.id)
	for _, e := range w.endRecords {
		e.isInvalidated = true
	}
}

// endAcknowledged records that an end is acknowledged, and judges the starts since it.
func (ic *invariantChecker) endAcknowledged(e *endRecord) {
	if e == nil || e.isInvalidated {
		return
	}
	e.isAcknowledged = true
	ic.sim.trace("noted %s %s", e.run, e.reason)
	j := ic.job(e.run.key.Task.Job)
	for _, r := range e.starts {
		if e.reason == jobs.EndDone {
			ic.breach(TwiceRule, "%s began after %s ended done, which was acknowledged later", r, e.run)
		} else if failed := j.failedBefore(r); failed >= maxAttempts {
			ic.breach(BudgetRule, "%s began after %d runs that failed, the last acknowledged later", r, failed)
		}
	}
	e.starts = nil
}

// recordCheckpoint records a checkpoint that a worker reported.
func (ic *invariantChecker) recordCheckpoint(r *liveRun, text string) {
	ic.job(r.key.Task.Job).ending(r.key.Task).checkpoints[text] = true
}
