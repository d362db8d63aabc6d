package scheduler

import (
	"cmp"
	"slices"

	"crosstide/internal/jobs"
)

// preempt stops less urgent runs so that count tasks of a unit find capacity. It reports whether capacity for all of
// them is becoming free. Gangs and long-running tasks preempt nothing: they wait or reserve.
func (p *placement) preempt(u *unit, nodes []*node, count int) bool {
	if u.step.Gang || u.step.LongRunning {
		return false
	}
	for range count {
		if !p.preemptOne(u, nodes) {
			return false
		}
	}
	return true
}

// preemptOne frees capacity for one task on the node where that discards the least work.
func (p *placement) preemptOne(u *unit, nodes []*node) bool {
	var chosen *node
	var victims []*run
	least := 0.0
	for _, n := range nodes {
		if n.reserved || !p.isFeasible(u, n) || !fits(n.record.Capacity, u.step.Needs) {
			continue
		}
		if fits(plus(n.free, n.freeing), u.step.Needs) { // enough capacity is becoming free here
			n.claim(u.step.Needs)
			return true
		}
		if n.lowestPriority <= u.queue.Priority || p.preempted >= p.core.cfg.MaxPreemptions {
			continue // nothing to stop here, or no more may be stopped in this pass
		}
		candidates, waste, ok := p.victims(u, n)
		if ok && (chosen == nil || waste < least) {
			chosen, victims, least = n, candidates, waste
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
	chosen.claim(u.step.Needs)
	return true
}

// claim sets capacity aside for a task that waits until runs here have stopped. Without it less urgent units of this
// pass would take the part of it that is free already, and more runs would be stopped in each pass.
func (n *node) claim(needs jobs.Resources) {
	left := minus(plus(n.free, n.freeing), needs)
	free := jobs.Resources{
		MilliCPU: min(n.free.MilliCPU, left.MilliCPU),
		MemoryMB: min(n.free.MemoryMB, left.MemoryMB),
		GPUs:     min(n.free.GPUs, left.GPUs),
	}
	n.free, n.freeing = free, minus(left, free)
}

// victims returns the runs to stop on a node for one task of a unit, and the work in core-seconds that this discards.
// ok is false if stopping all that may be preempted isn't enough.
func (p *placement) victims(u *unit, n *node) (victims []*run, waste float64, ok bool) {
	var candidates []*run
	for _, r := range n.worker.runs {
		if r.priority > u.queue.Priority && r.isPreemptible() {
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

// isPreemptible reports whether a run may be stopped for a more urgent one. Members of a gang may not: all others would
// have to be stopped too.
func (r *run) isPreemptible() bool {
	return r.start.sent && r.progress.listed && !r.stop.wanted && !r.ending && !r.gang
}

// checkpointedWaste divides the wasted work of a run with a checkpoint: it restarts from there.
const checkpointedWaste = 4

// wastedWork returns what the stop of a run discards, in core-seconds. A long-running task is never finished, so that
// its restart counts a little on top.
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
