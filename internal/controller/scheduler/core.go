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
	term uint64        // under which it schedules; 0: not leading
	now  time.Duration // of the newest pass, answer or commit
	// sequence numbers renewals and answers in the order of their events, across terms. A renewal that left after an
	// event has a higher number than it, so its answer can prove something about it.
	sequence uint64

	termState // everything known under the term; replaced as a whole when the term changes

	discarded map[Cause]Discarded // since New

	Counts Counts // since New, for metrics and tests
}

// Counts are the totals of a Core since it was made.
type Counts struct {
	Started     uint64 // start orders sent
	Refused     uint64 // start orders refused
	Unconfirmed uint64 // start orders without an answer
	Stopped     uint64 // stop orders sent for runs with a handle
	Preempted   uint64 // runs stopped for more urgent ones
	Moved       uint64 // runs stopped on slow workers
	Done        uint64 // runs that ended well
	Failed      uint64 // runs that failed by themselves
	Lost        uint64 // runs that ended with jobs.EndLost
	Expired     uint64 // those of Lost whose worker's lease expired
}

// termState is what a Core knows and has in flight under one term.
type termState struct {
	// table is only read here. Its owner changes it between calls, and reports each change by TableChanged.
	table       *jobs.Table
	leaderSince time.Duration // when BecomeLeader was called

	workers    map[string]*worker
	workerList []*worker // the values of workers in the order in which they were first seen: every scan goes by it
	runs       map[jobs.RunKey]*run
	activeJobs map[string]*job // jobs that aren't terminal or have run handles
	dirtyJobs  map[string]bool // jobs whose record must be rebuilt from the table before the next decision
	nextDue    time.Time       // when the earliest round that isn't due yet falls due; zero: none is known

	runsToStop         map[jobs.RunKey]*run // candidates for a stop order; sendStops drops those that need none
	workersWithOrphans map[string]bool      // by ID; sendStops drops those that have none left

	pendingEnds  []jobs.End        // of the next proposal
	highestEnd   map[string]uint64 // by worker: the highest number among its ends received since the last proposal
	inFlight     *proposal         // nil: none; there is at most one
	unsentStarts []jobs.RunKey     // committed handles whose start order hasn't left yet

	placementDue bool // since the last placement an input came that may make a due task placeable
	nextSweep    time.Duration
	nextForget   time.Duration // when workersToForget is called next, at the earliest

	ordersInFlight int // start and stop orders to all workers: the sum of worker.ordersInFlight
	connBackoff    connBackoff
	history        taskHistory // of tasks of activeJobs
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

// BecomeLeader begins to schedule table under term. The commits of all earlier terms must be applied to the table. From
// now on the owner reports each of its changes by TableChanged.
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

// Term returns the term under which this Core schedules; 0 when it doesn't.
func (c *Core) Term() uint64 { return c.term }

// TableChanged handles a change of the table. Each must be reported, in order.
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
	case jobs.ConfigChanged: // a queue may have been removed, added again or assigned to another service
		for id := range c.activeJobs {
			c.dirtyJobs[id] = true
		}
	case jobs.WorkerGone:
		c.untrackWorker(change.Name)
	}
}

// Pass returns what is to be done at now; wall is the time of day.
//
// The order of its steps matters. Orders that were decided earlier leave first. Renewals come last: whether one may be
// sent depends on the orders in flight and on the ends that were just proposed.
func (c *Core) Pass(now time.Duration, wall time.Time) Actions {
	c.now = now
	if c.term == 0 {
		return Actions{Next: now + time.Hour}
	}
	c.refreshDirtyJobs(wall)
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

// sweepInterval is the pause between sweeps.
const sweepInterval = 250 * time.Millisecond

// sweep handles what changes by time alone: it ends the runs of workers whose lease has expired, probes workers that
// wait for an acknowledgement, and requests stops that were not requested where the run was marked.
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

// nextPass returns when time alone will require another pass.
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

// sortedRuns returns the keys of m in order: decisions must not depend on the order of a map.
func sortedRuns[V any](m map[jobs.RunKey]V) []jobs.RunKey {
	keys := slices.AppendSeq(make([]jobs.RunKey, 0, len(m)), maps.Keys(m))
	slices.SortFunc(keys, jobs.RunKey.Compare)
	return keys
}

// sortedKeys returns the keys of m in order: decisions must not depend on the order of a map.
func sortedKeys[V any](m map[string]V) []string {
	keys := slices.AppendSeq(make([]string, 0, len(m)), maps.Keys(m))
	slices.Sort(keys)
	return keys
}
