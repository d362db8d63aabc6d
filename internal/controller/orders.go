package controller

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
	"crosstide/internal/state/command"
)

// heartbeatOrderTimeout is the timeout of an order that is delivered in a heartbeat answer.
const heartbeatOrderTimeout = 3 * time.Second

// dispatch executes the actions of a pass, each on its own goroutine. Every action reports its outcome to the scheduler
// in exactly one event, even if it was not executed.
func (l *Leader) dispatch(term uint64, actions scheduler.Actions) {
	if actions.Progress != nil {
		l.group.Go(func(ctx context.Context) { l.commitProgress(ctx, term, actions.Progress) })
	}
	for _, start := range actions.Starts {
		l.group.Go(func(ctx context.Context) { l.sendStart(ctx, term, start) })
	}
	for _, stop := range actions.Stops {
		l.group.Go(func(ctx context.Context) { l.sendStop(ctx, term, stop) })
	}
	for _, renewal := range actions.Renewals {
		l.group.Go(func(ctx context.Context) { l.renewLease(ctx, term, renewal) })
	}
}

func (l *Leader) commitProgress(ctx context.Context, term uint64, progress *jobs.Progress) {
	_, answer, err := l.opt.Store.ProposeIn(ctx, term, &command.JobProgress{Progress: *progress})
	started, _ := answer.(jobs.ProgressResult)
	if err != nil {
		_ = level.Warn(l.log).Log("msg", "progress commit failed", "err", err)
	}
	l.inbox.enqueueEvent(func(core *scheduler.Core, now time.Duration) { core.Committed(now, progress, started, err) })
}

// sendStart sends a start order to its worker. An order that cannot have reached the worker is reported as unsent, so
// that the scheduler may place the run elsewhere immediately. If the outcome is unknown, the scheduler first needs the
// worker's list of runs.
func (l *Leader) sendStart(ctx context.Context, term uint64, start scheduler.StartAction) {
	id, key := start.Worker.ID, start.Order.Key
	outcome := scheduler.StartUnsent
	var answer scheduler.StartAnswer
	if l.hasLease(term) {
		bounded, cancel := withTimeout(ctx, l.clock, l.opt.Config.OrderTimeout)
		var err error
		answer, err = l.opt.Workers.Start(bounded, start.Worker, start.Order)
		cancel()
		outcome = startOutcomeOf(err)
	}
	l.inbox.enqueueEvent(func(core *scheduler.Core, now time.Duration) {
		core.StartAnswered(now, id, key, answer, outcome)
	})
}

// startOutcomeOf returns the outcome of a start order whose call returned err.
func startOutcomeOf(err error) scheduler.StartOutcome {
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
	return scheduler.StartUnconfirmed
}

func (l *Leader) sendStop(ctx context.Context, term uint64, stop scheduler.StopAction) {
	id, key := stop.Worker.ID, stop.Order.Key
	outcome := scheduler.StopFailed
	if l.hasLease(term) {
		bounded, cancel := withTimeout(ctx, l.clock, l.opt.Config.OrderTimeout)
		outcome = stopOutcomeOf(l.opt.Workers.Stop(bounded, stop.Worker, stop.Order))
		cancel()
	}
	l.inbox.enqueueEvent(func(core *scheduler.Core, now time.Duration) { core.StopAnswered(now, id, key, outcome) })
}

// stopOutcomeOf returns the outcome of a stop order whose call returned err.
func stopOutcomeOf(err error) scheduler.StopOutcome {
	switch {
	case err == nil:
		return scheduler.StopOK
	case rpc.IsQuotaExhausted(err):
		return scheduler.StopNoConnection
	}
	return scheduler.StopFailed
}

// renewLease renews a worker's lease and reports the worker's list of runs to the scheduler.
func (l *Leader) renewLease(ctx context.Context, term uint64, renewal scheduler.RenewalAction) {
	id, number := renewal.Worker.ID, renewal.Number
	outcome := scheduler.RenewalFailed
	var answer scheduler.RenewalAnswer
	if l.hasLease(term) {
		bounded, cancel := withTimeout(ctx, l.clock, renewal.Call.Wait+l.opt.Config.RenewalMargin)
		var err error
		answer, err = l.opt.Workers.RenewLease(bounded, renewal.Worker, renewal.Call)
		cancel()
		outcome = renewalOutcomeOf(err)
	}
	l.inbox.enqueueEvent(func(core *scheduler.Core, now time.Duration) {
		core.RenewalAnswered(now, id, number, answer, outcome)
	})
}

// renewalOutcomeOf returns the outcome of a lease renewal whose call returned err.
func renewalOutcomeOf(err error) scheduler.RenewalOutcome {
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
