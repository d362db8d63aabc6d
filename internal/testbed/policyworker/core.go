// Package policyworker is the testbed's stand-in for a worker of the policy deployment. It keeps the contract of
// docs/ops/worker-contract.md. It starts no real work: a run is a program, a duration and an outcome.
//
// Core is a step function: RenewLease, Tick, Drain and AnswerLost are its inputs, Actions its results. Host
// is the process around one or many cores, on a real clock; the simulator internal/testbed/policysim drives the same
// Core on a virtual one. Begin with Core.process and Core.RenewLease.
package policyworker

import (
	"math"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/testbed/journal"
)

// Kinds of workers.
const (
	KindObey  = "obey"  // starts whatever it is ordered to
	KindCheck = "check" // refuses late, old and unfitting orders
)

// Never is Actions.WakeAt of a core that waits for nothing but calls.
const Never = time.Duration(math.MaxInt64)

// Traits are the properties of a worker that stay the same for an incarnation.
type Traits struct {
	Name, Incarnation string
	Kind              string // KindObey or KindCheck
	Zone, Rack        string
	Labels            map[string]string
	Cores             int
	GPUs              int
	Grace             time.Duration // of a worker that leaves, for its runs to end and its ends to be acknowledged
	FailProbability   float64       // that a run fails
	SlowFactor        float64       // runs take up to this many times as long; at most 1: as long as they say
	Seed              uint64        // of both; what a run meets depends on its ID, not on the order of calls
}

// Reply answers the call that came with Tag.
type Reply struct {
	Tag    uint64
	Answer internalapi.LeaseAnswer
	Err    error
}

// Actions is the result of a step, which its driver carries out in the order of the fields.
type Actions struct {
	Journal []journal.Entry // At is not set
	Replies []Reply         // a call without a reply in its own step is a long poll
	WakeAt  time.Duration   // the reading of the worker's clock to call Tick at, or Never
	Exit    bool            // the process is to exit
}

// Core is the step function of one incarnation of a worker: it has no clock, socket or goroutine. Every input carries
// the time on the worker's clock, which starts at 0 with the incarnation, counts suspension and never goes back.
// It is not safe for concurrent use; its owner is a driver of Host, or the simulator. Example:
//
//	core := policyworker.NewCore(policyworker.Traits{Name: "m1", Incarnation: "b1", Kind: policyworker.KindCheck,
//		Zone: "z1", Cores: 4})
//	core.Start()
//	actions := core.RenewLease(5*time.Millisecond, 1, internalapi.LeaseCall{Call: 1, Epoch: 7, Worker: "m1",
//		Incarnation: "b1"})
//	// actions.Replies[0].Tag is 1
type Core struct {
	traits         Traits
	epoch          uint64               // newest seen
	highestRunID   uint64               // seen in a start order
	runIDFloor     uint64               // no run ID up to it may start any more; it only grows
	runs           []*run               // in the order they started
	unacknowledged []internalapi.RunEnd // ends that are listed until acknowledged; one for each run ID
	usedCores      int                  // of runs
	usedGPUs       int                  // of runs
	isDraining     bool
	leaveDeadline  time.Duration // when a worker that leaves gives up waiting; Never: it does not leave
	hasExited      bool

	hasUpdate   bool      // something to report since the last answer
	pendingPoll *longPoll // the call that waits for an update; nil: none

	now     time.Duration // of the present step
	actions *Actions      // of the present step, being made
}

// longPoll is a call that is answered when there is an update, at its deadline or when a newer call comes.
type longPoll struct {
	tag      uint64
	call     uint64
	deadline time.Duration
}

// NewCore returns a core that has not started.
func NewCore(t Traits) *Core { return &Core{traits: t, leaveDeadline: Never, hasUpdate: true} }

// Start journals the incarnation, at clock 0.
func (c *Core) Start() Actions {
	return c.process(0, func() { c.record(journal.NewIncarnation, nil, c.traits.Kind) })
}

// RenewLease carries out a lease call; tag names it in Actions.Replies, of this step or of a later one. A pending long
// poll is answered first, with what was known before.
func (c *Core) RenewLease(now time.Duration, tag uint64, call internalapi.LeaseCall) Actions {
	return c.process(now, func() {
		c.answerPendingPoll()
		if err := c.checkCall(call); err != nil {
			c.replyError(tag, err)
			return
		}
		c.observe(call)
		c.renew(call)
		for _, s := range call.Stops {
			isMeant := func(r *run) bool { return r.order.RunID == s.RunID }
			c.endRuns(isMeant, journal.Stop, internalapi.OutcomeStopped, s.Why)
		}
		var refused []internalapi.StartRefusal
		for _, order := range call.Starts {
			if reason := c.startRun(call, order); reason != "" {
				refused = append(refused, internalapi.StartRefusal{RunID: order.RunID, Why: reason})
			}
		}
		c.endDueRuns() // runs that end at once are reported at once
		if call.Wait > 0 && len(call.Starts) == 0 && !c.hasUpdate {
			c.pendingPoll = &longPoll{tag: tag, call: call.Call, deadline: addSaturating(c.now, call.Wait)}
			return
		}
		c.replyAnswer(tag, call.Call, refused)
	})
}

// checkCall rejects a call to another worker and, of a checking worker, one of an older epoch.
func (c *Core) checkCall(call internalapi.LeaseCall) error {
	if call.Worker != c.traits.Name {
		return errs.Field(errs.Unknown, "minion", "this is %s", c.traits.Name)
	}
	if c.traits.Kind == KindCheck && call.Epoch < c.epoch {
		return errs.Field(errs.Stale, "epoch", "epoch %d is over, %d was seen", call.Epoch, c.epoch)
	}
	return nil
}

