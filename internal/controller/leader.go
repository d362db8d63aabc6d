package controller

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// Store is the replicated store as the controller needs it.
type Store interface {
	// View lets read look at the live state under the store's lock.
	View(read func(*state.State))
	// LeaderTerm gives the term in which this node leads; held tells that the leader's lease is in force at now and
	// that everything committed before is applied here.
	LeaderTerm(now time.Duration) (term uint64, hasLease bool)
	// ProposeIn commits a command under a term and applies it.
	ProposeIn(ctx context.Context, term uint64, c command.Command) (index uint64, answer any, err error)
	// Changed gives a channel that is closed when the live state moves on or the leadership changes.
	Changed() <-chan struct{}
	// Members gives the leader's address, if one is known, and those of all members.
	Members() (leader string, addresses []string)
	// ReachableVoters gives the addresses of the voters that this leader has lately heard of, its own among them.
	ReachableVoters() []string
}

// LeaderOptions are the parts of a Leader.
type LeaderOptions struct {
	Store   Store
	Workers scheduler.Workers
	// Mailboxes are the Workers where orders go with the answers to heartbeats; nil otherwise.
	Mailboxes      *Mailboxes
	Config         scheduler.Config
	ControlAddress string // address at which this node takes heartbeats
	// ControlAddressOf gives the address at which the node with an internal address takes heartbeats; then workers are spread over
	// all members. nil: all heartbeats go to the leader. With Mailboxes they always do, as orders go with them.
	ControlAddressOf func(internal string) string
	// JobRetention is how long a job that is over stays in the table; 0 takes DefaultJobRetention.
	JobRetention time.Duration
	Clock        clock.Clock
	Logger       log.Logger
}

// DefaultJobRetention is how long a job that is over can be asked for by default.
const DefaultJobRetention = 10 * time.Minute

// Leader serves calls and runs the scheduler on the node that leads the store; on any other node it answers
// errs.NotLeader.
type Leader struct {
	opt    LeaderOptions
	clock  clock.Clock
	log    log.Logger
	group  *routine.Group
	core   *scheduler.Core // of the loop alone
	health healthLog       // of the loop alone

	nextExpiryAt time.Duration // of the loop alone

	assigner *heartbeatAssigner // nil: all heartbeats go to the leader

	latestHealth atomic.Pointer[scheduler.Health] // nil before the first look

	mu                 sync.Mutex
	events             []func(*scheduler.Core, time.Duration)
	changes            []jobs.Event
	wakeup             chan struct{}
	heartbeatSequences map[string]uint64 // newest heartbeat of each worker, by its sequence number
}

// NewLeader makes a controller that does nothing before Start.
func NewLeader(opt LeaderOptions) *Leader {
	if opt.JobRetention <= 0 {
		opt.JobRetention = DefaultJobRetention
	}
	if opt.Mailboxes != nil {
		opt.Config.OrderTimeout, opt.Config.RenewalMargin = heartbeatOrderTimeout, heartbeatOrderTimeout
	}
	l := &Leader{opt: opt, clock: opt.Clock, log: opt.Logger, group: routine.New(context.Background()),
		core: scheduler.New(opt.Config), health: healthLog{log: opt.Logger}, wakeup: make(chan struct{}, 1), heartbeatSequences: map[string]uint64{}}
	if opt.ControlAddressOf != nil && opt.Mailboxes == nil {
		l.assigner = &heartbeatAssigner{reachable: opt.Store.ReachableVoters}
	}
	return l
}

// heartbeatAddress gives the address to which a worker is to send its heartbeats.
func (l *Leader) heartbeatAddress(worker string) string {
	if l.assigner == nil {
		return l.opt.ControlAddress
	}
	if at := l.assigner.nodeFor(l.clock.Now(), worker); at != "" {
		return l.opt.ControlAddressOf(at)
	}
	return l.opt.ControlAddress
}

// Start begins to schedule whenever this node leads. It returns at once.
func (l *Leader) Start() { l.group.Go(l.loop) }

// Stop ends all goroutines of the controller.
func (l *Leader) Stop() { l.group.Stop() }

// enqueueEvent queues an input of the scheduler and wakes the loop.
func (l *Leader) enqueueEvent(event func(*scheduler.Core, time.Duration)) {
	l.mu.Lock()
	l.events = append(l.events, event)
	l.mu.Unlock()
	l.wake()
}

func (l *Leader) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// watchLeader takes a note of the job table; it is called under the store's lock.
func (l *Leader) onTableChange(change jobs.Event) {
	l.mu.Lock()
	l.changes = append(l.changes, change)
	l.mu.Unlock()
	l.wake()
}

