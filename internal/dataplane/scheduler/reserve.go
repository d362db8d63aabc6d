package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"crosstide/internal/state"
)

// reservation holds the capacity that becomes free on some workers for one class, for a short time. Without it, a
// class whose tasks need more capacity than one ending run frees would starve while smaller tasks are due.
//
// Reservations are short, exclusive and followed by a pause, because a due task must not wait long while capacity for
// it is free.
type reservation struct {
	class   string // key of the class
	workers map[string]bool
	until   time.Duration
}

// reserveFactor is the ratio of the capacity reserved for a class to the capacity that it needs, so that enough of it
// becomes free in time.
const reserveFactor = 3

// rank is the first criterion of the order of classes: urgent queues, types under their limit, types at or over it.
type rank int

const (
	rankUrgent rank = iota
	rankNormal
	rankOverLimit
	ranks // number of ranks
)

// rankOf returns the rank of a class. starts is the number of starts of its type in the plan under construction.
func (c *Core) rankOf(cls *class, starts int) rank {
	if c.st.Bundle.Queues[cls.queue].Urgent {
		return rankUrgent
	}
	if limit, ok := c.st.Bundle.Limits[cls.taskType]; ok && c.runningCounts[cls.taskType]+starts >= limit {
		return rankOverLimit
	}
	return rankNormal
}

// mayUse reports whether the reservation lets a class use a worker. Urgent queues ignore reservations.
func (c *Core) mayUse(cls *class, worker string) bool {
	r := c.placement.reservation
	return r == nil || r.class == cls.key || !r.workers[worker] || c.st.Bundle.Queues[cls.queue].Urgent
}

// updateReservation ends a reservation that has expired or whose class no longer needs it, and makes the next one if a
// class was passed over for too long.
func (c *Core) updateReservation(now time.Duration) {
	if r := c.placement.reservation; r != nil {
		cls := c.queue.classes[r.class]
		if now < r.until && cls != nil && !c.awaitsTopUp(cls) {
			return
		}
		c.endReservation(now)
		if cls != nil {
			cls.nextReservationAt = c.retryReservationAt(now, cls)
		}
	}
	if now < c.placement.nextReservationAt {
		return
	}
	if cls, workers := c.pickPassedOver(now); cls != nil {
		c.placement.reservation = &reservation{cls.key, workers, now + c.reservationLength(now, cls)}
	}
}

// endReservation ends the reservation, so that its workers are available to all classes.
func (c *Core) endReservation(now time.Duration) {
	c.placement.reservation, c.placement.nextReservationAt = nil, now+c.cfg.ReservationPause
	c.placement.fullScan = true
}

// isOverdue reports whether a class has been passed over for so long that it gets long reservations.
func (c *Core) isOverdue(now time.Duration, cls *class) bool {
	return cls.passedOverSince > 0 && now-cls.passedOverSince >= c.cfg.LongReservationAfter
}

// reservationLength returns the duration of a reservation for a class.
func (c *Core) reservationLength(now time.Duration, cls *class) time.Duration {
	if c.isOverdue(now, cls) {
		return c.cfg.LongReservationDuration
	}
	return c.cfg.ReservationDuration
}

// retryReservationAt returns the earliest time of a class's next reservation. For an overdue class that is immediately
// after the pause, or after the reservation of another waiting class.
func (c *Core) retryReservationAt(now time.Duration, cls *class) time.Duration {
	if c.isOverdue(now, cls) {
		return c.placement.nextReservationAt + 1
	}
	return now + c.cfg.ReservationRetryInterval
}

// pickPassedOver returns the class with the oldest task among those passed over for too long, and workers for it, or
// nil if there is no such class. A class that the cluster cannot hold now is considered again after
// ReservationRetryInterval.
func (c *Core) pickPassedOver(now time.Duration) (*class, map[string]bool) {
	type passedOver struct {
		class *class
		seq   uint64
	}
	var waiting []passedOver
	for _, cls := range c.queue.classes {
		if cls.passedOverSince == 0 || now-cls.passedOverSince < c.cfg.ReserveAfter || now < cls.nextReservationAt {
			continue
		}
		if job, _ := c.peek(cls); job != nil && !c.awaitsTopUp(cls) {
			waiting = append(waiting, passedOver{cls, job.Seq})
		}
	}
	slices.SortFunc(waiting, func(a, b passedOver) int {
		return cmp.Or(cmp.Compare(a.seq, b.seq), strings.Compare(a.class.key, b.class.key))
	})
	for _, candidate := range waiting {
		if workers := c.workersToReserve(candidate.class); workers != nil {
			return candidate.class, workers
		}
		candidate.class.nextReservationAt = now + c.cfg.ReservationRetryInterval
	}
	return nil, nil
}

// workersToReserve picks workers for a class, those with most free cores first. It returns nil if the cluster cannot
// hold the class's next group.
func (c *Core) workersToReserve(cls *class) map[string]bool {
	job, ref := c.peek(cls)
	if job == nil {
		return nil
	}
	step := &job.Spec.Steps[ref.Step]
	var suitable []*state.Worker
	for _, name := range c.placement.ring {
		rec, w := c.st.Workers[name], c.workers[name]
		if rec == nil || w.heardAt == 0 || w.failures > 0 || c.health.unhealthy[name] != nil {
			continue
		}
		if tasksPerWorker(rec, step) > 0 && c.st.PlacementRefusal(&job.Spec, step, rec) == "" {
			suitable = append(suitable, rec)
		}
	}
	free := func(rec *state.Worker) int { return rec.Cores - c.st.UsageOf(rec.Name).Cores }
	slices.SortStableFunc(suitable, func(a, b *state.Worker) int { return free(b) - free(a) })
	needed, reserved, workers := cls.groupSize(), 0, map[string]bool{}
	for _, rec := range suitable {
		if reserved >= reserveFactor*needed {
			break
		}
		workers[rec.Name] = true
		reserved += tasksPerWorker(rec, step)
	}
	if reserved < needed {
		return nil
	}
	return workers
}

// tasksPerWorker returns how many tasks of a step fit on an empty worker.
func tasksPerWorker(rec *state.Worker, step *state.StepSpec) int {
	tasks := rec.Cores / max(step.Cores, 1)
	if step.GPUs > 0 {
		tasks = min(tasks, rec.GPUs/step.GPUs)
	}
	return tasks
}

// recordPassedOver sets passedOverSince of the classes that fitted on no worker although a task of a younger job, of
// the same rank or one with lower priority, got a start in the round.
func (c *Core) recordPassedOver(now time.Duration, round *placementRound) {
	var newestStarted [ranks]uint64 // sequence number of the newest job that got a start, by rank
	for _, start := range round.plan.Starts {
		job, _ := c.st.TaskOf(start.Ref)
		step := &job.Spec.Steps[start.Ref.Step]
		rank := c.rankOf(&class{queue: job.Spec.Queue, taskType: step.Type}, 0)
		newestStarted[rank] = max(newestStarted[rank], job.Seq)
	}
	for key, cls := range c.queue.classes {
		if c.awaitsTopUp(cls) {
			cls.passedOverSince = 0 // it waits for its party's balance, not for capacity
			continue
		}
		if !round.unschedulable[key] || cls.passedOverSince > 0 {
			continue
		}
		job, _ := c.peek(cls)
		if job == nil {
			continue
		}
		for rank := c.rankOf(cls, round.startsByType[cls.taskType]); rank < ranks; rank++ {
			if newestStarted[rank] > job.Seq {
				cls.passedOverSince = now
			}
		}
	}
}
