package fleetsim

import (
	"fmt"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// queueHost is the host of all queues.
const queueHost = "jobs.example"

// maxAttempts is how many runs of a task may fail, in every configuration.
const maxAttempts = 3

// sentConfig is a configuration that the operator sent.
type sentConfig struct {
	change   jobs.Configure
	sentAt   time.Duration
	acked    bool
	ackedAt  time.Duration
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

// operator changes the configuration and evacuates zones.
type operator struct {
	s           *simulator
	configs     []*sentConfig
	evacuations []*evacuation
	moved       bool // the moving queue is on the open service
	without     bool // the side queue is not there
	busy        bool
}

func (s *simulator) buildOperator() {
	s.operator = &operator{s: s}
	s.after(50*time.Millisecond, s.operator.configure)
}

// configure sends the configuration as the operator wants it now, until it is taken.
func (o *operator) configure() {
	if o.busy {
		return
	}
	o.busy = true
	base := uint64(0)
	if len(o.configs) > 0 {
		base = o.configs[len(o.configs)-1].change.Version
	}
	version := base + 1 + uint64(o.s.rng.IntN(3))
	c := &sentConfig{sentAt: o.s.now, services: map[string]string{}, change: jobs.Configure{
		Base: base, Version: version, Digest: fmt.Sprintf("config %d on %d", version, base), Replace: true,
		Services: []jobs.Service{{Name: serviceGuards, GuardsRoom: true}, {Name: serviceOpen}}}}
	queue := func(name, service string, priority int) {
		c.services[name] = service
		c.change.Queues = append(c.change.Queues, jobs.Queue{Name: name, Host: queueHost, Prefix: "/" + name + "/",
			Service: service, Priority: priority, MaxAttempts: maxAttempts, Stretch: 2, Target: time.Second, Timeout: time.Second})
	}
	queue("urgent", serviceGuards, 0)
	queue("bulk", serviceOpen, 2)
	moving := serviceGuards
	if o.moved {
		moving = serviceOpen
	}
	queue("moving", moving, 1)
	if !o.without {
		queue("side", serviceOpen, 1)
	}
	o.configs = append(o.configs, c)
	o.send(c)
}

func (o *operator) send(c *sentConfig) {
	o.order(c.change, func() {
		c.acked, c.ackedAt = true, o.s.now
		o.busy = false
	})
}

// order sends a change until it is acknowledged.
func (o *operator) order(change any, acknowledged func()) {
	o.s.clients.call(func(n *node, done func(any, error)) { n.change(change, done) }, func(_ any, err error) {
		if err == nil {
			acknowledged()
			return
		}
		switch errorKind(err) {
		case errs.Unavailable, errs.NotLeader, errs.Timeout:
		default:
			o.s.oracle.breach(ConfigRule, "order refused: %v", err)
			return
		}
		o.s.after(o.s.between(retryPause/2, retryPause), func() { o.order(change, acknowledged) })
	})
}

// change is controller.Leader.change.
func (n *node) change(change any, done func(any, error)) {
	_, term, err := n.look()
	if err != nil {
		done(nil, err)
		return
	}
	n.s.log.propose(n, term, change, done)
}

// reconfigure changes one thing.
func (o *operator) reconfigure() {
	if o.busy {
		return
	}
	if o.s.chance(0.5) {
		o.moved = !o.moved
	} else {
		o.without = true
		o.s.after(o.s.between(2*time.Second, 6*time.Second), o.restoreQueue)
	}
	o.configure()
}

// restoreQueue brings the side queue back.
func (o *operator) restoreQueue() {
	if o.busy {
		o.s.after(200*time.Millisecond, o.restoreQueue)
		return
	}
	if o.without {
		o.without = false
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
	e := &evacuation{zone: fmt.Sprintf("zone%d", o.s.rng.IntN(zoneCount))}
	o.evacuations = append(o.evacuations, e)
	o.order(jobs.Evacuate{Zone: e.zone, Start: true}, func() {
		e.acked, e.ackedAt = true, o.s.now
		o.s.oracle.count(EvacRule)
	})
	o.s.after(o.s.between(6*time.Second, 12*time.Second), func() { o.finishEvacuation(e) })
}

func (o *operator) finishEvacuation(e *evacuation) {
	if !e.acked {
		o.s.after(200*time.Millisecond, func() { o.finishEvacuation(e) })
		return
	}
	e.finished = true
	o.order(jobs.Evacuate{Zone: e.zone}, func() { e.over = true })
}
