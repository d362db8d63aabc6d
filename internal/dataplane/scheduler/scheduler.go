// Package scheduler is the duty `sched`: the running counts, placement, run IDs and the hold calls to the minions.
//
// Core is a step function without clock, socket or goroutine: its owner feeds it notes of the replicated state,
// answers, failures and the time, and carries out what Pass gives. Runs and minions are records in tables; a pass
// runs over those that changed, and over all on every sweep.
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

// Config holds the durations that the passes go by.
type Config struct {
	RunLease         time.Duration // how long a run goes on unheard
	PollWait         time.Duration // how long a minion may keep a call waiting
	StartWindow      time.Duration // from the answer of a run ID's commit to the write of its order
	PlanWindow       time.Duration // from the sending of a plan to the write of its orders
	Lateness         time.Duration // how late an obeying minion may carry out an order
	RoleLeaseMargin  time.Duration // the duty's work stops this long before the lease ends
	RetryInterval    time.Duration // between calls to a minion that does not answer
	PlacementTimeout time.Duration // no new starts on a minion unheard for this long
	// OrderTimeout bounds how long a minion may have been unheard when an order is sent: it may have begun to drain, and
	// starts on it must end within 2 s of that.
	OrderTimeout  time.Duration
	SweepInterval time.Duration // between passes over all records
	MaxStarts     int           // most starts in a plan
	// A kind of task that younger ones passed over for ReserveAfter, as it fitted nowhere, gets minions reserved for
	// ReserveFor; ReserveRest lies between two reservations, ReserveRetry between two for the same kind.
	ReserveAfter, ReserveFor, ReserveRest, ReserveRetry time.Duration
	// From ReserveLongAfter on its reservations last ReserveLong, and one follows the other after ReserveRest.
	ReserveLongAfter, ReserveLong time.Duration
	Health                        HealthConfig
}

// DefaultConfig are our starting values.
func DefaultConfig() Config {
	return Config{RunLease: 20 * time.Second, PollWait: time.Second, StartWindow: 500 * time.Millisecond,
		PlanWindow: 1900 * time.Millisecond, Lateness: 2 * time.Second, RoleLeaseMargin: 500 * time.Millisecond,
		RetryInterval: 500 * time.Millisecond, PlacementTimeout: 2500 * time.Millisecond, OrderTimeout: 1500 * time.Millisecond, SweepInterval: 100 * time.Millisecond, MaxStarts: 1024,
		ReserveAfter: 5 * time.Second, ReserveFor: 1500 * time.Millisecond, ReserveRest: time.Second, ReserveRetry: 3 * time.Second,
		ReserveLongAfter: 10 * time.Second, ReserveLong: 2200 * time.Millisecond,
		Health: DefaultHealthConfig()}
}

// Phase is where the duty stands on this node.
type Phase string

const (
	Idle  Phase = "idle"  // another node has the duty
	Ready Phase = "ready" // granted, tallies rebuilt
)

// Actions is what a pass wants done.
type Actions struct {
	Plan  *command.Plan  // to be committed; answered by Planned
	Calls []OutgoingCall // to be sent; each answered by Answer or Failure
}

// OutgoingCall is one hold call to be sent.
type OutgoingCall struct {
	Worker  string
	Addr    string
	IsOrder bool // on the order line, else on the waiting line
	Call    internalapi.LeaseCall
	// WriteBy is the time by which starts must have been written; 0 without starts.
	WriteBy time.Duration
}

// Counts are what a Core counted since it was made.
type Counts struct {
	RunIDs, Refused, Sent, Ended, FailedEnds, Unconfirmed, Stops, Plans, PlanFailures, CallFailures, StaleAnswers, MarkedUnhealthy uint64
	ProvedDead                                                                                                                     map[string]uint64 // by proof
}

