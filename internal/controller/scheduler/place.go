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
	worker  *worker
	record  *jobs.Worker
	free    jobs.Resources
	freeing jobs.Resources // what runs give back that are being stopped, or whose ends wait to be committed
	held    bool           // kept free for a more urgent unit
	factor  float64        // how many times as long a task takes here
	// lowest is the priority of the least urgent run here that may be stopped for a more urgent one; -1: none.
	lowest int
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
	nodes     map[string][]*node // by service
	starts    []jobs.Start
	perNode   map[jobs.TaskRef]map[string]int // planned tasks of a unit on a worker
	byFree    map[string][]*node              // by service: the nodes with most free room first; gone with each start
	preempted int
}

// place chooses workers for due tasks.
func (c *Core) place(now time.Duration, wall time.Time) []jobs.Start {
	room := min(c.cfg.MostStarts, c.orderRoom())
	if now < c.shortage.until || room <= 0 {
		c.moved = true
		return nil
	}
	units := c.dueUnits(wall)
	p := &placement{core: c, now: now, wall: wall, nodes: map[string][]*node{}, perNode: map[jobs.TaskRef]map[string]int{},
		byFree: map[string][]*node{}}
	paid := newPayment(c.table)
	for _, u := range units {
		if len(p.starts) >= room {
			c.moved = true
			break
		}
		if u = paid.within(u); u == nil {
			continue
		}
		if u.step.Gang && len(p.starts)+len(u.indexes) > room && room < c.cfg.MostOrdersOut {
			c.moved = true // its orders leave together, once fewer are under way
			continue
		}
		before := len(p.starts)
		if u.step.Gang {
			p.placeGang(u)
		} else {
			p.placeTasks(u)
		}
		paid.promise(u, p.starts[before:])
	}
	p.moveSlow()
	return p.starts
}

// usable gives the nodes of a service, the same for all units of a pass.
func (p *placement) usable(service string) []*node {
	if nodes, ok := p.nodes[service]; ok {
		return nodes
	}
	var nodes, stalled []*node
	for _, id := range p.core.names {
		w := p.core.workers[id]
		rec := w.record()
		if rec == nil || rec.Service != service || !w.takesStarts(p.core, p.now) {
			continue
		}
		n := &node{worker: w, record: rec, free: minus(rec.Capacity, p.core.table.Used(id)), factor: p.core.speeds.factor(id), lowest: -1}
		for _, r := range w.runs {
			if r.stop || r.ending {
				n.freeing = plus(n.freeing, r.needs)
			}
			if r.mayYield() {
				n.lowest = max(n.lowest, r.priority)
			}
		}
		if w.stalled(p.now) {
			stalled = append(stalled, n)
		} else {
			nodes = append(nodes, n)
		}
	}
	if len(stalled) > len(nodes)/leastSound {
		nodes = append(nodes, stalled...) // so many at once: better there than nowhere
	}
	p.nodes[service] = nodes
	return nodes
}

// Pauses after a worker refused a start, or after a run on it was found standing still.
const (
	fullPause    = 300 * time.Millisecond
	sickPause    = time.Second
	stalledPause = 2 * time.Second
)

// leastSound is how many workers there must be for each one that is left out because its runs stand still.
const leastSound = 3

// stalled tells whether a worker is left out because its runs stand still.
func (w *worker) stalled(now time.Duration) bool {
	return w.stalledAt > 0 && now-w.stalledAt < stalledPause
}

// takesStarts tells whether a worker may be given starts.
func (w *worker) takesStarts(c *Core, now time.Duration) bool {
	rec := w.record()
	switch {
	case isLeaving(rec) || c.table.Evacuated[rec.Zone]:
		return false
	case !w.clockOK || w.heardAt == 0 || now-w.heardAt > c.cfg.Silence || !w.reachable():
		return false
	case !w.answered || w.answeredAt < w.verifyAt:
		return false
	case w.fullAt > 0 && now-w.fullAt < fullPause || w.sickAt > 0 && now-w.sickAt < sickPause:
		return false
	}
	return true
}

// allowed tells whether a unit's tasks may run on a node at all, room apart.
func (p *placement) allowed(u *unit, n *node) bool {
	if u.step.Label != "" && !slices.Contains(n.record.Labels, u.step.Label) {
		return false
	}
	return u.step.MaxPerWorker == 0 || p.onNode(u, n.record.ID) < u.step.MaxPerWorker
}

// onNode counts a unit's tasks on a worker, those planned in this pass included.
func (p *placement) onNode(u *unit, id string) int {
	counts := p.perNode[u.key()]
	if counts == nil {
		counts = map[string]int{}
		for _, task := range u.job.Rounds[u.round][u.number] {
			for _, handle := range task.Runs {
				counts[handle.Worker]++
			}
		}
		p.perNode[u.key()] = counts
	}
	return counts[id]
}

// Bounds of how much the speed of a worker counts.
const (
	speedSteps = 8   // speeds that differ by less than one part in so many count as equal
	sickSpeed  = 1.6 // from this factor on a worker is too slow for anything that could run elsewhere
)

// speedCost is how much the speed of a node counts against it for a unit. The fast nodes are left to urgent work: work
// that is not urgent goes by room alone, and lasting work, which no speed makes shorter, to the slower ones.
func (u *unit) speedCost(n *node) float64 {
	rounded := math.Round(n.factor*speedSteps) / speedSteps
	switch {
	case n.factor >= sickSpeed:
		return n.factor
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
		cost *= p.core.cfg.SpreadFactor
	}
	return cost
}

