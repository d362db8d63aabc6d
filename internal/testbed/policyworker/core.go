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
	Obey  = "obey"  // starts whatever it is told
	Check = "check" // refuses late, old and unfitting orders
)

// Never is the Wake of a core that waits for nothing but calls.
const Never = time.Duration(math.MaxInt64)

// Traits are what a core is, for the whole of one boot.
type Traits struct {
	Name, Boot string
	Kind       string // Obey or Check
	Zone, Rack string
	Labels     map[string]string
	Cores      int
	GPUs       int
	Grace      time.Duration // how long a leaving minion waits for its runs and for its ends to be acknowledged
	Fail       float64       // probability that a run ends in a fault
	Slow       float64       // runs take up to this many times as long; at most 1: as long as they say
	Seed       uint64        // of Fail and Slow; what a run ID meets does not depend on the order of calls
}

// Reply answers the call that came with Tag.
type Reply struct {
	Tag    uint64
	Answer internalapi.LeaseAnswer
	Err    error
}

// Step is what an input brings about, to be done in the order of the fields.
type Step struct {
	Journal []journal.Entry // At is not set
	Replies []Reply         // a call without a reply in its own step is parked
	Wake    time.Duration   // the clock reading to call Tick at, or Never
	Leave   bool            // the process is to exit
}

// Core is one boot of a minion as a pure step machine: no clock, socket or goroutine of its own. Every input
// carries the minion's own clock, which starts at 0 with the boot, counts suspension and never goes back.
// It is not safe for concurrent use. Example:
//
//	core := policyworker.NewCore(policyworker.Traits{Name: "m1", Boot: "b1", Kind: policyworker.Check, Zone: "z1", Cores: 4})
//	core.Start()
//	step := core.Call(5*time.Millisecond, 1, internalapi.HoldCall{Call: 1, Epoch: 7, Minion: "m1", Boot: "b1"})
//	// step.Replies[0].Tag is 1
type Core struct {
	traits Traits
	epoch  uint64 // newest seen
	seen   uint64 // highest run ID seen in a start order
	floor  uint64
	runs   []*run // in order of starting
	ends   []internalapi.RunEnd
	cores  int // taken by runs
	gpus   int
	drains bool
	leaves time.Duration // when a leaving minion gives up waiting; Never if it does not leave
	gone   bool

	news   bool // something to say since the last answer
	parked *parking

	now  time.Duration
	step *Step // being made
}

type run struct {
	order internalapi.StartOrder
	epoch uint64
	due   time.Duration // Never for a standing run
	until time.Duration
	how   string
	why   string
}

type parking struct {
	tag  uint64
	call uint64
	till time.Duration
}

// NewCore makes a core that has not started.
func NewCore(t Traits) *Core { return &Core{traits: t, leaves: Never, news: true} }

// Start journals the boot, at clock 0.
func (c *Core) Start() Step { return c.input(0, func() { c.note(journal.Boot, nil, c.traits.Kind) }) }

// Call takes in a hold call; tag names it in Step.Replies, in this step or in a later one. The arrival of a call
// answers a parked one first, with what was known before.
func (c *Core) Call(now time.Duration, tag uint64, call internalapi.LeaseCall) Step {
	return c.input(now, func() {
		c.unpark()
		if call.Worker != c.traits.Name {
			c.refuse(tag, errs.Field(errs.Unknown, "minion", "this is %s", c.traits.Name))
			return
		}
		if c.traits.Kind == Check && call.Epoch < c.epoch {
			c.refuse(tag, errs.Field(errs.Stale, "epoch", "epoch %d is over, %d was seen", call.Epoch, c.epoch))
			return
		}
		c.news = c.news || call.Epoch > c.epoch || call.Floor > c.floor || call.Incarnation != "" && call.Incarnation != c.traits.Boot
		c.epoch, c.floor = max(c.epoch, call.Epoch), max(c.floor, call.Floor)
		c.ends = slices.DeleteFunc(c.ends, func(e internalapi.RunEnd) bool { return slices.Contains(call.Acked, e.RunID) })
		if call.Incarnation == c.traits.Boot || call.Incarnation == "" { // Until is a reading of that boot's clock
			for _, r := range c.runs {
				if slices.Contains(call.Renew, r.order.RunID) {
					r.until = max(r.until, call.RenewUntil)
				}
			}
		}
		for _, s := range call.Stops {
			c.end(func(r *run) bool { return r.order.RunID == s.RunID }, journal.Stop, internalapi.OutcomeStopped, s.Why)
		}
		var refused []internalapi.StartRefusal
		for _, o := range call.Starts {
			if why := c.order(call, o); why != "" {
				refused = append(refused, internalapi.StartRefusal{RunID: o.RunID, Why: why})
			}
		}
		c.settle() // runs that end at once are told at once
		if call.Wait > 0 && len(call.Starts) == 0 && !c.news {
			c.parked = &parking{tag: tag, call: call.Call, till: later(c.now, call.Wait)}
			return
		}
		c.reply(tag, call.Call, refused)
	})
}

