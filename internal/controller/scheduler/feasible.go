package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// node is a worker that may take starts in this pass. It belongs to one placement.
type node struct {
	worker     *worker
	record     *jobs.Worker
	free       jobs.Resources // after the starts planned and the capacity claimed so far
	freeing    jobs.Resources // held by runs that are being stopped, or whose ends are not committed yet
	reserved   bool           // for a more urgent unit: the node gets no more starts in this pass
	slowdown   float64        // task duration on this worker relative to the average worker
	backfilled []*run         // runs that may be reclaimed, see backfill.go
	// longRunning are the runs on the worker that end only if their job is cancelled or they are preempted.
	longRunning []*run
	// lowestPriority is the priority of the least urgent preemptible run on the worker, which is the highest number;
	// -1: no run is preemptible.
	lowestPriority int
}

// feasibleNodes returns the nodes of a service that may be sent starts, without the stalled ones if there are at least
// minHealthyPerStalled others for each. All units of a pass share the nodes.
func (p *placement) feasibleNodes(service string) []*node {
	if nodes, ok := p.feasible[service]; ok {
		return nodes
	}
	var nodes, stalled []*node
	for _, w := range p.core.workerList {
		rec := w.record()
		if rec == nil || rec.Service != service || !w.canTakeStarts(p.core, p.now) {
			continue
		}
		if w.cooldown.isStalled(p.now) {
			stalled = append(stalled, p.newNode(w, rec))
		} else {
			nodes = append(nodes, p.newNode(w, rec))
		}
	}
	if len(stalled) > len(nodes)/minHealthyPerStalled {
		nodes = append(nodes, stalled...) // too many workers would be excluded: a slow run is better than none
	}
	p.feasible[service] = nodes
	return nodes
}

// newNode returns the node of a worker. Its free capacity excludes what the worker's runs use.
func (p *placement) newNode(w *worker, rec *jobs.Worker) *node {
	n := &node{
		worker:         w,
		record:         rec,
		free:           minus(rec.Capacity, p.core.table.Used(w.id)),
		slowdown:       p.core.speeds.slowdown(w.id),
		lowestPriority: -1,
	}
	for _, r := range w.runs {
		if r.stop.requested || r.ending {
			n.freeing = plus(n.freeing, r.needs)
		} else if r.longRunning {
			n.longRunning = append(n.longRunning, r)
		}
		if r.backfilled {
			n.backfilled = append(n.backfilled, r)
		}
		if r.isPreemptible() {
			n.lowestPriority = max(n.lowestPriority, r.priority)
		}
	}
	return n
}

// unused returns the capacity of a worker that no run uses and no start planned so far takes, whether or not it is set
// aside.
func (p *placement) unused(worker *jobs.Worker) jobs.Resources {
	return minus(worker.Capacity, plus(p.core.table.Used(worker.ID), p.planned[worker.ID]))
}

// cooldown holds when a worker last refused a start or stalled a run. Times are readings of the leader's clock;
// 0: never.
type cooldown struct {
	fullAt      time.Duration // it refused a start for lack of capacity: it runs more than the table has handles for
	unhealthyAt time.Duration // it refused a start as unhealthy
	stalledAt   time.Duration // a run on it was found stalled, and none has made progress since
}

// How long a worker is sent no starts after it refused one, or after a run on it was found stalled.
const (
	fullBackoff      = 300 * time.Millisecond
	unhealthyBackoff = time.Second
	stalledBackoff   = 2 * time.Second
)

// minHealthyPerStalled is how many other workers there must be for each worker that is excluded as stalled.
const minHealthyPerStalled = 3

// isStalled reports whether a run on the worker was found stalled within stalledBackoff.
func (d *cooldown) isStalled(now time.Duration) bool {
	return d.stalledAt > 0 && now-d.stalledAt < stalledBackoff
}