// Core is the duty's record tables and the passes over them. One caller at a time.
type Core struct {
	cfg         Config
	st          *state.State
	phase       Phase
	epoch       uint64
	leaderSince time.Duration // when this node took up the duty
	leaseUntil  time.Duration // when its lease ends
	// Where this node takes the same epoch up anew, it may have sent orders for run IDs up to old; its calls go on
	// counting from called.
	lastInheritedRunID, highestCall uint64
	paused                          bool // the lease did not let this node act when it last looked

	runs         map[uint64]*run
	released     map[uint64]*releasedRun // by run ID
	workers      map[string]*worker
	ring         []string // minion names, for placement in turn
	ringOffset   int
	callsDue     map[string]bool // minions with something to send
	reported     map[string]bool // minions with a report for the next plan
	freedWorkers map[string]bool // minions that may take what they could not when placement last looked
	fullScan     bool            // placement is to hold every class against all minions
	queue        queue
	health       health
	// What some class has for itself now, and from when on there may be another reservation.
	reservation       *reservation
	nextReservationAt time.Duration
	runningCounts     map[string]int
	runningByTeam     map[string]int // handles out by team
	budget            budget

	planInFlight     *inFlightPlan
	newlyRunning     []uint64
	unconfirmed      []uint64
	ends             []command.End
	proofs           []command.Proof
	nextSweepAt      time.Duration
	nextGCAt         time.Duration
	now              time.Duration // of the newest input
	placementCurrent bool          // placement looked at the queue since the last change

	Counts Counts
}

// inFlightPlan is the plan under way.
type inFlightPlan struct {
	plan        *command.Plan
	sentAt      time.Duration
	invalidated bool
}

// run is the record of a handle.
type run struct {
	handle            *state.Handle
	team              string
	orderedIn         uint64        // the call its order went out with under this epoch; 0: not sent by this holder
	inOutbox          bool          // waits in its minion's outbox
	inFlight          bool          // its order is under way, unanswered
	ofThisEpoch       bool          // its run ID was given under this epoch
	leaseUntil        time.Duration // the latest hold that may have been told, in the minion's clock; 0: unknown
	leaseIncarnation  string        // the boot whose clock until is of
	absentSince       time.Duration // obeying minion: its clock when it was first found missing at or below the floor
	absentIncarnation string        // under this boot
	stopReason        string        // why it is to be stopped; "" if it is not
	listed            bool
	closing           bool // its end or proof waits in the next plan
	endPending        bool // its end does
}

// releasedRun is the record of a due task whose newest run ID was let go without a good end. That end may still be heard,
// and counts until a newer run ID is given.
type releasedRun struct {
	ref        state.TaskRef
	endPending bool // its end waits in the next plan
}

// worker is the record of a minion: what its answers tell under this epoch.
type worker struct {
	name                string
	incarnation         string
	pastIncarnations    map[string]bool // boots before it
	kind                string
	draining            bool
	heardAt             time.Duration // when the newest answer came; 0: not under this epoch
	clock               time.Duration // its clock in that answer
	lastCall            uint64        // number of the newest call
	lastAnswered        uint64        // number of the newest call whose answer was taken in
	pollCall            uint64        // the call on the waiting line; 0: none
	orderCall           uint64        // the call on the order line; 0: none
	failures            int
	retryAt             time.Duration
	lastCallBeforePause uint64 // calls up to this one left before the newest pause of the lease
	unanswered          bool   // a later one got no answer, and none did since
	floor               uint64
	ackedFloor          uint64 // the floor it is known to have
	runs                map[uint64]*run
	outbox              []uint64 // committed run IDs to be ordered, ascending
	outboxDeadline      time.Duration
	acks                []uint64
	orphans             map[uint64]string // listed as running without a handle: to be stopped
	urgent              bool              // something must go out before the waiting call comes back
	report              *state.Worker     // to go into the next plan
}

// New makes a core that reads st, the node's replica. The owner passes st's notes to Note.
func New(cfg Config, st *state.State) *Core {
	c := &Core{cfg: cfg, st: st, phase: Idle, Counts: Counts{ProvedDead: map[string]uint64{}}, budget: newBudget()}
	c.clear()
	return c
}

func (c *Core) clear() {
	c.released = map[uint64]*releasedRun{}
	c.runs, c.workers, c.callsDue, c.runningCounts = map[uint64]*run{}, map[string]*worker{}, map[string]bool{}, map[string]int{}
	c.runningByTeam, c.reported, c.freedWorkers, c.fullScan = map[string]int{}, map[string]bool{}, map[string]bool{}, true
	c.ring = nil
	if c.planInFlight != nil && !c.planInFlight.invalidated {
		c.planInFlight.invalidated = true // its answer says nothing any more, and must not be taken for that of a later plan
		c.ends = append(c.planInFlight.plan.Ends, c.ends...)
	}
	c.newlyRunning, c.unconfirmed, c.proofs = nil, nil, nil // ends are facts, and their minions may forget them
	c.queue.clear()
	c.reservation, c.nextReservationAt = nil, 0
	c.health = newHealth(c.cfg.Health)
}

