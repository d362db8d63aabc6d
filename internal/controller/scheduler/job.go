package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// job is the scheduler's record of a job that isn't terminal or has run handles. refreshJob rebuilds it whenever the
// job has changed in the table.
type job struct {
	id             string
	runs           map[jobs.RunKey]bool // handles of its tasks
	units          []*unit              // its due tasks, by step and round
	hasFutureRound bool                 // at least one of its rounds isn't due yet
}

// refreshDirtyJobs rebuilds the records of jobs that have changed or may have a round that has become due.
func (c *Core) refreshDirtyJobs(wall time.Time) {
	if !c.nextDue.IsZero() && !wall.Before(c.nextDue) {
		c.nextDue = time.Time{}
		for id, j := range c.activeJobs {
			if j.hasFutureRound {
				c.dirtyJobs[id] = true
			}
		}
	}
	if len(c.dirtyJobs) == 0 {
		return
	}
	for _, id := range sortedKeys(c.dirtyJobs) {
		c.refreshJob(id, wall)
	}
	clear(c.dirtyJobs)
}

// refreshJob rebuilds a job's record from the table. A unit that was due before keeps its waitingSince.
func (c *Core) refreshJob(id string, wall time.Time) {
	rec := c.activeJobs[id]
	if rec == nil {
		rec = &job{id: id, runs: map[jobs.RunKey]bool{}}
		c.activeJobs[id] = rec
	}
	j := c.table.Jobs[id]
	handles := c.syncRuns(rec, j)
	oldUnits := rec.units
	rec.units, rec.hasFutureRound = nil, false
	if j == nil || j.State.IsTerminal() {
		if handles == 0 {
			delete(c.activeJobs, id)
			c.history.forgetJob(id)
			c.speeds.forgetJob(id)
		}
		return
	}
	queue := c.table.QueueOf(j)
	if queue == nil {
		return // it lost its queue under an earlier schema: it waits until a configuration adds the queue again
	}
	for round := range j.Rounds {
		c.addDueUnits(rec, j, queue, round, wall)
	}
	for _, u := range rec.units {
		u.waitingSince = c.now
		for _, old := range oldUnits {
			if old.round == u.round && old.stepIndex == u.stepIndex {
				u.waitingSince = old.waitingSince
			}
		}
	}
}
