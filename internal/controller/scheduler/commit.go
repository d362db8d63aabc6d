package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// proposal is the Progress under way.
type proposal struct {
	progress   *jobs.Progress
	highestEnd map[string]uint64 // by worker: the end that may be acknowledged once it is committed
	starts     map[jobs.RunKey]bool
}

// propose makes the next Progress, if none is under way.
func (c *Core) propose(now time.Duration, wall time.Time, out *Actions) {
	if c.inFlight != nil {
		return
	}
	var starts []jobs.Start
	if c.placementDue {
		c.placementDue = false
		starts = c.place(now, wall)
	}
	var forget []string
	if now >= c.nextForget {
		forget, c.nextForget = c.workersToForget(now), now+sweepInterval
	}
	if len(c.pendingEnds) == 0 && len(starts) == 0 && len(forget) == 0 && len(c.highestEnd) == 0 {
		return
	}
	progress := &jobs.Progress{Term: c.term, At: wall, Ends: c.pendingEnds, Starts: starts, Forget: forget}
	c.inFlight = &proposal{progress: progress, highestEnd: c.highestEnd, starts: map[jobs.RunKey]bool{}}
	for _, s := range starts {
		c.inFlight.starts[jobs.RunKey{Task: s.Task, Number: s.Number}] = true
	}
	c.pendingEnds, c.highestEnd = nil, map[string]uint64{}
	if len(progress.Ends)+len(progress.Starts)+len(progress.Forget) == 0 {
		c.markDurable(c.inFlight.highestEnd) // only ends of runs that are long settled: nothing to commit
		c.inFlight = nil
		return
	}
	out.Progress = progress
}

// Committed takes in the outcome of the Progress under way. After an error its starts are never sent; if they were
// recorded all the same, they are found in the table and ended as lost.
func (c *Core) Committed(now time.Duration, progress *jobs.Progress, started jobs.Started, err error) {
	c.now = now
	if c.term == 0 || c.inFlight == nil || c.inFlight.progress != progress {
		return
	}
	done := c.inFlight
	c.inFlight, c.placementDue = nil, true
	if err != nil {
		c.pendingEnds = append(done.progress.Ends, c.pendingEnds...)
		for id, sequence := range done.highestEnd {
			c.highestEnd[id] = max(c.highestEnd[id], sequence)
		}
		for _, s := range done.progress.Starts {
			c.dirtyJobs[s.Task.Job] = true
		}
		return
	}
	c.markDurable(done.highestEnd)
	for i, s := range progress.Starts {
		c.dirtyJobs[s.Task.Job] = true
		if i < len(started.Recorded) && started.Recorded[i] {
			c.recordStart(s)
		}
	}
}

func (c *Core) startInFlight(key jobs.RunKey) bool {
	return c.inFlight != nil && c.inFlight.starts[key]
}

func (c *Core) markDurable(seen map[string]uint64) {
	for id, sequence := range seen {
		if w := c.workers[id]; w != nil && sequence > w.durableEnd {
			w.durableEnd, w.durableAt = sequence, c.now
		}
	}
}

// recordStart notes a run whose handle was committed; its order leaves with the next pass.
func (c *Core) recordStart(s jobs.Start) {
	key := jobs.RunKey{Task: s.Task, Number: s.Number}
	r := c.trackRun(key, s.Worker, true)
	if r != nil {
		c.unsentStarts = append(c.unsentStarts, key)
	}
}
