package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// node is a worker that may take starts in this pass, with the room it has left.
type node struct {
	worker   *worker
	record   *jobs.Worker
	free     jobs.Resources
	freeing  jobs.Resources // what runs give back that are being stopped, or whose ends wait to be committed
	reserved bool           // kept free for a more urgent unit
	slowdown float64        // how many times as long a task takes here
	// lowest is the priority of the least urgent run here that may be stopped for a more urgent one; -1: none.
	lowestPriority int
}

// feasibleNodes gives the nodes of a service, the same for all units of a pass.
func (p *placement) feasibleNodes(service string) []*node {
	if nodes, ok := p.feasible[service]; ok {
		return nodes
	}
	var nodes, stalled []*node
	for _, id := range p.core.workerIDs {
		w := p.core.workers[id]
		rec := w.record()
		if rec == nil || rec.Service != service || !w.canTakeStarts(p.core, p.now) {
			continue
		}
		n := &node{worker: w, record: rec, free: minus(rec.Capacity, p.core.table.Used(id)), slowdown: p.core.speeds.slowdown(id), lowestPriority: -1}
		for _, r := range w.runs {
			if r.toStop || r.ending {
				n.freeing = plus(n.freeing, r.needs)
			}
			if r.isPreemptible() {
				n.lowestPriority = max(n.lowestPriority, r.priority)
			}
		}
		if w.isStalled(p.now) {
			stalled = append(stalled, n)
		} else {
			nodes = append(nodes, n)
		}
	}
	if len(stalled) > len(nodes)/minHealthyPerStalled {
		nodes = append(nodes, stalled...) // so many at once: better there than nowhere
	}
	p.feasible[service] = nodes
	return nodes
}

// Pauses after a worker refused a start, or after a run on it was found standing still.
const (
	fullBackoff      = 300 * time.Millisecond
	unhealthyBackoff = time.Second
	stalledBackoff   = 2 * time.Second
)

// minHealthyPerStalled is how many workers there must be for each one that is left out because its runs stand still.
const minHealthyPerStalled = 3

// isStalled tells whether a worker is left out because its runs stand still.
func (w *worker) isStalled(now time.Duration) bool {
	return w.stalledAt > 0 && now-w.stalledAt < stalledBackoff
}

// canTakeStarts tells whether a worker may be given starts.
func (w *worker) canTakeStarts(c *Core, now time.Duration) bool {
	rec := w.record()
	switch {
	case isLeaving(rec) || c.table.Evacuated[rec.Zone]:
		return false
	case !w.clockOK || w.heardAt == 0 || now-w.heardAt > c.cfg.SilenceTimeout || !w.isReachable():
		return false
	case !w.answered || w.answeredAt < w.verifyAt:
		return false
	case w.fullAt > 0 && now-w.fullAt < fullBackoff || w.unhealthyAt > 0 && now-w.unhealthyAt < unhealthyBackoff:
		return false
	}
	return true
}

// isFeasible tells whether a unit's tasks may run on a node at all, room apart.
func (p *placement) isFeasible(u *unit, n *node) bool {
	if u.step.Label != "" && !slices.Contains(n.record.Labels, u.step.Label) {
		return false
	}
	return u.step.MaxPerWorker == 0 || p.countOnNode(u, n.record.ID) < u.step.MaxPerWorker
}

// countOnNode counts a unit's tasks on a worker, those planned in this pass included.
func (p *placement) countOnNode(u *unit, id string) int {
	counts := p.assigned[u.key()]
	if counts == nil {
		counts = map[string]int{}
		for _, task := range u.job.Rounds[u.round][u.stepIndex] {
			for _, handle := range task.Runs {
				counts[handle.Worker]++
			}
		}
		p.assigned[u.key()] = counts
	}
	return counts[id]
}

func (p *placement) totalCapacity(u *unit, nodes []*node) int {
	sum := 0
	for _, n := range nodes {
		sum += p.capacityFor(u, n)
	}
	return sum
}

// capacityFor is how many of a unit's tasks an empty node takes.
func (p *placement) capacityFor(u *unit, n *node) int {
	if !p.isFeasible(u, n) {
		return 0
	}
	needs, has := u.step.Needs, n.record.Capacity
	most := 1 << 10
	if needs.MilliCPU > 0 {
		most = min(most, has.MilliCPU/needs.MilliCPU)
	}
	if needs.MemoryMB > 0 {
		most = min(most, has.MemoryMB/needs.MemoryMB)
	}
	if needs.GPUs > 0 {
		most = min(most, has.GPUs/needs.GPUs)
	}
	if u.step.MaxPerWorker > 0 {
		most = min(most, u.step.MaxPerWorker)
	}
	return most
}
