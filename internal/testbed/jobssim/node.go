package jobssim

import (
	"bytes"
	"fmt"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// node is a control-plane node: a replica of the job table and a scheduler.Core, driven as by controller.Leader.
type node struct {
	sim         *simulator
	name        string
	table       *jobs.Table
	applied     int // number of log entries applied to table
	incarnation int // increases with each start and kill of the process; calls of older ones are dropped

	term        uint64        // the term in which it considers itself the leader; 0: it does not
	leaseUntil  time.Duration // until then a leader that lost its majority may still answer
	isDown      bool          // its process is not running
	isCutOff    bool          // disconnected from the rest of the core
	frozenUntil time.Duration
	skew        time.Duration // of its wall clock

	core            *scheduler.Core
	inputs          []func(*scheduler.Core, time.Duration) // for the next pass
	tableEvents     []jobs.Event                           // for the next pass, which applies them before inputs
	passNumber      int                                    // of the newest scheduled pass; older ones are dropped
	passAt          time.Duration                          // when the newest scheduled pass is due
	isPassScheduled bool                                   // the newest scheduled pass has not run yet
	newestHeartbeat map[string]uint64                      // sequence, by worker
	newestEnd       map[string]uint64                      // sequence, by worker; for EarlyAcknowledgement
}

// coreSize is the number of nodes in the core.
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

// followInterval is the interval at which followers apply committed entries.
const followInterval = time.Second

// follow makes the followers apply all committed entries, and schedules itself again.
func (s *simulator) follow() {
	for _, n := range s.nodes {
		if n.isRunning() && n.term == 0 {
			n.catchUp()
		}
	}
	s.after(followInterval, s.follow)
}

// schedulerConfig returns the default configuration of the scheduler, with the lease limited to maxLease.
func (s *simulator) schedulerConfig() scheduler.Config {
	cfg := scheduler.Defaults()
	cfg.Lease = min(cfg.Lease, maxLease)
	cfg.RemoteDataFactor = spreadFactor
	if s.options.WithoutGuard == NoBackfill {
		cfg.MaxBlocked = time.Hour
	}
	return cfg
}

// startProcess starts the process if it is not running. It begins with an empty memory; its log is kept.
func (n *node) startProcess() {
	if !n.isDown && n.incarnation > 0 {
		return
	}
	n.incarnation++
	n.isDown, n.term, n.isPassScheduled = false, 0, false
	n.core = scheduler.New(n.sim.schedulerConfig())
	n.inputs, n.tableEvents = nil, nil
	n.newestHeartbeat, n.newestEnd = map[string]uint64{}, map[string]uint64{}
	if n.applied > 0 {
		n.reload()
	}
}

// reload encodes the table and replaces it by the decoded copy, as a restart from a snapshot does.
func (n *node) reload() {
	data, err := n.table.Encode()
	table := jobs.NewTable()
	if err == nil {
		err = table.UnmarshalJSON(data)
	}
	if err != nil {
		n.sim.checker.violate(ReplicaInvariant, "%s: cannot decode its snapshot: %v", n.name, err)
		return
	}
	n.table = table
}

// wipe erases the disk of a node that is down.
func (n *node) wipe() { n.table, n.applied = jobs.NewTable(), 0 }

// kill ends the process without notice; startProcess starts it again.
func (n *node) kill() {
	n.incarnation++
	n.isDown, n.term = true, 0
}

// isRunning reports whether the node runs, is connected and not frozen, so that it counts towards a majority.
func (n *node) isRunning() bool { return !n.isDown && !n.isCutOff && n.sim.now >= n.frozenUntil }

// after schedules a call on this incarnation of the node. If the node is frozen at that time, the call is made when it
// resumes; if the incarnation has ended, the call is dropped.
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

// applyAll applies all committed entries and returns the answer of the newest one.
func (n *node) applyAll() (answer any, err error) {
	for n.applied < len(n.sim.log.entries) {
		answer, err = n.sim.apply(n.table, n.sim.log.entries[n.applied])
		n.applied++
	}
	return answer, errs.Pass(err, "entry %d", n.applied)
}

// catchUp applies all committed entries. An entry that is refused counts as applied.
func (n *node) catchUp() { _, _ = n.applyAll() }

// stepDown ends the node's leadership. Its scheduler stops in the next pass.
func (n *node) stepDown() {
	if n.term != 0 {
		n.term = 0
		n.wakeScheduler()
	}
}

// leadTerm mirrors LeaderTerm of the store: it returns the term in which the node considers itself the leader, and
// whether its lease is in force.
func (n *node) leadTerm() (term uint64, isLeader bool) {
	return n.term, n.term != 0 && (n.sim.log.leader == n && !n.isCutOff || n.sim.now < n.leaseUntil)
}

// leads reports whether the node leads in the given term with its lease in force, so that it may send orders.
func (n *node) leads(term uint64) bool {
	if n.sim.options.WithoutGuard == NoLeaseCheck {
		return true
	}
	current, isLeader := n.leadTerm()
	return isLeader && current == term
}

// deliver queues an input of the scheduler for the next pass.
func (n *node) deliver(input func(*scheduler.Core, time.Duration)) {
	n.inputs = append(n.inputs, input)
	n.wakeScheduler()
}

// onTableChange queues a table event for the next pass.
func (n *node) onTableChange(event jobs.Event) {
	n.tableEvents = append(n.tableEvents, event)
	n.wakeScheduler()
}

func (n *node) wakeScheduler() { n.schedulePass(n.sim.between(0, time.Millisecond)) }

// schedulePass schedules the next pass d from now, unless an earlier one is scheduled already.
func (n *node) schedulePass(d time.Duration) {
	if at := n.sim.now + d; n.isPassScheduled && n.passAt <= at && n.passAt >= n.sim.now {
		return
	}
	n.passNumber++
	number := n.passNumber
	n.isPassScheduled, n.passAt = true, n.sim.now+d
	n.after(d, func() {
		if number == n.passNumber {
			n.isPassScheduled = false
			n.pass()
		}
	})
}

// Intervals between passes that do not schedule.
const (
	idleInterval  = time.Second           // while the node is not the leader
	leaseInterval = 20 * time.Millisecond // while the lease of the leader is not in force
)

// pass is one iteration of the scheduling loop; it mirrors controller.Leader.pass.
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
		n.schedulePass(idleInterval)
		return
	case !isLeader:
		n.schedulePass(leaseInterval)
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
	n.schedulePass(max(time.Millisecond, actions.Next-now))
}

