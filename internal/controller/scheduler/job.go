package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// job is the scheduler's record of a job that is not over or has handles out.
type job struct {
	id    string
	timed bool // a round of it is not due yet
	runs  map[jobs.RunKey]bool
	units []*unit
}

func (c *Core) markDirty(id string) { c.dirtyJobs[id] = true }

func (c *Core) refreshDirtyJobs(wall time.Time) {
	if !c.nextDue.IsZero() && !wall.Before(c.nextDue) {
		c.nextDue = time.Time{}
		for id, j := range c.activeJobs {
			if j.timed {
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

// refreshJob makes a job's record anew from the table.
func (c *Core) refreshJob(id string, wall time.Time) {
	rec := c.activeJobs[id]
	if rec == nil {
		rec = &job{id: id, runs: map[jobs.RunKey]bool{}}
		c.activeJobs[id] = rec
	}
	j := c.table.Jobs[id]
	handles := c.syncRuns(rec, j)
	before := rec.units
	rec.units, rec.timed = nil, false
	if j == nil || j.State.IsTerminal() {
		if handles == 0 {
			delete(c.activeJobs, id)
			c.dropTaskHistory(id)
		}
		return
	}
	q := c.table.Config.Queue(j.Spec.Queue)
	if q == nil {
		return // no configuration directs it anywhere
	}
	for round := range j.Rounds {
		c.addDueUnits(rec, j, q, round, wall)
	}
	for _, u := range rec.units {
		u.waitingSince = c.now
		for _, old := range before {
			if old.round == u.round && old.stepIndex == u.stepIndex {
				u.waitingSince = old.waitingSince
			}
		}
	}
}

func (c *Core) dropTaskHistory(id string) {
	for key := range c.speeds.byStep {
		if key.job == id {
			delete(c.speeds.byStep, key)
		}
	}
	for ref := range c.avoidWorker {
		if ref.Job == id {
			delete(c.avoidWorker, ref)
		}
	}
	for ref := range c.moveCount {
		if ref.Job == id {
			delete(c.moveCount, ref)
		}
	}
}
