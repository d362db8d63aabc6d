package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"crosstide/internal/state"
)

// reservation keeps the capacity that becomes free on some workers for one class, for a short time. Without it a class
// whose tasks need more than one ending run frees would be passed over for ever while smaller tasks are due.
//
// Reservations are short, one at a time, with a pause after each, because a due task must not wait long while capacity
// for it is free.
type reservation struct {
	class   string // key
	workers map[string]bool
	until   time.Duration
}

// reserveFactor is how many times the capacity that a class needs is reserved for it, so that enough of it becomes free
// in time.
const reserveFactor = 3

// rank orders classes: urgent queues, types under their limit, types over it.
type rank int

const (
	rankUrgent rank = iota
	rankNormal
	rankOverLimit
	ranks
)

// rankOf returns the rank of a class; starts is the number of starts of its type in the plan that is being made.
func (c *Core) rankOf(cls *class, starts int) rank {
	if c.st.Bundle.Queues[cls.queue].Urgent {
		return rankUrgent
	}
	if limit, ok := c.st.Bundle.Limits[cls.taskType]; ok && c.runningCounts[cls.taskType]+starts >= limit {
		return rankOverLimit
	}
	return rankNormal
}

// mayUse reports whether a class may use a worker. Urgent queues do not wait for reservations.
func (c *Core) mayUse(cls *class, worker string) bool {
	r := c.placement.reservation
	return r == nil || r.class == cls.key || !r.workers[worker] || c.st.Bundle.Queues[cls.queue].Urgent
}

// updateReservation ends a reservation that is over, and makes the next one if a class was passed over for too long.
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

// endReservation opens the workers of the reservation to all classes.
func (c *Core) endReservation(now time.Duration) {
	c.placement.reservation, c.placement.nextReservationAt = nil, now+c.cfg.ReserveRest
	c.placement.fullScan = true
}

// isOverdue reports whether a class has been passed over for so long that its reservations are to be long ones.
func (c *Core) isOverdue(now time.Duration, cls *class) bool {
	return cls.passedOverSince > 0 && now-cls.passedOverSince >= c.cfg.ReserveLongAfter
}

// reservationLength returns how long a reservation of a class lasts.
func (c *Core) reservationLength(now time.Duration, cls *class) time.Duration {
	if c.isOverdue(now, cls) {
		return c.cfg.ReserveLong
	}
	return c.cfg.ReserveFor
}

// retryReservationAt returns when a class may get its next reservation. For an overdue one that is right after the
// pause, or after the reservation of another class that waits.
func (c *Core) retryReservationAt(now time.Duration, cls *class) time.Duration {
	if c.isOverdue(now, cls) {
		return c.placement.nextReservationAt + 1
	}
	return now + c.cfg.ReserveRetry
}

// pickPassedOver returns the class with the oldest task among those passed over for too long, and workers for it; nil
// if there is none. A class that the cluster cannot hold now is tried again after ReserveRetry.
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
	for _, w := range waiting {
		if workers := c.workersToReserve(w.class); workers != nil {
			return w.class, workers
		}
		w.class.nextReservationAt = now + c.cfg.ReserveRetry
	}
	return nil, nil
}

// workersToReserve picks workers for a class, those with most free cores first; nil if the cluster cannot hold its next
// tasks.
func (c *Core) workersToReserve(cls *class) map[string]bool {
	job, ref := c.peek(cls)
	if job == nil {
		return nil
	}
	step := &job.Spec.Steps[ref.Step]
	var fit []*state.Worker
	for _, name := range c.placement.ring {
		rec, w := c.st.Workers[name], c.workers[name]
		if rec == nil || w.heardAt == 0 || w.failures > 0 || c.health.unhealthy[name] != nil {
			continue
		}
		if tasksPerWorker(rec, step) > 0 && c.st.PlacementRefusal(&job.Spec, step, rec) == "" {
			fit = append(fit, rec)
		}
	}
	free := func(rec *state.Worker) int { return rec.Cores - c.st.UsageOf(rec.Name).Cores }
	slices.SortStableFunc(fit, func(a, b *state.Worker) int { return free(b) - free(a) })
	need, got, picked := cls.groupSize(), 0, map[string]bool{}
	for _, rec := range fit {
		if got >= reserveFactor*need {
			break
		}
		picked[rec.Name] = true
		got += tasksPerWorker(rec, step)
	}
	if got < need {
		return nil
	}
	return picked
}

// tasksPerWorker returns how many tasks of a step fit on an empty worker.
func tasksPerWorker(rec *state.Worker, step *state.StepSpec) int {
	n := rec.Cores / max(step.Cores, 1)
	if step.GPUs > 0 {
		n = min(n, rec.GPUs/step.GPUs)
	}
	return n
}

// recordPassedOver marks the classes that the starts of a round passed over: those that fitted nowhere although they
// have a task older than one that got a start in the same rank or a later one.
func (c *Core) recordPassedOver(now time.Duration, round *placementRound) {
	var newest [ranks]uint64 // job that got a start, by rank
	for _, start := range round.plan.Starts {
		job, _ := c.st.TaskOf(start.Ref)
		step := &job.Spec.Steps[start.Ref.Step]
		r := c.rankOf(&class{queue: job.Spec.Queue, taskType: step.Type}, 0)
		newest[r] = max(newest[r], job.Seq)
	}
	for key, cls := range c.queue.classes {
		if c.awaitsTopUp(cls) {
			cls.passedOverSince = 0 // others do not keep it from starting, its party's balance does
			continue
		}
		if !round.unschedulable[key] || cls.passedOverSince > 0 {
			continue
		}
		job, _ := c.peek(cls)
		if job == nil {
			continue
		}
		for r := c.rankOf(cls, round.startsByType[cls.taskType]); r < ranks; r++ {
			if newest[r] > job.Seq {
				cls.passedOverSince = now
			}
		}
	}
}