// wall returns the time on the node's wall clock.
func (n *node) wall() time.Time { return n.sim.wall().Add(n.skew) }

// becomeLeader starts scheduling in a term. Inputs of earlier terms are dropped.
func (n *node) becomeLeader(term uint64) {
	n.inputs, n.tableEvents = nil, nil
	if n.sim.options.WithoutGuard == NoFencingWait {
		n.forgetHandles(term)
	}
	n.table.OnEvent = n.onTableChange
	n.core.BecomeLeader(n.sim.now, term, n.table)
	n.upgradeSchema(term)
}

// upgradeSchema proposes the newest schema until it is in force, as controller.Leader does once all members support it.
func (n *node) upgradeSchema(term uint64) {
	if n.table.Schema >= jobs.NewestSchema || n.core.Term() != term {
		return
	}
	n.sim.log.propose(n, term, jobs.UpgradeSchema{Schema: jobs.NewestSchema}, func(_ any, err error) {
		if err != nil {
			n.after(retryBackoff, func() { n.upgradeSchema(term) })
		}
	})
}

// stepDownScheduler stops scheduling if it is active.
func (n *node) stepDownScheduler() {
	if n.core.Term() == 0 {
		return
	}
	n.core.StepDown()
	n.table.OnEvent = nil
	n.inputs, n.tableEvents = nil, nil
}

// compareReplicas verifies that the tables of all nodes are equal after applying all entries.
func (s *simulator) compareReplicas() {
	var first []byte
	for _, n := range s.nodes {
		n.catchUp()
		data, err := n.table.Encode()
		s.checker.countCase(ReplicaInvariant)
		if err != nil {
			s.checker.violate(ReplicaInvariant, "%s: cannot encode its table: %v", n.name, err)
		}
		if first == nil {
			first = data
		} else if !bytes.Equal(first, data) {
			s.checker.violate(ReplicaInvariant, "the table of %s differs from that of %s", n.name, s.nodes[0].name)
		}
	}
}
