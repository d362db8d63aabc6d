// Package policyworker is the stand-in minion of the rehearsal kit: a pure step machine (Core) that keeps the contract
// of docs/ops/minion-contract.md, and the process around it (Host).
package policyworker

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/testbed/journal"
)

// Kinds of minions.
const (
	KindObey  = "obey"  // starts whatever it is told
	KindCheck = "check" // refuses late, old and unfitting orders
)

// Never is the Wake of a core that waits for nothing but calls.
const Never = time.Duration(math.MaxInt64)

// Traits are what a core is, for the whole of one boot.
type Traits struct {
	Name, Incarnation string
	Kind              string // Obey or Check
	Zone, Rack        string
	Labels            map[string]string
	Cores             int
	GPUs              int
	Grace             time.Duration // how long a leaving minion waits for its runs and for its ends to be acknowledged
	FailProbability   float64       // probability that a run ends in a fault
	SlowFactor        float64       // runs take up to this many times as long; at most 1: as long as they say
	Seed              uint64        // of Fail and Slow; what a run ID meets does not depend on the order of calls
}

// Reply answers the call that came with Tag.
type Reply struct {
	Tag    uint64
	Answer internalapi.LeaseAnswer
	Err    error
}

// Actions is what an input brings about, to be done in the order of the fields.
type Actions struct {
	Journal []journal.Entry // At is not set
	Replies []Reply         // a call without a reply in its own step is parked
	WakeAt  time.Duration   // the clock reading to call Tick at, or Never
	Exit    bool            // the process is to exit
}

// Core is one boot of a minion as a pure step machine: no clock, socket or goroutine of its own. Every input
// carries the minion's own clock, which starts at 0 with the boot, counts suspension and never goes back.
// It is not safe for concurrent use. Example:
//
//	core := policyworker.NewCore(policyworker.Traits{Name: "m1", Boot: "b1", Kind: policyworker.KindCheck, Zone: "z1", Cores: 4})
//	core.Start()
//	step := core.RenewLease(5*time.Millisecond, 1, internalapi.HoldCall{Call: 1, Epoch: 7, Minion: "m1", Boot: "b1"})
//	// step.Replies[0].Tag is 1
type Core struct {
	traits         Traits
	epoch          uint64 // newest seen
	highestRunID   uint64 // highest run ID seen in a start order
	runIDFloor     uint64
	runs           []*run // in order of starting
	unacknowledged []internalapi.RunEnd
	usedCores      int // taken by runs
	usedGPUs       int
	draining       bool
	leaveDeadline  time.Duration // when a leaving minion gives up waiting; Never if it does not leave
	exited         bool

	hasUpdate   bool // something to say since the last answer
	pendingPoll *longPoll

	now     time.Duration
	actions *Actions // being made
}

type run struct {
	order      internalapi.StartOrder
	epoch      uint64
	endsAt     time.Duration // Never for a standing run
	leaseUntil time.Duration
	outcome    string
	reason     string
}

type longPoll struct {
	tag      uint64
	call     uint64
	deadline time.Duration
}

// NewCore makes a core that has not started.
func NewCore(t Traits) *Core { return &Core{traits: t, leaveDeadline: Never, hasUpdate: true} }

// Start journals the boot, at clock 0.
func (c *Core) Start() Actions {
	return c.process(0, func() { c.record(journal.NewIncarnation, nil, c.traits.Kind) })
}

// RenewLease takes in a hold call; tag names it in Step.Replies, in this step or in a later one. The arrival of a call
// answers a parked one first, with what was known before.
func (c *Core) RenewLease(now time.Duration, tag uint64, call internalapi.LeaseCall) Actions {
	return c.process(now, func() {
		c.answerPendingPoll()
		if call.Worker != c.traits.Name {
			c.replyError(tag, errs.Field(errs.Unknown, "minion", "this is %s", c.traits.Name))
			return
		}
		if c.traits.Kind == KindCheck && call.Epoch < c.epoch {
			c.replyError(tag, errs.Field(errs.Stale, "epoch", "epoch %d is over, %d was seen", call.Epoch, c.epoch))
			return
		}
		c.hasUpdate = c.hasUpdate || call.Epoch > c.epoch || call.Floor > c.runIDFloor || call.Incarnation != "" && call.Incarnation != c.traits.Incarnation
		c.epoch, c.runIDFloor = max(c.epoch, call.Epoch), max(c.runIDFloor, call.Floor)
		c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(e internalapi.RunEnd) bool { return slices.Contains(call.Acked, e.RunID) })
		if call.Incarnation == c.traits.Incarnation || call.Incarnation == "" { // Until is a reading of that boot's clock
			for _, r := range c.runs {
				if slices.Contains(call.Renew, r.order.RunID) {
					r.leaseUntil = max(r.leaseUntil, call.RenewUntil)
				}
			}
		}
		for _, s := range call.Stops {
			c.endRuns(func(r *run) bool { return r.order.RunID == s.RunID }, journal.Stop, internalapi.OutcomeStopped, s.Why)
		}
		var refused []internalapi.StartRefusal
		for _, o := range call.Starts {
			if reason := c.startRun(call, o); reason != "" {
				refused = append(refused, internalapi.StartRefusal{RunID: o.RunID, Why: reason})
			}
		}
		c.endDueRuns() // runs that end at once are told at once
		if call.Wait > 0 && len(call.Starts) == 0 && !c.hasUpdate {
			c.pendingPoll = &longPoll{tag: tag, call: call.Call, deadline: addSaturating(c.now, call.Wait)}
			return
		}
		c.replyAnswer(tag, call.Call, refused)
	})
}