func (l *Leader) loop(ctx context.Context) {
	for {
		changed := l.opt.Store.Changed()
		begin := l.clock.Now()
		next := l.pass()
		timer := l.clock.Set(max(time.Millisecond, next-l.clock.Now()), l.wake)
		if l.core.Term() != 0 {
			changed = nil // what matters of it comes as notes
		}
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-l.wakeup:
		case <-changed:
		}
		timer.Stop()
		l.waitForBatch(ctx, begin+minPassInterval)
	}
}

// minPassInterval is the least time from one pass to the next. Answers of workers come by the thousand a second; what comes in
// the meantime is taken in together.
const minPassInterval = 2 * time.Millisecond

// waitForBatch waits until a time.
func (l *Leader) waitForBatch(ctx context.Context, until time.Duration) {
	pause := until - l.clock.Now()
	if pause <= 0 {
		return
	}
	over := make(chan struct{})
	timer := l.clock.Set(pause, func() { close(over) })
	defer timer.Stop()
	select {
	case <-over:
	case <-ctx.Done():
	}
}

// followerPollInterval is the pause between looks at the leadership on a node that does not lead.
const followerPollInterval = time.Second

// leasePollInterval is the pause before the next look while this node leads without its lease in force.
const leasePollInterval = 20 * time.Millisecond

// pass is one turn of the loop; it gives when the next is due.
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
	var out scheduler.Actions
	l.opt.Store.View(func(s *state.State) {
		if l.core.Term() == 0 {
			l.becomeLeader(now, term, s.JobTable)
		}
		events, changes := l.takeInputs()
		for _, change := range changes {
			l.core.TableChanged(change)
			if change.Kind == jobs.WorkerGone {
				l.forgetWorker(change.Name)
			}
		}
		for _, event := range events {
			event(l.core, now)
		}
		out = l.core.Pass(now, l.clock.Wall())
		if l.health.isDue(now) {
			health := l.core.Health(now)
			l.health.report(now, health)
			l.latestHealth.Store(&health)
		}
	})
	l.dispatch(term, out)
	l.deleteExpiredJobs(now, term)
	return out.Next
}

// forgetWorker lets go of what is kept of a worker beside the table.
func (l *Leader) forgetWorker(worker string) {
	l.mu.Lock()
	delete(l.heartbeatSequences, worker)
	l.mu.Unlock()
	if l.opt.Mailboxes != nil {
		l.opt.Mailboxes.ForgetWorker(worker)
	}
}

// dropForgottenWorkers lets go of what is kept of workers that were forgotten while another node led.
func (l *Leader) dropForgottenWorkers(workers map[string]*jobs.Worker) {
	gone := func(id string) bool { return workers[id] == nil }
	l.mu.Lock()
	maps.DeleteFunc(l.heartbeatSequences, func(id string, _ uint64) bool { return gone(id) })
	l.mu.Unlock()
	if l.opt.Mailboxes != nil {
		l.opt.Mailboxes.ForgetWorkers(gone)
	}
}

// expiryInterval is the pause between two looks for jobs that are over for long.
const expiryInterval = 20 * time.Second

// deleteExpiredJobs lets jobs go that are over for longer than they have to be known.
func (l *Leader) deleteExpiredJobs(now time.Duration, term uint64) {
	if now < l.nextExpiryAt {
		return
	}
	l.nextExpiryAt = now + expiryInterval
	before := l.clock.Wall().Add(-l.opt.JobRetention)
	l.group.Go(func(ctx context.Context) {
		if _, _, err := l.opt.Store.ProposeIn(ctx, term, &command.JobPurge{Before: before}); err != nil {
			_ = level.Debug(l.log).Log("msg", "tidy", "err", err)
		}
	})
}

func (l *Leader) becomeLeader(now time.Duration, term uint64, table *jobs.Table) {
	l.takeInputs()
	l.dropForgottenWorkers(table.Workers)
	table.OnEvent = l.onTableChange
	l.core.BecomeLeader(now, term, table)
	l.nextExpiryAt = now + expiryInterval
	_ = level.Info(l.log).Log("msg", "scheduling", "term", term, "jobs", len(table.Jobs), "workers", len(table.Workers))
}

func (l *Leader) stepDown() {
	if l.core.Term() == 0 {
		return
	}
	_ = level.Info(l.log).Log("msg", "no longer scheduling", "term", l.core.Term())
	l.core.StepDown()
	l.opt.Store.View(func(s *state.State) { s.JobTable.OnEvent = nil })
	l.takeInputs()
}

func (l *Leader) takeInputs() ([]func(*scheduler.Core, time.Duration), []jobs.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events, changes := l.events, l.changes
	l.events, l.changes = nil, nil
	return events, changes
}

