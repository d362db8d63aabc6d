package scheduler

import (
	"cmp"
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// unit is an entry of the queue: the due tasks of one step of one round. They are placed one by one, or all or none if
// the step is a gang.
type unit struct {
	job          *jobs.Job
	step         *jobs.Step
	queue        *jobs.Queue
	round        int
	stepIndex    int
	taskIndexes  []int         // of the due tasks, ascending
	waitingSince time.Duration // when the unit was first due under this term
	latestStart  time.Time     // the latest start with which the job can meet its objective; orders the queue
	expiresAt    time.Time     // after it the unit is placed last, and no capacity is freed for it
}

// key returns the reference of the unit's step in its round, with the task index left 0.
func (u *unit) key() jobs.TaskRef {
	return jobs.TaskRef{Job: u.job.Spec.ID, Round: u.round, Step: u.stepIndex}
}

// task returns the reference of the unit's task of an index.
func (u *unit) task(index int) jobs.TaskRef {
	ref := u.key()
	ref.Index = index
	return ref
}

// tasks returns all tasks of the unit's step, due or not.
func (u *unit) tasks() []jobs.Task { return u.job.Rounds[u.round][u.stepIndex] }

// dueUnits returns all units in the order in which they are placed.
func (c *Core) dueUnits(wall time.Time) []*unit {
	var units []*unit
	for _, rec := range c.activeJobs {
		units = append(units, rec.units...)
	}
	slices.SortFunc(units, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(a.tier(wall), b.tier(wall)),
			a.latestStart.Compare(b.latestStart),
			cmp.Compare(a.job.Sequence, b.job.Sequence),
			cmp.Compare(a.round, b.round),
			cmp.Compare(a.stepIndex, b.stepIndex))
	})
	return units
}

// expiredTier is the tier of expired units, after every priority.
const expiredTier = 1 << 20

// tier returns the unit's class of urgency: its queue's priority, or the last one once it has expired.
func (u *unit) tier(wall time.Time) int {
	if wall.After(u.expiresAt) {
		return expiredTier
	}
	return u.queue.Priority
}

// Expiry of units.
const (
	expiryObjectives  = 3              // a round expires after this many times its objective
	longRunningExpiry = 24 * time.Hour // a round of a long-running step expires after it
)

// addDueUnits adds the units of a round that are due; if the round itself isn't due yet, it records when it will be.
func (c *Core) addDueUnits(rec *job, j *jobs.Job, queue *jobs.Queue, round int, wall time.Time) {
	begin := j.AcceptedAt
	if j.Spec.Rounds > 0 {
		begin = j.Spec.FirstRun.Add(time.Duration(round) * j.Spec.Interval)
		if due := begin.Add(-c.cfg.EarlyStart); wall.Before(due) {
			rec.hasUndueRound = true
			if c.nextDue.IsZero() || due.Before(c.nextDue) {
				c.nextDue = due
			}
			return
		}
	}
	objective := time.Duration(queue.Stretch*float64(criticalPath(j.Spec.Steps))) + queue.Target
	for number := range j.Spec.Steps {
		step := &j.Spec.Steps[number]
		indexes := dueTasks(j.Rounds[round][number], step.Gang)
		if len(indexes) == 0 || !c.table.IsStepReady(j, round, number) {
			continue
		}
		u := &unit{job: j, step: step, queue: queue, round: round, stepIndex: number, taskIndexes: indexes}
		if step.LongRunning {
			u.latestStart, u.expiresAt = begin.Add(queue.Target), begin.Add(longRunningExpiry)
		} else {
			u.latestStart = begin.Add(objective - criticalPathFrom(j.Spec.Steps, number))
			u.expiresAt = begin.Add(expiryObjectives * objective)
		}
		rec.units = append(rec.units, u)
	}
}

// dueTasks returns the indexes of the tasks of a step that are to be started; of a gang all or none.
func dueTasks(tasks []jobs.Task, gang bool) []int {
	var due []int
	for index := range tasks {
		if !tasks[index].Done && len(tasks[index].Handles) == 0 {
			due = append(due, index)
		}
	}
	if gang && len(due) < len(tasks) {
		return nil
	}
	return due
}

// minEstimate replaces a smaller estimate, or none.
const minEstimate = 200 * time.Millisecond

// criticalPath returns the longest time along steps that wait for each other.
func criticalPath(steps []jobs.Step) time.Duration {
	return longestPath(steps, func(int) bool { return true })
}

// criticalPathFrom returns the longest time along steps that wait for each other, from one step on.
func criticalPathFrom(steps []jobs.Step, first int) time.Duration {
	return longestPath(steps, func(number int) bool { return number == first })
}

// longestPath returns the longest time along steps that wait for each other, of the paths that begin at a first step. A
// step waits only for earlier ones.
func longestPath(steps []jobs.Step, isFirst func(number int) bool) time.Duration {
	longest := make([]time.Duration, len(steps)) // of the paths that end with a step; 0: there is none
	var most time.Duration
	for number := range steps {
		isReached := isFirst(number)
		var before time.Duration
		for _, earlier := range steps[number].After {
			if earlier < number && longest[earlier] > 0 {
				before = max(before, longest[earlier])
				isReached = true
			}
		}
		if isReached {
			longest[number] = before + max(steps[number].Estimate, minEstimate)
			most = max(most, longest[number])
		}
	}
	return most
}
