package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

const (
	// minPassInterval is the minimum time between the starts of two passes. Thousands of worker answers arrive each
	// second; one pass handles every answer that arrived within the interval.
	minPassInterval = 2 * time.Millisecond
	// followerPollInterval is how often a follower checks whether it has become the leader.
	followerPollInterval = time.Second
	// leasePollInterval is how often a leader whose lease is not in force checks the lease.
	leasePollInterval = 20 * time.Millisecond
)

// Store is the part of the replicated store that the controller uses. It is safe for concurrent use.
type Store interface {
	// View calls read with the live state while holding the store's lock. read may take the locks of Mailboxes, the
	// inbox and the other parts of the leader, so these must not call the store while they hold them.
	View(read func(*state.State))
	// LeaderTerm returns the term in which this node leads, or 0 if it is not the leader. hasLease reports whether the
	// leader's lease is in force at now and every entry committed before is applied on this node.
	LeaderTerm(now time.Duration) (term uint64, hasLease bool)
	// ProposeIn commits a command in the given term and applies it. It fails if the term has ended.
	ProposeIn(ctx context.Context, term uint64, c command.Command) (index uint64, answer any, err error)
	// Changed returns a channel that is closed when the live state or the leadership next changes.
	Changed() <-chan struct{}
	// Members returns the leader's address, or "" if unknown, and the addresses of all members.
	Members() (leader string, addresses []string)
	// MembersSupport reports whether all members are known to support a schema of the job table.
	MembersSupport(schema jobs.Schema) bool
	// ReachableVoters returns the addresses of the voters that this leader recently heard from, including its own.
	ReachableVoters() []string
}

// LeaderOptions are the dependencies and settings of a Leader. Store, Workers, Clock and Logger are required.
type LeaderOptions struct {
	Store   Store
	Workers scheduler.Workers // carries orders to workers
	// Mailboxes is the same value as Workers if heartbeat answers carry the orders, else nil.
	Mailboxes      *Mailboxes
	Config         scheduler.Config // with Mailboxes heartbeatOrderTimeout replaces OrderTimeout and RenewalMargin
	ControlAddress string           // address at which this node receives heartbeats
	// ControlAddressOf maps a node's internal address to the address at which it receives heartbeats. If it is set,
	// workers are spread over all members. All heartbeats go to the leader if it is nil, and also with Mailboxes,
	// because the leader's answers carry the orders.
	ControlAddressOf func(internal string) string
	// JobRetention is how long an ended job stays in the table; 0 means DefaultJobRetention.
	JobRetention time.Duration
	// MaxJobBytes limits the memory of all jobs; 0: no limit.
	MaxJobBytes int64
	Clock       clock.Clock
	Logger      log.Logger
}

// Leader answers calls and runs the scheduler on the node that leads the store. On any other node its calls fail with
// errs.NotLeader. It owns the scheduler's core, which only its loop may access.
type Leader struct {
	opt   LeaderOptions
	clock clock.Clock
	log   log.Logger
	group *routine.Group // the loop, and one goroutine per action in progress

	jobMemory    jobMemory
	inbox        *inbox
	heartbeats   *heartbeatSequences
	assigner     *heartbeatAssigner               // nil: all heartbeats go to the leader
	latestHealth atomic.Pointer[scheduler.Health] // as of the latest report; nil before the first one

	// Owned by the loop.
	core          *scheduler.Core
	health        healthLog
	nextPurgeAt   time.Duration
	nextUpgradeAt time.Duration // of the schema
}

// NewLeader returns a Leader that does not schedule before Start is called.
func NewLeader(opt LeaderOptions) *Leader {
	if opt.JobRetention <= 0 {
		opt.JobRetention = DefaultJobRetention
	}
	if opt.Mailboxes != nil {
		opt.Config.OrderTimeout, opt.Config.RenewalMargin = heartbeatOrderTimeout, heartbeatOrderTimeout
	}
	l := &Leader{
		opt:        opt,
		clock:      opt.Clock,
		log:        opt.Logger,
		group:      routine.New(context.Background()),
		jobMemory:  jobMemory{limit: opt.MaxJobBytes},
		inbox:      newInbox(),
		heartbeats: newHeartbeatSequences(),
		core:       scheduler.New(opt.Config),
		health:     healthLog{log: opt.Logger},
	}
	if opt.ControlAddressOf != nil && opt.Mailboxes == nil {
		l.assigner = &heartbeatAssigner{reachable: opt.Store.ReachableVoters}
	}
	return l
}