// dispatch does what a pass wants done.
func (l *Leader) dispatch(term uint64, out scheduler.Actions) {
	if out.Progress != nil {
		l.group.Go(func(ctx context.Context) { l.commitProgress(ctx, term, out.Progress) })
	}
	for _, start := range out.Starts {
		l.group.Go(func(ctx context.Context) { l.sendStart(ctx, term, start) })
	}
	for _, stop := range out.Stops {
		l.group.Go(func(ctx context.Context) { l.sendStop(ctx, term, stop) })
	}
	for _, renewal := range out.Renewals {
		l.group.Go(func(ctx context.Context) { l.renewLease(ctx, term, renewal) })
	}
}

func (l *Leader) commitProgress(ctx context.Context, term uint64, progress *jobs.Progress) {
	_, answer, err := l.opt.Store.ProposeIn(ctx, term, &command.JobProgress{Progress: *progress})
	started, _ := answer.(jobs.Started)
	if err != nil {
		_ = level.Warn(l.log).Log("msg", "progress not committed", "err", err)
	}
	l.enqueueEvent(func(c *scheduler.Core, now time.Duration) { c.Committed(now, progress, started, err) })
}

// hasLease tells whether this node may send orders under a term now: called immediately before each order.
func (l *Leader) hasLease(term uint64) bool {
	current, hasLease := l.opt.Store.LeaderTerm(l.clock.Now())
	return hasLease && current == term
}

// heartbeatOrderTimeout bounds an order that waits for the worker's heartbeat.
const heartbeatOrderTimeout = 3 * time.Second

func (l *Leader) sendStart(ctx context.Context, term uint64, start scheduler.StartAction) {
	id, key := start.Worker.ID, start.Order.Key
	failure := scheduler.StartUnsent
	var answer scheduler.StartAnswer
	if l.hasLease(term) {
		bounded, cancel := l.withTimeout(ctx, l.opt.Config.OrderTimeout)
		var err error
		answer, err = l.opt.Workers.Start(bounded, start.Worker, start.Order)
		cancel()
		failure = startError(err)
	}
	l.enqueueEvent(func(c *scheduler.Core, now time.Duration) { c.StartAnswered(now, id, key, answer, failure) })
}

func startError(err error) scheduler.StartError {
	switch {
	case err == nil:
		return scheduler.StartOK
	case errs.Is(err, errs.Unknown):
		return scheduler.StartOtherIncarnation
	case rpc.IsQuotaExhausted(err):
		return scheduler.StartNoConnection
	case rpc.IsUnsent(err), errors.Is(err, errNotDelivered):
		return scheduler.StartUnsent
	}
	return scheduler.StartUnknown
}

func (l *Leader) sendStop(ctx context.Context, term uint64, stop scheduler.StopAction) {
	id, key := stop.Worker.ID, stop.Order.Key
	failure := scheduler.StopFailed
	if l.hasLease(term) {
		bounded, cancel := l.withTimeout(ctx, l.opt.Config.OrderTimeout)
		failure = stopError(l.opt.Workers.Stop(bounded, stop.Worker, stop.Order))
		cancel()
	}
	l.enqueueEvent(func(c *scheduler.Core, now time.Duration) { c.StopAnswered(now, id, key, failure) })
}

func stopError(err error) scheduler.StopError {
	switch {
	case err == nil:
		return scheduler.StopOK
	case rpc.IsQuotaExhausted(err):
		return scheduler.StopNoConnection
	}
	return scheduler.StopFailed
}

func (l *Leader) renewLease(ctx context.Context, term uint64, renewal scheduler.RenewalAction) {
	id, number := renewal.Worker.ID, renewal.Number
	failure := scheduler.RenewalFailed
	var answer scheduler.RenewalAnswer
	if l.hasLease(term) {
		bounded, cancel := l.withTimeout(ctx, renewal.Call.Wait+l.opt.Config.RenewalMargin)
		var err error
		answer, err = l.opt.Workers.RenewLease(bounded, renewal.Worker, renewal.Call)
		cancel()
		failure = renewalError(err)
	}
	l.enqueueEvent(func(c *scheduler.Core, now time.Duration) { c.RenewalAnswered(now, id, number, answer, failure) })
}

func renewalError(err error) scheduler.RenewalError {
	switch {
	case err == nil:
		return scheduler.RenewalOK
	case errs.Is(err, errs.Unknown):
		return scheduler.RenewalOtherIncarnation
	case errs.Is(err, errs.Stale):
		return scheduler.RenewalFenced
	case rpc.IsQuotaExhausted(err):
		return scheduler.RenewalNoConnection
	}
	return scheduler.RenewalFailed
}

// timeout bounds a context by the controller's clock.
func (l *Leader) withTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	timer := l.clock.Set(limit, cancel)
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}
