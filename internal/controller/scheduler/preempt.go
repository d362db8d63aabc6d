package scheduler

import (
	"cmp"
	"slices"
)

// preempt stops less urgent runs so that count tasks of a unit find room. It tells whether room is on the way.
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

// preemptOne makes room for one task on the node where that throws the least work away.
func (p *placement) preemptOne(u *unit, nodes []*node) bool {
	var chosen *node
	var victims []*run
	least := 0.0
	for _, n := range nodes {
		if n.reserved || !p.isFeasible(u, n) || !fits(n.record.Capacity, u.step.Needs) {
			continue
		}
		if fits(plus(n.free, n.freeing), u.step.Needs) { // room is on the way here
			n.reserve(u.step.Needs)
			return true
		}
		if n.lowestPriority <= u.queue.Priority || p.preempted >= p.core.cfg.MaxPreemptions {
			continue // nothing to stop here, or no more may be stopped in this pass
		}
		stop, waste, ok := p.victims(u, n)
		if ok && (chosen == nil || waste < least) {
			chosen, victims, least = n, stop, waste
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
	chosen.reserve(u.step.Needs)
	return true
}

// victims gives the runs to stop on a node for one task of a unit, and the work thrown away in core-seconds.
func (p *placement) victims(u *unit, n *node) (stop []*run, waste float64, ok bool) {
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
		stop = append(stop, r)
	}
	return stop, waste, fits(capacity, u.step.Needs)
}

// isPreemptible tells whether a run may be stopped for a more urgent one.
func (r *run) isPreemptible() bool { return r.sent && r.listed && !r.toStop && !r.ending && !r.gang }

// wastedWork is the work that a stop of a run throws away, in core-seconds; a saved run loses little.
func (p *placement) wastedWork(r *run) float64 {
	waste := (p.now - r.sentAt).Seconds() * coresOf(r.needs)
	if r.checkpoint != "" {
		waste /= 4
	}
	if r.longRunning {
		waste += 1
	}
	return waste
}
