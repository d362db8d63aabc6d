package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Bounds of how much the speed of a worker counts.
const (
	speedSteps    = 8   // speeds that differ by less than one part in so many count as equal
	tooSlowFactor = 1.6 // from this factor on a worker is too slow for anything that could run elsewhere
)

// speedCost is how much the speed of a node counts against it for a unit. The fast nodes are left to urgent work: work
// that is not urgent goes by room alone, and lasting work, which no speed makes shorter, to the slower ones.
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

// cost is how long a unit's task takes on a node, by what is known.
func (p *placement) cost(u *unit, n *node) float64 {
	cost := u.speedCost(n)
	if u.step.PreferredRack != "" && !slices.Contains(n.record.Labels, u.step.PreferredRack) {
		cost *= p.core.cfg.RemoteDataFactor
	}
	return cost
}

// selectNode gives the node that suits the unit's next task best; nil if none has room.
func (p *placement) selectNode(u *unit, nodes []*node, avoid string) *node {
	var found *node
	var least float64
	for _, n := range nodes {
		if n.reserved || !fits(n.free, u.step.Needs) || !p.isFeasible(u, n) {
			continue
		}
		cost := p.cost(u, n)
		if n.record.ID == avoid {
			cost *= 4 // better there again than not at all
		}
		if found == nil || cost < least || cost == least && u.prefersNode(n, found) {
			found, least = n, cost
		}
	}
	return found
}

// prefersNode tells whether a node is to be preferred to another of the same cost: the emptier one, so that every rack keeps
// room for tasks whose data is there; for tasks on accelerators the fuller one, so that whole nodes stay free for those
// that need several.
func (u *unit) prefersNode(n, other *node) bool {
	if u.step.Needs.GPUs > 0 {
		return n.free.GPUs < other.free.GPUs
	}
	return n.free.MilliCPU > other.free.MilliCPU
}

// byRack groups nodes by rack, in the order of the racks' free processors, most first.
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

func sortByFree(nodes []*node) []*node {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b *node) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
	return sorted
}

// nodesByFree gives all nodes of a service, those with most free room first. Units that wait follow one another without a
// start in between, so the order is kept until the next start.
func (p *placement) nodesByFree(service string, nodes []*node) []*node {
	sorted, ok := p.byFree[service]
	if !ok {
		sorted = sortByFree(nodes)
		p.byFree[service] = sorted
	}
	return sorted
}