// Start starts the scheduling loop, which is active while this node leads. It does not block.
func (l *Leader) Start() { l.group.Go(l.loop) }

// Stop ends the loop and all actions, and waits for their goroutines.
func (l *Leader) Stop() { l.group.Stop() }

// loop makes a pass whenever there is an input, the table or the leadership has changed, or the time requested by the
// previous pass has come.
func (l *Leader) loop(ctx context.Context) {
	for {
		changed := l.opt.Store.Changed()
		begin := l.clock.Now()
		next := l.pass()
		timer := l.clock.Set(max(time.Millisecond, next-l.clock.Now()), l.inbox.wake)
		if l.core.Term() != 0 {
			changed = nil // while scheduling, table changes arrive through the inbox
		}
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-l.inbox.wakeup:
		case <-changed:
		}
		timer.Stop()
		l.waitForBatch(ctx, begin)
	}
}

// waitForBatch waits until minPassInterval after lastBegin, the start of the previous pass.
func (l *Leader) waitForBatch(ctx context.Context, lastBegin time.Duration) {
	if pause := lastBegin + minPassInterval - l.clock.Now(); pause > 0 {
		sleep(ctx, l.clock, pause)
	}
}

// pass handles changes of leadership and, if this node leads and its lease is in force, runs one pass of the scheduler.
// It returns the time at which the next pass is due.
func (l *Leader) pass() time.Duration {
	now := l.clock.Now()
	term, hasLease := l.opt.Store.LeaderTerm(now)
	if term == 0 || term != l.core.Term() && l.core.Term() != 0 {
		l.stepDown()
	}
	switch {
	case term == 0:
		return now + followerPollInterval
	case !hasLease:
		return now + leasePollInterval
	}
	var actions scheduler.Actions
	var schema jobs.Schema
	l.opt.Store.View(func(s *state.State) {
		schema = s.JobTable.Schema
		if l.core.Term() == 0 {
			l.becomeLeader(now, term, s.JobTable)
		}
		l.applyInputs(now)
		actions = l.core.Pass(now, l.clock.Wall())
		l.updateHealth(now)
	})
	l.dispatch(term, actions)
	l.purgeEndedJobs(now, term)
	l.upgradeSchema(now, term, schema)
	return actions.Next
}

// applyInputs passes the inputs since the last pass to the scheduler. Table changes come first, because the event of a
// heartbeat that registers a worker is enqueued after the change.
func (l *Leader) applyInputs(now time.Duration) {
	events, changes := l.inbox.drain()
	for _, change := range changes {
		l.core.TableChanged(change)
		if change.Kind == jobs.WorkerGone {
			l.forgetWorker(change.Name)
		}
	}
	for _, event := range events {
		event(l.core, now)
	}
}

// updateHealth logs changes of the workers' health and publishes the health to the metrics if a report is due.
func (l *Leader) updateHealth(now time.Duration) {
	if !l.health.isDue(now) {
		return
	}
	health := l.core.Health(now)
	l.health.report(now, health)
	l.latestHealth.Store(&health)
}

// becomeLeader starts scheduling in a term. Events of earlier terms are dropped, as the scheduler no longer tracks the
// calls that they answer. The store's lock must be held.
func (l *Leader) becomeLeader(now time.Duration, term uint64, table *jobs.Table) {
	l.inbox.drain()
	l.dropForgottenWorkers(table.Workers)
	table.OnEvent = l.inbox.onTableChange
	l.core.BecomeLeader(now, term, table)
	l.nextPurgeAt, l.nextUpgradeAt = now+purgeInterval, now
	_ = level.Info(l.log).Log("msg", "scheduling started", "term", term,
		"jobs", len(table.Jobs), "workers", len(table.Workers))
}

// stepDown stops scheduling if it is active. It does not cancel actions in progress; each checks the lease before it
// sends its order.
func (l *Leader) stepDown() {
	if l.core.Term() == 0 {
		return
	}
	_ = level.Info(l.log).Log("msg", "scheduling stopped", "term", l.core.Term())
	l.core.StepDown()
	l.opt.Store.View(func(s *state.State) { s.JobTable.OnEvent = nil })
	l.inbox.drain()
}

// hasLease reports whether this node leads in the given term and its lease is in force. It is called immediately before
// each order, so that a node that has lost leadership sends none.
func (l *Leader) hasLease(term uint64) bool {
	current, hasLease := l.opt.Store.LeaderTerm(l.clock.Now())
	return hasLease && current == term
}
