package scheduler

import (
	"cmp"
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// unit is what is placed together: the due tasks of a step of a round, one by one, or a gang whole.
type unit struct {
	job          *jobs.Job
	step         *jobs.Step
	queue        *jobs.Queue
	round        int
	stepIndex    int   // index of the step
	taskIndexes  []int // of due tasks
	waitingSince time.Duration
	latestStart  time.Time // start by then to end in time
	expiresAt    time.Time // from then on the round earns nothing any more
}

// key tells units of the same step and round apart from others.
func (u *unit) key() jobs.TaskRef {
	return jobs.TaskRef{Job: u.job.Spec.ID, Round: u.round, Step: u.stepIndex}
}

// task names the unit's task of an index.
func (u *unit) task(index int) jobs.TaskRef {
	ref := u.key()
	ref.Index = index
	return ref
}

func (u *unit) tasks() []jobs.Task { return u.job.Rounds[u.round][u.stepIndex] }

// dueUnits gives all units in the order in which they are to be placed.
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

// expiredTier comes after every priority.
const expiredTier = 1 << 20

// tier is the unit's class of urgency: its queue's priority, or the last one once it can earn nothing any more.
func (u *unit) tier(wall time.Time) int {
	if wall.After(u.expiresAt) {
		return expiredTier
	}
	return u.queue.Priority
}

// addDueUnits adds the units of a round that are due.
func (c *Core) addDueUnits(rec *job, j *jobs.Job, q *jobs.Queue, round int, wall time.Time) {
	begin := j.AcceptedAt
	if j.Spec.Rounds > 0 {
		begin = j.Spec.FirstRun.Add(time.Duration(round) * j.Spec.Interval)
		if due := begin.Add(-c.cfg.EarlyStart); wall.Before(due) {
			rec.timed = true
			if c.nextDue.IsZero() || due.Before(c.nextDue) {
				c.nextDue = due
			}
			return
		}
	}
	objective := time.Duration(q.Stretch*float64(criticalPath(j.Spec.Steps, 0, true))) + q.Target
	for number := range j.Spec.Steps {
		step := &j.Spec.Steps[number]
		indexes := dueTasks(j.Rounds[round][number], step.Gang)
		if len(indexes) == 0 || !c.table.IsStepReady(j, round, number) {
			continue
		}
		u := &unit{job: j, step: step, queue: q, round: round, stepIndex: number, taskIndexes: indexes}
		u.latestStart = begin.Add(objective - criticalPath(j.Spec.Steps, number, false))
		u.expiresAt = begin.Add(3 * objective)
		if step.LongRunning {
			u.latestStart, u.expiresAt = begin.Add(q.Target), begin.Add(24*time.Hour)
		}
		rec.units = append(rec.units, u)
	}
}

// dueTasks gives the tasks of a step that are to be started; of a gang all or none.
func dueTasks(tasks []jobs.Task, gang bool) []int {
	var due []int
	for index := range tasks {
		if !tasks[index].Done && len(tasks[index].Runs) == 0 {
			due = append(due, index)
		}
	}
	if gang && len(due) < len(tasks) {
		return nil
	}
	return due
}

// minEstimate stands for a step whose client gave no estimate.
const minEstimate = 200 * time.Millisecond

// criticalPath is the longest time along steps that wait for each other: of the whole job, or from one step on.
func criticalPath(steps []jobs.Step, from int, whole bool) time.Duration {
	longest := make([]time.Duration, len(steps))
	var most time.Duration
	for number := range steps {
		estimate := max(steps[number].Estimate, minEstimate)
		var before time.Duration
		reached := whole || number == from
		for _, earlier := range steps[number].After {
			if earlier < number && longest[earlier] > 0 {
				before = max(before, longest[earlier])
				reached = true
			}
		}
		if !reached || number < from {
			continue
		}
		longest[number] = before + estimate
		most = max(most, longest[number])
	}
	return most
}