// Reset puts another replica in place (after a snapshot). The duty, if held, is rebuilt from it.
func (c *Core) Reset(now time.Duration, st *state.State) {
	c.st = st
	if c.phase == Ready {
		c.BecomeLeader(now, c.epoch)
	}
}

// Phase tells where the duty stands here.
func (c *Core) Phase() Phase { return c.phase }

// Epoch is the duty's epoch here, 0 when idle.
func (c *Core) Epoch() uint64 {
	if c.phase == Idle {
		return 0
	}
	return c.epoch
}

// BecomeLeader takes the duty up under epoch, the log index of the grant. The caller has followed the store up to that
// index at least, so that no older epoch can add a handle any more. Every tally is rebuilt from the handles
// before anything is released.
//
// Taken up anew under the same epoch (after a snapshot, say), what this node did before under it is forgotten: runs
// up to there are those of another holder, to be proved dead as such; nothing is surely unsent.
func (c *Core) BecomeLeader(now time.Duration, epoch uint64) {
	c.clear()
	if c.lastInheritedRunID = c.st.LastRunID; epoch != c.epoch {
		c.planInFlight, c.lastInheritedRunID, c.highestCall = nil, 0, 0
	}
	c.now, c.epoch, c.leaderSince, c.nextSweepAt = now, epoch, now, now
	for _, name := range c.st.WorkerNames() {
		c.trackWorker(name)
	}
	for _, t := range slices.Sorted(maps.Keys(c.st.Handles)) {
		c.handleOpened(c.st.Handles[t])
	}
	for _, j := range slices.SortedFunc(maps.Values(c.st.Jobs), func(a, b *state.Job) int { return cmp.Compare(a.Seq, b.Seq) }) {
		for i := range j.Tasks {
			for k := range j.Tasks[i] {
				if j.Tasks[i][k].Phase == state.TaskDue {
					c.enqueue(state.TaskRef{Job: j.Spec.Key, Step: i, Task: k})
				}
			}
		}
	}
	c.ends = slices.DeleteFunc(c.ends, func(e command.End) bool { return !c.keepEnd(e) })
	c.phase = Ready
}

// keepEnd notes that an end heard before this node took the duty up anew is still to be committed; false if it says
// nothing any more.
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

// findReleased finds the due task whose newest run ID this is; nil if there is none.
func (c *Core) findReleased(runID uint64) *releasedRun {
	r := c.released[runID]
	if r == nil {
		return nil
	}
	if _, t := c.st.TaskOf(r.ref); t == nil || t.Phase != state.TaskDue || t.RunID != runID {
		delete(c.released, runID)
		return nil
	}
	return r
}

// SetRoleLease says until when the duty is held.
func (c *Core) SetRoleLease(until time.Duration) { c.leaseUntil = until }

// StepDown lays the duty down.
func (c *Core) StepDown() {
	c.phase = Idle
	c.clear()
}

// MayAct tells whether the duty may act at now: it is ready and its lease has a margin left.
func (c *Core) MayAct(now time.Duration) bool {
	return c.phase == Ready && now < c.leaseUntil-c.cfg.RoleLeaseMargin
}