// observe applies the epoch, the floor and the acknowledgements of a call. A call with a new epoch or floor, or for
// another incarnation, is answered at once: it is no long poll.
func (c *Core) observe(call internalapi.LeaseCall) {
	isOtherIncarnation := call.Incarnation != "" && call.Incarnation != c.traits.Incarnation
	if call.Epoch > c.epoch || call.Floor > c.runIDFloor || isOtherIncarnation {
		c.hasUpdate = true
	}
	c.epoch, c.runIDFloor = max(c.epoch, call.Epoch), max(c.runIDFloor, call.Floor)
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(e internalapi.RunEnd) bool {
		return slices.Contains(call.Acked, e.RunID)
	})
}

// renew extends the leases that a call names. The new deadline is a reading of the clock of the incarnation that the
// caller knows: one of another incarnation's clock extends nothing.
func (c *Core) renew(call internalapi.LeaseCall) {
	if call.Incarnation != c.traits.Incarnation && call.Incarnation != "" {
		return
	}
	for _, r := range c.runs {
		if slices.Contains(call.Renew, r.order.RunID) {
			r.leaseUntil = max(r.leaseUntil, call.RenewUntil)
		}
	}
}

// Tick does what is due by now: it ends runs, expires leases and answers a long poll.
func (c *Core) Tick(now time.Duration) Actions { return c.process(now, func() {}) }

// Drain switches draining. With leave it is final: the core leaves once nothing runs and all ends are
// acknowledged, or when the grace is over; what still runs then is stopped.
func (c *Core) Drain(now time.Duration, on, leave bool) Actions {
	return c.process(now, func() {
		on = on || leave || c.leaveDeadline != Never
		if on != c.isDraining {
			c.isDraining, c.hasUpdate = on, true
			c.record(journal.Drain, &run{outcome: map[bool]string{true: internalapi.OutcomeOK}[on]}, "")
		}
		if leave && c.leaveDeadline == Never {
			c.leaveDeadline = addSaturating(c.now, c.traits.Grace)
		}
	})
}

// AnswerLost reports that the answer to the call tagged tag did not get out: what it reported is an update again.
func (c *Core) AnswerLost(tag uint64) {
	c.hasUpdate = true
	if c.pendingPoll != nil && c.pendingPoll.tag == tag {
		c.pendingPoll = nil
	}
}

// process executes a step: first what is due, then the input, then what follows from both.
func (c *Core) process(now time.Duration, input func()) Actions {
	c.now, c.actions = max(c.now, now), &Actions{WakeAt: Never}
	c.endDueRuns()
	input()
	if c.leaveDeadline <= c.now {
		anyRun := func(*run) bool { return true }
		c.endRuns(anyRun, journal.Stop, internalapi.OutcomeStopped, "the minion leaves")
	}
	isIdle := len(c.runs) == 0 && len(c.unacknowledged) == 0
	c.hasExited = c.hasExited || c.leaveDeadline <= c.now || c.leaveDeadline != Never && isIdle
	if p := c.pendingPoll; p != nil && (c.hasUpdate || c.hasExited || p.deadline <= c.now) {
		c.answerPendingPoll()
	}
	c.actions.Exit = c.hasExited
	if !c.hasExited {
		c.actions.WakeAt = c.nextDeadline()
	}
	return *c.actions
}

// nextDeadline returns when something is due without a call, or Never.
func (c *Core) nextDeadline() time.Duration {
	next := c.leaveDeadline
	for _, r := range c.runs {
		next = min(next, r.endsAt, r.leaseUntil)
	}
	if c.pendingPoll != nil {
		next = min(next, c.pendingPoll.deadline)
	}
	return next
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

// replyAnswer answers a call with all runs and all ends. A listed end proves that nothing runs under its run ID.
func (c *Core) replyAnswer(tag, call uint64, refused []internalapi.StartRefusal) {
	var running []uint64
	for _, r := range c.runs {
		running = append(running, r.order.RunID)
	}
	slices.Sort(running)
	ended := slices.Clone(c.unacknowledged)
	ended = slices.DeleteFunc(ended, func(e internalapi.RunEnd) bool { return c.isRunning(e.RunID) })
	c.hasUpdate = false
	t := &c.traits
	c.actions.Replies = append(c.actions.Replies, Reply{Tag: tag, Answer: internalapi.LeaseAnswer{
		Call: call, Epoch: c.epoch, Incarnation: t.Incarnation, Clock: c.now, Seen: c.highestRunID, Floor: c.runIDFloor,
		Running: slices.Compact(running), Ended: ended, Refused: refused,
		Kind: t.Kind, Zone: t.Zone, Rack: t.Rack, Labels: t.Labels, Cores: t.Cores, GPUs: t.GPUs,
		Draining: c.isDraining,
	}})
}

// record journals an event about r, nil for the worker itself.
func (c *Core) record(event string, r *run, reason string) {
	t := &c.traits
	e := journal.Entry{Event: event, Worker: t.Name, Incarnation: t.Incarnation, Zone: t.Zone, Clock: int64(c.now),
		Reason: reason, Epoch: c.epoch}
	if event == journal.NewIncarnation {
		e.Rack, e.Labels, e.Cores, e.GPUs = t.Rack, t.Labels, t.Cores, t.GPUs
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

// addSaturating returns a+b, at most Never.
func addSaturating(a, b time.Duration) time.Duration {
	if b > Never-a {
		return Never
	}
	return a + b
}
