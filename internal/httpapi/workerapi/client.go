package workerapi

import (
	"context"
	"slices"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

const (
	defaultTimeout = 2 * time.Second  // of a call, not counting the time by which its answer may be delayed
	maxWait        = 30 * time.Second // a longer LeaseRenewal.Wait is reduced to it
)

// Client sends the scheduler's orders to workers. It keeps no state between calls.
type Client struct {
	renewals, starts *rpc.Client
	timeout          time.Duration // of a call, not counting the time by which its answer may be delayed
}

var _ scheduler.Workers = (*Client)(nil)

// NewClient returns a Client that sends starts through a separate rpc.Client, so that lease renewals and stops, which
// keep runs alive or end them, never wait for a connection in use by a start. timeout bounds each call, not counting
// the time that a renewal asks the worker to wait; 0 means defaultTimeout.
func NewClient(renewals, starts *rpc.Client, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{renewals: renewals, starts: starts, timeout: timeout}
}

// Start orders worker to start one run. If the worker answers that it cannot parse the order, Start returns a refusal.
func (c *Client) Start(ctx context.Context, worker jobs.Worker,
	order scheduler.StartOrder) (scheduler.StartAnswer, error) {
	call := StartCall{
		Worker: worker.ID, Run: RunOf(order.Key), Needs: needsOf(order.Needs), Payload: order.Payload,
		Checkpoint: order.Checkpoint, Deadline: order.LeaseDeadline, Token: order.Token,
	}
	answer, err := rpc.Call(ctx, c.starts, worker.Address, StartEndpoint, call, c.timeout)
	if errs.Is(err, errs.Malformed) && rpc.IsRemote(err) {
		return scheduler.StartAnswer{Refusal: scheduler.RefusedInvalid}, nil
	}
	if err != nil {
		return scheduler.StartAnswer{}, errs.Pass(err, "start on %s", worker.ID)
	}
	if err := checkStartAnswer(worker.ID, answer); err != nil {
		return scheduler.StartAnswer{}, errs.Pass(err, "start on %s", worker.ID)
	}
	return scheduler.StartAnswer{Clock: answer.Clock, Refusal: answer.Refused}, nil
}

// Stop orders worker to stop one run.
func (c *Client) Stop(ctx context.Context, worker jobs.Worker, order scheduler.StopOrder) error {
	call := StopCall{Worker: worker.ID, Run: RunOf(order.Key), Token: order.Token}
	answer, err := rpc.Call(ctx, c.renewals, worker.Address, StopEndpoint, call, c.timeout)
	if err != nil {
		return errs.Pass(err, "stop on %s", worker.ID)
	}
	return errs.Pass(checkIdentity(worker.ID, answer.Worker, 0), "stop on %s", worker.ID)
}

// RenewLease renews the lease of worker and returns the lists of its running and ended runs.
func (c *Client) RenewLease(ctx context.Context, worker jobs.Worker,
	renewal scheduler.LeaseRenewal) (scheduler.RenewalAnswer, error) {
	wait := min(max(renewal.Wait, 0), maxWait)
	call := RenewLeaseCall{
		Worker: worker.ID, Token: renewal.Token, AcknowledgedUpTo: renewal.AcknowledgedUpTo,
		Deadline: renewal.LeaseDeadline, Wait: wait,
	}
	answer, err := rpc.Call(ctx, c.renewals, worker.Address, RenewLeaseEndpoint, call, c.timeout+wait)
	if err != nil {
		return scheduler.RenewalAnswer{}, errs.Pass(err, "renew lease on %s", worker.ID)
	}
	lists, err := listsOf(worker.ID, answer)
	return lists, errs.Pass(err, "renew lease on %s", worker.ID)
}

// refusals are the valid values of StartAnswer.Refused; "" means that the worker accepted the start.
var refusals = []scheduler.Refusal{"", scheduler.RefusedFenced, scheduler.RefusedStale, scheduler.RefusedExpired,
	scheduler.RefusedCapacity, scheduler.RefusedInvalid, scheduler.RefusedUnhealthy}

func checkStartAnswer(worker string, answer StartAnswer) error {
	if err := checkIdentity(worker, answer.Worker, answer.Clock); err != nil {
		return errs.Pass(err, "answer")
	}
	if !slices.Contains(refusals, answer.Refused) {
		return errs.Field(errs.Malformed, "refused", "unknown refusal %q", answer.Refused)
	}
	return nil
}

// endReasons are the reasons for which a worker may list a run as ended.
var endReasons = []jobs.EndReason{jobs.EndDone, jobs.EndFailed, jobs.EndStopped, jobs.EndLeaseExpired,
	jobs.EndGangBroken, jobs.EndGangTimeout}

// listsOf validates an answer and returns its lists. The scheduler treats a run that is not listed as ended, so an
// answer that does not name the worker, or lacks a list, is rejected.
func listsOf(worker string, answer RenewLeaseAnswer) (scheduler.RenewalAnswer, error) {
	if err := checkIdentity(worker, answer.Worker, answer.Clock); err != nil {
		return scheduler.RenewalAnswer{}, errs.Pass(err, "answer")
	}
	if answer.Running == nil || answer.Ended == nil {
		return scheduler.RenewalAnswer{}, errs.Field(errs.Malformed, "running", "running and ended are required")
	}
	lists := scheduler.RenewalAnswer{Clock: answer.Clock, Truncated: answer.More}
	for _, r := range answer.Running {
		run := scheduler.ListedRun{Key: r.Run.Key(), Checkpoint: r.Checkpoint, Percent: r.Percent}
		lists.Running = append(lists.Running, run)
	}
	for _, e := range answer.Ended {
		if !slices.Contains(endReasons, e.EndReason) {
			return scheduler.RenewalAnswer{}, errs.Field(errs.Malformed, "ended", "unknown reason %q", e.EndReason)
		}
		lists.Ended = append(lists.Ended, scheduler.EndedRun{
			Sequence: e.Sequence, Key: e.Run.Key(), Reason: e.EndReason, Checkpoint: e.Checkpoint,
		})
	}
	return lists, nil
}

// checkIdentity rejects an answer of another worker, or with a negative clock.
func checkIdentity(worker, answering string, clock time.Duration) error {
	if answering != worker {
		return errs.Field(errs.Malformed, "worker", "must be %q, is %q", worker, answering)
	}
	if clock < 0 {
		return errs.Field(errs.Malformed, "clock", "must not be negative, is %s", clock)
	}
	return nil
}
