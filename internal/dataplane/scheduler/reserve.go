package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"crosstide/internal/state"
)

// reservation keeps what comes free on some workers for one class for a short while. A class whose tasks need more than
// what one run leaves when it ends would else be passed over for ever while narrower ones are due.
//
// It is short, and there is one at a time with a rest after it, because a due task must not wait long beside free
// capacity.
type reservation struct {
	class   string // key
	workers map[string]bool
	until   time.Duration
}

// reserveFactor is how many times the capacity that it needs is reserved for a class, so that enough of it comes free
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

// rankOf is the rank of a class; starts counts those of its type in the plan that is being made.
func (c *Core) rankOf(k *class, starts int) rank {
	if c.st.Bundle.Queues[k.queue].Urgent {
		return rankUrgent
	}
	if limit, ok := c.st.Bundle.Limits[k.taskType]; ok && c.runningCounts[k.taskType]+starts >= limit {
		return rankOverLimit
	}
	return rankNormal
}

// mayUse reports whether a class may use a worker. Urgent queues do not wait for reservations.
func (c *Core) mayUse(k *class, worker string) bool {
	r := c.placement.reservation
	return r == nil || r.class == k.key || !r.workers[worker] || c.st.Bundle.Queues[k.queue].Urgent
}

// updateReservation ends a reservation that is over, and makes the next one if a class was passed over for too long.
func (c *Core) updateReservation(now time.Duration) {
	if r := c.placement.reservation; r != nil {
		k := c.queue.classes[r.class]
		if now < r.until && k != nil && !c.awaitsTopUp(k) {
			return
		}
		c.endReservation(now)
		if k != nil {
			k.nextReservationAt = c.retryReservationAt(now, k)
		}
	}
	if now < c.placement.nextReservationAt {
		return
	}
	if k, workers := c.pickPassedOver(now); k != nil {
		c.placement.reservation = &reservation{k.key, workers, now + c.reservationLength(now, k)}
	}
}

// endReservation opens the workers of the reservation to all classes.
func (c *Core) endReservation(now time.Duration) {
	c.placement.reservation, c.placement.nextReservationAt = nil, now+c.cfg.ReserveRest
	c.placement.fullScan = true
}

// isOverdue reports whether short reservations did not help a class for too long.
func (c *Core) isOverdue(now time.Duration, k *class) bool {
	return k.passedOverSince > 0 && now-k.passedOverSince >= c.cfg.ReserveLongAfter
}

// reservationLength is how long a reservation of a class lasts.
func (c *Core) reservationLength(now time.Duration, k *class) time.Duration {
	if c.isOverdue(now, k) {
		return c.cfg.ReserveLong
	}
	return c.cfg.ReserveFor
}

// retryReservationAt is when a class may get its next reservation: an overdue one after the rest, or after the
// reservation of another class if one waits.
func (c *Core) retryReservationAt(now time.Duration, k *class) time.Duration {
	if c.isOverdue(now, k) {
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
	for _, k := range c.queue.classes {
		if k.passedOverSince == 0 || now-k.passedOverSince < c.cfg.ReserveAfter || now < k.nextReservationAt {
			continue
		}
		if job, _ := c.peek(k); job != nil && !c.awaitsTopUp(k) {
			waiting = append(waiting, passedOver{k, job.Seq})
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
func (c *Core) workersToReserve(k *class) map[string]bool {
	job, ref := c.peek(k)
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
	need, got, picked := k.groupSize(), 0, map[string]bool{}
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

// tasksPerWorker is how many tasks of a step a worker can run at once.
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
	for key, k := range c.queue.classes {
		if c.awaitsTopUp(k) {
			k.passedOverSince = 0 // others do not keep it from starting, its party's balance does
			continue
		}
		if !round.unschedulable[key] || k.passedOverSince > 0 {
			continue
		}
		job, _ := c.peek(k)
		if job == nil {
			continue
		}
		for r := c.rankOf(k, round.startsByType[k.taskType]); r < ranks; r++ {
			if newest[r] > job.Seq {
				k.passedOverSince = now
			}
		}
	}
}
