// Package scheduler decides, for the policy deployment, which task runs on which worker: it admits due tasks, places
// them under the placement policy in force, asks the store for their run IDs, renews the leases of runs, and finds out
// what became of each run. It is the singleton role named `sched`; at most one node acts in it at a time.
//
// Core is a step function: it has no clock, socket or goroutine, never blocks, and never changes the replicated state
// that it reads: all changes are proposed as plans. Its owner (package dataplane) drives it under one lock:
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
// The rule that all of it keeps: a task has one run at a time. A start order leaves only after the commit of its run ID
// was answered, inside a window; a task gets another run ID only after the store has the end of the run before it, or
// the proof that this run can never run any more.
//
// The passes, one file each: admit (due tasks by class), place (workers for due tasks), reserve and budget (what
// placement must keep free), plan (what is to be committed), renew (calls to workers), reconcile (what their answers
// say), expire (what time alone changes), health (workers whose tasks fail). Begin with Core.Pass below, then place.go.
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

// Config has the times and limits of the passes.
type Config struct {
	RunLease         time.Duration // how long a run goes on without renewal, where its policy does not say
	PollWait         time.Duration // how long a worker may delay the answer to a call without starts
	StartWindow      time.Duration // from the answer to a run ID's commit until its start order is written
	PlanWindow       time.Duration // from the proposal of a plan until its start orders are written
	Lateness         time.Duration // bound on how late a worker of kind obey carries out an order
	RoleLeaseMargin  time.Duration // the node stops acting this long before its role lease ends
	RetryInterval    time.Duration // between calls to a worker that does not answer
	PlacementTimeout time.Duration // no new starts on a worker unheard for this long
	// OrderTimeout bounds how long a worker may have been unheard when an order is sent: it may have begun to drain,
	// and starts on it must end within 2 s of that.
	OrderTimeout  time.Duration
	SweepInterval time.Duration // between passes over all records
	MaxStarts     int           // of one plan
	// A class that younger tasks passed over for ReserveAfter, because it fitted nowhere, gets workers reserved for
	// ReserveFor. ReserveRest lies between two reservations, ReserveRetry between two for the same class.
	ReserveAfter, ReserveFor, ReserveRest, ReserveRetry time.Duration
	// From ReserveLongAfter on its reservations last ReserveLong, and one follows the other after ReserveRest.
	ReserveLongAfter, ReserveLong time.Duration

	Health HealthConfig
}

// DefaultConfig returns the values that apply where the settings have none.
func DefaultConfig() Config {
	return Config{
		RunLease:         20 * time.Second,
		PollWait:         time.Second,
		StartWindow:      500 * time.Millisecond,
		PlanWindow:       1900 * time.Millisecond,
		Lateness:         2 * time.Second,
		RoleLeaseMargin:  500 * time.Millisecond,
		RetryInterval:    500 * time.Millisecond,
		PlacementTimeout: 2500 * time.Millisecond,
		OrderTimeout:     1500 * time.Millisecond,
		SweepInterval:    100 * time.Millisecond,
		MaxStarts:        1024,
		ReserveAfter:     5 * time.Second,
		ReserveFor:       1500 * time.Millisecond,
		ReserveRest:      time.Second,
		ReserveRetry:     3 * time.Second,
		ReserveLongAfter: 10 * time.Second,
		ReserveLong:      2200 * time.Millisecond,
		Health:           defaultHealthConfig(),
	}
}

// Phase is the state of the role on this node.
type Phase string

// Phases of the role.
const (
	Idle  Phase = "idle"  // another node has the role, or none
	Ready Phase = "ready" // granted to this node, records rebuilt
)

// Actions are what the owner is to do after a pass.
type Actions struct {
	Plan  *command.Plan  // to be committed; answered by PlanAnswered
	Calls []OutgoingCall // to be sent; each answered by CallAnswered or CallFailed
}

// OutgoingCall is one lease call to be sent.
type OutgoingCall struct {
	Worker  string
	Addr    string
	IsOrder bool // on the worker's order connection, else on its poll connection
	Call    internalapi.LeaseCall
	// WriteBy is the time by which starts must have been written; 0 without starts.
	WriteBy time.Duration
}

// Counts are totals since the Core was created.
type Counts struct {
	Plans        uint64
	PlanFailures uint64
	RunIDs       uint64 // given by the store
	Refused      uint64 // starts refused by the store or by a worker
	Sent         uint64 // start orders
	Stops        uint64 // stop orders
	Ended        uint64 // ends listed by workers
	FailedEnds   uint64
	Unconfirmed  uint64
	CallFailures uint64
	StaleAnswers uint64                       // answers dropped because a newer one was handled before
	ProvedDead   map[command.ProofKind]uint64 // runs
}

