package scheduler

import (
	"crosstide/internal/jobs"
)

// smallTaskMilliCPU is a task, in thousandths of a core, for which room turns up by itself.
const smallTaskMilliCPU = 2000

// reserve keeps the nodes that would take the unit soonest from less urgent units of this pass. A gang for which all of
// them, were they empty, would not do waits for other workers: room kept for it would only stand idle.
func (p *placement) reserve(u *unit, nodes []*node, count int) {
	group := p.nodesByFree(u.queue.Service, nodes)
	if u.step.SameRack {
		group = nil
		for _, rack := range byRack(nodes) {
			if group == nil || p.totalCapacity(u, rack) > p.totalCapacity(u, group) {
				group = rack
			}
		}
		group = sortByFree(group)
	}
	if u.step.Gang && p.totalCapacity(u, group) < count {
		return
	}
	for _, n := range group {
		if count <= 0 {
			return
		}
		if could := p.capacityFor(u, n); could > 0 && !n.reserved {
			n.reserved = true
			count -= could
		}
	}
}

// reserve keeps room for a task that waits until runs here have stopped: less urgent units of this pass must not take
// what is free of it already, else more runs would be stopped again and again.
func (n *node) reserve(needs jobs.Resources) {
	left := minus(plus(n.free, n.freeing), needs)
	free := jobs.Resources{MilliCPU: min(n.free.MilliCPU, left.MilliCPU), MemoryMB: min(n.free.MemoryMB, left.MemoryMB),
		GPUs: min(n.free.GPUs, left.GPUs)}
	n.free, n.freeing = free, minus(left, free)
}
