package jobssim

import (
	"fmt"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// queueHost is the host of all queues.
const queueHost = "jobs.example"

// maxAttempts is how many runs of a task may fail, in every configuration.
const maxAttempts = 3

// configVariant is how a configuration differs from others.
type configVariant struct {
	isQueueMoved     bool // the moving queue is on the open service
	withoutSideQueue bool // the side queue is not there
}

// sentConfig is a configuration that the operator sent.
type sentConfig struct {
	change   jobs.Configure
	sentAt   time.Duration
	acked    bool
	ackedAt  time.Duration
	variant  configVariant
	rival    *sentConfig       // the other one of a race; nil: none
	lost     bool              // it was refused because the other one of its race won
	services map[string]string // by queue
}

// evacuation is one evacuation of a zone.
type evacuation struct {
	zone     string
	acked    bool
	ackedAt  time.Duration
	finished bool // its withdrawal was sent
	over     bool // its withdrawal was acknowledged
}

// operator changes the configuration and evacuates zones. It stands for two operators when they race.
type operator struct {
	sim                       *simulator
	configs                   []*sentConfig // those that may be in force or were, the newest last
	evacuations               []*evacuation
	variant                   configVariant // of the newest configuration
	busy                      bool
	acknowledgementsLostUntil time.Duration // until then most answers to it are lost
}

func (s *simulator) buildOperator() {
	s.operator = &operator{sim: s}
	s.after(50*time.Millisecond, s.operator.configure)
}

// configure sends the configuration as the operator wants it now, until it is taken.
func (o *operator) configure() {
	if o.busy {
		return
	}
	o.busy = true
	c := o.build(o.base(), o.variant)
	o.configs = append(o.configs, c)
	o.send(c)
}

// base returns the version that the next change is built on.
func (o *operator) base() uint64 {
	if len(o.configs) == 0 {
		return 0
	}
	return o.configs[len(o.configs)-1].change.Version
}

// build builds a configuration on top of a version.
func (o *operator) build(base uint64, variant configVariant) *sentConfig {
	version := base + 1 + uint64(o.sim.rng.IntN(3))
	c := &sentConfig{sentAt: o.sim.now, variant: variant, services: map[string]string{}}
	c.change = jobs.Configure{Base: base, Version: version, Replace: true,
		Digest: fmt.Sprintf("config %d on %d moved %v without %v", version, base, variant.isQueueMoved,
			variant.withoutSideQueue),
		Services: []jobs.Service{{Name: serviceGuards, ChecksCapacity: true}, {Name: serviceOpen}}}
	queue := func(name, service string, priority int) {
		c.services[name] = service
		c.change.Queues = append(c.change.Queues, jobs.Queue{Name: name, Host: queueHost, Prefix: "/" + name + "/",
			Service: service, Priority: priority, MaxAttempts: maxAttempts, Stretch: 2, Target: time.Second,
			Timeout: time.Second})
	}
	queue("urgent", serviceGuards, 0)
	queue("bulk", serviceOpen, 2)
	service := serviceGuards
	if variant.isQueueMoved {
		service = serviceOpen
	}
	queue("moving", service, 1)
	if !variant.withoutSideQueue {
		queue("side", serviceOpen, 1)
	}
	return c
}

func (o *operator) send(c *sentConfig) {
	o.order(c.change, func() { o.configAcknowledged(c) }, func(err error) { o.configRefused(c, err) })
}

// configAcknowledged records that a configuration was acknowledged.
func (o *operator) configAcknowledged(c *sentConfig) {
	if c.acked {
		return
	}
	c.acked, c.ackedAt = true, o.sim.now
	o.variant = c.variant
	o.sim.checker.checkAcknowledgement("a configuration", c.sentAt)
	if c.rival != nil {
		o.sim.checker.require(ConfigRule, !c.rival.acked, "versions %d and %d on top of %d are both acknowledged",
			c.change.Version, c.rival.change.Version, c.change.Base)
		if !c.rival.lost {
			return // the other one has no answer yet
		}
	}
	o.busy = false
	if o.sim.chance(0.2) {
		o.sendAgain(c)
	}
}

// sendAgain sends a change that was acknowledged once more, with no other change made since.
func (o *operator) sendAgain(c *sentConfig) {
	o.busy = true
	o.order(c.change, func() {
		o.sim.checker.count(ConfigRule)
		o.busy = false
	}, func(err error) {
		o.sim.checker.breach(ConfigRule, "version %d was acknowledged and is refused when it is sent again: %v",
			c.change.Version, err)
	})
}

// configRefused records that a configuration was refused: only the loser of a race may be.
func (o *operator) configRefused(c *sentConfig, err error) {
	rival := c.rival
	o.sim.checker.require(ConfigRule, rival != nil && !rival.lost && !c.acked && errs.KindOf(err) == errs.Stale,
		"version %d is refused: %v", c.change.Version, err)
	c.lost = true
	o.configs = slices.DeleteFunc(o.configs, func(other *sentConfig) bool { return other == c })
	if rival != nil && rival.acked {
		o.busy = false
	}
}

// order sends a change until it is acknowledged or refused.
func (o *operator) order(change any, acknowledged func(), refused func(error)) {
	o.sim.clients.call(func(n *node, done func(any, error)) { n.change(change, done) }, func(_ any, err error) {
		if o.sim.now < o.acknowledgementsLostUntil && o.sim.chance(0.6) {
			o.sim.report.Seen["acknowledgement to the operator lost"]++
			err = errs.New(errs.Timeout, "the answer is lost")
		}
		if err == nil {
			acknowledged()
			return
		}
		switch errs.KindOf(err) {
		case errs.Unavailable, errs.NotLeader, errs.Timeout:
			o.sim.after(o.sim.between(retryBackoff/2, retryBackoff), func() { o.order(change, acknowledged, refused) })
		default:
			refused(err)
		}
	})
}

// neverRefused is for orders that are always valid.
func (o *operator) neverRefused(err error) {
	o.sim.checker.breach(ConfigRule, "order refused: %v", err)
}

// race lets two operators send different changes on top of the same version at once.
func (o *operator) race() bool {
	if o.busy || len(o.configs) == 0 {
		return false
	}
	o.busy = true
	base := o.base()
	moved, other := o.variant, o.variant
	moved.isQueueMoved = !moved.isQueueMoved
	other.withoutSideQueue = !other.withoutSideQueue
	one, rival := o.build(base, moved), o.build(base, other)
	one.rival, rival.rival = rival, one
	o.configs = append(o.configs, one, rival)
	o.send(one)
	o.sim.after(o.sim.between(0, 20*time.Millisecond), func() { o.send(rival) })
	o.sim.after(o.sim.between(2*time.Second, 6*time.Second), o.restoreQueue)
	return true
}

// sendInvalid sends a configuration that must not be taken.
func (o *operator) sendInvalid() {
	if len(o.configs) == 0 {
		return
	}
	c := o.build(o.base(), o.variant)
	what := ""
	switch o.sim.rng.IntN(4) {
	case 0:
		what, c.change.Queues[0].Service = "names an unknown service", "nowhere"
	case 1:
		what, c.change.Queues[1].Prefix = "has two queues in one place", c.change.Queues[0].Prefix
	case 2:
		what, c.change.Queues[2].Timeout = "has a timeout of 0", 0
	default:
		what, c.change.Version = "has a version that is not above the one in force", c.change.Base
	}
	c.change.Digest += " invalid: " + what
	o.order(c.change, func() {
		o.sim.checker.breach(ConfigRule, "a configuration that %s is acknowledged", what)
	}, func(error) { o.sim.checker.count(ConfigRule) })
}

// change is what controller.Leader does with an operator's change.
func (n *node) change(change any, done func(any, error)) {
	_, term, err := n.readTable()
	if err != nil {
		done(nil, err)
		return
	}
	n.answer(term, change, done)
}

// reconfigure changes one thing.
func (o *operator) reconfigure() {
	if o.busy {
		return
	}
	if o.sim.chance(0.5) {
		o.variant.isQueueMoved = !o.variant.isQueueMoved
	} else {
		o.variant.withoutSideQueue = true
		o.sim.after(o.sim.between(2*time.Second, 6*time.Second), o.restoreQueue)
	}
	o.configure()
}

// restoreQueue brings the side queue back.
func (o *operator) restoreQueue() {
	if o.busy {
		o.sim.after(200*time.Millisecond, o.restoreQueue)
		return
	}
	if o.variant.withoutSideQueue {
		o.variant.withoutSideQueue = false
		o.configure()
	}
}

// evacuate empties a zone for a while.
func (o *operator) evacuate() {
	for _, e := range o.evacuations {
		if !e.over {
			return
		}
	}
	e := &evacuation{zone: fmt.Sprintf("zone%d", o.sim.rng.IntN(zoneCount))}
	o.evacuations = append(o.evacuations, e)
	sent := o.sim.now
	o.order(jobs.Evacuate{Zone: e.zone, Start: true}, func() {
		e.acked, e.ackedAt = true, o.sim.now
		o.sim.checker.count(EvacRule)
		o.sim.checker.checkAcknowledgement("an evacuation", sent)
	}, o.neverRefused)
	o.sim.after(o.sim.between(6*time.Second, 12*time.Second), func() { o.finishEvacuation(e) })
}

func (o *operator) finishEvacuation(e *evacuation) {
	if !e.acked {
		o.sim.after(200*time.Millisecond, func() { o.finishEvacuation(e) })
		return
	}
	e.finished = true
	o.order(jobs.Evacuate{Zone: e.zone}, func() { e.over = true }, o.neverRefused)
}
