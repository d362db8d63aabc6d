package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// proposal is a Progress whose commit is in flight. Owned by propose and Committed.
type proposal struct {
	progress   *jobs.Progress
	highestEnd map[string]uint64         // by worker: after the commit, ends up to this number may be acknowledged
	starts     map[jobs.RunKey]bool      // runs whose handles it records
	backfilled map[jobs.RunKey]time.Time // runs of these that are backfilled, with the latest start of their units
}

// propose returns the next Progress to commit, or nil if there is nothing to commit or a proposal is in flight.
func (c *Core) propose(now time.Duration, wall time.Time) *jobs.Progress {
	if c.inFlight != nil {
		return nil
	}
	var starts []jobs.Start
	var backfilled map[jobs.RunKey]time.Time
	if c.placementDue {
		c.placementDue = false
		if p := c.place(now, wall); p != nil {
			starts, backfilled = p.starts, p.backfill.starts
		}
	}
	var forget []string
	if now >= c.nextForget {
		forget, c.nextForget = c.workersToForget(now), now+sweepInterval
	}
	if len(c.pendingEnds) == 0 && len(starts) == 0 && len(forget) == 0 && len(c.highestEnd) == 0 {
		return nil
	}
	ends, highestEnd := c.pendingEnds, c.highestEnd
	c.pendingEnds, c.highestEnd = nil, map[string]uint64{}
	if len(ends) == 0 && len(starts) == 0 && len(forget) == 0 {
		c.markDurable(highestEnd) // the table no longer has the handles of these runs: nothing to commit
		return nil
	}
	progress := &jobs.Progress{Term: c.term, At: wall, Ends: ends, Starts: starts, RemoveWorkers: forget}
	c.inFlight = &proposal{progress: progress, highestEnd: highestEnd, starts: map[jobs.RunKey]bool{},
		backfilled: backfilled}
	for _, s := range starts {
		c.inFlight.starts[jobs.RunKey{Task: s.Task, Number: s.Number}] = true
	}
	return progress
}

// Committed handles the outcome of the proposal in flight. After an error its start orders are never sent. If the table
// recorded the starts in spite of the error, syncTask finds their handles and ends the runs as lost.
func (c *Core) Committed(now time.Duration, progress *jobs.Progress, started jobs.ProgressResult, err error) {
	c.now = now
	if c.term == 0 || c.inFlight == nil || c.inFlight.progress != progress {
		return
	}
	finished := c.inFlight
	c.inFlight, c.placementDue = nil, true
	if err != nil {
		c.retryProposal(finished)
		return
	}
	c.markDurable(finished.highestEnd)
	for i, s := range progress.Starts {
		c.dirtyJobs[s.Task.Job] = true
		if i < len(started.Recorded) && started.Recorded[i] {
			c.recordStart(s, finished.backfilled)
		}
	}
}

// retryProposal adds the ends of a failed proposal to the next one and returns its tasks to the queue.
func (c *Core) retryProposal(failed *proposal) {
	c.pendingEnds = append(failed.progress.Ends, c.pendingEnds...)
	for id, number := range failed.highestEnd {
		c.highestEnd[id] = max(c.highestEnd[id], number)
	}
	for _, s := range failed.progress.Starts {
		c.dirtyJobs[s.Task.Job] = true
	}
}

// isStartInFlight reports whether the proposal in flight records the handle of a run.
func (c *Core) isStartInFlight(key jobs.RunKey) bool {
	return c.inFlight != nil && c.inFlight.starts[key]
}

// recordStart tracks a run whose handle was committed. The next pass sends its start order.
func (c *Core) recordStart(s jobs.Start, backfilled map[jobs.RunKey]time.Time) {
	key := jobs.RunKey{Task: s.Task, Number: s.Number}
	if r := c.trackRun(key, s.Worker, true); r != nil {
		r.latestStart, r.backfilled = backfilled[key]
		c.unsentStarts = append(c.unsentStarts, key)
	}
}