// StateChanged takes in a change of the replica.
func (c *Core) StateChanged(n state.Event) {
	if c.phase != Ready {
		return
	}
	switch n.Kind {
	case state.EventTaskDue:
		c.enqueue(n.Ref)
	case state.EventHandleCreated:
		c.handleOpened(n.Handle)
	case state.EventHandleReleased:
		c.handleClosed(n.Handle)
	case state.EventWorkerChanged:
		m := c.trackWorker(n.Name)
		c.callsDue[m.name], c.freedWorkers[m.name] = true, true
		for _, r := range m.runs {
			c.reviewRun(r)
		}
	case state.EventWorkerRetired:
		delete(c.workers, n.Name)
		c.ring = slices.DeleteFunc(c.ring, func(s string) bool { return s == n.Name })
	case state.EventJobStopping:
		if j := c.st.Jobs[n.Name]; j != nil && j.HandleCount() > 0 {
			for i := range j.Tasks {
				for k := range j.Tasks[i] {
					if t := &j.Tasks[i][k]; t.Phase.HasHandle() && c.runs[t.RunID] != nil {
						c.reviewRun(c.runs[t.RunID])
					}
				}
			}
		}
	case state.EventAccountChanged:
		c.fullScan = true
	case state.EventPlacementChanged:
		c.fullScan = true
		for _, r := range c.runs {
			c.reviewRun(r)
		}
	}
	c.placementCurrent = false
}

func (c *Core) trackWorker(name string) *worker {
	m := c.workers[name]
	if m == nil {
		m = &worker{name: name, runs: map[uint64]*run{}, orphans: map[uint64]string{}, floor: c.st.LastRunID,
			lastCall: c.highestCall, lastCallBeforePause: c.highestCall}
		c.workers[name] = m
		c.ring = append(c.ring, name)
		c.callsDue[name] = true
	}
	return m
}

func (c *Core) handleOpened(h *state.Handle) {
	r := &run{handle: h, ofThisEpoch: h.Epoch == c.epoch && h.RunID > c.lastInheritedRunID}
	c.runs[h.RunID] = r
	m := c.trackWorker(h.Worker)
	m.runs[h.RunID] = r
	c.runningCounts[h.Type]++
	c.health.recordProbe(h.Worker, h.RunID)
	if j, _ := c.st.TaskOf(h.Ref); j != nil {
		r.team = j.Spec.Team
	}
	c.runningByTeam[r.team]++
	if c.phase != Ready {
		c.reviewRun(r)
	}
}

func (c *Core) handleClosed(h *state.Handle) {
	if r := c.runs[h.RunID]; r != nil {
		if c.runningByTeam[r.team]--; c.runningByTeam[r.team] == 0 {
			delete(c.runningByTeam, r.team)
		}
	}
	delete(c.runs, h.RunID)
	c.freedWorkers[h.Worker] = true
	c.health.recordLost(h.Worker, h.RunID)
	if m := c.workers[h.Worker]; m != nil {
		delete(m.runs, h.RunID)
	}
	if c.runningCounts[h.Type]--; c.runningCounts[h.Type] == 0 {
		delete(c.runningCounts, h.Type)
	}
}

// reviewRun notes whether a run is to be stopped: its job stops, or bundle, zone or drain do not allow it any more.
func (c *Core) reviewRun(r *run) {
	j, _ := c.st.TaskOf(r.handle.Ref)
	why := ""
	switch m := c.st.Workers[r.handle.Worker]; {
	case j == nil:
		why = "job"
	case j.Phase != state.JobRunning:
		why = string(j.Outcome)
	case m != nil:
		if why = c.st.PlacementRefusal(&j.Spec, &j.Spec.Steps[r.handle.Ref.Step], m); why == "boot" {
			why = ""
		}
	}
	if r.stopReason = why; why != "" {
		if m := c.workers[r.handle.Worker]; m != nil {
			m.urgent = true
			c.callsDue[m.name] = true
		}
	}
}

// RunningCount gives the tally of a type, as rebuilt and kept by this holder.
func (c *Core) RunningCount(kind string) int { return c.runningCounts[kind] }

// MarkedUnhealthy gives the minions that are held sick, by name.
func (c *Core) UnhealthyWorkers() []string { return slices.Sorted(maps.Keys(c.health.unhealthy)) }

// checkHealth holds a minion sick if it spoils what its peers end well, as far as its zone can spare it.
func (c *Core) checkHealth(now time.Duration, m *worker, kind string) {
	rec := c.st.Workers[m.name]
	if rec == nil || c.health.score(m.name, kind).failed < c.cfg.Health.MinFailures {
		return
	}
	zone, unhealthy := 0, 0
	for name, other := range c.st.Workers {
		if other.Zone == rec.Zone {
			zone++
			if c.health.unhealthy[name] != nil {
				unhealthy++
			}
		}
	}
	if c.health.ejectIfUnhealthy(now, m.name, kind, zone, unhealthy) {
		c.Counts.MarkedUnhealthy++
	}
}

