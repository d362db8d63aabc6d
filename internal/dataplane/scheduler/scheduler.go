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
	Hold        time.Duration // how long a run goes on unheard
	HoldWait    time.Duration // how long a minion may keep a call waiting
	StartWindow time.Duration // from the answer of a run ID's commit to the write of its order
	PlanWindow  time.Duration // from the sending of a plan to the write of its orders
	Lateness    time.Duration // how late an obeying minion may carry out an order
	LeaseMargin time.Duration // the duty's work stops this long before the lease ends
	Retry       time.Duration // between calls to a minion that does not answer
	Silence     time.Duration // no new starts on a minion unheard for this long
	// OrderSilence bounds how long a minion may have been unheard when an order is sent: it may have begun to drain, and
	// starts on it must end within 2 s of that.
	OrderSilence time.Duration
	Sweep        time.Duration // between passes over all records
	Batch        int           // most starts in a plan
	// A kind of task that younger ones passed over for ReserveAfter, as it fitted nowhere, gets minions reserved for
	// ReserveFor; ReserveRest lies between two reservations, ReserveRetry between two for the same kind.
	ReserveAfter, ReserveFor, ReserveRest, ReserveRetry time.Duration
	// From ReserveLongAfter on its reservations last ReserveLong, and one follows the other after ReserveRest.
	ReserveLongAfter, ReserveLong time.Duration
	Health                        HealthConfig
}

// Defaults are our starting values.
func Defaults() Config {
	return Config{Hold: 20 * time.Second, HoldWait: time.Second, StartWindow: 500 * time.Millisecond,
		PlanWindow: 1900 * time.Millisecond, Lateness: 2 * time.Second, LeaseMargin: 500 * time.Millisecond,
		Retry: 500 * time.Millisecond, Silence: 2500 * time.Millisecond, OrderSilence: 1500 * time.Millisecond, Sweep: 100 * time.Millisecond, Batch: 1024,
		ReserveAfter: 5 * time.Second, ReserveFor: 1500 * time.Millisecond, ReserveRest: time.Second, ReserveRetry: 3 * time.Second,
		ReserveLongAfter: 10 * time.Second, ReserveLong: 2200 * time.Millisecond,
		Health: HealthDefaults()}
}

// Phase is where the duty stands on this node.
type Phase string

const (
	Idle  Phase = "idle"  // another node has the duty
	Ready Phase = "ready" // granted, tallies rebuilt
)

// Out is what a pass wants done.
type Out struct {
	Plan  *command.Plan // to be committed; answered by Planned
	Calls []CallOut     // to be sent; each answered by Answer or Failure
}

// CallOut is one hold call to be sent.
type CallOut struct {
	Minion string
	Addr   string
	Order  bool // on the order line, else on the waiting line
	Call   internalapi.HoldCall
	// Before is the time by which starts must have been written; 0 without starts.
	Before time.Duration
}

// Counts are what a Core counted since it was made.
type Counts struct {
	RunIDs, Refused, Sent, Ended, Failures, Doubts, Stops, Plans, PlanFailures, CallFailures, Crossed, Sick uint64
	Dead                                                                                                    map[string]uint64 // by proof
}

// Core is the duty's record tables and the passes over them. One caller at a time.
type Core struct {
	cfg   Config
	st    *state.State
	phase Phase
	epoch uint64
	since time.Duration // when this node took up the duty
	lease time.Duration // when its lease ends
	// Where this node takes the same epoch up anew, it may have sent orders for run IDs up to old; its calls go on
	// counting from called.
	old, called uint64
	paused      bool // the lease did not let this node act when it last looked

	runs     map[uint64]*run
	released map[uint64]*release // by run ID
	minions  map[string]*minion
	ring     []string // minion names, for placement in turn
	turn     int
	dirty    map[string]bool // minions with something to send
	said     map[string]bool // minions with a report for the next plan
	fresh    map[string]bool // minions that may take what they could not when placement last looked
	wide     bool            // placement is to hold every class against all minions
	queue    queue
	health   health
	// What some class has for itself now, and from when on there may be another reservation.
	reserved      *reservation
	reserveAt     time.Duration
	runningCounts map[string]int
	teams         map[string]int // handles out by team
	payment       payment

	plan    *flight
	running []uint64
	doubts  []uint64
	ends    []command.End
	dead    []command.Proof
	sweepAt time.Duration
	tidyAt  time.Duration
	now     time.Duration // of the newest input
	swept   bool          // placement looked at the queue since the last change

	Counts Counts
}

