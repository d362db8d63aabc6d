package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// Core is the scheduler's step function; see the package comment for how it is driven. It isn't safe for concurrent
// use: its owner calls it from one goroutine.
type Core struct {
	cfg  Config
	term uint64        // term under which it schedules; 0: not leading
	now  time.Duration // time of the newest pass, answer or commit
	// sequence numbers the renewals sent and the outcomes of start and stop orders, in order and across terms. If the
	// number of a renewal is higher than that of an order's outcome, the renewal was sent after the outcome was known.
	sequence uint64

	termState // state under the term; replaced as a whole when the term changes

	discarded map[Cause]Discarded // since New

	Counts Counts // since New, for metrics and tests
}

// Counts are the totals of a Core since New.
type Counts struct {
	Started     uint64 // start orders sent
	Refused     uint64 // start orders refused
	Unconfirmed uint64 // start orders without an answer
	Stopped     uint64 // stop orders sent for runs with a handle
	Preempted   uint64 // runs stopped for more urgent ones
	Reclaimed   uint64 // backfilled runs stopped for the unit for which their capacity was set aside
	Moved       uint64 // runs stopped on slow workers
	Done        uint64 // runs that ended with jobs.EndDone
	Failed      uint64 // runs that ended with jobs.EndFailed
	Lost        uint64 // runs that ended with jobs.EndLost
	Expired     uint64 // runs counted in Lost because their worker's lease expired
}

// termState is the state of a Core under one term, including its calls and proposal in flight.
type termState struct {
	// table is read-only for the Core. Its owner changes it between calls and reports each change by TableChanged.
	table       *jobs.Table
	leaderSince time.Duration // when BecomeLeader was called

	workers    map[string]*worker
	workerList []*worker // the values of workers in the order in which they were first seen; all scans use this order
	runs       map[jobs.RunKey]*run
	activeJobs map[string]*job // jobs that aren't terminal or have run handles
	dirtyJobs  map[string]bool // jobs whose record must be rebuilt from the table before the next decision
	nextDue    time.Time       // due time of the earliest round that isn't due yet; zero: none is known

	runsToStop         map[jobs.RunKey]*run // candidates for a stop order; sendStops drops those that need none
	workersWithOrphans map[string]bool      // by ID; sendStops drops workers without orphans

	pendingEnds  []jobs.End        // ends for the next proposal
	highestEnd   map[string]uint64 // by worker: the highest number among its ends received since the last proposal
	inFlight     *proposal         // the proposal whose commit is in flight; nil: none
	unsentStarts []jobs.RunKey     // committed handles whose start order wasn't sent yet

	placementDue bool // an input since the last placement may have made a due task placeable
	nextSweep    time.Duration
	nextForget   time.Duration // earliest time of the next call of workersToForget

	blocked    map[jobs.TaskRef]blockedUnit // by unit key; owned by backfill.go
	backfillAt time.Duration                // when the next blocked unit may be backfilled; 0: none is blocked

	ordersInFlight int // start and stop orders to all workers: the sum of worker.ordersInFlight
	connBackoff    connBackoff
	history        taskHistory
	speeds         speedStats
}

func newTermState() termState {
	return termState{
		workers:            map[string]*worker{},
		runs:               map[jobs.RunKey]*run{},
		activeJobs:         map[string]*job{},
		dirtyJobs:          map[string]bool{},
		runsToStop:         map[jobs.RunKey]*run{},
		workersWithOrphans: map[string]bool{},
		highestEnd:         map[string]uint64{},
		history:            newTaskHistory(),
		speeds:             newSpeedStats(),
	}
}

// New returns a Core that doesn't lead.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, termState: newTermState(), discarded: map[Cause]Discarded{}}
}

// BecomeLeader begins to schedule table under term. The commits of all earlier terms must have been applied to the
// table. From then on the owner reports each change of the table by TableChanged.
func (c *Core) BecomeLeader(now time.Duration, term uint64, table *jobs.Table) {
	c.termState = newTermState()
	c.table, c.term, c.leaderSince, c.now = table, term, now, now
	for _, id := range sortedKeys(table.Workers) {
		c.trackWorker(id)
	}
	for _, id := range sortedKeys(table.Jobs) {
		c.dirtyJobs[id] = true
	}
	c.placementDue, c.nextSweep = true, now
}

