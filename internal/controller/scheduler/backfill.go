package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// Reservations and preemption set capacity aside for units that can't start yet. A job that has nothing running must
// not wait long for that reason while its service is mostly idle. After Config.MaxBlocked it may use the capacity that
// is set aside (backfill). A backfilled run is stopped as soon as the unit for which the capacity was set aside could
// start without it (reclaim.go), so that the unit doesn't wait for runs that began after it.

// unblockedAfter is how long a unit must not be blocked until it counts as newly blocked: the load of a service may
// exceed mostlyIdleLoad for a moment whenever a few runs start together.
const unblockedAfter = 500 * time.Millisecond

// mostlyIdleLoad is the load up to which a service counts as mostly idle. The users' limit is one half, by what the
// workers run; a run handle is in the table before its run begins and after it has ended.
const mostlyIdleLoad = 0.6

// blockedUnit is a unit that is blocked: its job has nothing running, only capacity that is set aside keeps it from
// starting, and its service is mostly idle. A task of a long-running step is blocked whatever else of its job is
// running and however much of its service is in use.
type blockedUnit struct {
	since   time.Duration
	seenAt  time.Duration // when it was last found blocked
	service string
	granted bool // it was backfilled since: its next tasks may be, too
	// hasRuns is set if its job has runs, so that the last pass did not find it blocked.
	hasRuns bool
}

// backfill is the state of the backfilling of one placement.
type backfill struct {
	due     map[string]bool              // services in which a unit has been blocked for MaxBlocked
	blocked map[jobs.TaskRef]blockedUnit // by unit key: the units found blocked in this pass
	starts  map[jobs.RunKey]time.Time    // backfilled starts planned so far, with the latest start of their units
	loads   map[string]*serviceLoad      // by service, computed when first needed
	aside   map[string]bool              // services in which capacity was set aside in this pass
}

// serviceLoad is the capacity of all workers of a service, and the part that is in use or planned to be.
type serviceLoad struct{ capacity, used jobs.Resources }

func newBackfill(c *Core, now time.Duration) backfill {
	b := backfill{
		due:     map[string]bool{},
		blocked: map[jobs.TaskRef]blockedUnit{},
		starts:  map[jobs.RunKey]time.Time{},
		loads:   map[string]*serviceLoad{},
		aside:   map[string]bool{},
	}
	for _, unit := range c.blocked {
		if !unit.granted && !unit.hasRuns && now-unit.since >= c.cfg.MaxBlocked {
			b.due[unit.service] = true
		}
	}
	return b
}

// mayBackfill reports whether a unit that found no node may use capacity that is set aside. All blocked units of a
// service may once one of them has been blocked for MaxBlocked: their runs then end at about the same time.
func (p *placement) mayBackfill(u *unit) bool {
	if !u.step.LongRunning && (p.core.hasRuns(u.job.Spec.ID) || p.hasPlannedStarts(u.job)) {
		return false
	}
	key := u.key()
	unit, wasBlocked := p.core.blocked[key]
	isBlocked := p.isBlocked(u)
	switch {
	case isBlocked && !wasBlocked:
		unit = blockedUnit{since: p.now, service: u.queue.Service}
	case !isBlocked && p.now-unit.seenAt >= unblockedAfter:
		return false
	}
	if isBlocked {
		unit.seenAt, unit.hasRuns = p.now, false
	}
	p.backfill.blocked[key] = unit
	return isBlocked && (unit.granted || p.backfill.due[unit.service])
}

// isBlocked reports whether a unit that found no node, and whose job has nothing running, is blocked: see blockedUnit.
func (p *placement) isBlocked(u *unit) bool {
	if !p.backfill.aside[u.queue.Service] || !u.step.LongRunning && !p.isMostlyIdle(u.queue.Service) {
		return false
	}
	return p.hasCapacityTwice(u)
}

// hasRuns reports whether a job has run handles.
func (c *Core) hasRuns(job string) bool {
	rec := c.activeJobs[job]
	return rec != nil && len(rec.runs) > 0
}

