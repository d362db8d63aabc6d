package dataplane

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
)

const (
	// claimInterval is the interval between two claims.
	claimInterval = 300 * time.Millisecond
	// claimAttempts is the maximum number of nodes that one claim calls to find the leader.
	claimAttempts = 3
	// maxClaims is the maximum number of claims in flight. They overlap so that the lease does not expire between two
	// slow answers, and so that a claim to an unreachable leader does not delay the one that finds the new leader.
	maxClaims = 4
)

// claimRoleLoop claims the role, or renews its lease, every claimInterval until ctx ends or the node steps down. Up to
// maxClaims claims overlap if answers are slow.
func (n *Node) claimRoleLoop(ctx context.Context) {
	inFlight := make(chan struct{}, maxClaims)
	for ctx.Err() == nil {
		n.mu.Lock()
		stopping := n.stopping
		n.mu.Unlock()
		if stopping {
			return
		}
		select {
		case inFlight <- struct{}{}:
			n.group.Go(func(ctx context.Context) {
				defer func() { <-inFlight }()
				n.claimRole(ctx)
			})
		default:
		}
		if !clock.Sleep(ctx.Done(), n.opt.Clock, claimInterval) {
			return
		}
	}
}

// roleClaim returns the call that renews the grant of epoch, or that requests a new grant if epoch is 0.
func (n *Node) roleClaim(epoch uint64) internalapi.ClaimRoleCall {
	return internalapi.ClaimRoleCall{Role: state.SchedulerRole, Holder: n.opt.Name, Addr: n.opt.Addr,
		Incarnation: n.opt.Incarnation, Epoch: epoch}
}

// claimRole makes one claim at the leader of the store. The lease is counted from before the call was sent, so that it
// ends on this node before it ends on the leader.
func (n *Node) claimRole(ctx context.Context) {
	n.mu.Lock()
	epoch := n.grantedEpoch
	n.mu.Unlock()
	for range claimAttempts {
		addr, sentAt := n.controlPlane.leaderAddr(), n.opt.Clock.Now()
		lease, err := rpc.Call(ctx, n.opt.Caller, addr, internalapi.ClaimRole, n.roleClaim(epoch), n.opt.CallTimeout)
		n.controlPlane.learnLeader(addr, err)
		switch {
		case err == nil && lease.Mine:
			if err := n.acceptGrant(ctx, lease, sentAt); err != nil {
				_ = level.Warn(n.opt.Logger).Log("msg", "grant of the role not usable yet", "role", state.SchedulerRole,
					"epoch", lease.Epoch, "err", err)
			}
			return
		case err == nil:
			n.handleRoleLost(lease)
			return
		case !errs.Is(err, errs.NotLeader) && !rpc.IsUnsent(err):
			_ = level.Debug(n.opt.Logger).Log("msg", "claim of the role failed", "role", state.SchedulerRole,
				"err", err)
			return
		}
	}
}

// acceptGrant lets the scheduler act under a grant, or under its renewed lease. The replica must reach the grant's
// index first, because only then does it have all handles of earlier epochs. A grant older than this node's newest is
// ignored. acceptGrant fails with errs.Stale if the replica has another grant already, and with the error of
// WaitForIndex if the replica is behind.
func (n *Node) acceptGrant(ctx context.Context, lease internalapi.RoleLease, sentAt time.Duration) error {
	n.mu.Lock()
	isStale := lease.Epoch < n.grantedEpoch // the answers to overlapping claims may arrive in any order
	n.grantedEpoch = max(n.grantedEpoch, lease.Epoch)
	n.mu.Unlock()
	if isStale {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	if err := n.replica.WaitForIndex(waitCtx, lease.Epoch); err != nil {
		return errs.Pass(err, "grant %d", lease.Epoch)
	}
	st := n.replica.Lock()
	defer n.replica.Unlock()
	role := st.Roles[state.SchedulerRole]
	if role == nil || role.Epoch != lease.Epoch || role.Incarnation != n.opt.Incarnation {
		return errs.New(errs.Stale, "grant %d has ended", lease.Epoch)
	}
	if n.scheduler.Epoch() != lease.Epoch {
		n.scheduler.BecomeLeader(n.opt.Clock.Now(), lease.Epoch)
		_ = level.Info(n.opt.Logger).Log("msg", "role acquired", "role", state.SchedulerRole, "epoch", lease.Epoch,
			"handles", len(st.Handles), "queue", n.scheduler.QueueLength())
	}
	if until := sentAt + lease.TTL; lease.Epoch > n.leaseEpoch || until > n.leaseUntil {
		n.leaseEpoch, n.leaseUntil = lease.Epoch, until
		n.scheduler.SetRoleLease(until)
	}
	n.wake()
	return nil
}

// handleRoleLost stops the scheduler if another node has the role. It ignores an answer whose epoch is not newer than
// this node's grant. Such an answer was made before the grant, or says that the grant has ended without a successor;
// then the scheduler stops when the lease expires.
func (n *Node) handleRoleLost(lease internalapi.RoleLease) {
	n.mu.Lock()
	lostEpoch := n.grantedEpoch
	if lostEpoch == 0 || lease.Epoch <= lostEpoch {
		n.mu.Unlock()
		return
	}
	n.grantedEpoch = 0
	n.mu.Unlock()
	n.stopScheduler()
	_ = level.Info(n.opt.Logger).Log("msg", "role lost", "role", state.SchedulerRole, "epoch", lostEpoch,
		"holder", lease.Holder, "now", lease.Epoch)
}

// StepDown makes the node permanently not ready and releases the role, so that another node can acquire it at once.
func (n *Node) StepDown(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	epoch := n.grantedEpoch
	n.mu.Unlock()
	if epoch == 0 {
		return
	}
	n.stopScheduler()
	ctx, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	release := n.roleClaim(epoch)
	release.Release = true
	_, err := callLeader(ctx, n.controlPlane, internalapi.ClaimRole, release, n.opt.CallTimeout, retryIdempotent)
	if err != nil {
		_ = level.Warn(n.opt.Logger).Log("msg", "release of the role failed, its lease will expire",
			"role", state.SchedulerRole, "epoch", epoch, "err", err)
	}
}

// stopScheduler ends the scheduler's work under this node's grant.
func (n *Node) stopScheduler() {
	n.replica.Lock()
	n.scheduler.StepDown()
	n.replica.Unlock()
}