// Tick lets time pass: runs end, holds lapse, parked calls are answered.
func (c *Core) Tick(now time.Duration) Step { return c.input(now, func() {}) }

// Drain switches draining. With leave it is final: the core leaves once nothing runs and all ends are
// acknowledged, or when the grace is over; what still runs then is stopped.
func (c *Core) Drain(now time.Duration, on, leave bool) Step {
	return c.input(now, func() {
		on = on || leave || c.leaves != Never
		if on != c.drains {
			c.drains, c.news = on, true
			c.note(journal.Drain, &run{how: map[bool]string{true: internalapi.OutcomeOK}[on]}, "")
		}
		if leave && c.leaves == Never {
			c.leaves = later(c.now, c.traits.Grace)
		}
	})
}

// Lost reports that the answer to the call tagged tag did not get out: what it said is news again.
func (c *Core) Lost(tag uint64) {
	c.news = true
	if c.parked != nil && c.parked.tag == tag {
		c.parked = nil
	}
}

// input makes a step: what time brought first, then what the input brings, then what follows.
func (c *Core) input(now time.Duration, work func()) Step {
	c.now, c.step = max(c.now, now), &Step{Wake: Never}
	c.settle()
	work()
	if c.leaves <= c.now {
		c.end(func(*run) bool { return true }, journal.Stop, internalapi.OutcomeStopped, "the minion leaves")
	}
	idle := len(c.runs) == 0 && len(c.ends) == 0
	c.gone = c.gone || c.leaves <= c.now || c.leaves != Never && idle
	if p := c.parked; p != nil && (c.news || c.gone || p.till <= c.now) {
		c.unpark()
	}
	c.step.Leave = c.gone
	if !c.gone {
		c.step.Wake = c.leaves
		for _, r := range c.runs {
			c.step.Wake = min(c.step.Wake, r.due, r.until)
		}
		if c.parked != nil {
			c.step.Wake = min(c.step.Wake, c.parked.till)
		}
	}
	return *c.step
}

// settle ends what time has ended: lapses first, so that a run that outlived its hold never counts as well done.
func (c *Core) settle() {
	c.end(func(r *run) bool { return r.until <= c.now }, journal.Lapse, internalapi.OutcomeLeaseExpired, "the hold lapsed")
	c.end(func(r *run) bool { return r.due <= c.now }, journal.End, "", "")
}

// end takes out the runs that match; an empty how leaves them their own.
func (c *Core) end(match func(*run) bool, ev, how, why string) {
	c.runs = slices.DeleteFunc(c.runs, func(r *run) bool {
		if !match(r) {
			return false
		}
		if how != "" {
			r.how, r.why = how, why
		}
		c.cores -= r.order.Cores
		c.gpus -= r.order.GPUs
		c.close(ev, r)
		return true
	})
}

// close journals an end and lists it, once per run ID: an obeying minion may run a run ID twice.
func (c *Core) close(ev string, r *run) {
	listed := slices.ContainsFunc(c.ends, func(e internalapi.RunEnd) bool { return e.RunID == r.order.RunID })
	if !listed {
		c.ends = append(c.ends, internalapi.RunEnd{RunID: r.order.RunID, Outcome: r.how, Reason: r.why})
	}
	c.news = true
	c.note(ev, r, r.why)
}

// order carries out a start order, or tells why not.
func (c *Core) order(call internalapi.LeaseCall, o internalapi.StartOrder) (refused string) {
	r := &run{order: o, epoch: call.Epoch, until: o.LeaseUntil}
	c.note(journal.Order, r, "")
	if c.traits.Kind == Check {
		refused = c.unfit(call, o)
	}
	c.seen = max(c.seen, o.RunID)
	c.news = true
	if refused != "" {
		c.note(journal.Refuse, r, refused)
		return refused
	}
	if o.LeaseUntil <= c.now { // a hold that is over already: even an obeying minion does not run past it
		r.how, r.why = internalapi.OutcomeLeaseExpired, "the hold had lapsed before the start"
		if c.runsID(o.RunID) {
			c.note(journal.Lapse, r, r.why)
		} else {
			c.close(journal.Lapse, r)
		}
		return ""
	}
	c.plan(r)
	c.runs = append(c.runs, r)
	c.cores += o.Cores
	c.gpus += o.GPUs
	c.note(journal.Start, r, "")
	return ""
}

