// Package scheduler assigns tasks to workers in the policy deployment: it queues due tasks, places them under the
// placement policy in force, requests run IDs for them from the store, renews the leases of runs, and determines the
// outcome of each run. It is the singleton role named `sched`; at most one node acts in it at a time.
//
// Core is a step function: it has no clock, socket or goroutine and never blocks. It only reads the replicated state;
// it proposes every change as a plan. Its owner (package dataplane) drives it under one lock:
//
//	core := scheduler.New(cfg, replica)   // replica changes go to core.StateChanged
//	core.BecomeLeader(now, epoch)         // once the replica has reached the grant of the role
//	core.SetRoleLease(until)              // with every renewal of the role's lease
//	for {
//		actions := core.Pass(now)         // on each input, and every few milliseconds
//		// propose actions.Plan; hand its answer to core.PlanAnswered
//		// send actions.Calls; hand each answer to core.CallAnswered or core.CallFailed
//	}
//
// The invariant of the package: a task has at most one run at a time. A start order is sent only after the commit of
// its run ID was answered, and only within a time window. A task gets another run ID only after the store has
// recorded the end of the previous run, or a proof that the previous run can no longer execute.
//
// The passes, one file each: admit (due tasks by class), place (workers for due tasks), reserve and budget (capacity
// and balances that placement must keep), plan (changes to commit), renew (calls to workers), reconcile (answers of
// workers), expire (transitions driven by time), health (workers whose tasks fail). Start with Core.Pass below, then
// place.go.
package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// Config has the timing parameters and limits of the passes. DefaultConfig returns the defaults.
type Config struct {
	RunLease         time.Duration // lease of a run whose queue sets none in the policy bundle
	PollWait         time.Duration // how long a worker may delay the answer to a call without starts
	StartWindow      time.Duration // longest time from the answer to a run ID's commit until its start order is written
	PlanWindow       time.Duration // longest time from the proposal of a plan until its start orders are written
	MaxOrderDelay    time.Duration // bound on how late a worker of kind obey executes an order
	RoleLeaseMargin  time.Duration // the node stops acting this long before its role lease ends
	RetryInterval    time.Duration // between calls to a worker that does not answer
	PlacementTimeout time.Duration // a worker that has not answered for this long gets no new starts
	// OrderTimeout is the longest time since a worker's last answer at which an order is still sent to it. The worker
	// may have begun to drain since that answer, and no run may start on it more than 2 s after it began to drain.
	OrderTimeout  time.Duration
	SweepInterval time.Duration // between passes over all records
	MaxStarts     int           // per plan
	// A class is passed over while it fits on no worker and tasks of younger jobs start. Once it has been passed over
	// for ReserveAfter, workers are reserved for it for ReservationDuration. After a reservation, the next one waits
	// for ReservationPause, and the next one for the same class for ReservationRetryInterval.
	ReserveAfter, ReservationDuration, ReservationPause, ReservationRetryInterval time.Duration
	// Once a class has been passed over for LongReservationAfter, its reservations last LongReservationDuration, and
	// after each of them the next one waits for ReservationPause only.
	LongReservationAfter, LongReservationDuration time.Duration

	Health HealthConfig
}

// DefaultConfig returns the values used for parameters that the settings omit.
func DefaultConfig() Config {
	return Config{
		RunLease:                 20 * time.Second,
		PollWait:                 time.Second,
		StartWindow:              500 * time.Millisecond,
		PlanWindow:               1900 * time.Millisecond,
		MaxOrderDelay:            2 * time.Second,
		RoleLeaseMargin:          500 * time.Millisecond,
		RetryInterval:            500 * time.Millisecond,
		PlacementTimeout:         2500 * time.Millisecond,
		OrderTimeout:             1500 * time.Millisecond,
		SweepInterval:            100 * time.Millisecond,
		MaxStarts:                1024,
		ReserveAfter:             5 * time.Second,
		ReservationDuration:      1500 * time.Millisecond,
		ReservationPause:         time.Second,
		ReservationRetryInterval: 3 * time.Second,
		LongReservationAfter:     10 * time.Second,
		LongReservationDuration:  2200 * time.Millisecond,
		Health:                   defaultHealthConfig(),
	}
}

// Phase is the state of the role on this node.
type Phase string

// The phases of the role.
const (
	Idle  Phase = "idle"  // another node has the role, or none
	Ready Phase = "ready" // granted to this node, records rebuilt
)

