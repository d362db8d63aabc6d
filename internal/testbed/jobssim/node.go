package jobssim

import (
	"bytes"
	"fmt"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// node is a control plane node: a replica of the table, and the loop of controller.Leader around a scheduler.Core.
type node struct {
	sim         *simulator
	name        string
	table       *jobs.Table
	applied     int // entries of the log that table has
	incarnation int // increases with each start and kill of the process: calls that an older one scheduled are dropped

	term        uint64        // in which it leads, as far as it knows; 0: it does not
	leaseUntil  time.Duration // of a leader that lost the majority: until then it may still answer
	isDown      bool          // its process does not run
	isCutOff    bool          // from the rest of the core
	frozenUntil time.Duration
	skew        time.Duration // of its time of day

	core            *scheduler.Core
	inputs          []func(*scheduler.Core, time.Duration) // of the next pass
	tableEvents     []jobs.Event                           // of the next pass, which takes them before inputs
	passNumber      int                                    // of the newest scheduled pass: older ones are dropped
	passAt          time.Duration                          // when the newest scheduled pass is due
	isPassPlanned   bool                                   // it has not run yet
	newestHeartbeat map[string]uint64                      // sequence, by worker
	newestEnd       map[string]uint64                      // sequence, by worker; for EarlyAcknowledgement
}

// coreSize is how many machines the core has.
const coreSize = 5

func (s *simulator) buildCore() {
	s.log = &replicatedLog{sim: s}
	for i := range coreSize {
		n := &node{sim: s, name: fmt.Sprintf("core%d", i), table: jobs.NewTable(),
			skew: s.between(-100*time.Millisecond, 100*time.Millisecond)}
		n.startProcess()
		s.nodes = append(s.nodes, n)
	}
	s.after(0, s.log.elect)
	s.after(followInterval, s.follow)
}

// followInterval is the time between two catch-ups of the followers.
const followInterval = time.Second

// follow lets the followers apply what is committed.
func (s *simulator) follow() {
	for _, n := range s.nodes {
		if n.isRunning() && n.term == 0 {
			n.catchUp()
		}
	}
	s.after(followInterval, s.follow)
}

// schedulerConfig returns the configuration of the schedulers, cut to the lease of the platform.
func (*simulator) schedulerConfig() scheduler.Config {
	cfg := scheduler.Defaults()
	cfg.Lease = min(cfg.Lease, maxLease)
	cfg.RemoteDataFactor = spreadFactor
	return cfg
}

// startProcess restarts the process: its memory is lost, its log is not.
func (n *node) startProcess() {
	if !n.isDown && n.incarnation > 0 {
		return
	}
	n.incarnation++
	n.isDown, n.term, n.isPassPlanned = false, 0, false
	n.core = scheduler.New(n.sim.schedulerConfig())
	n.inputs, n.tableEvents = nil, nil
	n.newestHeartbeat, n.newestEnd = map[string]uint64{}, map[string]uint64{}
	if n.applied > 0 {
		n.reload()
	}
}

// reload replaces the table by what it reads back from its own snapshot.
func (n *node) reload() {
	data, err := n.table.Encode()
	table := jobs.NewTable()
	if err == nil {
		err = table.UnmarshalJSON(data)
	}
	if err != nil {
		n.sim.checker.breach(ReplicaRule, "%s cannot read its snapshot: %v", n.name, err)
		return
	}
	n.table = table
}

// wipe empties the disk of a node that is down.
func (n *node) wipe() { n.table, n.applied = jobs.NewTable(), 0 }

// kill ends the process; startProcess starts the next one.
func (n *node) kill() {
	n.incarnation++
	n.isDown, n.term = true, 0
}

// isRunning reports whether the node can be a member of a majority now.
func (n *node) isRunning() bool { return !n.isDown && !n.isCutOff && n.sim.now >= n.frozenUntil }

// after schedules a call on this incarnation of the node. A node that is frozen then makes it once it is not any more.
func (n *node) after(d time.Duration, call func()) {
	incarnation := n.incarnation
	var fire func()
	fire = func() {
		switch {
		case n.incarnation != incarnation:
		case n.sim.now < n.frozenUntil:
			n.sim.after(n.frozenUntil-n.sim.now+n.sim.between(0, time.Millisecond), fire)
		default:
			call()
		}
	}
	n.sim.after(d, fire)
}

// applyAll applies what is committed and returns the answer of the newest entry.
func (n *node) applyAll() (answer any, err error) {
	for n.applied < len(n.sim.log.entries) {
		answer, err = n.sim.apply(n.table, n.sim.log.entries[n.applied])
		n.applied++
	}
	return answer, errs.Pass(err, "entry %d", n.applied)
}

func (n *node) catchUp() { _, _ = n.applyAll() } // a refused entry is an outcome

// stepDown ends the node's term as leader. Its scheduler learns of it in the next pass.
func (n *node) stepDown() {
	if n.term != 0 {
		n.term = 0
		n.wakeScheduler()
	}
}

// leadTerm stands for the store's LeadTerm: the term in which the node believes to lead, and whether its lease lasts.
func (n *node) leadTerm() (term uint64, isLeader bool) {
	return n.term, n.term != 0 && (n.sim.log.leader == n && !n.isCutOff || n.sim.now < n.leaseUntil)
}

// leads reports whether an order may be sent under a term now.
func (n *node) leads(term uint64) bool {
	if n.sim.options.WithoutGuard == NoLeaseCheck {
		return true
	}
	current, isLeader := n.leadTerm()
	return isLeader && current == term
}

// deliver queues an input of the scheduler.
func (n *node) deliver(input func(*scheduler.Core, time.Duration)) {
	n.inputs = append(n.inputs, input)
	n.wakeScheduler()
}

// onTableChange queues an event of the table for the next pass.
func (n *node) onTableChange(event jobs.Event) {
	n.tableEvents = append(n.tableEvents, event)
	n.wakeScheduler()
}

func (n *node) wakeScheduler() { n.passIn(n.sim.between(0, time.Millisecond)) }

// passIn schedules the next pass; an earlier one replaces a later one.
func (n *node) passIn(d time.Duration) {
	if at := n.sim.now + d; n.isPassPlanned && n.passAt <= at && n.passAt >= n.sim.now {
		return
	}
	n.passNumber++
	number := n.passNumber
	n.isPassPlanned, n.passAt = true, n.sim.now+d
	n.after(d, func() {
		if number == n.passNumber {
			n.isPassPlanned = false
			n.pass()
		}
	})
}

const (
	idleInterval  = time.Second
	leaseInterval = 20 * time.Millisecond
)

// pass is one iteration of the loop; it mirrors controller.Leader.pass.
func (n *node) pass() {
	now := n.sim.now
	term, isLeader := n.leadTerm()
	if n.sim.options.WithoutGuard == NoLeaseCheck && n.core.Term() != 0 && (term == 0 || term == n.core.Term()) {
		term, isLeader = n.core.Term(), true
	}
	if term == 0 || term != n.core.Term() && n.core.Term() != 0 {
		n.stepDownScheduler()
	}
	switch {
	case term == 0:
		n.passIn(idleInterval)
		return
	case !isLeader:
		n.passIn(leaseInterval)
		return
	}
	if n.core.Term() == 0 {
		n.becomeLeader(term)
	}
	inputs, tableEvents := n.inputs, n.tableEvents
	n.inputs, n.tableEvents = nil, nil
	for _, event := range tableEvents {
		n.core.TableChanged(event)
	}
	for _, input := range inputs {
		input(n.core, now)
	}
	actions := n.core.Pass(now, n.wall())
	n.dispatchActions(term, actions)
	n.passIn(max(time.Millisecond, actions.Next-now))
}

func (n *node) wall() time.Time { return n.sim.wall().Add(n.skew) }

// becomeLeader makes the scheduler act under a term. Inputs for an earlier one are dropped.
func (n *node) becomeLeader(term uint64) {
	n.inputs, n.tableEvents = nil, nil
	if n.sim.options.WithoutGuard == NoFencingWait {
		n.forgetHandles(term)
	}
	n.table.OnEvent = n.onTableChange
	n.core.BecomeLeader(n.sim.now, term, n.table)
}

func (n *node) stepDownScheduler() {
	if n.core.Term() == 0 {
		return
	}
	n.core.StepDown()
	n.table.OnEvent = nil
	n.inputs, n.tableEvents = nil, nil
}

// compareReplicas compares the tables of all nodes.
func (s *simulator) compareReplicas() {
	var first []byte
	for _, n := range s.nodes {
		n.catchUp()
		data, err := n.table.Encode()
		s.checker.count(ReplicaRule)
		if err != nil {
			s.checker.breach(ReplicaRule, "%s cannot write its table: %v", n.name, err)
		}
		if first == nil {
			first = data
		} else if !bytes.Equal(first, data) {
			s.checker.breach(ReplicaRule, "%s has another table than %s", n.name, s.nodes[0].name)
		}
	}
}
