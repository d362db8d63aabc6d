package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

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