// Actions are the plan and the calls that the owner must send after a pass.
type Actions struct {
	Plan  *command.Plan  // to be committed, then reported to PlanAnswered; may be nil
	Calls []OutgoingCall // to be sent, each then reported to CallAnswered or CallFailed
}

// OutgoingCall is one lease call to be sent.
type OutgoingCall struct {
	Worker  string
	Addr    string
	IsOrder bool // sent on the worker's order connection, otherwise on its poll connection
	Call    internalapi.LeaseCall
	// WriteBy is the deadline for writing the call if it has starts; 0 if it has none.
	WriteBy time.Duration
}

// Counts are totals since the Core was created.
type Counts struct {
	Plans          uint64
	PlanFailures   uint64
	RunIDsAssigned uint64 // assigned by the store
	StartsRefused  uint64 // starts refused by the store or by a worker
	StartOrders    uint64 // start orders sent
	StopOrders     uint64 // stop orders sent
	Ended          uint64 // ends reported by workers
	FailedEnds     uint64 // ends of failed runs, included in Ended
	Unconfirmed    uint64 // runs of which it was unknown whether they had started
	CallFailures   uint64
	StaleAnswers   uint64                       // answers superseded by a newer one, or that name another call
	ProvedDead     map[command.ProofKind]uint64 // runs proved dead
}

// Core has the records of the role and the passes over them. It is not safe for concurrent use: its owner calls it
// under the replica's lock. The records are rebuilt from the replica when the node takes the role; answers that
// workers gave under an earlier epoch are dropped.
type Core struct {
	Counts Counts

	cfg  Config
	st   *state.State  // the node's replica; read only
	now  time.Duration // time of the latest input
	role role

	runs          map[uint64]*run         // by run ID, one for each handle of the replica
	released      map[uint64]*releasedRun // by run ID
	workers       map[string]*worker
	runningCounts map[string]int  // handles by task type
	runningByTeam map[string]int  // handles by team
	callsDue      map[string]bool // workers that may need a call; emptied by each pass

	facts        facts
	planInFlight *inFlightPlan
	queue        queue
	placement    placement
	health       health
	nextSweepAt  time.Duration
	nextGCAt     time.Duration // when records of finished jobs are dropped next
}

// role is the state of the role on this node. Only the methods in this file change it, except highestCall,
// which newLeaseCall raises.
type role struct {
	phase      Phase
	epoch      uint64        // log index of the grant; kept by StepDown, to detect a return under the same epoch
	since      time.Duration // when this node took the role
	leaseUntil time.Duration
	paused     bool // the role lease did not allow the latest pass to act

	// lastInheritedRunID is the newest run ID at the time at which the node took the role again under the same epoch,
	// or 0 if it did not. The node may have sent orders for run IDs up to it, but no longer has a record of them.
	lastInheritedRunID uint64
	highestCall        uint64 // highest number of a call under the epoch, from which new worker records continue
}

// New returns an idle Core that reads st, the node's replica. The owner passes each change of st to StateChanged.
func New(cfg Config, st *state.State) *Core {
	c := &Core{cfg: cfg, st: st, Counts: Counts{ProvedDead: map[command.ProofKind]uint64{}}}
	c.role.phase = Idle
	c.placement.budget = newBudget()
	c.clearRecords()
	return c
}

// clearRecords drops all records but the role, the plan in flight and the ends not committed yet. Ends are kept
// because they remain valid and their workers may not report them again.
func (c *Core) clearRecords() {
	c.runs = map[uint64]*run{}
	c.released = map[uint64]*releasedRun{}
	c.workers = map[string]*worker{}
	c.runningCounts = map[string]int{}
	c.runningByTeam = map[string]int{}
	c.callsDue = map[string]bool{}
	if inFlight := c.planInFlight; inFlight != nil && !inFlight.invalidated {
		inFlight.invalidated = true // otherwise its answer would be applied to a later plan
		c.facts.ends = append(inFlight.plan.Ends, c.facts.ends...)
	}
	c.facts = facts{ends: c.facts.ends, reported: map[string]bool{}}
	c.queue.clear()
	c.placement.clear()
	c.health = newHealth(c.cfg.Health)
}

// Reset replaces the replica after a snapshot was installed. If this node has the role, the records are rebuilt.
func (c *Core) Reset(now time.Duration, st *state.State) {
	c.st = st
	if c.role.phase == Ready {
		c.BecomeLeader(now, c.role.epoch)
	}
}

