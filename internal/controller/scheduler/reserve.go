package scheduler

// smallTaskMilliCPU is the size up to which a task gets no reservation, as it finds free capacity soon enough.
const smallTaskMilliCPU = 2000

// reserve reserves enough nodes for count tasks of a unit, those with the most free processors first: less urgent units
// of this pass get no starts there. A node on which no task fits even after its runs have ended is not reserved, nor is
// any node for a gang that doesn't fit on all of them. Such a unit waits for more workers, or for the cancellation of
// long-running runs, and nodes reserved for it would only be idle.
func (p *placement) reserve(u *unit, nodes []*node, count int) {
	group := p.nodesByFree(u.queue.Service, nodes)
	if u.step.SameRack {
		group = sortByFree(p.largestRack(u, nodes))
	}
	if u.step.Gang && p.totalCapacity(u, group) < count {
		return
	}
	for _, n := range group {
		if count <= 0 {
			return
		}
		if capacity := p.capacityFor(u, n); capacity > 0 && !n.reserved {
			n.reserved = true
			p.backfill.aside[u.queue.Service] = true
			count -= capacity
		}
	}
}

// largestRack returns the nodes of the rack on which most tasks of a unit would fit, as capacityFor counts them.
func (p *placement) largestRack(u *unit, nodes []*node) []*node {
	var largest []*node
	for _, rack := range byRack(nodes) {
		if largest == nil || p.totalCapacity(u, rack) > p.totalCapacity(u, largest) {
			largest = rack
		}
	}
	return largest
}

// nodesByFree returns all nodes of a service in descending order of their free processors. Many waiting units follow
// one another without a planned start in between, so the sorted list is cached until a start is planned or undone.
func (p *placement) nodesByFree(service string, nodes []*node) []*node {
	sorted, ok := p.byFree[service]
	if !ok {
		sorted = sortByFree(nodes)
		p.byFree[service] = sorted
	}
	return sorted
}
