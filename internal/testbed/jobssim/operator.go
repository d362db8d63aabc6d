package jobssim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// queueHost is the host name of all queues.
const queueHost = "jobs.example"

// maxAttempts is the number of failed runs after which a task has failed, in every configuration.
const maxAttempts = 3

// configVariant holds the differences between the configurations of a run.
type configVariant struct {
	isQueueMoved     bool // the queue "moving" is directed to serviceOpen, not to serviceGuards
	withoutSideQueue bool // no queue has the prefix "/side/"
	sideRenames      int  // how often the queue with the prefix "/side/" was renamed
	areExchanged     bool // the queues with the prefixes "/bulk/" and "/side/" have exchanged their names
	isTakenOver      bool // a queue of serviceGuards with a longer prefix serves a part of the jobs of "/side/"
}

// takeoverPrefix is the prefix of the queue that takes over the jobs of "/side/" whose ID begins with 8.
const takeoverPrefix = "/side/8"

// sentConfig is a configuration that the operator sent.
type sentConfig struct {
	change         jobs.Configure
	sentAt         time.Duration
	isAcknowledged bool
	acknowledgedAt time.Duration
	variant        configVariant
	rival          *sentConfig // the competing change in a race; nil: none
	hasLostRace    bool        // it was refused because the competing change was accepted
}

// serviceAt returns the service to which the configuration directs jobs submitted to a path, or "" if no queue serves
// it.
func (c *sentConfig) serviceAt(path string) string {
	service, longest := "", -1
	for _, queue := range c.change.Queues {
		if strings.HasPrefix(path, queue.Prefix) && len(queue.Prefix) > longest {
			service, longest = queue.Service, len(queue.Prefix)
		}
	}
	return service
}

// lastServiceAt returns the service to which a configuration or, if no queue of it serves the path, the newest one
// before it that does so directs the accepted jobs of a path.
func (o *operator) lastServiceAt(c *sentConfig, path string) string {
	for c != nil {
		if service := c.serviceAt(path); service != "" {
			return service
		}
		base := c.change.Base
		c = nil
		for _, other := range o.configs {
			if other.change.Version == base && !other.hasLostRace {
				c = other
			}
		}
	}
	return ""
}

// evacuation is one evacuation of a zone.
type evacuation struct {
	zone             string
	isAcknowledged   bool
	acknowledgedAt   time.Duration
	isWithdrawalSent bool // the end of the evacuation was sent
	isWithdrawn      bool // the end of the evacuation was acknowledged
}

// operator changes the configuration and evacuates zones. In a race it acts as two operators.
type operator struct {
	sim                       *simulator
	configs                   []*sentConfig // those that are, were or may be in force, in the order of sending
	evacuations               []*evacuation
	variant                   configVariant // of the newest configuration
	isBusy                    bool
	acknowledgementsLostUntil time.Duration // until then most answers to the operator are lost
}

func (s *simulator) buildOperator() {
	s.operator = &operator{sim: s}
	s.after(50*time.Millisecond, s.operator.configure)
}

// configure sends a configuration of the current variant until it is acknowledged, unless another change is pending.
func (o *operator) configure() {
	if o.isBusy {
		return
	}
	o.isBusy = true
	c := o.build(o.base(), o.variant)
	o.configs = append(o.configs, c)
	o.send(c)
}

// base returns the version on which the next change is based.
func (o *operator) base() uint64 {
	if len(o.configs) == 0 {
		return 0
	}
	return o.configs[len(o.configs)-1].change.Version
}

// build returns a configuration based on a version.
func (o *operator) build(base uint64, variant configVariant) *sentConfig {
	version := base + 1 + uint64(o.sim.rng.IntN(3))
	c := &sentConfig{sentAt: o.sim.now, variant: variant}
	c.change = jobs.Configure{Base: base, Version: version, Replace: true,
		Digest:   fmt.Sprintf("config %d on %d %+v", version, base, variant),
		Services: []jobs.Service{{Name: serviceGuards, ChecksCapacity: true}, {Name: serviceOpen}}}
	queue := func(name, prefix, service string, priority int) {
		c.change.Queues = append(c.change.Queues, jobs.Queue{Name: name, Host: queueHost, Prefix: prefix,
			Service: service, Priority: priority, MaxAttempts: maxAttempts, LatencyFactor: 2,
			LatencyTarget: time.Second, Timeout: time.Second})
	}
	bulk, side := "bulk", "side"
	if variant.sideRenames > 0 {
		side = fmt.Sprintf("side-%d", variant.sideRenames)
	}
	if variant.areExchanged {
		bulk, side = side, bulk
	}
	queue("urgent", "/urgent/", serviceGuards, 0)
	queue(bulk, "/bulk/", serviceOpen, 2)
	service := serviceGuards
	if variant.isQueueMoved {
		service = serviceOpen
	}
	queue("moving", "/moving/", service, 1)
	if !variant.withoutSideQueue {
		queue(side, "/side/", serviceOpen, 1)
	}
	if variant.isTakenOver {
		queue("longer", takeoverPrefix, serviceGuards, 1)
	}
	return c
}