// QueueLength is how many due tasks wait for a run ID, those in back-off included.
func (c *Core) QueueLength() int { return c.queue.len() }

// Pass runs the passes and gives what is to be done at now.
func (c *Core) Pass(now time.Duration) Actions {
	c.now = now
	if !c.MayAct(now) {
		c.paused = true
		return Actions{}
	}
	if c.paused {
		c.resume()
	}
	if now >= c.nextSweepAt {
		c.nextSweepAt = now + c.cfg.SweepInterval
		c.sweep(now)
	}
	out := Actions{Plan: c.nextPlan(now)}
	for _, name := range sortedKeys(c.callsDue) {
		out.Calls = c.appendCalls(now, c.workers[name], out.Calls)
	}
	clear(c.callsDue)
	return out
}

// resume takes in that the lease lets this node act again. It asked nobody meanwhile, so that a minion was not heard
// since says nothing about the minion.
func (c *Core) resume() {
	c.paused = false
	for _, m := range c.workers {
		m.lastCallBeforePause, m.unanswered = m.lastCall, false
	}
}

// sweep is the pass over all records: lapses, orphans, silent minions, the tally.
func (c *Core) sweep(now time.Duration) {
	old := len(c.proofs)
	for _, m := range c.workers {
		c.callsDue[m.name] = true
		if m.heardAt == 0 || now-m.heardAt > c.cfg.PlacementTimeout {
			for _, r := range m.runs {
				c.expireLease(now, m, r)
			}
		}
	}
	if c.planInFlight == nil {
		for _, r := range c.runs {
			if r.ofThisEpoch && r.orderedIn == 0 && !r.inOutbox {
				c.proveDead(r, command.ProofUnsent, "")
			}
		}
	}
	c.sortProofs(old, len(c.unconfirmed))
	c.placementCurrent, c.fullScan = false, true
	if now >= c.nextGCAt {
		c.nextGCAt = now + 10*time.Second
		for runID := range c.released {
			c.findReleased(runID) // lets go of what is over
		}
		c.health.dropFinishedJobs(func(job string) bool { j := c.st.Jobs[job]; return j != nil && !j.Phase.IsTerminal() })
	}
}

// orderCall sorts the proofs and doubts that a walk over a table has added, so that the same inputs give the same plan.
func (c *Core) sortProofs(dead, unconfirmed int) {
	slices.SortFunc(c.proofs[dead:], func(a, b command.Proof) int { return cmp.Compare(a.RunID, b.RunID) })
	slices.Sort(c.unconfirmed[unconfirmed:])
}

// minElapsed allows for a minion's clock that runs a little slow against ours.
func minElapsed(d time.Duration) time.Duration { return d - d/500 }

// expireLease proves a run dead whose hold has surely run out. The minion must have been asked in vain: one that answers
// tells what became of the run.
func (c *Core) expireLease(now time.Duration, m *worker, r *run) {
	if r.closing || r.inOutbox || r.inFlight || !m.unanswered {
		return
	}
	margin := 200 * time.Millisecond
	if m.kind == "obey" || m.heardAt == 0 {
		margin += c.cfg.Lateness
	}
	over := false
	if r.leaseUntil > 0 && r.leaseIncarnation == m.incarnation && m.heardAt > 0 {
		over = m.clock+minElapsed(now-m.heardAt) > r.leaseUntil+margin
	} else {
		over = minElapsed(now-c.leaderSince) > max(r.handle.LeaseTTL, c.cfg.RunLease)+margin && minElapsed(now-m.heardAt) > max(r.handle.LeaseTTL, c.cfg.RunLease)+margin
	}
	if over {
		c.proveDead(r, command.ProofLeaseExpired, "its hold lapsed unheard")
	}
}

// proveDead puts a proof into the next plan.
func (c *Core) proveDead(r *run, why, reason string) {
	if r.closing {
		return
	}
	r.closing = true
	c.proofs = append(c.proofs, command.Proof{RunID: r.handle.RunID, Why: why, Reason: reason})
	c.Counts.ProvedDead[why]++
}

func sortedKeys(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for k := range set {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