// hasBegunRuns reports whether a run of a job is known to have begun.
func (c *Core) hasBegunRuns(job string) bool {
	rec := c.activeJobs[job]
	if rec == nil {
		return false
	}
	for key := range rec.runs {
		if r := c.runs[key]; r != nil && (r.start.acceptedSeq > 0 || r.progress.listed) {
			return true
		}
	}
	return false
}

// hasPlannedStarts reports whether starts of a job are planned in this pass.
func (p *placement) hasPlannedStarts(j *jobs.Job) bool {
	return slices.ContainsFunc(p.starts, func(s jobs.Start) bool { return s.Task.Job == j.Spec.ID })
}

// isMostlyIdle reports whether less than mostlyIdleLoad of each resource of a service is in use.
func (p *placement) isMostlyIdle(service string) bool {
	load := p.load(service)
	isFree := func(used, capacity int) bool {
		return float64(used) < mostlyIdleLoad*float64(capacity) || capacity == 0
	}
	return isFree(load.used.MilliCPU, load.capacity.MilliCPU) && isFree(load.used.MemoryMB, load.capacity.MemoryMB) &&
		isFree(load.used.GPUs, load.capacity.GPUs)
}

// load returns the load of a service, which assign and rollback keep up to date.
func (p *placement) load(service string) *serviceLoad {
	load := p.backfill.loads[service]
	if load != nil {
		return load
	}
	load = &serviceLoad{}
	for _, w := range p.core.workerList {
		if rec := w.record(); rec != nil && rec.Service == service {
			load.capacity = plus(load.capacity, rec.Capacity)
			load.used = plus(load.used, minus(rec.Capacity, p.unused(rec)))
		}
	}
	p.backfill.loads[service] = load
	return load
}

// hasCapacityTwice reports whether two of a unit's tasks, or its gang twice, would fit on the workers of its service,
// if nothing were set aside.
func (p *placement) hasCapacityTwice(u *unit) bool {
	wanted := 2
	if u.step.Gang {
		wanted = 2 * len(u.taskIndexes)
	}
	for _, w := range p.core.workerList {
		rec := w.record()
		if rec == nil || rec.Service != u.queue.Service || isLeaving(rec) || p.core.table.Evacuated[rec.Zone] {
			continue
		}
		if wanted -= p.tasksThatFit(u, rec, p.unused(rec)); wanted <= 0 {
			return true
		}
	}
	return false
}

// markBackfilled records that starts of a unit, the newest ones planned, are backfilled.
func (p *placement) markBackfilled(u *unit, starts []jobs.Start) {
	for _, s := range starts {
		p.backfill.starts[jobs.RunKey{Task: s.Task, Number: s.Number}] = u.latestStart
	}
	unit := p.backfill.blocked[u.key()]
	unit.granted = true
	p.backfill.blocked[u.key()] = unit
}

// finishBackfill hands the blocked units to the next pass. Those that this pass didn't reach stay blocked, and so do
// those with a start that isn't known to have begun, as it may fail. One that was backfilled keeps its grant while its
// job has runs.
func (p *placement) finishBackfill(isComplete bool) {
	for key, unit := range p.core.blocked {
		if _, isKnown := p.backfill.blocked[key]; isKnown || p.core.activeJobs[key.Job] == nil {
			continue
		}
		isKept := p.core.hasRuns(key.Job) && (unit.granted || !p.core.hasBegunRuns(key.Job))
		if isKept {
			unit.seenAt, unit.hasRuns = p.now, true
		}
		if isKept || !isComplete {
			p.backfill.blocked[key] = unit
		}
	}
	p.core.blocked, p.core.backfillAt = p.backfill.blocked, 0
	for _, unit := range p.core.blocked {
		at := unit.since + p.core.cfg.MaxBlocked
		if !unit.granted && at > p.now && (p.core.backfillAt == 0 || at < p.core.backfillAt) {
			p.core.backfillAt = at
		}
	}
}