// best gives the node that suits the unit's next task best; nil if none has room.
func (p *placement) best(u *unit, nodes []*node, shun string) *node {
	var found *node
	var least float64
	for _, n := range nodes {
		if n.held || !fits(n.free, u.step.Needs) || !p.allowed(u, n) {
			continue
		}
		cost := p.cost(u, n)
		if n.record.ID == shun {
			cost *= 4 // better there again than not at all
		}
		if found == nil || cost < least || cost == least && u.roomier(n, found) {
			found, least = n, cost
		}
	}
	return found
}

// roomier tells whether a node is to be preferred to another of the same cost: the emptier one, so that every rack keeps
// room for tasks whose data is there; for tasks on accelerators the fuller one, so that whole nodes stay free for those
// that need several.
func (u *unit) roomier(n, other *node) bool {
	if u.step.Needs.GPUs > 0 {
		return n.free.GPUs < other.free.GPUs
	}
	return n.free.MilliCPU > other.free.MilliCPU
}

// take plans a start of one task on a node.
func (p *placement) take(u *unit, n *node, index, number int) {
	n.free = minus(n.free, u.step.Needs)
	clear(p.byFree)
	p.onNode(u, n.record.ID)
	p.perNode[u.key()][n.record.ID]++
	p.starts = append(p.starts, jobs.Start{Task: u.task(index), Number: number, Worker: n.record.ID})
}

// untake undoes the newest starts, down to a length of the list.
func (p *placement) untake(u *unit, nodes []*node, length int) {
	clear(p.byFree)
	for _, s := range p.starts[length:] {
		for _, n := range nodes {
			if n.record.ID == s.Worker {
				n.free = plus(n.free, u.step.Needs)
			}
		}
		p.perNode[u.key()][s.Worker]--
	}
	p.starts = p.starts[:length]
}

func (u *unit) tasks() []jobs.Task { return u.job.Rounds[u.round][u.number] }

// placeTasks places the tasks of a unit one by one.
func (p *placement) placeTasks(u *unit) {
	nodes := p.usable(u.queue.Service)
	tasks := u.tasks()
	for position, index := range u.indexes {
		n := p.best(u, nodes, p.core.avoid[u.task(index)])
		if n == nil {
			p.wait(u, nodes, len(u.indexes)-position)
			return
		}
		p.take(u, n, index, tasks[index].LastRun+1)
	}
}

// placeGang places all members of a gang, or none.
func (p *placement) placeGang(u *unit) {
	nodes := p.usable(u.queue.Service)
	groups := [][]*node{nodes}
	if u.step.SameRack {
		groups = byRack(nodes)
		if p.now-u.since > 4*p.core.cfg.GangHold || !p.anyRackCould(u, groups) {
			groups = append(groups, nodes) // slower over several racks, but not waiting
		}
	}
	for _, group := range groups {
		if p.tryGang(u, group) {
			return
		}
	}
	p.wait(u, nodes, len(u.indexes))
}

// anyRackCould tells whether some rack, were it empty, would hold the whole gang.
func (p *placement) anyRackCould(u *unit, racks [][]*node) bool {
	return slices.ContainsFunc(racks, func(rack []*node) bool { return p.couldTake(u, rack) >= len(u.indexes) })
}

func (p *placement) tryGang(u *unit, nodes []*node) bool {
	number := 0
	for _, task := range u.tasks() {
		number = max(number, task.LastRun+1)
	}
	length := len(p.starts)
	for _, index := range u.indexes {
		n := p.best(u, nodes, "")
		if n == nil {
			p.untake(u, nodes, length)
			return false
		}
		p.take(u, n, index, number)
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

// wait is for a unit of which count tasks found no room: less urgent runs are stopped for it, and once it has waited
// for a while room is kept free for it.
func (p *placement) wait(u *unit, nodes []*node, count int) {
	if u.tier(p.wall) == hopelessTier {
		return
	}
	if p.preempt(u, nodes, count) {
		return
	}
	if p.now-u.since < p.core.cfg.GangHold || !u.step.Gang && u.step.Needs.MilliCPU <= smallTask {
		return
	}
	p.reserve(u, nodes, count)
}

// smallTask is a task, in thousandths of a core, for which room turns up by itself.
const smallTask = 2000

// reserve keeps the nodes that would take the unit soonest from less urgent units of this pass. A gang for which all of
// them, were they empty, would not do waits for other workers: room kept for it would only stand idle.
func (p *placement) reserve(u *unit, nodes []*node, count int) {
	group := p.mostFree(u.queue.Service, nodes)
	if u.step.SameRack {
		group = nil
		for _, rack := range byRack(nodes) {
			if group == nil || p.couldTake(u, rack) > p.couldTake(u, group) {
				group = rack
			}
		}
		group = sortByFree(group)
	}
	if u.step.Gang && p.couldTake(u, group) < count {
		return
	}
	for _, n := range group {
		if count <= 0 {
			return
		}
		if could := p.capacityFor(u, n); could > 0 && !n.held {
			n.held = true
			count -= could
		}
	}
}

// mostFree gives all nodes of a service, those with most free room first. Units that wait follow one another without a
// start in between, so the order is kept until the next start.
func (p *placement) mostFree(service string, nodes []*node) []*node {
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

func (p *placement) couldTake(u *unit, nodes []*node) int {
	sum := 0
	for _, n := range nodes {
		sum += p.capacityFor(u, n)
	}
	return sum
}

// capacityFor is how many of a unit's tasks an empty node takes.
func (p *placement) capacityFor(u *unit, n *node) int {
	if !p.allowed(u, n) {
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