// flight is the plan under way.
type flight struct {
	plan *command.Plan
	at   time.Duration
	void bool
}

// run is the record of a handle.
type run struct {
	handle   *state.Handle
	team     string
	call     uint64        // the call its order went out with under this epoch; 0: not sent by this holder
	out      bool          // waits in its minion's outbox
	inFlight bool          // its order is under way, unanswered
	mine     bool          // its run ID was given under this epoch
	until    time.Duration // the latest hold that may have been told, in the minion's clock; 0: unknown
	boot     string        // the boot whose clock until is of
	absent   time.Duration // obeying minion: its clock when it was first found missing at or below the floor
	missed   string        // under this boot
	stop     string        // why it is to be stopped; "" if it is not
	listed   bool
	gone     bool // its end or proof waits in the next plan
	ended    bool // its end does
}

// release is the record of a due task whose newest run ID was let go without a good end. That end may still be heard,
// and counts until a newer run ID is given.
type release struct {
	ref   state.TaskRef
	ended bool // its end waits in the next plan
}

// minion is the record of a minion: what its answers tell under this epoch.
type minion struct {
	name     string
	boot     string
	past     map[string]bool // boots before it
	kind     string
	drain    bool
	heard    time.Duration // when the newest answer came; 0: not under this epoch
	clock    time.Duration // its clock in that answer
	call     uint64        // number of the newest call
	taken    uint64        // number of the newest call whose answer was taken in
	waiting  uint64        // the call on the waiting line; 0: none
	order    uint64        // the call on the order line; 0: none
	failures int
	retry    time.Duration
	before   uint64 // calls up to this one left before the newest pause of the lease
	vain     bool   // a later one got no answer, and none did since
	floor    uint64
	told     uint64 // the floor it is known to have
	runs     map[uint64]*run
	outbox   []uint64 // committed run IDs to be ordered, ascending
	outBy    time.Duration
	acks     []uint64
	strays   map[uint64]string // listed as running without a handle: to be stopped
	urgent   bool              // something must go out before the waiting call comes back
	report   *state.Worker     // to go into the next plan
}

// New makes a core that reads st, the node's replica. The owner passes st's notes to Note.
func New(cfg Config, st *state.State) *Core {
	c := &Core{cfg: cfg, st: st, phase: Idle, Counts: Counts{Dead: map[string]uint64{}}, payment: newPayment()}
	c.clear()
	return c
}

func (c *Core) clear() {
	c.released = map[uint64]*release{}
	c.runs, c.minions, c.dirty, c.runningCounts = map[uint64]*run{}, map[string]*minion{}, map[string]bool{}, map[string]int{}
	c.teams, c.said, c.fresh, c.wide = map[string]int{}, map[string]bool{}, map[string]bool{}, true
	c.ring = nil
	if c.plan != nil && !c.plan.void {
		c.plan.void = true // its answer says nothing any more, and must not be taken for that of a later plan
		c.ends = append(c.plan.plan.Ends, c.ends...)
	}
	c.running, c.doubts, c.dead = nil, nil, nil // ends are facts, and their minions may forget them
	c.queue.clear()
	c.reserved, c.reserveAt = nil, 0
	c.health = newHealth(c.cfg.Health)
}