// Core has the records of the role and the passes over them. It is not safe for concurrent use: its owner calls it
// under the replica's lock. The records are rebuilt from the replica when the node takes the role; answers of workers
// under an earlier epoch are not carried over.
type Core struct {
	Counts Counts

	cfg  Config
	st   *state.State  // the node's replica; read only
	now  time.Duration // of the newest input
	role role

	runs          map[uint64]*run         // one for each handle of the replica
	released      map[uint64]*releasedRun // by run ID
	workers       map[string]*worker
	runningCounts map[string]int  // handles by task type
	runningByTeam map[string]int  // handles by team
	callsDue      map[string]bool // workers that something may have to be sent to; emptied by each pass

	facts        facts
	planInFlight *inFlightPlan
	queue        queue
	placement    placement
	health       health
	nextSweepAt  time.Duration
	nextGCAt     time.Duration // of records about finished jobs
}

// role is the state of the role on this node. Owner: the methods of this file.
type role struct {
	phase      Phase
	epoch      uint64        // log index of the grant; stays after StepDown, so that a return under it is noticed
	since      time.Duration // when this node took the role
	leaseUntil time.Duration
	paused     bool // the lease did not allow the newest pass to act

	// Set when the node takes the role again under the same epoch: it may have sent orders for run IDs up to
	// lastInheritedRunID, and numbers its calls on from highestCall.
	lastInheritedRunID uint64
	highestCall        uint64
}

// New returns a Core that is idle and reads st, the node's replica. The owner passes each change of st to StateChanged.
func New(cfg Config, st *state.State) *Core {
	c := &Core{cfg: cfg, st: st, Counts: Counts{ProvedDead: map[command.ProofKind]uint64{}}}
	c.role.phase = Idle
	c.placement.budget = newBudget()
	c.clearRecords()
	return c
}

// clearRecords drops all records but the role, the plan in flight and the ends not committed yet: ends are facts, and
// the workers that reported them may not report them again.
func (c *Core) clearRecords() {
	c.runs = map[uint64]*run{}
	c.released = map[uint64]*releasedRun{}
	c.workers = map[string]*worker{}
	c.runningCounts = map[string]int{}
	c.runningByTeam = map[string]int{}
	c.callsDue = map[string]bool{}
	if sent := c.planInFlight; sent != nil && !sent.invalidated {
		sent.invalidated = true // its answer must not be taken for that of a later plan
		c.facts.ends = append(sent.plan.Ends, c.facts.ends...)
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
// that no older epoch can add a handle any more. All records are rebuilt before anything is placed.
//
// Under the same epoch as before (after a snapshot, say) what this node did is forgotten: earlier runs count as those
// of another leader, and none of their orders counts as surely unsent.
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

// keepEnd reports whether an end heard before this node took the role again is still to be committed, and marks its
// run so that nothing else is.
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

// StepDown makes the core idle and drops its records, but for ends not committed yet. It ignores answers that arrive
// later.
func (c *Core) StepDown() {
	c.role.phase = Idle
	c.clearRecords()
}

// SetRoleLease sets the time at which the lease of the role ends.
func (c *Core) SetRoleLease(until time.Duration) { c.role.leaseUntil = until }

// MayAct reports whether this node may act in the role at now: its lease has more than the margin left.
func (c *Core) MayAct(now time.Duration) bool {
	return c.role.phase == Ready && now < c.role.leaseUntil-c.cfg.RoleLeaseMargin
}

// Phase returns the state of the role on this node.
func (c *Core) Phase() Phase { return c.role.phase }

// Epoch returns the epoch of this node's grant, 0 when idle.
func (c *Core) Epoch() uint64 {
	if c.role.phase == Idle {
		return 0
	}
	return c.role.epoch
}

// RunningCount returns the number of handles of a task type, by this node's own records.
func (c *Core) RunningCount(taskType string) int { return c.runningCounts[taskType] }

// UnhealthyWorkers returns the names of the ejected workers, sorted.
func (c *Core) UnhealthyWorkers() []string { return slices.Sorted(maps.Keys(c.health.unhealthy)) }

// QueueLength returns how many due tasks wait for a run ID, those in back-off included.
func (c *Core) QueueLength() int { return c.queue.len() }

// Pass runs the passes at time now. It does nothing while the role's lease does not allow this node to act.
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

// resume restarts the count of unanswered calls: while the lease did not allow this node to act it called no worker, so
// silence in that time proves nothing about one.
func (c *Core) resume() {
	c.role.paused = false
	for _, w := range c.workers {
		w.lastCallBeforePause, w.unanswered = w.lastCall, false
	}
}

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