// BecomeLeader takes the role under epoch, the log index of the grant. The replica must have reached that index, so
// that older epochs can no longer add a handle. All records are rebuilt before the first placement.
//
// If the epoch is the same as before (after a snapshot, for example), this node's record of the orders it sent is
// lost. It then treats existing runs as those of another leader, and proves none of them dead as unsent.
func (c *Core) BecomeLeader(now time.Duration, epoch uint64) {
	c.clearRecords()
	if c.role.lastInheritedRunID = c.st.LastRunID; epoch != c.role.epoch {
		c.planInFlight, c.role.lastInheritedRunID, c.role.highestCall = nil, 0, 0
	}
	c.now, c.role.epoch, c.role.since, c.nextSweepAt = now, epoch, now, now
	for _, name := range c.st.WorkerNames() {
		c.trackWorker(name)
	}
	for _, runID := range slices.Sorted(maps.Keys(c.st.Handles)) {
		c.addRun(c.st.Handles[runID])
	}
	bySeq := func(a, b *state.Job) int { return cmp.Compare(a.Seq, b.Seq) }
	for _, job := range slices.SortedFunc(maps.Values(c.st.Jobs), bySeq) {
		c.enqueueDueTasks(job)
	}
	c.facts.ends = slices.DeleteFunc(c.facts.ends, func(e command.End) bool { return !c.keepEnd(e) })
	c.role.phase = Ready
}

// keepEnd reports whether an end that was reported before this node took the role again must still be committed. If so
// it marks the run, so that no other end or proof of it is committed.
func (c *Core) keepEnd(e command.End) bool {
	if r := c.runs[e.RunID]; r != nil {
		r.closing, r.endPending = true, true
		return true
	}
	r := c.findReleased(e.RunID)
	if r == nil || !e.OK {
		return false
	}
	r.endPending = true
	return true
}

// StepDown makes the core idle and drops its records, except ends not committed yet. Answers that arrive later are
// ignored.
func (c *Core) StepDown() {
	c.role.phase = Idle
	c.clearRecords()
}

// SetRoleLease sets the time at which the role lease ends.
func (c *Core) SetRoleLease(until time.Duration) { c.role.leaseUntil = until }

// MayAct reports whether this node may act in the role at now: more than RoleLeaseMargin of its lease is left.
func (c *Core) MayAct(now time.Duration) bool {
	return c.role.phase == Ready && now < c.role.leaseUntil-c.cfg.RoleLeaseMargin
}

// Phase returns the state of the role on this node.
func (c *Core) Phase() Phase { return c.role.phase }

// Epoch returns the epoch of this node's grant, or 0 if the role is idle.
func (c *Core) Epoch() uint64 {
	if c.role.phase == Idle {
		return 0
	}
	return c.role.epoch
}

// RunningCount returns the number of handles of a task type in this node's records.
func (c *Core) RunningCount(taskType string) int { return c.runningCounts[taskType] }

// UnhealthyWorkers returns the names of the ejected workers, sorted.
func (c *Core) UnhealthyWorkers() []string { return slices.Sorted(maps.Keys(c.health.unhealthy)) }

// QueueLength returns the number of due tasks that wait for a run ID, including those in back-off.
func (c *Core) QueueLength() int { return c.queue.len() }

// Pass runs the passes at time now. It returns no actions unless MayAct(now).
func (c *Core) Pass(now time.Duration) Actions {
	c.now = now
	if !c.MayAct(now) {
		c.role.paused = true
		return Actions{}
	}
	if c.role.paused {
		c.resume()
	}
	if now >= c.nextSweepAt {
		c.nextSweepAt = now + c.cfg.SweepInterval
		c.sweep(now)
	}
	actions := Actions{Plan: c.nextPlan(now)}
	for _, name := range sortedKeys(c.callsDue) {
		actions.Calls = c.appendCalls(now, c.workers[name], actions.Calls)
	}
	clear(c.callsDue)
	return actions
}

// resume discards the record of unanswered calls of all workers. While the role lease did not allow this node to act,
// it called no worker, so a worker's silence in that time does not show that the worker failed.
func (c *Core) resume() {
	c.role.paused = false
	for _, w := range c.workers {
		w.lastCallBeforePause, w.unanswered = w.lastCall, false
	}
}

// sortedKeys returns the keys of a set in ascending order.
func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