// Tick lets time pass: runs end, holds lapse, parked calls are answered.
func (c *Core) Tick(now time.Duration) Actions { return c.process(now, func() {}) }

// Drain switches draining. With leave it is final: the core leaves once nothing runs and all ends are
// acknowledged, or when the grace is over; what still runs then is stopped.
func (c *Core) Drain(now time.Duration, on, leave bool) Actions {
	return c.process(now, func() {
		on = on || leave || c.leaveDeadline != Never
		if on != c.draining {
			c.draining, c.hasUpdate = on, true
			c.record(journal.Drain, &run{outcome: map[bool]string{true: internalapi.OutcomeOK}[on]}, "")
		}
		if leave && c.leaveDeadline == Never {
			c.leaveDeadline = addSaturating(c.now, c.traits.Grace)
		}
	})
}

// AnswerLost reports that the answer to the call tagged tag did not get out: what it said is news again.
func (c *Core) AnswerLost(tag uint64) {
	c.hasUpdate = true
	if c.pendingPoll != nil && c.pendingPoll.tag == tag {
		c.pendingPoll = nil
	}
}

// process makes a step: what time brought first, then what the input brings, then what follows.
func (c *Core) process(now time.Duration, work func()) Actions {
	c.now, c.actions = max(c.now, now), &Actions{WakeAt: Never}
	c.endDueRuns()
	work()
	if c.leaveDeadline <= c.now {
		c.endRuns(func(*run) bool { return true }, journal.Stop, internalapi.OutcomeStopped, "the minion leaves")
	}
	idle := len(c.runs) == 0 && len(c.unacknowledged) == 0
	c.exited = c.exited || c.leaveDeadline <= c.now || c.leaveDeadline != Never && idle
	if p := c.pendingPoll; p != nil && (c.hasUpdate || c.exited || p.deadline <= c.now) {
		c.answerPendingPoll()
	}
	c.actions.Exit = c.exited
	if !c.exited {
		c.actions.WakeAt = c.leaveDeadline
		for _, r := range c.runs {
			c.actions.WakeAt = min(c.actions.WakeAt, r.endsAt, r.leaseUntil)
		}
		if c.pendingPoll != nil {
			c.actions.WakeAt = min(c.actions.WakeAt, c.pendingPoll.deadline)
		}
	}
	return *c.actions
}

// endDueRuns ends what time has ended: lapses first, so that a run that outlived its hold never counts as well done.
func (c *Core) endDueRuns() {
	c.endRuns(func(r *run) bool { return r.leaseUntil <= c.now }, journal.Expire, internalapi.OutcomeLeaseExpired, "the hold lapsed")
	c.endRuns(func(r *run) bool { return r.endsAt <= c.now }, journal.End, "", "")
}

// endRuns takes out the runs that match; an empty how leaves them their own.
func (c *Core) endRuns(match func(*run) bool, event, outcome, reason string) {
	c.runs = slices.DeleteFunc(c.runs, func(r *run) bool {
		if !match(r) {
			return false
		}
		if outcome != "" {
			r.outcome, r.reason = outcome, reason
		}
		c.usedCores -= r.order.Cores
		c.usedGPUs -= r.order.GPUs
		c.recordEnd(event, r)
		return true
	})
}

// recordEnd journals an end and lists it, once per run ID: an obeying minion may run a run ID twice.
func (c *Core) recordEnd(event string, r *run) {
	listed := slices.ContainsFunc(c.unacknowledged, func(e internalapi.RunEnd) bool { return e.RunID == r.order.RunID })
	if !listed {
		c.unacknowledged = append(c.unacknowledged, internalapi.RunEnd{RunID: r.order.RunID, Outcome: r.outcome, Reason: r.reason})
	}
	c.hasUpdate = true
	c.record(event, r, r.reason)
}

// startRun carries out a start order, or tells why not.
func (c *Core) startRun(call internalapi.LeaseCall, o internalapi.StartOrder) (refused string) {
	r := &run{order: o, epoch: call.Epoch, leaseUntil: o.LeaseUntil}
	c.record(journal.Order, r, "")
	if c.traits.Kind == KindCheck {
		refused = c.refusalReason(call, o)
	}
	c.highestRunID = max(c.highestRunID, o.RunID)
	c.hasUpdate = true
	if refused != "" {
		c.record(journal.Refuse, r, refused)
		return refused
	}
	if o.LeaseUntil <= c.now { // a hold that is over already: even an obeying minion does not run past it
		r.outcome, r.reason = internalapi.OutcomeLeaseExpired, "the hold had lapsed before the start"
		if c.isRunning(o.RunID) {
			c.record(journal.Expire, r, r.reason)
		} else {
			c.recordEnd(journal.Expire, r)
		}
		return ""
	}
	c.drawOutcome(r)
	c.runs = append(c.runs, r)
	c.usedCores += o.Cores
	c.usedGPUs += o.GPUs
	c.record(journal.Start, r, "")
	return ""
}

