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
	// claimInterval is the pause between two claims.
	claimInterval = 300 * time.Millisecond
	// claimAttempts bounds how often one claim follows a hint to another node.
	claimAttempts = 3
	// maxClaims bounds the claims in flight: a slow path to the leader must not let the lease run out between two
	// answers, and a dead one must not keep the next claim from finding the new leader.
	maxClaims = 4
)

// claimRoleLoop claims the role, or renews its lease, every claimInterval until ctx ends or the node steps down. Claims
// overlap when answers are slow, up to maxClaims.
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

// roleClaim returns the call that renews the grant of epoch, or claims the role anew if epoch is 0.
func (n *Node) roleClaim(epoch uint64) internalapi.ClaimRoleCall {
	return internalapi.ClaimRoleCall{Role: state.SchedulerRole, Holder: n.opt.Name, Addr: n.opt.Addr,
		Incarnation: n.opt.Incarnation, Epoch: epoch}
}

// claimRole makes one claim at the leader of the store. The lease counts from before the call was sent, so that it ends
// here before it ends at the leader.
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
			n.roleLost(lease)
			return
		case !errs.Is(err, errs.NotLeader) && !rpc.IsUnsent(err):
			_ = level.Debug(n.opt.Logger).Log("msg", "claim of the role failed", "role", state.SchedulerRole,
				"err", err)
			return
		}
	}
}

// acceptGrant makes the scheduler act under a grant, or under its renewed lease. The replica must reach the grant's
// index first: only then does it have all handles of earlier epochs. It fails with errs.Stale if another grant has
// followed already, and with the error of WaitForIndex if the replica is behind.
func (n *Node) acceptGrant(ctx context.Context, lease internalapi.RoleLease, sentAt time.Duration) error {
	n.mu.Lock()
	stale := lease.Epoch < n.grantedEpoch // the answers to claims in flight at once may arrive in any order
	n.grantedEpoch = max(n.grantedEpoch, lease.Epoch)
	n.mu.Unlock()
	if stale {
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
		return errs.New(errs.Stale, "grant %d is over", lease.Epoch)
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

// roleLost stops the scheduler if another node has the role. An answer whose epoch is not newer than this node's grant
// was made before the grant, or announces that the epoch ends: then the lease runs out without further action.
func (n *Node) roleLost(lease internalapi.RoleLease) {
	n.mu.Lock()
	had := n.grantedEpoch
	if had == 0 || lease.Epoch <= had {
		n.mu.Unlock()
		return
	}
	n.grantedEpoch = 0
	n.mu.Unlock()
	n.stopScheduler()
	_ = level.Info(n.opt.Logger).Log("msg", "role lost", "role", state.SchedulerRole, "epoch", had,
		"holder", lease.Holder, "now", lease.Epoch)
}

// StepDown makes the node unready and releases the role, so that another node can take it at once.
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

func (n *Node) stopScheduler() {
	n.replica.Lock()
	n.scheduler.StepDown()
	n.replica.Unlock()
}