// unfit returns the first reason for which a checking minion refuses o; "" if there is none.
func (c *Core) unfit(call internalapi.LeaseCall, o internalapi.StartOrder) string {
	switch {
	case call.Incarnation != c.traits.Boot:
		return "boot"
	case o.RunID <= c.seen:
		return "ticket"
	case o.RunID <= c.floor:
		return "floor"
	case c.now > o.StartBy, c.now >= o.LeaseUntil:
		return "late"
	case c.cores+o.Cores > c.traits.Cores, c.gpus+o.GPUs > c.traits.GPUs:
		return "room"
	case !c.bears(o.Labels):
		return "label"
	case c.drains:
		return "drain"
	}
	return ""
}

func (c *Core) bears(labels map[string]string) bool {
	for k, v := range labels {
		if have, ok := c.traits.Labels[k]; !ok || have != v {
			return false
		}
	}
	return true
}

func (c *Core) runsID(t uint64) bool {
	return slices.ContainsFunc(c.runs, func(r *run) bool { return r.order.RunID == t })
}

// plan sets when and how r will end by itself.
func (c *Core) plan(r *run) {
	spec, err := parseSpec(r.order.Run)
	if err != nil {
		r.due, r.how, r.why = c.now, internalapi.OutcomeFailed, errs.Of(err).Message
		return
	}
	luck := rand.New(rand.NewPCG(c.traits.Seed, r.order.RunID))
	fails, factor := luck.Float64() < c.traits.Fail, 1+luck.Float64()*max(c.traits.Slow-1, 0)
	r.due, r.how = Never, internalapi.OutcomeOK
	if spec.last >= 0 {
		r.due = later(c.now, time.Duration(float64(spec.last)*factor))
	}
	switch {
	case !spec.well:
		r.how, r.why = internalapi.OutcomeFailed, "the run is not ok"
	case fails:
		r.how, r.why = internalapi.OutcomeFailed, "failed by chance"
	}
}

func (c *Core) unpark() {
	if p := c.parked; p != nil {
		c.parked = nil
		c.reply(p.tag, p.call, nil)
	}
}

func (c *Core) refuse(tag uint64, err error) {
	c.step.Replies = append(c.step.Replies, Reply{Tag: tag, Err: err})
}

func (c *Core) reply(tag, call uint64, refused []internalapi.StartRefusal) {
	var running []uint64
	for _, r := range c.runs {
		running = append(running, r.order.RunID)
	}
	slices.Sort(running)
	ended := slices.Clone(c.ends)
	// A listed end is proof that nothing of the run ID runs.
	ended = slices.DeleteFunc(ended, func(e internalapi.RunEnd) bool { return c.runsID(e.RunID) })
	c.news = false
	c.step.Replies = append(c.step.Replies, Reply{Tag: tag, Answer: internalapi.LeaseAnswer{
		Call: call, Epoch: c.epoch, Incarnation: c.traits.Boot, Clock: c.now, Seen: c.seen, Floor: c.floor,
		Running: slices.Compact(running), Ended: ended, Refused: refused,
		Kind: c.traits.Kind, Zone: c.traits.Zone, Rack: c.traits.Rack, Labels: c.traits.Labels, Cores: c.traits.Cores, GPUs: c.traits.GPUs,
		Draining: c.drains,
	}})
}

// note journals ev about r, nil for the minion itself.
func (c *Core) note(ev string, r *run, why string) {
	e := journal.Entry{Ev: ev, Minion: c.traits.Name, Boot: c.traits.Boot, Zone: c.traits.Zone, Clock: int64(c.now), Why: why, Epoch: c.epoch}
	if ev == journal.Boot {
		e.Rack, e.Labels, e.Cores, e.GPUs = c.traits.Rack, c.traits.Labels, c.traits.Cores, c.traits.GPUs
	}
	if r != nil {
		o := r.order
		e.Job, e.Step, e.Task, e.RunID, e.Type, e.Queue = o.Job, o.Step, o.Task, o.RunID, o.Type, o.Queue
		e.Labels, e.Cores, e.GPUs = o.Labels, o.Cores, o.GPUs
		e.OK = (ev == journal.End || ev == journal.Drain) && r.how == internalapi.OutcomeOK
		if r.epoch > 0 {
			e.Epoch = r.epoch
		}
	}
	c.step.Journal = append(c.step.Journal, e)
}

// later is a+b without going over Never.
func later(a, b time.Duration) time.Duration {
	if b > Never-a {
		return Never
	}
	return a + b
}
