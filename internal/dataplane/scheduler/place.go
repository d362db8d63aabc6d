package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// placement is the state that placement keeps between plans. Core owns it.
type placement struct {
	ring         []string        // names of workers, in the order in which they were first seen
	ringOffset   int             // index in ring at which the next plan begins, to spread starts over the workers
	freedWorkers map[string]bool // workers that may have gained free capacity since the latest placement
	fullScan     bool            // the next placement considers every class on all workers
	isCurrent    bool            // no input of placement has changed since the latest placement

	reservation       *reservation // nil while no workers are reserved
	nextReservationAt time.Duration
	budget            budget
}

// clear resets the state, except ringOffset and budget, and requests a full scan.
func (p *placement) clear() {
	p.ring, p.freedWorkers, p.fullScan = nil, map[string]bool{}, true
	p.reservation, p.nextReservationAt = nil, 0
}

// candidate is a worker that may get starts, with the capacity that the plan has left free so far.
type candidate struct {
	rec         *state.Worker
	cores, gpus int
	isProbe     bool // the worker is ejected: it gets a single start
}

// placementRound is the state of one call of place.
type placementRound struct {
	plan *command.Plan
	// The workers that may get a start, and those of them that are in freedWorkers. candidates is empty if no class is
	// considered on all workers. Each search for a worker starts where the previous one ended.
	candidates, freed        []*candidate
	nextCandidate, nextFreed int

	unschedulable map[string]bool // classes that fit on none of their candidates, by key
	startsByType  map[string]int
	startsByTeam  map[string]int
}

// place adds starts for due tasks to a plan. The order is: urgent queues, types under their limit, types at or over
// it; among equals the team with the fewest runs for its weight, if the policy has weights, then the oldest job.
//
// A class that fits on no worker delays others only by short reservations (see reserve.go). Apart from
// that, free capacity that a due task may use does not stay idle, not even because of a limit.
func (c *Core) place(now time.Duration, plan *command.Plan) {
	c.endBackoffs(now)
	if c.queue.isIdle() || len(c.placement.ring) == 0 {
		return
	}
	c.resetBudget()
	if c.placement.fullScan {
		c.updateReservation(now)
	}
	round := c.newRound(now, plan)
	if len(round.candidates)+len(round.freed) == 0 {
		clear(c.placement.freedWorkers)
		return
	}
	for len(plan.Starts) < c.cfg.MaxStarts {
		cls, job := c.nextClass(round)
		if cls == nil {
			break
		}
		if !c.placeGroup(now, round, cls, job) {
			round.unschedulable[cls.key], cls.unschedulable = true, true
		}
	}
	c.recordPassedOver(now, round)
	clear(c.placement.budget.reserved)
	c.placement.ringOffset = (c.placement.ringOffset + round.nextCandidate) % len(c.placement.ring)
	if len(plan.Starts) < c.cfg.MaxStarts {
		clear(c.placement.freedWorkers)
	}
}

// newRound selects the workers that may get a start now, and the classes that fit on none of them.
//
// A class that fitted on no worker is considered only on freed workers until the next sweep, or until the placement
// policy or an account changes. Otherwise, on a full cluster, every answer would cost O(classes * workers).
func (c *Core) newRound(now time.Duration, plan *command.Plan) *placementRound {
	round := &placementRound{plan: plan, unschedulable: map[string]bool{},
		startsByType: map[string]int{}, startsByTeam: map[string]int{}}
	scanAll := c.placement.fullScan
	for _, cls := range c.queue.classes {
		scanAll = scanAll || !cls.unschedulable
	}
	if scanAll {
		round.candidates = c.candidates(now, c.rotatedRing())
		for _, w := range round.candidates {
			if c.placement.freedWorkers[w.rec.Name] {
				round.freed = append(round.freed, w)
			}
		}
	} else {
		round.freed = c.candidates(now, sortedKeys(c.placement.freedWorkers))
	}
	for key, cls := range c.queue.classes {
		if c.placement.fullScan || !cls.unschedulable {
			cls.unschedulable = !c.fitsAny(cls, round.candidates)
			round.unschedulable[key] = cls.unschedulable
		} else {
			round.unschedulable[key] = !c.fitsAny(cls, round.freed)
		}
	}
	c.placement.fullScan = false
	return round
}

// rotatedRing returns the names in the ring, starting at ringOffset.
func (c *Core) rotatedRing() []string {
	ring := make([]string, len(c.placement.ring))
	for i := range ring {
		ring[i] = c.placement.ring[(c.placement.ringOffset+i)%len(ring)]
	}
	return ring
}

// candidates returns the named workers that may get a start now and have free cores, in the given order.
func (c *Core) candidates(now time.Duration, names []string) []*candidate {
	selected := make([]*candidate, 0, len(names))
	for _, name := range names {
		w, rec := c.workers[name], c.st.Workers[name]
		if w == nil || rec == nil || !c.acceptsStarts(now, w, rec) {
			continue
		}
		used := c.st.UsageOf(name)
		cand := &candidate{rec, rec.Cores - used.Cores, rec.GPUs - used.GPUs, c.health.unhealthy[name] != nil}
		if cand.cores > 0 {
			selected = append(selected, cand)
		}
	}
	return selected
}

// acceptsStarts reports whether a worker may get starts now. A worker with an order in flight may not, because orders
// are sent one at a time, in the order of run IDs.
func (c *Core) acceptsStarts(now time.Duration, w *worker, rec *state.Worker) bool {
	isResponsive := w.heardAt > 0 && w.failures == 0 && now-w.heardAt <= c.cfg.PlacementTimeout
	isRecorded := w.report == nil && rec.Incarnation == w.incarnation // the store has its latest report
	return isResponsive && isRecorded && !w.draining && w.orderCall == 0 && len(w.outbox) == 0 &&
		c.health.admitsStart(now, w.name)
}