// StepDown stops scheduling. Inputs are ignored until the next BecomeLeader.
func (c *Core) StepDown() {
	c.term = 0
	c.termState = newTermState()
}

// Term returns the term under which this Core schedules, or 0 if it doesn't lead.
func (c *Core) Term() uint64 { return c.term }

// TableChanged handles a change of the table. Every change must be reported, in order.
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
	case jobs.ConfigChanged: // any job may belong to another queue, and any queue to another service
		for id := range c.activeJobs {
			c.dirtyJobs[id] = true
		}
	case jobs.WorkerGone:
		c.untrackWorker(change.Name)
	}
}

// Pass returns the actions that are due at now; wall is the time of day.
//
// The order of its steps matters. Orders decided by earlier passes are sent first. Renewals come last: whether one may
// be sent depends on the orders in flight and on the ends in the new proposal.
func (c *Core) Pass(now time.Duration, wall time.Time) Actions {
	c.now = now
	if c.term == 0 {
		return Actions{Next: now + time.Hour}
	}
	c.refreshDirtyJobs(wall)
	c.placementDue = c.placementDue || c.backfillAt > 0 && now >= c.backfillAt
	if now >= c.nextSweep {
		c.sweep(now)
	}
	var actions Actions
	c.sendStarts(&actions)
	c.sendStops(&actions)
	actions.Progress = c.propose(now, wall)
	throttled := c.sendRenewals(now, &actions)
	actions.Next = c.nextPass(now, wall)
	if throttled {
		actions.Next = min(actions.Next, now+probeWindow)
	}
	return actions
}

// sweepInterval is the time between sweeps.
const sweepInterval = 250 * time.Millisecond

// sweep handles transitions driven by time: it ends the runs of workers whose lease has expired and probes workers that
// wait for an acknowledgement. It also queues the stops of runs that were marked without queueStop.
func (c *Core) sweep(now time.Duration) {
	c.nextSweep = now + sweepInterval
	for _, w := range c.workerList {
		w.renewal.probeDue = w.renewal.probeDue || w.needsAck(now)
		if w.leaseExpired(c, now) {
			c.endExpiredRuns(w)
		}
	}
	for _, r := range c.runs {
		if r.needsStop() {
			c.queueStop(r)
		}
	}
	c.placementDue = true
}

// endExpiredRuns ends the runs of a worker whose lease has expired.
func (c *Core) endExpiredRuns(w *worker) {
	for _, key := range sortedRuns(w.runs) {
		if r := w.runs[key]; r.start.sent && !r.ending {
			r.stop.cause = cmp.Or(r.stop.cause, CauseLeaseExpired)
			c.endRun(r, jobs.EndLost, "")
			c.Counts.Expired++
		}
	}
}

// nextPass returns when the next pass is due if no input comes before.
func (c *Core) nextPass(now time.Duration, wall time.Time) time.Duration {
	next := now + time.Second
	if len(c.runs) > 0 || len(c.activeJobs) > 0 {
		next = max(now+time.Millisecond, c.nextSweep)
	}
	if c.backfillAt > now {
		next = min(next, c.backfillAt)
	}
	if !c.nextDue.IsZero() {
		next = min(next, now+max(time.Millisecond, c.nextDue.Sub(wall)))
	}
	return next
}

// sortedRuns returns the keys of m in order, as decisions must not depend on map iteration order.
func sortedRuns[V any](m map[jobs.RunKey]V) []jobs.RunKey {
	keys := slices.AppendSeq(make([]jobs.RunKey, 0, len(m)), maps.Keys(m))
	slices.SortFunc(keys, jobs.RunKey.Compare)
	return keys
}

// sortedKeys returns the keys of m in order, as decisions must not depend on map iteration order.
func sortedKeys[V any](m map[string]V) []string {
	keys := slices.AppendSeq(make([]string, 0, len(m)), maps.Keys(m))
	slices.Sort(keys)
	return keys
}
