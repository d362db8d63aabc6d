package scheduler

import (
	"cmp"

	"crosstide/internal/jobs"
)

// recordEnds takes in ended runs; an end is a fact however old the answer is.
func (c *Core) recordEnds(w *worker, ended []EndedRun) {
	for _, e := range ended {
		if e.Sequence <= w.receivedEnd {
			continue
		}
		w.receivedEnd = e.Sequence
		c.highestEnd[w.id] = e.Sequence
		delete(w.orphans, e.Key)
		r := w.runs[e.Key]
		if r == nil || r.ending {
			continue
		}
		if e.Reason == jobs.EndDone {
			w.stalledAt = 0
		}
		c.speeds.observeEnd(c, w, r, e.Reason)
		c.endRun(r, e.Reason, e.Checkpoint)
	}
}

// reconcileRunning holds the list of running runs against the handles, both ways.
func (c *Core) reconcileRunning(w *worker, number uint64, answer RenewalAnswer) {
	present := make(map[jobs.RunKey]bool, len(answer.Running)+len(answer.Ended))
	for _, e := range answer.Ended {
		present[e.Key] = true
	}
	for _, l := range answer.Running {
		present[l.Key] = true
		r := w.runs[l.Key]
		if r == nil {
			if w.orphans[l.Key] == nil && c.runs[l.Key] == nil && !c.startInFlight(l.Key) {
				w.orphans[l.Key] = &orphan{}
				c.workersWithOrphans[w.id] = true
			}
			continue
		}
		if !r.listed {
			r.listed, r.advancedAt = true, c.now
			if r.accepted != 0 {
				r.advancedAt = r.acceptedAt
			}
		}
		if l.Percent > r.percent {
			r.advancedAt, w.stalledAt = c.now, 0
		}
		r.checkpoint, r.percent, r.progressAt = l.Checkpoint, l.Percent, c.now
	}
	for key := range w.orphans {
		if !present[key] {
			delete(w.orphans, key)
		}
	}
	if answer.Full {
		return
	}
	for _, key := range sortedRuns(w.runs) {
		r := w.runs[key]
		switch {
		case present[key] || r.ending:
		case r.isProvedDead(number):
			c.endRun(r, jobs.EndLost, "")
		case r.unconfirmed && r.unconfirmedAt < number:
			r.missing, r.cause = true, cmp.Or(r.cause, CauseUnanswered)
			c.queueStop(r)
		}
	}
}

// isProvedDead tells whether a run that the answer to the hold call of a number does not list is surely dead and never
// starts later: a run of an earlier term, whose orders the token of that call has fenced; one whose start or stop was
// answered before the call left. A start without an answer proves nothing: it may be carried out late.
func (r *run) isProvedDead(number uint64) bool {
	switch {
	case !r.ownTerm:
		return true
	case !r.sent:
		return false
	case r.stopped != 0 && r.stopped < number:
		return true
	}
	return r.accepted != 0 && r.accepted < number
}

// syncRuns brings the run records of a job in line with its handles and gives how many there are.
func (c *Core) syncRuns(rec *job, j *jobs.Job) int {
	present := map[jobs.RunKey]bool{}
	if j != nil {
		for round, steps := range j.Rounds {
			for step, tasks := range steps {
				for index := range tasks {
					c.syncTask(j, jobs.TaskRef{Job: rec.id, Round: round, Step: step, Index: index}, &tasks[index], present)
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

func (c *Core) syncTask(j *jobs.Job, ref jobs.TaskRef, task *jobs.Task, present map[jobs.RunKey]bool) {
	for _, handle := range task.Runs {
		key := jobs.RunKey{Task: ref, Number: handle.Number}
		present[key] = true
		r := c.runs[key]
		if r == nil {
			if c.startInFlight(key) {
				continue // its commit is about to be reported
			}
			mine := handle.Term == c.term
			if r = c.trackRun(key, handle.Worker, mine); mine && r != nil {
				c.endRun(r, jobs.EndLost, "") // recorded under this term, and its order never left
			}
		}
		if r != nil && (task.Done || j.State.IsTerminal()) && !r.toStop {
			c.requestStop(r, CauseJobOver)
		}
	}
}
