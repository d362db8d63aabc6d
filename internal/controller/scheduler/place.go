package scheduler

import (
	"cmp"
	"math"
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

func fits(free, needs jobs.Resources) bool {
	return needs.MilliCPU <= free.MilliCPU && needs.MemoryMB <= free.MemoryMB && needs.GPUs <= free.GPUs
}

func plus(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: a.MilliCPU + b.MilliCPU, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}

func minus(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: a.MilliCPU - b.MilliCPU, MemoryMB: a.MemoryMB - b.MemoryMB, GPUs: a.GPUs - b.GPUs}
}

// placement is the work of one pass.
type placement struct {
	core      *Core
	now       time.Duration
	wall      time.Time
	feasible  map[string][]*node // by service
	starts    []jobs.Start
	assigned  map[jobs.TaskRef]map[string]int // planned tasks of a unit on a worker
	byFree    map[string][]*node              // by service: the nodes with most free room first; gone with each start
	preempted int
}

// place chooses workers for due tasks.
func (c *Core) place(now time.Duration, wall time.Time) []jobs.Start {
	capacity := min(c.cfg.MaxStarts, c.orderBudget())
	if now < c.connBackoff.until || capacity <= 0 {
		c.placementDue = true
		return nil
	}
	units := c.dueUnits(wall)
	p := &placement{core: c, now: now, wall: wall, feasible: map[string][]*node{}, assigned: map[jobs.TaskRef]map[string]int{},
		byFree: map[string][]*node{}}
	paid := newBalanceCheck(c.table)
	for _, u := range units {
		if len(p.starts) >= capacity {
			c.placementDue = true
			break
		}
		if u = paid.affordable(u); u == nil {
			continue
		}
		if u.step.Gang && len(p.starts)+len(u.taskIndexes) > capacity && capacity < c.cfg.MaxOrdersInFlight {
			c.placementDue = true // its orders leave together, once fewer are under way
			continue
		}
		before := len(p.starts)
		if u.step.Gang {
			p.placeGang(u)
		} else {
			p.placeTasks(u)
		}
		paid.reserve(u, p.starts[before:])
	}
	p.moveSlowRuns()
	return p.starts
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

// assign plans a start of one task on a node.
func (p *placement) assign(u *unit, n *node, index, number int) {
	n.free = minus(n.free, u.step.Needs)
	clear(p.byFree)
	p.countOnNode(u, n.record.ID)
	p.assigned[u.key()][n.record.ID]++
	p.starts = append(p.starts, jobs.Start{Task: u.task(index), Number: number, Worker: n.record.ID})
}

// rollback undoes the newest starts, down to a length of the list.
func (p *placement) rollback(u *unit, nodes []*node, length int) {
	clear(p.byFree)
	for _, s := range p.starts[length:] {
		for _, n := range nodes {
			if n.record.ID == s.Worker {
				n.free = plus(n.free, u.step.Needs)
			}
		}
		p.assigned[u.key()][s.Worker]--
	}
	p.starts = p.starts[:length]
}

func (u *unit) tasks() []jobs.Task { return u.job.Rounds[u.round][u.stepIndex] }

// placeTasks places the tasks of a unit one by one.
func (p *placement) placeTasks(u *unit) {
	nodes := p.feasibleNodes(u.queue.Service)
	tasks := u.tasks()
	for position, index := range u.taskIndexes {
		n := p.selectNode(u, nodes, p.core.avoidWorker[u.task(index)])
		if n == nil {
			p.freeCapacity(u, nodes, len(u.taskIndexes)-position)
			return
		}
		p.assign(u, n, index, tasks[index].LastRun+1)
	}
}

// placeGang places all members of a gang, or none.
func (p *placement) placeGang(u *unit) {
	nodes := p.feasibleNodes(u.queue.Service)
	groups := [][]*node{nodes}
	if u.step.SameRack {
		groups = byRack(nodes)
		if p.now-u.waitingSince > 4*p.core.cfg.ReserveAfter || !p.someRackFits(u, groups) {
			groups = append(groups, nodes) // slower over several racks, but not waiting
		}
	}
	for _, group := range groups {
		if p.tryGang(u, group) {
			return
		}
	}
	p.freeCapacity(u, nodes, len(u.taskIndexes))
}

// someRackFits tells whether some rack, were it empty, would hold the whole gang.
func (p *placement) someRackFits(u *unit, racks [][]*node) bool {
	return slices.ContainsFunc(racks, func(rack []*node) bool { return p.totalCapacity(u, rack) >= len(u.taskIndexes) })
}

func (p *placement) tryGang(u *unit, nodes []*node) bool {
	number := 0
	for _, task := range u.tasks() {
		number = max(number, task.LastRun+1)
	}
	length := len(p.starts)
	for _, index := range u.taskIndexes {
		n := p.selectNode(u, nodes, "")
		if n == nil {
			p.rollback(u, nodes, length)
			return false
		}
		p.assign(u, n, index, number)
	}
	return true
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

// freeCapacity is for a unit of which count tasks found no room: less urgent runs are stopped for it, and once it has waited
// for a while room is kept free for it.
func (p *placement) freeCapacity(u *unit, nodes []*node, count int) {
	if u.tier(p.wall) == expiredTier {
		return
	}
	if p.preempt(u, nodes, count) {
		return
	}
	if p.now-u.waitingSince < p.core.cfg.ReserveAfter || !u.step.Gang && u.step.Needs.MilliCPU <= smallTaskMilliCPU {
		return
	}
	p.reserve(u, nodes, count)
}

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

func sortByFree(nodes []*node) []*node {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b *node) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
	return sorted
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