// send sends a configuration until it is acknowledged or refused.
func (o *operator) send(c *sentConfig) {
	o.sendUntilAnswered(c.change, func() { o.configAcknowledged(c) }, func(err error) { o.configRefused(c, err) })
}

// configAcknowledged records that a configuration was acknowledged.
func (o *operator) configAcknowledged(c *sentConfig) {
	if c.isAcknowledged {
		return
	}
	c.isAcknowledged, c.acknowledgedAt = true, o.sim.now
	o.variant = c.variant
	o.sim.checker.checkAcknowledgement("a configuration", c.sentAt)
	if c.rival != nil {
		o.sim.checker.require(ConfigInvariant, !c.rival.isAcknowledged,
			"versions %d and %d, both based on %d, are both acknowledged",
			c.change.Version, c.rival.change.Version, c.change.Base)
		if !c.rival.hasLostRace {
			return // the competing change has no answer yet
		}
	}
	o.isBusy = false
	if o.sim.chance(0.2) {
		o.sendAgain(c)
	}
}

// sendAgain repeats an acknowledged change. No other change was made since, so the repetition must be accepted.
func (o *operator) sendAgain(c *sentConfig) {
	o.isBusy = true
	o.sendUntilAnswered(c.change, func() {
		o.sim.checker.countCase(ConfigInvariant)
		o.isBusy = false
	}, func(err error) {
		o.sim.checker.violate(ConfigInvariant, "version %d was acknowledged and is refused when sent again: %v",
			c.change.Version, err)
	})
}

// configRefused records that a configuration was refused, which is a violation unless a competing change won the race.
func (o *operator) configRefused(c *sentConfig, err error) {
	rival := c.rival
	o.sim.checker.require(ConfigInvariant,
		rival != nil && !rival.hasLostRace && !c.isAcknowledged && errs.KindOf(err) == errs.Stale,
		"version %d is refused: %v", c.change.Version, err)
	c.hasLostRace = true
	o.configs = slices.DeleteFunc(o.configs, func(other *sentConfig) bool { return other == c })
	if rival != nil && rival.isAcknowledged {
		o.isBusy = false
	}
}

// sendUntilAnswered sends a change, repeatedly if necessary, until it is acknowledged or refused.
func (o *operator) sendUntilAnswered(change any, acknowledged func(), refused func(error)) {
	o.sim.clients.call(func(n *node, done func(any, error)) { n.proposeChange(change, done) }, func(_ any, err error) {
		if o.sim.now < o.acknowledgementsLostUntil && o.sim.chance(0.6) {
			o.sim.report.Counts["acknowledgement to the operator lost"]++
			err = errs.New(errs.Timeout, "the answer was lost")
		}
		if err == nil {
			acknowledged()
			return
		}
		switch errs.KindOf(err) {
		case errs.Unavailable, errs.NotLeader, errs.Timeout:
			o.sim.after(o.sim.between(retryBackoff/2, retryBackoff), func() {
				o.sendUntilAnswered(change, acknowledged, refused)
			})
		default:
			refused(err)
		}
	})
}

// neverRefused is the refused callback of changes that are always valid.
func (o *operator) neverRefused(err error) {
	o.sim.checker.violate(ConfigInvariant, "valid change refused: %v", err)
}

// race sends two different changes with the same base version at almost the same time.
func (o *operator) race() bool {
	if o.isBusy || len(o.configs) == 0 {
		return false
	}
	o.isBusy = true
	base := o.base()
	moved, other := o.variant, o.variant
	moved.isQueueMoved = !moved.isQueueMoved
	other.withoutSideQueue = !other.withoutSideQueue
	config, rival := o.build(base, moved), o.build(base, other)
	config.rival, rival.rival = rival, config
	o.configs = append(o.configs, config, rival)
	o.send(config)
	o.sim.after(o.sim.between(0, 20*time.Millisecond), func() { o.send(rival) })
	o.sim.after(o.sim.between(2*time.Second, 6*time.Second), o.restoreQueue)
	return true
}

