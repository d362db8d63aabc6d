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
	LeaderTerm(now time.Duration) (term uint64, held bool)
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
	Mailboxes *Mailboxes
	Config    scheduler.Config
	Control   string // address at which this node takes heartbeats
	// ControlOf gives the address at which the node with an internal address takes heartbeats; then workers are spread over
	// all members. nil: all heartbeats go to the leader. With Mailboxes they always do, as orders go with them.
	ControlOf func(internal string) string
	// KeepOver is how long a job that is over stays in the table; 0 takes DefaultKeepOver.
	KeepOver time.Duration
	Clock    clock.Clock
	Logger   log.Logger
}

// DefaultKeepOver is how long a job that is over can be asked for by default.
const DefaultKeepOver = 10 * time.Minute

// Leader serves calls and runs the scheduler on the node that leads the store; on any other node it answers
// errs.NotLeader.
type Leader struct {
	opt    LeaderOptions
	clock  clock.Clock
	log    log.Logger
	group  *routine.Group
	core   *scheduler.Core // of the loop alone
	health healthLog       // of the loop alone

	tidyAt time.Duration // of the loop alone

	homes *homes // nil: all heartbeats go to the leader

	latest atomic.Pointer[scheduler.Health] // nil before the first look

	mu     sync.Mutex
	events []func(*scheduler.Core, time.Duration)
	notes  []jobs.Event
	wake   chan struct{}
	beats  map[string]uint64 // newest heartbeat of each worker, by its sequence number
}

// NewLeader makes a controller that does nothing before Start.
func NewLeader(opt LeaderOptions) *Leader {
	if opt.KeepOver <= 0 {
		opt.KeepOver = DefaultKeepOver
	}
	if opt.Mailboxes != nil {
		opt.Config.OrderTimeout, opt.Config.RenewalMargin = beatTimeout, beatTimeout
	}
	l := &Leader{opt: opt, clock: opt.Clock, log: opt.Logger, group: routine.New(context.Background()),
		core: scheduler.New(opt.Config), health: healthLog{log: opt.Logger}, wake: make(chan struct{}, 1), beats: map[string]uint64{}}
	if opt.ControlOf != nil && opt.Mailboxes == nil {
		l.homes = &homes{reached: opt.Store.ReachableVoters}
	}
	return l
}

// home gives the address to which a worker is to send its heartbeats.
func (l *Leader) home(worker string) string {
	if l.homes == nil {
		return l.opt.Control
	}
	if at := l.homes.of(l.clock.Now(), worker); at != "" {
		return l.opt.ControlOf(at)
	}
	return l.opt.Control
}

// Start begins to schedule whenever this node leads. It returns at once.
func (l *Leader) Start() { l.group.Go(l.loop) }

// Stop ends all goroutines of the controller.
func (l *Leader) Stop() { l.group.Stop() }

// tell queues an input of the scheduler and wakes the loop.
func (l *Leader) tell(event func(*scheduler.Core, time.Duration)) {
	l.mu.Lock()
	l.events = append(l.events, event)
	l.mu.Unlock()
	l.nudge()
}

func (l *Leader) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// watch takes a note of the job table; it is called under the store's lock.
func (l *Leader) watch(note jobs.Event) {
	l.mu.Lock()
	l.notes = append(l.notes, note)
	l.mu.Unlock()
	l.nudge()
}

func (l *Leader) loop(ctx context.Context) {
	for {
		changed := l.opt.Store.Changed()
		begin := l.clock.Now()
		next := l.pass()
		timer := l.clock.Set(max(time.Millisecond, next-l.clock.Now()), l.nudge)
		if l.core.Term() != 0 {
			changed = nil // what matters of it comes as notes
		}
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-l.wake:
		case <-changed:
		}
		timer.Stop()
		l.gather(ctx, begin+passGap)
	}
}