// refusalReason returns the first reason for which a checking minion refuses o; "" if there is none.
func (c *Core) refusalReason(call internalapi.LeaseCall, o internalapi.StartOrder) string {
	switch {
	case call.Incarnation != c.traits.Incarnation:
		return "boot"
	case o.RunID <= c.highestRunID:
		return "ticket"
	case o.RunID <= c.runIDFloor:
		return "floor"
	case c.now > o.StartBy, c.now >= o.LeaseUntil:
		return "late"
	case c.usedCores+o.Cores > c.traits.Cores, c.usedGPUs+o.GPUs > c.traits.GPUs:
		return "room"
	case !c.hasLabels(o.Labels):
		return "label"
	case c.draining:
		return "drain"
	}
	return ""
}

func (c *Core) hasLabels(labels map[string]string) bool {
	for k, v := range labels {
		if have, ok := c.traits.Labels[k]; !ok || have != v {
			return false
		}
	}
	return true
}

func (c *Core) isRunning(t uint64) bool {
	return slices.ContainsFunc(c.runs, func(r *run) bool { return r.order.RunID == t })
}

// drawOutcome sets when and how r will end by itself.
func (c *Core) drawOutcome(r *run) {
	program, err := parseProgram(r.order.Run)
	if err != nil {
		r.endsAt, r.outcome, r.reason = c.now, internalapi.OutcomeFailed, errs.Of(err).Message
		return
	}
	rng := rand.New(rand.NewPCG(c.traits.Seed, r.order.RunID))
	fails, factor := rng.Float64() < c.traits.FailProbability, 1+rng.Float64()*max(c.traits.SlowFactor-1, 0)
	r.endsAt, r.outcome = Never, internalapi.OutcomeOK
	if program.duration >= 0 {
		r.endsAt = addSaturating(c.now, time.Duration(float64(program.duration)*factor))
	}
	switch {
	case !program.succeeds:
		r.outcome, r.reason = internalapi.OutcomeFailed, "the run is not ok"
	case fails:
		r.outcome, r.reason = internalapi.OutcomeFailed, "failed by chance"
	}
}

func (c *Core) answerPendingPoll() {
	if p := c.pendingPoll; p != nil {
		c.pendingPoll = nil
		c.replyAnswer(p.tag, p.call, nil)
	}
}

func (c *Core) replyError(tag uint64, err error) {
	c.actions.Replies = append(c.actions.Replies, Reply{Tag: tag, Err: err})
}

func (c *Core) replyAnswer(tag, call uint64, refused []internalapi.StartRefusal) {
	var running []uint64
	for _, r := range c.runs {
		running = append(running, r.order.RunID)
	}
	slices.Sort(running)
	ended := slices.Clone(c.unacknowledged)
	// A listed end is proof that nothing of the run ID runs.
	ended = slices.DeleteFunc(ended, func(e internalapi.RunEnd) bool { return c.isRunning(e.RunID) })
	c.hasUpdate = false
	c.actions.Replies = append(c.actions.Replies, Reply{Tag: tag, Answer: internalapi.LeaseAnswer{
		Call: call, Epoch: c.epoch, Incarnation: c.traits.Incarnation, Clock: c.now, Seen: c.highestRunID, Floor: c.runIDFloor,
		Running: slices.Compact(running), Ended: ended, Refused: refused,
		Kind: c.traits.Kind, Zone: c.traits.Zone, Rack: c.traits.Rack, Labels: c.traits.Labels, Cores: c.traits.Cores, GPUs: c.traits.GPUs,
		Draining: c.draining,
	}})
}

// record journals ev about r, nil for the minion itself.
func (c *Core) record(event string, r *run, reason string) {
	e := journal.Entry{Event: event, Worker: c.traits.Name, Incarnation: c.traits.Incarnation, Zone: c.traits.Zone, Clock: int64(c.now), Reason: reason, Epoch: c.epoch}
	if event == journal.NewIncarnation {
		e.Rack, e.Labels, e.Cores, e.GPUs = c.traits.Rack, c.traits.Labels, c.traits.Cores, c.traits.GPUs
	}
	if r != nil {
		o := r.order
		e.Job, e.Step, e.Task, e.RunID, e.Type, e.Queue = o.Job, o.Step, o.Task, o.RunID, o.Type, o.Queue
		e.Labels, e.Cores, e.GPUs = o.Labels, o.Cores, o.GPUs
		e.OK = (event == journal.End || event == journal.Drain) && r.outcome == internalapi.OutcomeOK
		if r.epoch > 0 {
			e.Epoch = r.epoch
		}
	}
	c.actions.Journal = append(c.actions.Journal, e)
}

// addSaturating is a+b without going over Never.
func addSaturating(a, b time.Duration) time.Duration {
	if b > Never-a {
		return Never
	}
	return a + b
}
