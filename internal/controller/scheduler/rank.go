package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Weights of a worker's speed.
const (
	speedSteps    = 8   // slowdowns are rounded to multiples of 1/speedSteps
	tooSlowFactor = 1.6 // workers with at least this slowdown are avoided by all kinds of work
)

// avoidedCost is the factor on the cost of a worker on which the task failed, or from which it was moved. As the worker
// isn't excluded, the task can run there again if no other has capacity.
const avoidedCost = 4

// selectNode returns the node with the lowest cost for the unit's next task, or nil if no node has enough free
// capacity. Among nodes of equal cost prefersNode decides, then their order. avoid is the ID of a worker whose cost is
// multiplied by avoidedCost, or empty.
func (p *placement) selectNode(u *unit, nodes []*node, avoid string) *node {
	return p.selectNodeAmong(u, nodes, avoid, func(n *node) bool { return !n.reserved && fits(n.free, u.step.Needs) })
}

// selectBackfillNode is selectNode for a unit that may use capacity that is set aside.
func (p *placement) selectBackfillNode(u *unit, nodes []*node, avoid string) *node {
	return p.selectNodeAmong(u, nodes, avoid, func(n *node) bool { return fits(p.unused(n.record), u.step.Needs) })
}

// selectNodeAmong is selectNode among the nodes that have capacity for the task according to hasCapacity.
func (p *placement) selectNodeAmong(u *unit, nodes []*node, avoid string, hasCapacity func(*node) bool) *node {
	var best *node
	var lowestCost float64
	for _, n := range nodes {
		if !hasCapacity(n) || !p.isFeasible(u, n) {
			continue
		}
		cost := p.cost(u, n)
		if n.record.ID == avoid {
			cost *= avoidedCost
		}
		if best == nil || cost < lowestCost || cost == lowestCost && u.prefersNode(n, best) {
			best, lowestCost = n, cost
		}
	}
	return best
}

// cost returns the expected duration of a unit's task on a node, relative to that on other nodes.
func (p *placement) cost(u *unit, n *node) float64 {
	cost := u.speedCost(n)
	if u.step.PreferredRack != "" && !slices.Contains(n.record.Labels, u.step.PreferredRack) {
		cost *= p.core.cfg.RemoteDataFactor
	}
	return cost
}

// speedCost returns the part of a node's cost that depends on its speed. Fast nodes are left to urgent work: for work
// of lower priority speed is ignored, and long-running work, which isn't shorter on a fast node, prefers slower nodes.
// If a node's slowdown is at least tooSlowFactor, its cost is the slowdown, for all kinds of work.
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

// prefersNode reports whether a node is better than another of the same cost. The emptier node is better, so that every
// rack has free capacity for tasks whose data is there. For tasks that need accelerators the fuller one is better, so
// that whole nodes stay free for tasks that need several.
func (u *unit) prefersNode(n, other *node) bool {
	if u.step.Needs.GPUs > 0 {
		return n.free.GPUs < other.free.GPUs
	}
	return n.free.MilliCPU > other.free.MilliCPU
}

// byRack groups nodes by rack, in descending order of the free processors of the racks.
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

// sortByFree returns a copy of nodes in descending order of their free processors.
func sortByFree(nodes []*node) []*node {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b *node) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
	return sorted
}
