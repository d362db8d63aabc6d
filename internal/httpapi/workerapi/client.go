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
	defaultTimeout = 2 * time.Second // bound of a call, besides the time that its answer may be kept back
	maxWait        = 30 * time.Second
)

// Client carries the scheduler's orders to workers.
type Client struct {
	renewals, starts *rpc.Client
	timeout          time.Duration
}

var _ scheduler.Workers = (*Client)(nil)

// NewClient makes a client whose starts are carried by a caller of their own: hold calls and stops, which keep work alive or end
// it, wait for no start's connection. within bounds each call, besides the time that a hold call may wait; 0 takes a default.
func NewClient(renewals, starts *rpc.Client, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{renewals: renewals, starts: starts, timeout: timeout}
}

// Start tells worker to start one run.
func (c *Client) Start(ctx context.Context, worker jobs.Worker, order scheduler.StartOrder) (scheduler.StartAnswer, error) {
	call := StartCall{Worker: worker.ID, Run: RunOf(order.Key), Needs: NeedsOf(order.Needs), Payload: order.Payload,
		Checkpoint: order.Checkpoint, Deadline: order.LeaseDeadline, Token: order.Token}
	answer, err := rpc.Call(ctx, c.starts, worker.Address, StartEndpoint, call, c.timeout)
	if errs.Is(err, errs.Malformed) && rpc.IsRemote(err) {
		return scheduler.StartAnswer{Refusal: scheduler.RefusedInvalid}, nil
	}
	if err != nil {
		return scheduler.StartAnswer{}, errs.Pass(err, "start on %s", worker.ID)
	}
	if err := checkStart(worker.ID, answer); err != nil {
		return scheduler.StartAnswer{}, errs.Pass(err, "start on %s", worker.ID)
	}
	return scheduler.StartAnswer{Clock: answer.Clock, Refusal: answer.Refused}, nil
}

// refusals are the reasons that a worker may give.
var refusals = []scheduler.Refusal{"", scheduler.RefusedFenced, scheduler.RefusedStale, scheduler.RefusedExpired, scheduler.RefusedCapacity,
	scheduler.RefusedInvalid, scheduler.RefusedUnhealthy}

func checkStart(worker string, answer StartAnswer) error {
	if err := checkAnswer(worker, answer.Worker, answer.Clock); err != nil {
		return errs.Pass(err, "answer")
	}
	if !slices.Contains(refusals, answer.Refused) {
		return errs.Field(errs.Malformed, "refused", "%q is not known", answer.Refused)
	}
	return nil
}

// Stop tells worker to stop one run.
func (c *Client) Stop(ctx context.Context, worker jobs.Worker, order scheduler.StopOrder) error {
	call := StopCall{Worker: worker.ID, Run: RunOf(order.Key), Token: order.Token}
	answer, err := rpc.Call(ctx, c.renewals, worker.Address, StopEndpoint, call, c.timeout)
	if err != nil {
		return errs.Pass(err, "stop on %s", worker.ID)
	}
	return errs.Pass(checkAnswer(worker.ID, answer.Worker, 0), "stop on %s", worker.ID)
}

// Hold renews the lease of worker and asks for its lists.
func (c *Client) RenewLease(ctx context.Context, worker jobs.Worker, call scheduler.LeaseRenewal) (scheduler.RenewalAnswer, error) {
	wait := min(max(call.Wait, 0), maxWait)
	sent := RenewLeaseCall{Worker: worker.ID, Token: call.Token, AcknowledgedUpTo: call.AcknowledgedUpTo, Deadline: call.LeaseDeadline, Wait: wait}
	answer, err := rpc.Call(ctx, c.renewals, worker.Address, RenewLeaseEndpoint, sent, c.timeout+wait)
	if err != nil {
		return scheduler.RenewalAnswer{}, errs.Pass(err, "hold on %s", worker.ID)
	}
	lists, err := listsOf(worker.ID, answer)
	return lists, errs.Pass(err, "hold on %s", worker.ID)
}

// listsOf checks an answer and gives its lists. A run that is not listed counts as over: an answer that does not name
// the worker, or has no lists, is none.
func listsOf(worker string, answer RenewLeaseAnswer) (scheduler.RenewalAnswer, error) {
	if err := checkAnswer(worker, answer.Worker, answer.Clock); err != nil {
		return scheduler.RenewalAnswer{}, errs.Pass(err, "answer")
	}
	if answer.Running == nil || answer.Ended == nil {
		return scheduler.RenewalAnswer{}, errs.Field(errs.Malformed, "running", "both lists must be given")
	}
	lists := scheduler.RenewalAnswer{Clock: answer.Clock, Full: answer.More}
	for _, r := range answer.Running {
		lists.Running = append(lists.Running, scheduler.ListedRun{Key: r.Run.Key(), Checkpoint: r.Checkpoint, Percent: r.Percent})
	}
	for _, e := range answer.Ended {
		if !slices.Contains(endReasons, e.EndReason) {
			return scheduler.RenewalAnswer{}, errs.Field(errs.Malformed, "ended", "%q is not known", e.EndReason)
		}
		lists.Ended = append(lists.Ended, scheduler.EndedRun{Sequence: e.Sequence, Key: e.Run.Key(), Reason: e.EndReason, Checkpoint: e.Checkpoint})
	}
	return lists, nil
}

// endReasons are the ends that a worker may tell.
var endReasons = []jobs.EndReason{jobs.EndDone, jobs.EndFailed, jobs.EndStopped, jobs.EndLeaseExpired, jobs.EndGangBroken, jobs.EndGangTimeout}

// checkAnswer refuses an answer that is not the worker's own.
func checkAnswer(worker, answers string, clock time.Duration) error {
	if answers != worker {
		return errs.Field(errs.Malformed, "worker", "must be %q, is %q", worker, answers)
	}
	if clock < 0 {
		return errs.Field(errs.Malformed, "clock", "must not be negative, is %s", clock)
	}
	return nil
}