// sendInvalid sends an invalid configuration, which must be refused.
func (o *operator) sendInvalid() {
	if len(o.configs) == 0 {
		return
	}
	c := o.build(o.base(), o.variant)
	defect := ""
	switch o.sim.rng.IntN(4) {
	case 0:
		defect, c.change.Queues[0].Service = "names an unknown service", "nowhere"
	case 1:
		defect, c.change.Queues[1].Prefix = "has two queues with the same prefix", c.change.Queues[0].Prefix
	case 2:
		defect, c.change.Queues[2].Timeout = "has a timeout of 0", 0
	default:
		defect, c.change.Version = "has a version that is not above the one in force", c.change.Base
	}
	c.change.Digest += " invalid: " + defect
	o.sendUntilAnswered(c.change, func() {
		o.sim.checker.violate(ConfigInvariant, "a configuration that %s is acknowledged", defect)
	}, func(error) { o.sim.checker.countCase(ConfigInvariant) })
}

// proposeChange handles a change sent by an operator, as controller.Leader does. It bases an order for a zone on the
// zone's revision, as controller.Relay does; an order that competes with an earlier attempt is tried again.
func (n *node) proposeChange(change any, done func(any, error)) {
	table, term, err := n.readTable()
	if err != nil {
		done(nil, err)
		return
	}
	order, isZoneOrder := change.(jobs.Evacuate)
	if !isZoneOrder {
		n.proposeAndAnswer(term, change, done)
		return
	}
	base := table.ZoneRevisions[order.Zone]
	order.Base = &base
	n.proposeAndAnswer(term, order, func(answer any, err error) {
		if errs.Is(err, errs.Stale) {
			err = errs.Wrap(err, errs.Unavailable, "try again")
		}
		done(answer, err)
	})
}

// reconfigure moves the queue "moving" to the other service, removes the queue of "/side/" for a while, renames it,
// exchanges its name with another queue's, or lets a queue with a longer prefix take over or return a part of its jobs.
func (o *operator) reconfigure() {
	if o.isBusy {
		return
	}
	switch o.sim.rng.IntN(8) {
	case 0, 1, 2:
		o.variant.isQueueMoved = !o.variant.isQueueMoved
	case 3, 4:
		o.variant.withoutSideQueue = true
		o.variant.sideRenames += o.sim.rng.IntN(2)
		o.sim.after(o.sim.between(2*time.Second, 6*time.Second), o.restoreQueue)
	case 5:
		o.variant.sideRenames++
	case 6:
		o.variant.areExchanged = !o.variant.areExchanged
	default:
		o.variant.isTakenOver = !o.variant.isTakenOver
	}
	o.configure()
}

// restoreQueue adds the queue of "/side/" again, as soon as no other change is pending.
func (o *operator) restoreQueue() {
	if o.isBusy {
		o.sim.after(200*time.Millisecond, o.restoreQueue)
		return
	}
	if o.variant.withoutSideQueue {
		o.variant.withoutSideQueue = false
		o.configure()
	}
}

// evacuate starts the evacuation of a zone, unless one is in progress, and ends it after a while.
func (o *operator) evacuate() {
	for _, e := range o.evacuations {
		if !e.isWithdrawn {
			return
		}
	}
	e := &evacuation{zone: fmt.Sprintf("zone%d", o.sim.rng.IntN(zoneCount))}
	o.evacuations = append(o.evacuations, e)
	sent := o.sim.now
	o.sendUntilAnswered(jobs.Evacuate{Zone: e.zone, Start: true}, func() {
		e.isAcknowledged, e.acknowledgedAt = true, o.sim.now
		o.sim.checker.countCase(EvacInvariant)
		o.sim.checker.checkAcknowledgement("an evacuation", sent)
	}, o.neverRefused)
	o.sim.after(o.sim.between(6*time.Second, 12*time.Second), func() { o.finishEvacuation(e) })
}

// finishEvacuation ends an evacuation once its start was acknowledged.
func (o *operator) finishEvacuation(e *evacuation) {
	if !e.isAcknowledged {
		o.sim.after(200*time.Millisecond, func() { o.finishEvacuation(e) })
		return
	}
	e.isWithdrawalSent = true
	o.sendUntilAnswered(jobs.Evacuate{Zone: e.zone}, func() { e.isWithdrawn = true }, o.neverRefused)
}