// passGap is the least time from one pass to the next. Answers of workers come by the thousand a second; what comes in
// the meantime is taken in together.
const passGap = 2 * time.Millisecond

// gather waits until a time.
func (l *Leader) gather(ctx context.Context, until time.Duration) {
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

// idlePass is the pause between looks at the leadership on a node that does not lead.
const idlePass = time.Second

// leasePass is the pause before the next look while this node leads without its lease in force.
const leasePass = 20 * time.Millisecond

// pass is one turn of the loop; it gives when the next is due.
func (l *Leader) pass() time.Duration {
	now := l.clock.Now()
	term, held := l.opt.Store.LeaderTerm(now)
	if term == 0 || term != l.core.Term() && l.core.Term() != 0 {
		l.yield()
	}
	switch {
	case term == 0:
		return now + idlePass
	case !held:
		return now + leasePass
	}
	var out scheduler.Actions
	l.opt.Store.View(func(s *state.State) {
		if l.core.Term() == 0 {
			l.lead(now, term, s.JobTable)
		}
		events, notes := l.take()
		for _, note := range notes {
			l.core.TableChanged(note)
			if note.Kind == jobs.WorkerGone {
				l.forget(note.Name)
			}
		}
		for _, event := range events {
			event(l.core, now)
		}
		out = l.core.Pass(now, l.clock.Wall())
		if l.health.due(now) {
			health := l.core.Health(now)
			l.health.note(now, health)
			l.latest.Store(&health)
		}
	})
	l.carryOut(term, out)
	l.tidy(now, term)
	return out.Next
}

// forget lets go of what is kept of a worker beside the table.
func (l *Leader) forget(worker string) {
	l.mu.Lock()
	delete(l.beats, worker)
	l.mu.Unlock()
	if l.opt.Mailboxes != nil {
		l.opt.Mailboxes.Forget(worker)
	}
}

// retain lets go of what is kept of workers that were forgotten while another node led.
func (l *Leader) retain(workers map[string]*jobs.Worker) {
	gone := func(id string) bool { return workers[id] == nil }
	l.mu.Lock()
	maps.DeleteFunc(l.beats, func(id string, _ uint64) bool { return gone(id) })
	l.mu.Unlock()
	if l.opt.Mailboxes != nil {
		l.opt.Mailboxes.ForgetAll(gone)
	}
}

// tidyEvery is the pause between two looks for jobs that are over for long.
const tidyEvery = 20 * time.Second

// tidy lets jobs go that are over for longer than they have to be known.
func (l *Leader) tidy(now time.Duration, term uint64) {
	if now < l.tidyAt {
		return
	}
	l.tidyAt = now + tidyEvery
	before := l.clock.Wall().Add(-l.opt.KeepOver)
	l.group.Go(func(ctx context.Context) {
		if _, _, err := l.opt.Store.ProposeIn(ctx, term, &command.JobPurge{Before: before}); err != nil {
			_ = level.Debug(l.log).Log("msg", "tidy", "err", err)
		}
	})
}

func (l *Leader) lead(now time.Duration, term uint64, table *jobs.Table) {
	l.take()
	l.retain(table.Workers)
	table.OnEvent = l.watch
	l.core.BecomeLeader(now, term, table)
	l.tidyAt = now + tidyEvery
	_ = level.Info(l.log).Log("msg", "scheduling", "term", term, "jobs", len(table.Jobs), "workers", len(table.Workers))
}

func (l *Leader) yield() {
	if l.core.Term() == 0 {
		return
	}
	_ = level.Info(l.log).Log("msg", "no longer scheduling", "term", l.core.Term())
	l.core.StepDown()
	l.opt.Store.View(func(s *state.State) { s.JobTable.OnEvent = nil })
	l.take()
}

func (l *Leader) take() ([]func(*scheduler.Core, time.Duration), []jobs.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events, notes := l.events, l.notes
	l.events, l.notes = nil, nil
	return events, notes
}

// carryOut does what a pass wants done.
func (l *Leader) carryOut(term uint64, out scheduler.Actions) {
	if out.Progress != nil {
		l.group.Go(func(ctx context.Context) { l.commit(ctx, term, out.Progress) })
	}
	for _, start := range out.Starts {
		l.group.Go(func(ctx context.Context) { l.start(ctx, term, start) })
	}
	for _, stop := range out.Stops {
		l.group.Go(func(ctx context.Context) { l.stop(ctx, term, stop) })
	}
	for _, hold := range out.Renewals {
		l.group.Go(func(ctx context.Context) { l.hold(ctx, term, hold) })
	}
}

func (l *Leader) commit(ctx context.Context, term uint64, progress *jobs.Progress) {
	_, answer, err := l.opt.Store.ProposeIn(ctx, term, &command.JobProgress{Progress: *progress})
	started, _ := answer.(jobs.Started)
	if err != nil {
		_ = level.Warn(l.log).Log("msg", "progress not committed", "err", err)
	}
	l.tell(func(c *scheduler.Core, now time.Duration) { c.Committed(now, progress, started, err) })
}

// leads tells whether this node may send orders under a term now: called immediately before each order.
func (l *Leader) leads(term uint64) bool {
	current, held := l.opt.Store.LeaderTerm(l.clock.Now())
	return held && current == term
}

// beatTimeout bounds an order that waits for the worker's heartbeat.
const beatTimeout = 3 * time.Second

func (l *Leader) start(ctx context.Context, term uint64, start scheduler.StartAction) {
	id, key := start.Worker.ID, start.Order.Key
	failure := scheduler.StartUnsent
	var answer scheduler.StartAnswer
	if l.leads(term) {
		bounded, cancel := l.within(ctx, l.opt.Config.OrderTimeout)
		var err error
		answer, err = l.opt.Workers.Start(bounded, start.Worker, start.Order)
		cancel()
		failure = startError(err)
	}
	l.tell(func(c *scheduler.Core, now time.Duration) { c.StartAnswered(now, id, key, answer, failure) })
}

func startError(err error) scheduler.StartError {
	switch {
	case err == nil:
		return scheduler.StartOK
	case errs.Is(err, errs.Unknown):
		return scheduler.StartOtherIncarnation
	case rpc.IsQuotaExhausted(err):
		return scheduler.StartNoConnection
	case rpc.IsUnsent(err), errors.Is(err, errNeverLeft):
		return scheduler.StartUnsent
	}
	return scheduler.StartUnknown
}

func (l *Leader) stop(ctx context.Context, term uint64, stop scheduler.StopAction) {
	id, key := stop.Worker.ID, stop.Order.Key
	failure := scheduler.StopFailed
	if l.leads(term) {
		bounded, cancel := l.within(ctx, l.opt.Config.OrderTimeout)
		failure = stopError(l.opt.Workers.Stop(bounded, stop.Worker, stop.Order))
		cancel()
	}
	l.tell(func(c *scheduler.Core, now time.Duration) { c.StopAnswered(now, id, key, failure) })
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

func (l *Leader) hold(ctx context.Context, term uint64, hold scheduler.RenewalAction) {
	id, number := hold.Worker.ID, hold.Number
	failure := scheduler.RenewalFailed
	var answer scheduler.RenewalAnswer
	if l.leads(term) {
		bounded, cancel := l.within(ctx, hold.Call.Wait+l.opt.Config.RenewalMargin)
		var err error
		answer, err = l.opt.Workers.RenewLease(bounded, hold.Worker, hold.Call)
		cancel()
		failure = holdError(err)
	}
	l.tell(func(c *scheduler.Core, now time.Duration) { c.RenewalAnswered(now, id, number, answer, failure) })
}

func holdError(err error) scheduler.RenewalError {
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

// within bounds a context by the controller's clock.
func (l *Leader) within(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	timer := l.clock.Set(limit, cancel)
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}