// Reset puts another replica in place (after a snapshot). The duty, if held, is rebuilt from it.
func (c *Core) Reset(now time.Duration, st *state.State) {
	c.st = st
	if c.phase == Ready {
		c.Lead(now, c.epoch)
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

// Lead takes the duty up under epoch, the log index of the grant. The caller has followed the store up to that
// index at least, so that no older epoch can add a handle any more. Every tally is rebuilt from the handles
// before anything is released.
//
// Taken up anew under the same epoch (after a snapshot, say), what this node did before under it is forgotten: runs
// up to there are those of another holder, to be proved dead as such; nothing is surely unsent.
func (c *Core) Lead(now time.Duration, epoch uint64) {
	c.clear()
	if c.old = c.st.LastRunID; epoch != c.epoch {
		c.plan, c.old, c.called = nil, 0, 0
	}
	c.now, c.epoch, c.since, c.sweepAt = now, epoch, now, now
	for _, name := range c.st.WorkerNames() {
		c.meet(name)
	}
	for _, t := range slices.Sorted(maps.Keys(c.st.Handles)) {
		c.opened(c.st.Handles[t])
	}
	for _, j := range slices.SortedFunc(maps.Values(c.st.Jobs), func(a, b *state.Job) int { return cmp.Compare(a.Seq, b.Seq) }) {
		for i := range j.Tasks {
			for k := range j.Tasks[i] {
				if j.Tasks[i][k].Phase == state.TaskDue {
					c.due(state.TaskRef{Job: j.Spec.Key, Step: i, Task: k})
				}
			}
		}
	}
	c.ends = slices.DeleteFunc(c.ends, func(e command.End) bool { return !c.keep(e) })
	c.phase = Ready
}

// keep notes that an end heard before this node took the duty up anew is still to be committed; false if it says
// nothing any more.
func (c *Core) keep(e command.End) bool {
	if r := c.runs[e.RunID]; r != nil {
		r.gone, r.ended = true, true
		return true
	}
	r := c.late(e.RunID)
	if r == nil || !e.OK {
		return false
	}
	r.ended = true
	return true
}

// late finds the due task whose newest run ID this is; nil if there is none.
func (c *Core) late(runID uint64) *release {
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

// Lease says until when the duty is held.
func (c *Core) Lease(until time.Duration) { c.lease = until }

// Yield lays the duty down.
func (c *Core) Yield() {
	c.phase = Idle
	c.clear()
}

// Live tells whether the duty may act at now: it is ready and its lease has a margin left.
func (c *Core) Live(now time.Duration) bool {
	return c.phase == Ready && now < c.lease-c.cfg.LeaseMargin
}

// Note takes in a change of the replica.
func (c *Core) Note(n state.Event) {
	if c.phase != Ready {
		return
	}
	switch n.Kind {
	case state.EventTaskDue:
		c.due(n.Ref)
	case state.EventHandleCreated:
		c.opened(n.Handle)
	case state.EventHandleReleased:
		c.closed(n.Handle)
	case state.EventWorkerChanged:
		m := c.meet(n.Name)
		c.dirty[m.name], c.fresh[m.name] = true, true
		for _, r := range m.runs {
			c.review(r)
		}
	case state.EventWorkerRetired:
		delete(c.minions, n.Name)
		c.ring = slices.DeleteFunc(c.ring, func(s string) bool { return s == n.Name })
	case state.EventJobStopping:
		if j := c.st.Jobs[n.Name]; j != nil && j.HandleCount() > 0 {
			for i := range j.Tasks {
				for k := range j.Tasks[i] {
					if t := &j.Tasks[i][k]; t.Phase.HasHandle() && c.runs[t.RunID] != nil {
						c.review(c.runs[t.RunID])
					}
				}
			}
		}
	case state.EventAccountChanged:
		c.wide = true
	case state.EventPlacementChanged:
		c.wide = true
		for _, r := range c.runs {
			c.review(r)
		}
	}
	c.swept = false
}

func (c *Core) meet(name string) *minion {
	m := c.minions[name]
	if m == nil {
		m = &minion{name: name, runs: map[uint64]*run{}, strays: map[uint64]string{}, floor: c.st.LastRunID,
			call: c.called, before: c.called}
		c.minions[name] = m
		c.ring = append(c.ring, name)
		c.dirty[name] = true
	}
	return m
}

func (c *Core) opened(h *state.Handle) {
	r := &run{handle: h, mine: h.Epoch == c.epoch && h.RunID > c.old}
	c.runs[h.RunID] = r
	m := c.meet(h.Worker)
	m.runs[h.RunID] = r
	c.runningCounts[h.Type]++
	c.health.probe(h.Worker, h.RunID)
	if j, _ := c.st.TaskOf(h.Ref); j != nil {
		r.team = j.Spec.Team
	}
	c.teams[r.team]++
	if c.phase != Ready {
		c.review(r)
	}
}

func (c *Core) closed(h *state.Handle) {
	if r := c.runs[h.RunID]; r != nil {
		if c.teams[r.team]--; c.teams[r.team] == 0 {
			delete(c.teams, r.team)
		}
	}
	delete(c.runs, h.RunID)
	c.fresh[h.Worker] = true
	c.health.lost(h.Worker, h.RunID)
	if m := c.minions[h.Worker]; m != nil {
		delete(m.runs, h.RunID)
	}
	if c.runningCounts[h.Type]--; c.runningCounts[h.Type] == 0 {
		delete(c.runningCounts, h.Type)
	}
}

// review notes whether a run is to be stopped: its job stops, or bundle, zone or drain do not allow it any more.
func (c *Core) review(r *run) {
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
	if r.stop = why; why != "" {
		if m := c.minions[r.handle.Worker]; m != nil {
			m.urgent = true
			c.dirty[m.name] = true
		}
	}
}

// RunningCount gives the tally of a type, as rebuilt and kept by this holder.
func (c *Core) RunningCount(kind string) int { return c.runningCounts[kind] }

// Sick gives the minions that are held sick, by name.
func (c *Core) Sick() []string { return slices.Sorted(maps.Keys(c.health.sick)) }

// judge holds a minion sick if it spoils what its peers end well, as far as its zone can spare it.
func (c *Core) judge(now time.Duration, m *minion, kind string) {
	rec := c.st.Workers[m.name]
	if rec == nil || c.health.score(m.name, kind).spoilt < c.cfg.Health.Least {
		return
	}
	zone, held := 0, 0
	for name, other := range c.st.Workers {
		if other.Zone == rec.Zone {
			zone++
			if c.health.sick[name] != nil {
				held++
			}
		}
	}
	if c.health.judge(now, m.name, kind, zone, held) {
		c.Counts.Sick++
	}
}

// QueueLength is how many due tasks wait for a run ID, those in back-off included.
func (c *Core) QueueLength() int { return c.queue.len() }

// Pass runs the passes and gives what is to be done at now.
func (c *Core) Pass(now time.Duration) Out {
	c.now = now
	if !c.Live(now) {
		c.paused = true
		return Out{}
	}
	if c.paused {
		c.resume()
	}
	if now >= c.sweepAt {
		c.sweepAt = now + c.cfg.Sweep
		c.sweep(now)
	}
	out := Out{Plan: c.planPass(now)}
	for _, name := range sorted(c.dirty) {
		out.Calls = c.holdPass(now, c.minions[name], out.Calls)
	}
	clear(c.dirty)
	return out
}

// resume takes in that the lease lets this node act again. It asked nobody meanwhile, so that a minion was not heard
// since says nothing about the minion.
func (c *Core) resume() {
	c.paused = false
	for _, m := range c.minions {
		m.before, m.vain = m.call, false
	}
}

// sweep is the pass over all records: lapses, orphans, silent minions, the tally.
func (c *Core) sweep(now time.Duration) {
	old := len(c.dead)
	for _, m := range c.minions {
		c.dirty[m.name] = true
		if m.heard == 0 || now-m.heard > c.cfg.Silence {
			for _, r := range m.runs {
				c.lapse(now, m, r)
			}
		}
	}
	if c.plan == nil {
		for _, r := range c.runs {
			if r.mine && r.call == 0 && !r.out {
				c.kill(r, command.ProofUnsent, "")
			}
		}
	}
	c.order(old, len(c.doubts))
	c.swept, c.wide = false, true
	if now >= c.tidyAt {
		c.tidyAt = now + 10*time.Second
		for runID := range c.released {
			c.late(runID) // lets go of what is over
		}
		c.health.forget(func(job string) bool { j := c.st.Jobs[job]; return j != nil && !j.Phase.IsTerminal() })
	}
}

// order sorts the proofs and doubts that a walk over a table has added, so that the same inputs give the same plan.
func (c *Core) order(dead, doubts int) {
	slices.SortFunc(c.dead[dead:], func(a, b command.Proof) int { return cmp.Compare(a.RunID, b.RunID) })
	slices.Sort(c.doubts[doubts:])
}

// drift allows for a minion's clock that runs a little slow against ours.
func drift(d time.Duration) time.Duration { return d - d/500 }

// lapse proves a run dead whose hold has surely run out. The minion must have been asked in vain: one that answers
// tells what became of the run.
func (c *Core) lapse(now time.Duration, m *minion, r *run) {
	if r.gone || r.out || r.inFlight || !m.vain {
		return
	}
	margin := 200 * time.Millisecond
	if m.kind == "obey" || m.heard == 0 {
		margin += c.cfg.Lateness
	}
	over := false
	if r.until > 0 && r.boot == m.boot && m.heard > 0 {
		over = m.clock+drift(now-m.heard) > r.until+margin
	} else {
		over = drift(now-c.since) > max(r.handle.LeaseTTL, c.cfg.Hold)+margin && drift(now-m.heard) > max(r.handle.LeaseTTL, c.cfg.Hold)+margin
	}
	if over {
		c.kill(r, command.ProofLeaseExpired, "its hold lapsed unheard")
	}
}

// kill puts a proof into the next plan.
func (c *Core) kill(r *run, why, reason string) {
	if r.gone {
		return
	}
	r.gone = true
	c.dead = append(c.dead, command.Proof{RunID: r.handle.RunID, Why: why, Reason: reason})
	c.Counts.Dead[why]++
}

func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for k := range set {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