// fitsAny reports whether the oldest task of a class fits on any candidate. It returns false if the class awaits a
// top-up.
func (c *Core) fitsAny(cls *class, candidates []*candidate) bool {
	job, ref := c.peek(cls)
	if job == nil {
		return true // nextClass drops the empty class
	}
	if c.awaitsTopUp(cls) {
		return false
	}
	step := &job.Spec.Steps[ref.Step]
	return slices.ContainsFunc(candidates, func(w *candidate) bool { return c.fits(cls, job, step, w) })
}

// fits reports whether a task of a class may start on a candidate.
func (c *Core) fits(cls *class, job *state.Job, step *state.StepSpec, w *candidate) bool {
	return c.mayUse(cls, w.rec.Name) && w.cores >= step.Cores && w.gpus >= step.GPUs &&
		c.st.PlacementRefusal(&job.Spec, step, w.rec) == ""
}

// classPriority is the position of a class among those that may be placed next; lower values go first.
type classPriority struct {
	rank  rank
	share float64 // of the team, see teamShare
	seq   uint64  // of the oldest job
	key   string
}

func (p classPriority) before(other classPriority) bool {
	switch {
	case p.rank != other.rank:
		return p.rank < other.rank
	case p.share != other.share:
		return p.share < other.share
	case p.seq != other.seq:
		return p.seq < other.seq
	}
	return p.key < other.key
}

// nextClass returns the class whose oldest task is placed next, and the job of that task, or nil if none is left. It
// drops classes without tasks.
func (c *Core) nextClass(round *placementRound) (*class, *state.Job) {
	var next *class
	var nextJob *state.Job
	var nextPriority classPriority
	for key, cls := range c.queue.classes {
		if round.unschedulable[key] {
			continue
		}
		job, _ := c.peek(cls)
		if job == nil {
			delete(c.queue.classes, key)
			continue
		}
		rank := c.rankOf(cls, round.startsByType[cls.taskType])
		share := c.teamShare(cls.team, round.startsByTeam[cls.team])
		if p := (classPriority{rank, share, job.Seq, key}); next == nil || p.before(nextPriority) {
			next, nextJob, nextPriority = cls, job, p
		}
	}
	return next, nextJob
}

// teamShare returns the number of a team's runs, including its starts of this round, divided by the team's weight. It
// returns 0 if the policy has no weights.
func (c *Core) teamShare(team string, starts int) float64 {
	if len(c.st.Bundle.Weights) == 0 {
		return 0
	}
	return float64(c.runningByTeam[team]+starts) / float64(max(1, c.st.Bundle.Weights[team]))
}

// placeGroup adds starts for the next group of a class to the plan, and reports whether it did. If not all tasks of
// the group fit, or their party's balance does not cover them, the plan is unchanged.
func (c *Core) placeGroup(now time.Duration, round *placementRound, cls *class, job *state.Job) bool {
	size := cls.groupSize()
	candidates, next := round.candidates, &round.nextCandidate
	if cls.unschedulable && !cls.gang || len(round.candidates) == 0 {
		candidates, next = round.freed, &round.nextFreed
	}
	if !c.checkCovered(cls, job) {
		return false
	}
	starts := c.fitGroup(candidates, next, cls, job, size)
	if starts == nil {
		return false
	}
	c.reserveFee(cls, job)
	for range size {
		c.pop(cls)
	}
	if cls.passedOverSince = 0; c.placement.reservation != nil && c.placement.reservation.class == cls.key {
		c.endReservation(now)
	}
	if cls.gang {
		delete(c.queue.classes, cls.key)
		for i := range starts {
			starts[i].Group = len(round.plan.Starts) + 1
		}
	}
	round.plan.Starts = append(round.plan.Starts, starts...)
	round.startsByType[cls.taskType] += size
	round.startsByTeam[cls.team] += size
	return true
}

// fitGroup finds workers for the next size tasks of a class and subtracts the tasks' resources from the candidates. If
// not all tasks fit it returns nil and leaves the candidates unchanged.
func (c *Core) fitGroup(candidates []*candidate, next *int, cls *class, job *state.Job, size int) []command.Start {
	var starts []command.Start
	var assigned []*candidate
	for i := range size {
		ref := cls.refs[cls.head+i].TaskRef
		step := &job.Spec.Steps[ref.Step]
		target := c.findWorker(candidates, next, cls, job, ref, size > 1)
		if target == nil {
			for n, w := range assigned {
				step := &job.Spec.Steps[starts[n].Ref.Step]
				w.cores += step.Cores
				w.gpus += step.GPUs
			}
			return nil
		}
		target.cores -= step.Cores
		target.gpus -= step.GPUs
		if target.isProbe {
			target.cores = 0
		}
		assigned = append(assigned, target)
		starts = append(starts, command.Start{Ref: ref, Worker: target.rec.Name, Incarnation: target.rec.Incarnation})
	}
	return starts
}

// findWorker returns the next candidate that a task fits on, or nil. A worker on which the task has failed before is
// returned only if the task fits on no other, and never for a probe. Gangs get no probes, because a failed probe would
// delay the whole gang.
func (c *Core) findWorker(candidates []*candidate, next *int, cls *class, job *state.Job, ref state.TaskRef,
	inGang bool) *candidate {
	step := &job.Spec.Steps[ref.Step]
	var fallback *candidate
	for range candidates {
		w := candidates[*next%len(candidates)]
		*next++
		if w.isProbe && inGang || !c.fits(cls, job, step, w) {
			continue
		}
		if !c.health.hasFailedOn(ref, w.rec.Name) {
			return w
		}
		if fallback == nil && !w.isProbe {
			fallback = w
		}
	}
	return fallback
}
