// Package scheduler decides which task runs on which worker, and proves which runs are dead. It runs beside the leader
// of the store, under the leader's term.
//
// Core is a step function without clock, socket or goroutine: its owner feeds it changes of the job table, answers of
// workers and the time, and carries out what Pass gives. The order on the ordinary path:
//
//  1. Pass chooses workers for due tasks and gives a Progress to be committed: the run handles.
//  2. After the commit (Committed) the start orders leave, under the term as fencing token.
//  3. Hold calls renew the lease of each worker and bring the lists of running and ended runs.
//  4. Ends go into the next Progress; only after its commit are they acknowledged to the worker.
//
// A new leader takes over with Lead: every handle in the table is a run of unknown fate until the first answer of its
// worker under the new term lists it, or does not.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// Core holds the scheduler's records. One caller at a time.
type Core struct {
	cfg         Config
	table       *jobs.Table
	term        uint64 // 0: not leading
	leaderSince time.Duration
	now         time.Duration
	// sequence counts calls and answers, so that an answer can be told to be of a call sent after something.
	sequence uint64

	workers    map[string]*worker
	workerIDs  []string  // of workers, in the order they were met
	workerList []*worker // the same workers, for looks at all of them
	runs       map[jobs.RunKey]*run
	activeJobs map[string]*job // jobs that are not over or have handles out
	dirtyJobs  map[string]bool // jobs to look at again

	runsToStop         map[jobs.RunKey]*run // runs to be stopped
	workersWithOrphans map[string]bool      // workers with runs that the table does not have

	pendingEnds  []jobs.End
	highestEnd   map[string]uint64 // by worker: highest end in ends
	unsentStarts []jobs.RunKey     // recorded, to be sent
	inFlight     *proposal
	placementDue bool // something changed that may let a due task be placed

	nextSweep      time.Duration
	nextForget     time.Duration           // the next look for workers to forget
	nextDue        time.Time               // the next round that falls due
	ordersInFlight int                     // start and stop orders under way to all workers
	connBackoff    connBackoff             // of connections, here
	avoidWorker    map[jobs.TaskRef]string // workers that tasks failed on or were moved away from
	moveCount      map[jobs.TaskRef]int    // how often tasks were moved away from slow workers
	speeds         speedStats

	discarded map[Cause]Discarded // since this core was made

	// Counts are for metrics and tests.
	Counts Counts
}

// New makes a core that does not lead.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, discarded: map[Cause]Discarded{}}
	c.reset()
	return c
}

func (c *Core) reset() {
	c.workers, c.workerIDs, c.workerList, c.runs = map[string]*worker{}, nil, nil, map[jobs.RunKey]*run{}
	c.activeJobs, c.dirtyJobs, c.highestEnd = map[string]*job{}, map[string]bool{}, map[string]uint64{}
	c.runsToStop, c.workersWithOrphans = map[jobs.RunKey]*run{}, map[string]bool{}
	c.pendingEnds, c.unsentStarts, c.inFlight = nil, nil, nil
	c.nextForget, c.ordersInFlight, c.connBackoff = 0, 0, connBackoff{}
	c.avoidWorker, c.moveCount, c.speeds = map[jobs.TaskRef]string{}, map[jobs.TaskRef]int{}, newSpeedStats()
	c.nextDue = time.Time{}
}

// BecomeLeader takes up the scheduling of table under term. The table has every commit of earlier terms. The owner passes the
// table's notes to Note from now on.
func (c *Core) BecomeLeader(now time.Duration, term uint64, table *jobs.Table) {
	c.reset()
	c.table, c.term, c.leaderSince, c.now = table, term, now, now
	for _, id := range sortedKeys(table.Workers) {
		c.trackWorker(id)
	}
	for _, id := range sortedKeys(table.Jobs) {
		c.markDirty(id)
	}
	c.placementDue, c.nextSweep = true, now
}

// StepDown lays the scheduling down.
func (c *Core) StepDown() {
	c.term = 0
	c.reset()
}

// Term is the term under which this core schedules; 0 when it does not.
func (c *Core) Term() uint64 { return c.term }

// TableChanged takes in a change of the table.
func (c *Core) TableChanged(change jobs.Event) {
	if c.term == 0 {
		return
	}
	c.placementDue = true
	switch change.Kind {
	case jobs.JobChanged:
		c.dirtyJobs[change.Name] = true
	case jobs.WorkerChanged:
		c.trackWorker(change.Name)
	case jobs.ConfigChanged: // a queue may have gone, come back or moved to another service
		for id := range c.activeJobs {
			c.dirtyJobs[id] = true
		}
	case jobs.WorkerGone:
		if w := c.workers[change.Name]; w != nil {
			c.ordersInFlight -= w.ordersInFlight
		}
		delete(c.workers, change.Name)
		delete(c.speeds.byWorker, change.Name)
		c.workerIDs = slices.DeleteFunc(c.workerIDs, func(id string) bool { return id == change.Name })
		c.workerList = slices.DeleteFunc(c.workerList, func(w *worker) bool { return w.id == change.Name })
	}
}

// Pass gives what is to be done at now; wall is the time of day.
func (c *Core) Pass(now time.Duration, wall time.Time) Actions {
	c.now = now
	if c.term == 0 {
		return Actions{Next: now + time.Hour}
	}
	c.refreshDirtyJobs(wall)
	if now >= c.nextSweep {
		c.sweep(now)
	}
	var out Actions
	c.sendStarts(&out)
	c.sendStops(&out)
	c.propose(now, wall, &out)
	waiting := c.sendRenewals(now, &out)
	out.Next = c.nextPass(now, wall)
	if waiting {
		out.Next = min(out.Next, now+probeWindow)
	}
	return out
}

func (c *Core) nextPass(now time.Duration, wall time.Time) time.Duration {
	next := now + time.Second
	if len(c.runs) > 0 || len(c.activeJobs) > 0 {
		next = max(now+time.Millisecond, c.nextSweep)
	}
	if !c.nextDue.IsZero() {
		next = min(next, now+max(time.Millisecond, c.nextDue.Sub(wall)))
	}
	return next
}

// sweepInterval is the pause between looks at all workers and runs.
const sweepInterval = 250 * time.Millisecond

// sweep looks at everything that time alone changes.
func (c *Core) sweep(now time.Duration) {
	c.nextSweep = now + sweepInterval
	for _, w := range c.workerList {
		w.probeDue = w.probeDue || w.needsAck(now)
		if w.leaseExpired(c, now) {
			for _, key := range sortedRuns(w.runs) {
				if r := w.runs[key]; r.sent && !r.ending {
					r.cause = cmp.Or(r.cause, CauseLeaseExpired)
					c.endRun(r, jobs.EndLost, "")
					c.Counts.Expired++
				}
			}
		}
	}
	for _, r := range c.runs {
		if r.needsStop() {
			c.queueStop(r)
		}
	}
	c.placementDue = true
}
