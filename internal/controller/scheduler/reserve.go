package scheduler

// smallTaskMilliCPU is the size up to which a task gets no reservation: it finds free capacity soon enough.
const smallTaskMilliCPU = 2000

// reserve keeps less urgent units of this pass off the nodes that would take count tasks of a unit soonest. Nothing is
// reserved for a gang that wouldn't fit even if all nodes were empty: it waits for other workers, and what is reserved
// for it would only be idle.
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
			count -= capacity
		}
	}
}

// largestRack returns the nodes of the rack that would take most tasks of a unit if it were empty.
func (p *placement) largestRack(u *unit, nodes []*node) []*node {
	var largest []*node
	for _, rack := range byRack(nodes) {
		if largest == nil || p.totalCapacity(u, rack) > p.totalCapacity(u, largest) {
			largest = rack
		}
	}
	return largest
}

// nodesByFree returns all nodes of a service, those with the most free processors first. Waiting units follow one
// another without a start in between, so the order is kept until the next start is planned.
func (p *placement) nodesByFree(service string, nodes []*node) []*node {
	sorted, ok := p.byFree[service]
	if !ok {
		sorted = sortByFree(nodes)
		p.byFree[service] = sorted
	}
	return sorted
}
