package scheduler

import (
	"cmp"

	"crosstide/internal/jobs"
)

// recordEnds records the ends that a worker lists. An end is final, so the age of the answer doesn't matter.
func (c *Core) recordEnds(w *worker, ended []EndedRun) {
	for _, e := range ended {
		if e.Sequence <= w.ends.received {
			continue
		}
		w.ends.received = e.Sequence
		c.highestEnd[w.id] = e.Sequence
		delete(w.orphans, e.Key)
		r := w.runs[e.Key]
		if r == nil || r.ending {
			continue
		}
		if e.Reason == jobs.EndDone {
			w.cooldown.stalledAt = 0
		}
		c.speeds.observeEnd(c.now, r, e.Reason)
		c.endRun(r, e.Reason, e.Checkpoint)
	}
}

// reconcileRunning compares the runs that a worker lists with the handles in the table, both ways. A listed run without
// a handle is an orphan and is stopped. A run with a handle that isn't listed is ended if that proves it dead. number
// is the number of the answered renewal.
func (c *Core) reconcileRunning(w *worker, number uint64, answer RenewalAnswer) {
	present := make(map[jobs.RunKey]bool, len(answer.Running)+len(answer.Ended))
	for _, e := range answer.Ended {
		present[e.Key] = true
	}
	for _, listed := range answer.Running {
		present[listed.Key] = true
		if r := w.runs[listed.Key]; r != nil {
			c.recordProgress(w, r, listed)
		} else {
			c.trackOrphan(w, listed.Key)
		}
	}
	for key := range w.orphans {
		if !present[key] {
			delete(w.orphans, key)
		}
	}
	if answer.Truncated {
		return // runs that aren't listed may have ended
	}
	for _, key := range sortedRuns(w.runs) {
		if r := w.runs[key]; !present[key] && !r.ending {
			c.reconcileAbsent(r, number)
		}
	}
}

// recordProgress records that a worker lists a run as running.
func (c *Core) recordProgress(w *worker, r *run, listed ListedRun) {
	if !r.progress.listed {
		r.progress.listed, r.progress.advancedAt = true, c.now
		if r.start.acceptedSeq != 0 {
			r.progress.advancedAt = r.start.acceptedAt
		}
	}
	if listed.Percent > r.progress.percent {
		r.progress.advancedAt, w.cooldown.stalledAt = c.now, 0
	}
	r.progress.checkpoint, r.progress.percent, r.progress.listedAt = listed.Checkpoint, listed.Percent, c.now
}

// trackOrphan records that a worker lists a run without a handle. Runs whose handle is on another worker or part of the
// proposal in flight are not tracked.
func (c *Core) trackOrphan(w *worker, key jobs.RunKey) {
	if w.orphans[key] == nil && c.runs[key] == nil && !c.isStartInFlight(key) {
		w.orphans[key] = &orderRetry{}
		c.workersWithOrphans[w.id] = true
	}
}

// reconcileAbsent handles a run that the answer to the renewal with the number doesn't list. It ends the run if that
// proves it dead, and stops it if its start is unconfirmed, as the order may be carried out late.
func (c *Core) reconcileAbsent(r *run, number uint64) {
	switch {
	case r.isProvedDead(number):
		c.endRun(r, jobs.EndLost, "")
	case r.start.unconfirmedSeq != 0 && r.start.unconfirmedSeq < number:
		r.start.missing, r.stop.cause = true, cmp.Or(r.stop.cause, CauseUnanswered)
		c.queueStop(r)
	}
}

// isProvedDead reports whether a run is certainly dead and can't start later, given that the answer to the renewal with
// the number doesn't list it. This holds for a run of an earlier term, whose orders the token of that renewal has
// fenced, and for a run whose start or stop was answered before the renewal was sent. It doesn't hold for a start
// without an answer, as the order may be carried out late.
func (r *run) isProvedDead(number uint64) bool {
	switch {
	case !r.ownTerm:
		return true
	case !r.start.sent:
		return false
	case r.stop.answeredSeq != 0 && r.stop.answeredSeq < number:
		return true
	}
	return r.start.acceptedSeq != 0 && r.start.acceptedSeq < number
}

// syncRuns makes the run records of a job match the handles of its tasks, and returns the number of handles. j is nil
// if the job was deleted from the table.
func (c *Core) syncRuns(rec *job, j *jobs.Job) int {
	present := map[jobs.RunKey]bool{}
	if j != nil {
		for round, steps := range j.Rounds {
			for step, tasks := range steps {
				for index := range tasks {
					ref := jobs.TaskRef{Job: rec.id, Round: round, Step: step, Index: index}
					c.syncTask(j, ref, &tasks[index], present)
				}
			}
		}
	}
	for key := range rec.runs {
		if r := c.runs[key]; !present[key] && r != nil {
			c.untrackRun(r)
		}
	}
	rec.runs = present
	return len(present)
}

// syncTask tracks the handles of a task, adds them to present, and stops the runs of a task that is done or of a job
// that has ended.
func (c *Core) syncTask(j *jobs.Job, ref jobs.TaskRef, task *jobs.Task, present map[jobs.RunKey]bool) {
	for _, handle := range task.Handles {
		key := jobs.RunKey{Task: ref, Number: handle.Number}
		present[key] = true
		r := c.runs[key]
		if r == nil {
			if c.isStartInFlight(key) {
				continue // Committed will track it
			}
			ownTerm := handle.Term == c.term
			r = c.trackRun(key, handle.Worker, ownTerm)
			if ownTerm && r != nil {
				c.endRun(r, jobs.EndLost, "") // its commit was reported as failed, so its order was never sent
			}
		}
		if r != nil && (task.Done || j.State.IsTerminal()) && !r.stop.requested {
			c.requestStop(r, CauseJobOver)
		}
	}
}
