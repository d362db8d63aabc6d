package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// reservation keeps what comes free on some minions for one class for a short while. A class whose tasks need more
// than what a single run leaves when it ends would else be passed over for ever while narrower ones wait.
//
// It is short, and there is one at a time with a rest after it, as a due task must not wait long beside room.
type reservation struct {
	class   string
	workers map[string]bool
	until   time.Duration
}

// reserveFactor is how many times the room that it needs a class gets reserved, so that enough of it comes free in time.
const reserveFactor = 3

// rank orders classes: urgent queues, types under their limit, types over it.
type rank int

const (
	rankUrgent rank = iota
	rankNormal
	rankOverLimit
	ranks
)

// rankOf gives the rank of a class; pending counts the starts of its type in the plan being made.
func (c *Core) rankOf(k *class, pending int) rank {
	if c.st.Bundle.Queues[k.queue].Urgent {
		return rankUrgent
	}
	if limit, ok := c.st.Bundle.Limits[k.taskType]; ok && c.runningCounts[k.taskType]+pending >= limit {
		return rankOverLimit
	}
	return rankNormal
}

// mayUse tells whether a class may use a minion. Urgent queues do not wait for reservations.
func (c *Core) mayUse(k *class, worker string) bool {
	r := c.reservation
	return r == nil || r.class == k.key || !r.workers[worker] || c.st.Bundle.Queues[k.queue].Urgent
}

// updateReservation ends a reservation that is over, and makes the next one if some class was passed over for too long.
func (c *Core) updateReservation(now time.Duration) {
	if r := c.reservation; r != nil {
		k := c.queue.classes[r.class]
		if now < r.until && k != nil && !c.awaitsTopUp(k) {
			return
		}
		c.endReservation(now)
		if k != nil {
			k.nextReservationAt = c.retryReservationAt(now, k)
		}
	}
	if now < c.nextReservationAt {
		return
	}
	if k, workers := c.pickPassedOver(now); k != nil {
		c.reservation = &reservation{k.key, workers, now + c.reservationLength(now, k)}
	}
}

// overdue tells whether short reservations did not help a class for too long.
func (c *Core) overdue(now time.Duration, k *class) bool {
	return k.passedOverSince > 0 && now-k.passedOverSince >= c.cfg.ReserveLongAfter
}

// reservationLength is how long a reservation of a class lasts.
func (c *Core) reservationLength(now time.Duration, k *class) time.Duration {
	if c.overdue(now, k) {
		return c.cfg.ReserveLong
	}
	return c.cfg.ReserveFor
}

// retryReservationAt is when a class may get its next reservation. One that is overdue gets it after the rest, or after that of
// another class if one waits.
func (c *Core) retryReservationAt(now time.Duration, k *class) time.Duration {
	if c.overdue(now, k) {
		return c.nextReservationAt + 1
	}
	return now + c.cfg.ReserveRetry
}

// endReservation opens the minions of the reservation to all.
func (c *Core) endReservation(now time.Duration) {
	c.reservation, c.nextReservationAt, c.fullScan = nil, now+c.cfg.ReserveRest, true
}

// pickPassedOver gives the class with the oldest task of those that others passed over for too long, and minions for it;
// nil if there is none. One that the fleet cannot hold now is looked at again later.
func (c *Core) pickPassedOver(now time.Duration) (*class, map[string]bool) {
	type candidate struct {
		k   *class
		seq uint64
	}
	var waiting []candidate
	for _, k := range c.queue.classes {
		if k.passedOverSince == 0 || now-k.passedOverSince < c.cfg.ReserveAfter || now < k.nextReservationAt {
			continue
		}
		if j, _ := c.peek(k); j != nil && !c.awaitsTopUp(k) {
			waiting = append(waiting, candidate{k, j.Seq})
		}
	}
	slices.SortFunc(waiting, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.seq, b.seq), strings.Compare(a.k.key, b.k.key))
	})
	for _, w := range waiting {
		if workers := c.workersToReserve(w.k); workers != nil {
			return w.k, workers
		}
		w.k.nextReservationAt = now + c.cfg.ReserveRetry
	}
	return nil, nil
}

// workersToReserve picks minions for a class, those first that have most free; nil if the fleet cannot hold its next tasks.
func (c *Core) workersToReserve(k *class) map[string]bool {
	j, ref := c.peek(k)
	if j == nil {
		return nil
	}
	step := &j.Spec.Steps[ref.Step]
	var fit []*state.Worker
	for _, name := range c.ring {
		rec, m := c.st.Workers[name], c.workers[name]
		if rec != nil && m.heardAt > 0 && m.failures == 0 && c.health.unhealthy[name] == nil && tasksPerWorker(rec, step) > 0 && c.st.PlacementRefusal(&j.Spec, step, rec) == "" {
			fit = append(fit, rec)
		}
	}
	free := func(m *state.Worker) int { return m.Cores - c.st.UsageOf(m.Name).Cores }
	slices.SortStableFunc(fit, func(a, b *state.Worker) int { return free(b) - free(a) })
	need, got, out := k.groupSize(), 0, map[string]bool{}
	for _, m := range fit {
		if got >= reserveFactor*need {
			break
		}
		out[m.Name] = true
		got += tasksPerWorker(m, step)
	}
	if got < need {
		return nil
	}
	return out
}

// tasksPerWorker is how many tasks of a step a minion can run at once.
func tasksPerWorker(m *state.Worker, step *state.StepSpec) int {
	n := m.Cores / max(step.Cores, 1)
	if step.GPUs > 0 {
		n = min(n, m.GPUs/step.GPUs)
	}
	return n
}

// recordPassedOver notes which classes the starts of a plan passed over: those with an older task that fitted nowhere.
func (c *Core) recordPassedOver(now time.Duration, starts []command.Start, unschedulable map[string]bool, pending map[string]int) {
	var newest [ranks]uint64
	for _, s := range starts {
		j, _ := c.st.TaskOf(s.Ref)
		step := &j.Spec.Steps[s.Ref.Step]
		r := c.rankOf(&class{queue: j.Spec.Queue, taskType: step.Type}, 0)
		newest[r] = max(newest[r], j.Seq)
	}
	for key, k := range c.queue.classes {
		if c.awaitsTopUp(k) {
			k.passedOverSince = 0 // what waits for money is passed over by nobody
			continue
		}
		if !unschedulable[key] || k.passedOverSince > 0 {
			continue
		}
		j, _ := c.peek(k)
		if j == nil {
			continue
		}
		for r := c.rankOf(k, pending[k.taskType]); r < ranks; r++ {
			if newest[r] > j.Seq {
				k.passedOverSince = now
			}
		}
	}
}
