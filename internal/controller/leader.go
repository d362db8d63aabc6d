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
	// minPassInterval is the least time from the beginning of one pass to that of the next. Workers' answers come by
	// the thousand a second; those that come in the meantime share a pass.
	minPassInterval = 2 * time.Millisecond
	// followerPollInterval is how often a node that does not lead checks whether it does now.
	followerPollInterval = time.Second
	// leasePollInterval is how often a node that leads without its lease in force checks the lease.
	leasePollInterval = 20 * time.Millisecond
)

// Store is the replicated store as the controller needs it. Its methods may be called concurrently.
type Store interface {
	// View calls read with the live state, under the store's lock.
	View(read func(*state.State))
	// LeaderTerm returns the term in which this node leads, 0 if it does not. hasLease reports whether the leader's
	// lease is in force at now and all that was committed before is applied here.
	LeaderTerm(now time.Duration) (term uint64, hasLease bool)
	// ProposeIn commits a command under a term and applies it. It fails if the term is over.
	ProposeIn(ctx context.Context, term uint64, c command.Command) (index uint64, answer any, err error)
	// Changed returns a channel that is closed when the live state or the leadership next changes.
	Changed() <-chan struct{}
	// Members returns the leader's address, "" if none is known, and the addresses of all members.
	Members() (leader string, addresses []string)
	// ReachableVoters returns the addresses of the voters that this leader has lately heard from, its own among them.
	ReachableVoters() []string
}

// LeaderOptions are the parts and settings of a Leader.
type LeaderOptions struct {
	Store   Store
	Workers scheduler.Workers // carries orders to workers
	// Mailboxes are the Workers if orders go with the answers to heartbeats; nil otherwise.
	Mailboxes      *Mailboxes
	Config         scheduler.Config
	ControlAddress string // at which this node receives heartbeats
	// ControlAddressOf returns the address at which the node with an internal address receives heartbeats; then workers
	// are spread over all members. nil: all heartbeats go to the leader. With Mailboxes they always do, as the leader's
	// answers carry the orders.
	ControlAddressOf func(internal string) string
	// JobRetention is how long a job that is over stays in the table; 0 takes DefaultJobRetention.
	JobRetention time.Duration
	Clock        clock.Clock
	Logger       log.Logger
}

// Leader answers calls and runs the scheduler on the node that leads the store; on any other node it answers
// errs.NotLeader. It owns the scheduler's core, which its loop alone may touch.
type Leader struct {
	opt   LeaderOptions
	clock clock.Clock
	log   log.Logger
	group *routine.Group // the loop, and one goroutine for each action under way

	inbox        *inbox
	heartbeats   *heartbeatSequences
	assigner     *heartbeatAssigner               // nil: all heartbeats go to the leader
	latestHealth atomic.Pointer[scheduler.Health] // as of the last report; nil before the first one

	// Owned by the loop.
	core        *scheduler.Core
	health      healthLog
	nextPurgeAt time.Duration
}

// NewLeader makes a controller that does nothing before Start.
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

// Start begins to schedule whenever this node leads. It returns at once.
func (l *Leader) Start() { l.group.Go(l.loop) }

// Stop ends all goroutines of the controller.
func (l *Leader) Stop() { l.group.Stop() }

// loop makes a pass whenever there is an input, the table or the leadership has changed, or the time that the last pass
// named has come.
func (l *Leader) loop(ctx context.Context) {
	for {
		changed := l.opt.Store.Changed()
		begin := l.clock.Now()
		next := l.pass()
		timer := l.clock.Set(max(time.Millisecond, next-l.clock.Now()), l.inbox.wake)
		if l.core.Term() != 0 {
			changed = nil // the table's changes come to the inbox
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

// waitForBatch waits until a pass that follows one begun at lastBegin is due.
func (l *Leader) waitForBatch(ctx context.Context, lastBegin time.Duration) {
	if pause := lastBegin + minPassInterval - l.clock.Now(); pause > 0 {
		sleep(ctx, l.clock, pause)
	}
}

// pass follows the leadership and, while this node leads with its lease in force, carries out one pass of the
// scheduler. It returns when the next one is due.
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
	l.opt.Store.View(func(s *state.State) {
		if l.core.Term() == 0 {
			l.becomeLeader(now, term, s.JobTable)
		}
		l.takeInputs(now)
		actions = l.core.Pass(now, l.clock.Wall())
		l.updateHealth(now)
	})
	l.dispatch(term, actions)
	l.purgeEndedJobs(now, term)
	return actions.Next
}

// takeInputs passes the inputs since the last pass to the scheduler: changes of the table first, as the event of the
// heartbeat that registered a worker was enqueued after the change.
func (l *Leader) takeInputs(now time.Duration) {
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

// updateHealth logs changes of the workers' health and publishes it to the metrics, if a report is due.
func (l *Leader) updateHealth(now time.Duration) {
	if !l.health.isDue(now) {
		return
	}
	health := l.core.Health(now)
	l.health.report(now, health)
	l.latestHealth.Store(&health)
}

// becomeLeader begins to schedule under a term. Events of an earlier term are dropped: the scheduler has dropped the
// calls that they answer. The store's lock is held.
func (l *Leader) becomeLeader(now time.Duration, term uint64, table *jobs.Table) {
	l.inbox.drain()
	l.dropForgottenWorkers(table.Workers)
	table.OnEvent = l.inbox.onTableChange
	l.core.BecomeLeader(now, term, table)
	l.nextPurgeAt = now + purgeInterval
	_ = level.Info(l.log).Log("msg", "scheduling started", "term", term,
		"jobs", len(table.Jobs), "workers", len(table.Workers))
}

// stepDown ends scheduling if this node schedules. Actions under way end by themselves: each checks the lease.
func (l *Leader) stepDown() {
	if l.core.Term() == 0 {
		return
	}
	_ = level.Info(l.log).Log("msg", "no longer scheduling", "term", l.core.Term())
	l.core.StepDown()
	l.opt.Store.View(func(s *state.State) { s.JobTable.OnEvent = nil })
	l.inbox.drain()
}

// hasLease reports whether this node leads in a term with its lease in force. It is called immediately before each
// order, so that a node that lost the lead sends none.
func (l *Leader) hasLease(term uint64) bool {
	current, hasLease := l.opt.Store.LeaderTerm(l.clock.Now())
	return hasLease && current == term
}