// hasRefused reports whether the back-off after a refused start is still in force.
func (d *cooldown) hasRefused(now time.Duration) bool {
	return d.fullAt > 0 && now-d.fullAt < fullBackoff || d.unhealthyAt > 0 && now-d.unhealthyAt < unhealthyBackoff
}

// markRefused records why a worker refused a start.
func (w *worker) markRefused(now time.Duration, refusal Refusal) {
	switch refusal {
	case RefusedCapacity:
		w.cooldown.fullAt = max(now, 1)
		w.renewal.probeDue = true // its list shows the runs that have no handle in the table
	case RefusedUnhealthy, RefusedInvalid:
		w.cooldown.unhealthyAt = max(now, 1)
	}
}

// canTakeStarts reports whether a worker may be sent starts, whatever its free capacity.
func (w *worker) canTakeStarts(c *Core, now time.Duration) bool {
	rec := w.record()
	switch {
	case isLeaving(rec) || c.table.Evacuated[rec.Zone]:
		return false
	case !w.lease.clockKnown || w.contact.isSilent(now, c.cfg.SilenceTimeout) || !w.contact.isReachable():
		return false
	case !w.lease.fenced || w.contact.answeredAt < w.contact.verifyAt:
		return false
	}
	return !w.cooldown.hasRefused(now)
}

// isFeasible reports whether one more of a unit's tasks may run on a node, whatever its free capacity.
func (p *placement) isFeasible(u *unit, n *node) bool { return p.mostTasksOn(u, n.record) > 0 }

// mostTasksOn returns how many more of a unit's tasks may run on a worker, whatever its free capacity.
func (p *placement) mostTasksOn(u *unit, worker *jobs.Worker) int {
	switch {
	case u.step.Label != "" && !slices.Contains(worker.Labels, u.step.Label):
		return 0
	case u.step.MaxPerWorker == 0:
		return maxTasksPerNode
	}
	return max(u.step.MaxPerWorker-p.tasksOn(u)[worker.ID], 0)
}

// tasksThatFit returns how many more of a unit's tasks may run on a worker with the given free capacity.
func (p *placement) tasksThatFit(u *unit, worker *jobs.Worker, free jobs.Resources) int {
	return min(taskCapacity(u.step.Needs, free), p.mostTasksOn(u, worker))
}

// totalCapacity returns how many of a unit's tasks would fit on the nodes, as capacityFor counts them.
func (p *placement) totalCapacity(u *unit, nodes []*node) int {
	total := 0
	for _, n := range nodes {
		total += p.capacityFor(u, n)
	}
	return total
}

// maxTasksPerNode bounds the capacity of a node for tasks that need no resources.
const maxTasksPerNode = 1 << 10

// capacityFor returns how many of a unit's tasks would fit on a node once all runs there have ended, but for the
// long-running ones that the unit can't preempt.
func (p *placement) capacityFor(u *unit, n *node) int {
	if !p.isFeasible(u, n) {
		return 0
	}
	capacity := n.record.Capacity
	for _, r := range n.longRunning {
		if !u.mayPreempt(r) && !u.mayReclaim(r) {
			capacity = minus(capacity, r.needs)
		}
	}
	count := taskCapacity(u.step.Needs, capacity)
	if u.step.MaxPerWorker > 0 {
		count = min(count, u.step.MaxPerWorker)
	}
	return count
}

// taskCapacity returns how many tasks with the given needs fit into a capacity, at most maxTasksPerNode.
func taskCapacity(needs, capacity jobs.Resources) int {
	count := maxTasksPerNode
	if needs.MilliCPU > 0 {
		count = min(count, capacity.MilliCPU/needs.MilliCPU)
	}
	if needs.MemoryMB > 0 {
		count = min(count, capacity.MemoryMB/needs.MemoryMB)
	}
	if needs.GPUs > 0 {
		count = min(count, capacity.GPUs/needs.GPUs)
	}
	return max(count, 0)
}
