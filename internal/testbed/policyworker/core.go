// Package policyworker is the testbed's stand-in for a worker of the policy deployment. It implements the contract of
// docs/ops/worker-contract.md. It starts no real work: a run only has a duration and an outcome.
//
// Core is a step function: RenewLease, Tick, Drain and AnswerLost are its inputs, Actions its results. Host runs one or
// many cores in a process on a real clock; the simulator internal/testbed/policysim drives the same Core on a virtual
// one. Entry points: Core.process and Core.RenewLease.
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
	KindObey  = "obey"  // carries out every start order
	KindCheck = "check" // refuses start orders that are late, outdated or do not fit
)

// Never is the Actions.WakeAt of a core that only waits for calls.
const Never = time.Duration(math.MaxInt64)

// Traits are the properties of a worker that stay the same for an incarnation.
type Traits struct {
	Name, Incarnation string
	Kind              string // KindObey or KindCheck
	Zone, Rack        string
	Labels            map[string]string
	Cores             int
	GPUs              int
	Grace             time.Duration // how long a leaving worker waits for its runs to end and for acknowledgements
	FailProbability   float64       // that a run fails
	SlowFactor        float64       // runs last up to this many times their duration; 1 or less has no effect
	Seed              uint64        // of the draws for both, which depend on the run ID, not on call order
}

// Reply is the answer to the call with Tag.
type Reply struct {
	Tag    uint64
	Answer internalapi.LeaseAnswer
	Err    error
}

// Actions is the result of a step, which its driver carries out in the order of the fields.
type Actions struct {
	Journal []journal.Entry // At is not set
	Replies []Reply         // a call without a reply in its own step is a long poll
	WakeAt  time.Duration   // the time on the worker's clock at which to call Tick, or Never
	Exit    bool            // the worker has left: its driver stops
}

// Core is the step function of one incarnation of a worker: it has no clock, socket or goroutine. Every input carries
// the time on the worker's clock, which starts at 0 with the incarnation, includes suspension and never goes back.
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
	epoch          uint64               // highest seen in a call
	highestRunID   uint64               // highest seen in a start order
	runIDFloor     uint64               // run IDs up to it must not start; never decreases
	runs           []*run               // in the order they started
	unacknowledged []internalapi.RunEnd // ends that every answer lists until acknowledged; one per run ID
	usedCores      int                  // by runs
	usedGPUs       int                  // by runs
	isDraining     bool
	leaveDeadline  time.Duration // when a leaving worker stops its runs and exits; Never if it is not leaving
	hasExited      bool

	hasUpdate   bool      // there is something to report since the last answer that was delivered
	pendingPoll *longPoll // the call that waits for an update, or nil

	now     time.Duration // of the current step
	actions *Actions      // of the current step, being collected
}

// longPoll is a call that is answered on an update, at its deadline or when a newer call arrives.
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

// RenewLease carries out a lease call; tag identifies its reply in the Actions of this step or of a later one. A
// pending long poll is answered first, with the state before the call.
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
			hasRunID := func(r *run) bool { return r.order.RunID == s.RunID }
			c.endRuns(hasRunID, journal.Stop, internalapi.OutcomeStopped, s.Why)
		}
		var refused []internalapi.StartRefusal
		for _, order := range call.Starts {
			if reason := c.startRun(call, order); reason != "" {
				refused = append(refused, internalapi.StartRefusal{RunID: order.RunID, Why: reason})
			}
		}
		c.endDueRuns() // a run of no duration is reported by this answer
		if call.Wait > 0 && len(call.Starts) == 0 && !c.hasUpdate {
			c.pendingPoll = &longPoll{tag: tag, call: call.Call, deadline: addSaturating(c.now, call.Wait)}
			return
		}
		c.replyAnswer(tag, call.Call, refused)
	})
}

// checkCall rejects a call to another worker. A checking worker also rejects a call of an older epoch.
func (c *Core) checkCall(call internalapi.LeaseCall) error {
	if call.Worker != c.traits.Name {
		return errs.Field(errs.Unknown, "minion", "call for another worker reached worker %s", c.traits.Name)
	}
	if c.traits.Kind == KindCheck && call.Epoch < c.epoch {
		return errs.Field(errs.Stale, "epoch", "epoch %d is older than epoch %d", call.Epoch, c.epoch)
	}
	return nil
}

// observe applies the epoch, the floor and the acknowledgements of a call. A call with a new epoch or floor, or for
// another incarnation, is answered at once instead of becoming a long poll.
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

// renew extends the leases of the runs that a call lists. RenewUntil is a time on the clock of the incarnation that the
// call names, so a call that names another incarnation extends nothing. A call that names none is not checked.
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

// Tick performs the transitions that are due by now: it ends runs, expires leases and answers a long poll.
func (c *Core) Tick(now time.Duration) Actions { return c.process(now, func() {}) }

// Drain turns draining on or off. With leave it is final: the core exits once no run is in progress and all ends are
// acknowledged, or when the grace has elapsed, which stops the remaining runs.
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

// AnswerLost reports that the answer to the call with tag was not delivered. The next call is answered at once
// instead of becoming a long poll. If the call with tag is still pending, it gets no answer.
func (c *Core) AnswerLost(tag uint64) {
	c.hasUpdate = true
	if c.pendingPoll != nil && c.pendingPoll.tag == tag {
		c.pendingPoll = nil
	}
}

// process executes a step: first the transitions that are due, then input, then a leave and the pending poll's answer.
func (c *Core) process(now time.Duration, input func()) Actions {
	c.now, c.actions = max(c.now, now), &Actions{WakeAt: Never}
	c.endDueRuns()
	input()
	if c.leaveDeadline <= c.now {
		allRuns := func(*run) bool { return true }
		c.endRuns(allRuns, journal.Stop, internalapi.OutcomeStopped, "the minion leaves")
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

// nextDeadline returns when the next transition is due without a call, or Never.
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

// replyAnswer answers a call with all runs and all ends. A listed end proves that no run with its ID is in progress.
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

// record journals an event of run r, or of the worker itself if r is nil.
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

// addSaturating returns a+b, or Never on overflow.
func addSaturating(a, b time.Duration) time.Duration {
	if b > Never-a {
		return Never
	}
	return a + b
}
