package scheduler

import (
	"cmp"
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// unit is an entry of the queue: the due tasks of one step in one round of a job. They are placed one by one, or
// together if the step is a gang.
type unit struct {
	job          *jobs.Job
	step         *jobs.Step
	queue        *jobs.Queue
	round        int
	stepIndex    int
	taskIndexes  []int         // indexes of the due tasks, ascending
	waitingSince time.Duration // when the unit was first due under this term
	latestStart  time.Time     // latest start with which the round can meet its objective; orders the queue
	expiresAt    time.Time     // afterwards the unit is placed last, and no capacity is freed for it
}

// key returns the reference of the unit's step in its round, with task index 0.
func (u *unit) key() jobs.TaskRef {
	return jobs.TaskRef{Job: u.job.Spec.ID, Round: u.round, Step: u.stepIndex}
}

// task returns the reference of the unit's task with the index.
func (u *unit) task(index int) jobs.TaskRef {
	ref := u.key()
	ref.Index = index
	return ref
}

// tasks returns all tasks of the unit's step, due or not.
func (u *unit) tasks() []jobs.Task { return u.job.Rounds[u.round][u.stepIndex] }

// dueUnits returns all units in the order of their placement.
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

// tier returns the unit's class of urgency, lower being more urgent: the priority of its queue, or expiredTier once it
// has expired.
func (u *unit) tier(wall time.Time) int {
	if wall.After(u.expiresAt) {
		return expiredTier
	}
	return u.queue.Priority
}

// Expiry of units.
const (
	expiryObjectives  = 3              // a round expires after this many times its objective
	longRunningExpiry = 24 * time.Hour // a round of a long-running step expires after this time
)

// addDueUnits adds the due units of a round to the job's record. If the round isn't due yet, it records the due time
// instead. The objective of a round is to end within the LatencyFactor of its queue times its critical path, plus
// LatencyTarget.
func (c *Core) addDueUnits(rec *job, j *jobs.Job, queue *jobs.Queue, round int, wall time.Time) {
	begin := j.AcceptedAt
	if j.Spec.Rounds > 0 {
		begin = j.Spec.FirstRun.Add(time.Duration(round) * j.Spec.Interval)
		if due := begin.Add(-c.cfg.EarlyStart); wall.Before(due) {
			rec.hasFutureRound = true
			if c.nextDue.IsZero() || due.Before(c.nextDue) {
				c.nextDue = due
			}
			return
		}
	}
	objective := time.Duration(queue.LatencyFactor*float64(criticalPath(j.Spec.Steps))) + queue.LatencyTarget
	for stepIndex := range j.Spec.Steps {
		step := &j.Spec.Steps[stepIndex]
		indexes := dueTasks(j.Rounds[round][stepIndex], step.Gang)
		if len(indexes) == 0 || !c.table.IsStepReady(j, round, stepIndex) {
			continue
		}
		u := &unit{job: j, step: step, queue: queue, round: round, stepIndex: stepIndex, taskIndexes: indexes}
		if step.LongRunning {
			u.latestStart, u.expiresAt = begin.Add(queue.LatencyTarget), begin.Add(longRunningExpiry)
		} else {
			u.latestStart = begin.Add(objective - criticalPathFrom(j.Spec.Steps, stepIndex))
			u.expiresAt = begin.Add(expiryObjectives * objective)
		}
		rec.units = append(rec.units, u)
	}
}

// dueTasks returns the indexes of the tasks of a step that must be started: those that are neither done nor running.
// The tasks of a gang are due together or not at all.
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

// minEstimate replaces a missing or smaller estimate.
const minEstimate = 200 * time.Millisecond

// criticalPath returns the duration of the longest chain of dependent steps.
func criticalPath(steps []jobs.Step) time.Duration {
	return longestPath(steps, func(int) bool { return true })
}

// criticalPathFrom returns the duration of the longest chain of dependent steps that begins at one step.
func criticalPathFrom(steps []jobs.Step, first int) time.Duration {
	return longestPath(steps, func(index int) bool { return index == first })
}

// longestPath returns the duration of the longest chain of dependent steps that begins at a step for which isFirst
// holds. A step depends only on earlier steps.
func longestPath(steps []jobs.Step, isFirst func(index int) bool) time.Duration {
	durations := make([]time.Duration, len(steps)) // by last step: duration of the longest chain; 0: no chain
	var longest time.Duration
	for index := range steps {
		isReached := isFirst(index)
		var before time.Duration
		for _, dependency := range steps[index].After {
			if dependency < index && durations[dependency] > 0 {
				before = max(before, durations[dependency])
				isReached = true
			}
		}
		if isReached {
			durations[index] = before + max(steps[index].Estimate, minEstimate)
			longest = max(longest, durations[index])
		}
	}
	return longest
}
