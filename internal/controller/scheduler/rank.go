package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Weights of a worker's speed.
const (
	speedSteps    = 8   // a slowdown is rounded to multiples of one part in speedSteps
	tooSlowFactor = 1.6 // at this slowdown a worker is avoided by all tasks that could run elsewhere
)

// avoidedCost multiplies the cost of a worker on which the task failed, or from which it was moved: the task runs there
// again rather than not at all.
const avoidedCost = 4

// selectNode returns the node of least cost for the unit's next task; nil if none has enough free capacity. Among nodes
// of equal cost prefersNode decides, then their order. avoid is the ID of a worker that the task had better not run on,
// or empty.
func (p *placement) selectNode(u *unit, nodes []*node, avoid string) *node {
	var best *node
	var least float64
	for _, n := range nodes {
		if n.reserved || !fits(n.free, u.step.Needs) || !p.isFeasible(u, n) {
			continue
		}
		cost := p.cost(u, n)
		if n.record.ID == avoid {
			cost *= avoidedCost
		}
		if best == nil || cost < least || cost == least && u.prefersNode(n, best) {
			best, least = n, cost
		}
	}
	return best
}

// cost returns how long a unit's task is expected to take on a node, relative to the others.
func (p *placement) cost(u *unit, n *node) float64 {
	cost := u.speedCost(n)
	if u.step.PreferredRack != "" && !slices.Contains(n.record.Labels, u.step.PreferredRack) {
		cost *= p.core.cfg.RemoteDataFactor
	}
	return cost
}

// speedCost returns the part of a node's cost that depends on its speed. Fast nodes are left to urgent work: for work
// of lower priority speed doesn't count, and long-running work, which no speed makes shorter, prefers slower nodes. A
// node that is too slow for all costs its slowdown in each case.
func (u *unit) speedCost(n *node) float64 {
	rounded := math.Round(n.slowdown*speedSteps) / speedSteps
	switch {
	case n.slowdown >= tooSlowFactor:
		return n.slowdown
	case u.step.LongRunning:
		return 1 + 1/max(rounded, 0.1)
	case u.queue.Priority > 0:
		return 1
	}
	return rounded
}

// prefersNode reports whether a node is better than another of the same cost: the emptier one, so that every rack has
// free capacity for tasks whose data is there; for tasks on accelerators the fuller one, so that whole nodes stay free
// for tasks that need several.
func (u *unit) prefersNode(n, other *node) bool {
	if u.step.Needs.GPUs > 0 {
		return n.free.GPUs < other.free.GPUs
	}
	return n.free.MilliCPU > other.free.MilliCPU
}

// byRack groups nodes by rack, the racks with the most free processors first.
func byRack(nodes []*node) [][]*node {
	racks := map[string][]*node{}
	free := map[string]int{}
	for _, n := range nodes {
		racks[n.record.Rack] = append(racks[n.record.Rack], n)
		free[n.record.Rack] += n.free.MilliCPU
	}
	names := sortedKeys(racks)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(free[b], free[a]) })
	groups := make([][]*node, len(names))
	for i, name := range names {
		groups[i] = racks[name]
	}
	return groups
}

// sortByFree returns a copy of nodes, those with the most free processors first.
func sortByFree(nodes []*node) []*node {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b *node) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
	return sorted
}
