package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// placement is the state of the placement of one pass: the starts planned so far and the capacity that they leave free.
// It isn't used after the pass.
type placement struct {
	core *Core
	now  time.Duration
	wall time.Time

	starts    []jobs.Start
	assigned  map[jobs.TaskRef]map[string]int // by unit key and worker, see tasksOn
	preempted int                             // runs stopped so far for more urgent work

	planned  map[string]jobs.Resources // by worker: needs of the starts planned so far
	backfill backfill

	feasible map[string][]*node // by service, see feasibleNodes
	byFree   map[string][]*node // by service, see nodesByFree; cleared by each planned or undone start
}

// place selects workers for the due tasks, most urgent first, and moves runs away from slow workers. It returns the
// placement with the starts to commit, or nil if it can't plan any; stops are requested at once.
func (c *Core) place(now time.Duration, wall time.Time) *placement {
	budget := min(c.cfg.MaxStarts, c.orderBudget())
	if now < c.connBackoff.until || budget <= 0 {
		c.placementDue = true
		return nil
	}
	units := c.dueUnits(wall)
	p := &placement{
		core:     c,
		now:      now,
		wall:     wall,
		assigned: map[jobs.TaskRef]map[string]int{},
		planned:  map[string]jobs.Resources{},
		feasible: map[string][]*node{},
		byFree:   map[string][]*node{},
		backfill: newBackfill(c, now),
	}
	balances, isComplete := newBalanceCheck(c.table), true
	for _, u := range units {
		if len(p.starts) >= budget {
			c.placementDue, isComplete = true, false
			break
		}
		if u = balances.affordable(u); u == nil {
			continue
		}
		if u.step.Gang && len(p.starts)+len(u.taskIndexes) > budget && budget < c.cfg.MaxOrdersInFlight {
			// All orders of a gang are planned in one pass: it waits until fewer orders are in flight. A gang that is
			// larger than MaxOrdersInFlight is placed when none is.
			c.placementDue = true
			continue
		}
		planned := len(p.starts)
		if u.step.Gang {
			p.placeGang(u)
		} else {
			p.placeTasks(u)
		}
		balances.reserve(u, p.starts[planned:])
	}
	p.finishBackfill(isComplete)
	p.moveSlowRuns()
	return p
}

// placeTasks places the tasks of a unit one by one.
func (p *placement) placeTasks(u *unit) {
	nodes := p.feasibleNodes(u.queue.Service)
	tasks := u.tasks()
	for position, index := range u.taskIndexes {
		avoid := p.core.history.avoid[u.task(index)]
		n := p.selectNode(u, nodes, avoid)
		isBackfilled := n == nil && p.mayBackfill(u)
		if isBackfilled {
			n = p.selectBackfillNode(u, nodes, avoid)
		}
		if n == nil {
			p.freeCapacity(u, nodes, len(u.taskIndexes)-position)
			return
		}
		p.assign(u, n, index, tasks[index].LastRun+1)
		if isBackfilled {
			p.markBackfilled(u, p.starts[len(p.starts)-1:])
		}
	}
}

// rackTimeoutFactor times Config.ReserveAfter is how long a gang waits for one rack before it is spread over several.
const rackTimeoutFactor = 4

// placeGang places all members of a gang, or none.
func (p *placement) placeGang(u *unit) {
	nodes := p.feasibleNodes(u.queue.Service)
	groups := [][]*node{nodes}
	if u.step.SameRack {
		groups = byRack(nodes)
		if p.now-u.waitingSince > rackTimeoutFactor*p.core.cfg.ReserveAfter || !p.someRackFits(u, groups) {
			groups = append(groups, nodes) // a gang spread over several racks is slower, which is better than waiting
		}
	}
	for _, group := range groups {
		if p.tryGang(u, group, p.selectNode) {
			return
		}
	}
	planned := len(p.starts)
	if p.mayBackfill(u) && p.tryGang(u, nodes, p.selectBackfillNode) {
		p.markBackfilled(u, p.starts[planned:])
		return
	}
	p.freeCapacity(u, nodes, len(u.taskIndexes))
}

// someRackFits reports whether at least one rack would hold the whole gang, as capacityFor counts its capacity.
func (p *placement) someRackFits(u *unit, racks [][]*node) bool {
	return slices.ContainsFunc(racks, func(rack []*node) bool { return p.totalCapacity(u, rack) >= len(u.taskIndexes) })
}

// nodeSelector returns a node for the next task of a unit, or nil. avoid is the ID of a worker to avoid, or empty.
type nodeSelector func(u *unit, nodes []*node, avoid string) *node

// tryGang assigns all members of a gang to nodes that selectNode returns, under one run number, or none if one of them
// doesn't fit. It reports whether it assigned them.
func (p *placement) tryGang(u *unit, nodes []*node, selectNode nodeSelector) bool {
	number := 0
	for _, task := range u.tasks() {
		number = max(number, task.LastRun+1)
	}
	planned := len(p.starts)
	for _, index := range u.taskIndexes {
		n := selectNode(u, nodes, "")
		if n == nil {
			p.rollback(u, nodes, planned)
			return false
		}
		p.assign(u, n, index, number)
	}
	return true
}

// assign plans the start of a task on a node.
func (p *placement) assign(u *unit, n *node, index, number int) {
	p.plan(n, u.step.Needs)
	p.tasksOn(u)[n.record.ID]++
	p.starts = append(p.starts, jobs.Start{Task: u.task(index), Number: number, Worker: n.record.ID})
}

// plan takes the needs of a planned start from a node.
func (p *placement) plan(n *node, needs jobs.Resources) {
	n.free = minus(n.free, needs)
	p.planned[n.record.ID] = plus(p.planned[n.record.ID], needs)
	clear(p.byFree)
	if load := p.backfill.loads[n.record.Service]; load != nil {
		load.used = plus(load.used, needs)
	}
}

// rollback undoes the starts of a unit, which are those after the first planned ones.
func (p *placement) rollback(u *unit, nodes []*node, planned int) {
	for _, s := range p.starts[planned:] {
		for _, n := range nodes {
			if n.record.ID == s.Worker {
				p.plan(n, minus(jobs.Resources{}, u.step.Needs))
			}
		}
		p.tasksOn(u)[s.Worker]--
	}
	p.starts = p.starts[:planned]
}

// tasksOn returns the number of a unit's tasks on each worker, including those planned in this pass.
func (p *placement) tasksOn(u *unit) map[string]int {
	counts := p.assigned[u.key()]
	if counts == nil {
		counts = map[string]int{}
		for _, task := range u.tasks() {
			for _, handle := range task.Handles {
				counts[handle.Worker]++
			}
		}
		p.assigned[u.key()] = counts
	}
	return counts
}

// freeCapacity handles a unit of which count tasks found no node. It preempts less urgent runs, or reclaims backfilled
// capacity and reserves nodes once the unit has waited for Config.ReserveAfter. Expired units get neither. Small tasks
// get no reservation, as capacity for them becomes free soon anyway.
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
	p.reclaim(u, nodes, count)
	p.reserve(u, nodes, count)
}
