package dataplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/state/command"
)

const (
	// passInterval is the maximum interval between two passes.
	passInterval = 20 * time.Millisecond
	// planRetryInterval is the delay of the pass after a failed plan.
	planRetryInterval = 20 * time.Millisecond
)

// workerConns has the two connections to a worker: pollConn carries calls whose answers the worker may delay, orderConn
// those with starts, which the worker answers at once.
type workerConns struct {
	addr                string
	pollConn, orderConn *rpc.DedicatedConn
}

// wake makes passLoop run a pass soon. It never blocks.
func (n *Node) wake() {
	select {
	case n.wakeups <- struct{}{}:
	default:
	}
}

// passLoop runs the scheduler's passes: after each wake, and at least every passInterval.
func (n *Node) passLoop(ctx context.Context) {
	for ctx.Err() == nil {
		timer := n.opt.Clock.Set(passInterval, n.wake)
		select {
		case <-n.wakeups:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		n.replica.Lock()
		actions := n.scheduler.Pass(n.opt.Clock.Now())
		n.replica.Unlock()
		if actions.Plan != nil {
			n.group.Go(func(ctx context.Context) { n.commitPlan(ctx, actions.Plan) })
		}
		for _, call := range actions.Calls {
			n.group.Go(func(ctx context.Context) { n.sendCall(ctx, call) })
		}
	}
}

// commitPlan proposes a plan, and passes the answer to the scheduler once the replica has the plan's changes. A plan is
// not idempotent, so it is not proposed again: after a failure the scheduler makes another one.
func (n *Node) commitPlan(ctx context.Context, plan *command.Plan) {
	planned, err := n.proposePlan(ctx, plan)
	if err != nil {
		_ = level.Warn(n.opt.Logger).Log("msg", "plan failed", "epoch", plan.Epoch, "err", err)
		_ = clock.Sleep(ctx.Done(), n.opt.Clock, planRetryInterval) // no need to check ctx: passLoop ends with it
	}
	n.replica.Lock()
	n.scheduler.PlanAnswered(n.opt.Clock.Now(), plan.Epoch, planned, err)
	n.replica.Unlock()
	n.wake()
}

// proposePlan proposes a plan, and returns its answer once the replica has the plan's changes.
func (n *Node) proposePlan(ctx context.Context, plan *command.Plan) (planned command.Planned, err error) {
	answer, err := n.controlPlane.propose(ctx, plan, retryUnexecuted)
	if err != nil {
		return planned, errs.Pass(err, "plan")
	}
	waitCtx, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	if err := n.replica.WaitForIndex(waitCtx, answer.Index); err != nil {
		return planned, errs.Pass(err, "plan")
	}
	err = json.Unmarshal(answer.Answer, &planned)
	return planned, errs.Wrap(err, errs.Malformed, "decode the answer to a plan")
}

// sendCall makes one lease call and passes its outcome to the scheduler.
func (n *Node) sendCall(ctx context.Context, c scheduler.OutgoingCall) {
	timeout := c.Call.Wait + n.opt.CallTimeout/2
	answer, err := rpc.CallDedicated(ctx, n.connTo(c), internalapi.RenewLease, c.Call, timeout, n.sendCheck(c))
	now := n.opt.Clock.Now()
	n.replica.Lock()
	if err != nil {
		n.scheduler.CallFailed(now, c, !rpc.IsUnsent(err))
	} else {
		n.scheduler.CallAnswered(now, c, answer)
	}
	n.replica.Unlock()
	if err != nil {
		_ = level.Debug(n.opt.Logger).Log("msg", "lease call failed", "worker", c.Worker, "call", c.Call.Call,
			"starts", len(c.Call.Starts), "err", err)
	}
	n.wake()
}

// sendCheck returns the check that rpc runs immediately before each write of a call's bytes. It fails if the role's
// lease has ended or if the deadline for sending the call's starts has passed. Then no further byte is written, and the
// call counts as unsent if none was written before.
func (n *Node) sendCheck(c scheduler.OutgoingCall) func() error {
	return func() error {
		now := n.opt.Clock.Now()
		n.replica.Lock()
		mayAct := n.scheduler.MayAct(now) && n.scheduler.Epoch() == c.Call.Epoch
		n.replica.Unlock()
		if !mayAct {
			return errs.New(errs.Stale, "the lease of the role has ended")
		}
		if c.WriteBy > 0 && now >= c.WriteBy {
			return errs.New(errs.Stale, "the deadline for sending these starts has passed")
		}
		return nil
	}
}

// connTo returns the connection for a call. If the worker's address has changed, it replaces both connections.
func (n *Node) connTo(c scheduler.OutgoingCall) *rpc.DedicatedConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conns := n.workerConns[c.Worker]
	if conns == nil || conns.addr != c.Addr {
		if conns != nil {
			conns.pollConn.Close()
			conns.orderConn.Close()
		}
		conns = &workerConns{
			addr:      c.Addr,
			pollConn:  rpc.NewDedicatedConn(n.opt.WorkerCaller, c.Addr),
			orderConn: rpc.NewDedicatedConn(n.opt.WorkerCaller, c.Addr),
		}
		n.workerConns[c.Worker] = conns
	}
	if c.IsOrder {
		return conns.orderConn
	}
	return conns.pollConn
}
