package scheduler

import (
	"cmp"
	"slices"

	"crosstide/internal/jobs"
)

// preempt stops less urgent runs to free capacity for count tasks of a unit. It reports whether capacity for all of
// them is becoming free. Gangs and long-running tasks don't preempt: they wait or get a reservation.
func (p *placement) preempt(u *unit, nodes []*node, count int) bool {
	if !u.preempts() {
		return false
	}
	for range count {
		if !p.preemptOne(u, nodes) {
			return false
		}
	}
	return true
}

// preemptOne frees capacity for one task of a unit, on the node where this discards the least work. It reports whether
// the capacity is becoming free.
func (p *placement) preemptOne(u *unit, nodes []*node) bool {
	var chosen *node
	var victims []*run
	leastWaste := 0.0
	for _, n := range nodes {
		if n.reserved || !p.isFeasible(u, n) || !fits(n.record.Capacity, u.step.Needs) {
			continue
		}
		if fits(plus(n.free, n.freeing), u.step.Needs) { // enough capacity is already becoming free here
			p.claim(n, u.step.Needs)
			return true
		}
		if n.lowestPriority <= u.queue.Priority || p.preempted >= p.core.cfg.MaxPreemptions {
			continue // no less urgent run here, or the pass may stop no more runs
		}
		candidates, waste, ok := p.victims(u, n)
		if ok && (chosen == nil || waste < leastWaste) {
			chosen, victims, leastWaste = n, candidates, waste
		}
	}
	if chosen == nil || p.preempted+len(victims) > p.core.cfg.MaxPreemptions {
		return false
	}
	for _, r := range victims {
		p.core.requestStop(r, CausePreempted)
		chosen.freeing = plus(chosen.freeing, r.needs)
		p.core.Counts.Preempted++
	}
	p.preempted += len(victims)
	p.core.placementDue = true
	p.claim(chosen, u.step.Needs)
	return true
}

// claim sets capacity aside for a task that waits until runs on the node have stopped. Without the claim, less urgent
// units of this pass would take the part of that capacity that is already free, and each pass would stop more runs.
func (p *placement) claim(n *node, needs jobs.Resources) {
	p.backfill.aside[n.record.Service] = true
	remaining := minus(plus(n.free, n.freeing), needs)
	free := jobs.Resources{
		MilliCPU: min(n.free.MilliCPU, remaining.MilliCPU),
		MemoryMB: min(n.free.MemoryMB, remaining.MemoryMB),
		GPUs:     min(n.free.GPUs, remaining.GPUs),
	}
	n.free, n.freeing = free, minus(remaining, free)
}

// victims returns the runs to stop on a node for one task of a unit, and the work in core-seconds that this discards.
// ok is false if even stopping every preemptible run that is less urgent doesn't free enough capacity.
func (p *placement) victims(u *unit, n *node) (victims []*run, waste float64, ok bool) {
	var candidates []*run
	for _, r := range n.worker.runs {
		if u.mayPreempt(r) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *run) int {
		return cmp.Or(cmp.Compare(p.wastedWork(a), p.wastedWork(b)), a.key.Compare(b.key))
	})
	capacity := plus(n.free, n.freeing)
	for _, r := range candidates {
		if fits(capacity, u.step.Needs) {
			break
		}
		capacity = plus(capacity, r.needs)
		waste += p.wastedWork(r)
		victims = append(victims, r)
	}
	return victims, waste, fits(capacity, u.step.Needs)
}

// preempts reports whether less urgent runs may be stopped for a unit.
func (u *unit) preempts() bool { return !u.step.Gang && !u.step.LongRunning }

// mayPreempt reports whether a run may be stopped for a unit.
func (u *unit) mayPreempt(r *run) bool {
	return u.preempts() && r.priority > u.queue.Priority && r.isPreemptible()
}

// isPreemptible reports whether a run may be stopped for a more urgent one. Members of a gang are not preemptible, as
// all other members would have to be stopped too.
func (r *run) isPreemptible() bool {
	return r.start.sent && r.progress.listed && !r.stop.requested && !r.ending && !r.gang
}

// checkpointedWaste is the divisor of the wasted work of a run with a checkpoint, as the run resumes from there.
const checkpointedWaste = 4

// wastedWork returns the work that stopping a run discards, in core-seconds. A long-running task never finishes; its
// restart counts as one core-second more.
func (p *placement) wastedWork(r *run) float64 {
	waste := (p.now - r.start.sentAt).Seconds() * coresOf(r.needs)
	if r.progress.checkpoint != "" {
		waste /= checkpointedWaste
	}
	if r.longRunning {
		waste++
	}
	return waste
}
