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

// Actions is what a pass wants done.
type Actions struct {
	Progress *jobs.Progress  // to be committed under its term; answered by Committed
	Starts   []StartAction   // each answered by StartAnswered
	Stops    []StopAction    // each answered by StopAnswered
	Renewals []RenewalAction // each answered by RenewalAnswered
	Next     time.Duration   // when the next pass is due at the latest
}

// StartAction is a start order to be sent.
type StartAction struct {
	Worker jobs.Worker
	Order  StartOrder
}

// StopAction is a stop order to be sent.
type StopAction struct {
	Worker jobs.Worker
	Order  StopOrder
}

// RenewalAction is a hold call to be sent. Number tells it from others to the same worker.
type RenewalAction struct {
	Worker jobs.Worker
	Number uint64
	Call   LeaseRenewal
}

// Counts are what a Core counted since it was made.
type Counts struct {
	Started, Done, Failed, Lost, Expired, Refused, Unconfirmed, Stopped, Preempted, Moved uint64
}

// proposal is the Progress under way.
type proposal struct {
	progress   *jobs.Progress
	highestEnd map[string]uint64 // by worker: the end that may be acknowledged once it is committed
	starts     map[jobs.RunKey]bool
}

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

func (c *Core) refreshDirtyJobs(wall time.Time) {
	if !c.nextDue.IsZero() && !wall.Before(c.nextDue) {
		c.nextDue = time.Time{}
		for id, j := range c.activeJobs {
			if j.timed {
				c.dirtyJobs[id] = true
			}
		}
	}
	if len(c.dirtyJobs) == 0 {
		return
	}
	for _, id := range sortedKeys(c.dirtyJobs) {
		c.refreshJob(id, wall)
	}
	clear(c.dirtyJobs)
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

// propose makes the next Progress, if none is under way.
func (c *Core) propose(now time.Duration, wall time.Time, out *Actions) {
	if c.inFlight != nil {
		return
	}
	var starts []jobs.Start
	if c.placementDue {
		c.placementDue = false
		starts = c.place(now, wall)
	}
	var forget []string
	if now >= c.nextForget {
		forget, c.nextForget = c.workersToForget(now), now+sweepInterval
	}
	if len(c.pendingEnds) == 0 && len(starts) == 0 && len(forget) == 0 && len(c.highestEnd) == 0 {
		return
	}
	progress := &jobs.Progress{Term: c.term, At: wall, Ends: c.pendingEnds, Starts: starts, Forget: forget}
	c.inFlight = &proposal{progress: progress, highestEnd: c.highestEnd, starts: map[jobs.RunKey]bool{}}
	for _, s := range starts {
		c.inFlight.starts[jobs.RunKey{Task: s.Task, Number: s.Number}] = true
	}
	c.pendingEnds, c.highestEnd = nil, map[string]uint64{}
	if len(progress.Ends)+len(progress.Starts)+len(progress.Forget) == 0 {
		c.markDurable(c.inFlight.highestEnd) // only ends of runs that are long settled: nothing to commit
		c.inFlight = nil
		return
	}
	out.Progress = progress
}

// Committed takes in the outcome of the Progress under way. After an error its starts are never sent; if they were
// recorded all the same, they are found in the table and ended as lost.
func (c *Core) Committed(now time.Duration, progress *jobs.Progress, started jobs.Started, err error) {
	c.now = now
	if c.term == 0 || c.inFlight == nil || c.inFlight.progress != progress {
		return
	}
	done := c.inFlight
	c.inFlight, c.placementDue = nil, true
	if err != nil {
		c.pendingEnds = append(done.progress.Ends, c.pendingEnds...)
		for id, sequence := range done.highestEnd {
			c.highestEnd[id] = max(c.highestEnd[id], sequence)
		}
		for _, s := range done.progress.Starts {
			c.dirtyJobs[s.Task.Job] = true
		}
		return
	}
	c.markDurable(done.highestEnd)
	for i, s := range progress.Starts {
		c.dirtyJobs[s.Task.Job] = true
		if i < len(started.Recorded) && started.Recorded[i] {
			c.recordStart(s)
		}
	}
}

func (c *Core) markDurable(seen map[string]uint64) {
	for id, sequence := range seen {
		if w := c.workers[id]; w != nil && sequence > w.durableEnd {
			w.durableEnd, w.durableAt = sequence, c.now
		}
	}
}

// recordStart notes a run whose handle was committed; its order leaves with the next pass.
func (c *Core) recordStart(s jobs.Start) {
	key := jobs.RunKey{Task: s.Task, Number: s.Number}
	r := c.trackRun(key, s.Worker, true)
	if r != nil {
		c.unsentStarts = append(c.unsentStarts, key)
	}
}

// sendStarts gives the start orders of the handles just recorded. One for a worker that has stopped answering meanwhile
// never leaves: its task is due again at once, and no doubt can come of it.
func (c *Core) sendStarts(out *Actions) {
	var later []jobs.RunKey
	for _, key := range c.unsentStarts {
		r := c.runs[key]
		if r == nil || r.sent || r.ending {
			continue
		}
		w := c.workers[r.worker]
		j := c.table.Jobs[key.Task.Job]
		if w == nil || w.record() == nil || !w.isReachable() || j == nil || j.State.IsTerminal() || r.toStop {
			c.endRun(r, jobs.EndLost, "") // it never left
			continue
		}
		if !w.canOrder(c) {
			later = append(later, key)
			continue
		}
		r.sent, r.sentAt = true, c.now
		c.orderSent(w)
		task := j.Rounds[key.Task.Round][key.Task.Step][key.Task.Index]
		out.Starts = append(out.Starts, StartAction{Worker: *w.record(), Order: StartOrder{
			Key: key, Payload: j.Spec.Payload, Needs: r.needs, LeaseDeadline: w.grantLease(c, c.now), Token: c.term, Checkpoint: task.Checkpoint}})
		c.Counts.Started++
	}
	c.unsentStarts = later
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
