package store

import (
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// claimResult is the answer of roleLeases to a call on a role.
type claimResult uint8

const (
	claimDenied    claimResult = iota // another holds it, or a change of it is under way
	claimRenewed                      // the caller's lease is renewed
	claimGrantable                    // the caller may have it: propose command.GrantRole, then call ProposalDone
)

// roleLeases counts the leases of singleton roles. The leadership owns it; guarded by Store.mu. It is active only while
// this node is the confirmed leader, between BecomeLeader and StepDown. It lives in memory only and has no clock.
//
// Why a role never has two holders: the holder counts its lease from before it sent its call, the leader from when it
// answered the call, plus a margin for clocks that do not run equally fast. A new leader does not know when its
// predecessor answered last, but surely that was before it became the confirmed leader itself: it counts every lease
// as granted at that moment. Once a grant or a release of an epoch was proposed, its outcome may stay unknown: this
// leader never renews that epoch again.
type roleLeases struct {
	duration time.Duration // as holders count it
	margin   time.Duration // what is waited beyond that before another is granted the role
	active   bool
	leases   map[string]*roleLease // by role; only while active
}

// roleLease is the lease on one epoch of a role.
type roleLease struct {
	epoch            uint64
	expiresAt        time.Duration
	invalidated      bool // a change of the epoch was proposed: no renewal
	proposalInFlight bool // that proposal has no outcome yet
}

func newRoleLeases(duration, margin time.Duration) *roleLeases {
	return &roleLeases{duration: duration, margin: margin}
}

// BecomeLeader begins the count, at the moment this node became the confirmed leader and its state has all that earlier
// leaders committed: all leases count as just granted.
func (l *roleLeases) BecomeLeader(now time.Duration, roles map[string]*state.Role) {
	l.active, l.leases = true, map[string]*roleLease{}
	for name, r := range roles {
		l.leaseOf(now, name, r.Epoch)
	}
}

// StepDown ends the count.
func (l *roleLeases) StepDown() { l.active, l.leases = false, nil }

// Active tells whether this node counts leases.
func (l *roleLeases) Active() bool { return l.active }

// ObserveEpoch records that the state shows a role at an epoch, now. It is called for each grant as that is applied; a
// grant that is observed late is counted late, which is safe.
func (l *roleLeases) ObserveEpoch(now time.Duration, role string, epoch uint64) {
	if l.active {
		l.leaseOf(now, role, epoch)
	}
}

// leaseOf returns the lease on a role, begun now if its epoch is new here.
func (l *roleLeases) leaseOf(now time.Duration, role string, epoch uint64) *roleLease {
	lease := l.leases[role]
	if lease == nil || lease.epoch < epoch {
		lease = &roleLease{epoch: epoch, expiresAt: now + l.duration + l.margin}
		l.leases[role] = lease
	}
	return lease
}

// Claim decides a call that is answered at now, on the role as the state shows it. The caller has made sure that this
// node is the confirmed leader at now and that the state is as new as that. On claimGrantable the role is reserved
// until ProposalDone. Example:
//
//	if leases.Claim(now, current, call) == claimRenewed {
//		return internalapi.RoleLease{Mine: true, Epoch: current.Epoch, TTL: duration}
//	}
func (l *roleLeases) Claim(now time.Duration, current state.Role, call internalapi.ClaimRoleCall) claimResult {
	if !l.active {
		return claimDenied
	}
	lease := l.leaseOf(now, call.Role, current.Epoch)
	switch {
	case lease.epoch != current.Epoch || lease.proposalInFlight:
		return claimDenied
	case current.Holder == "": // released or never granted: nothing runs under it
	case now >= lease.expiresAt: // also for its holder, who has stopped by itself and begins a new epoch
	case !lease.invalidated && isHolder(current, call):
		lease.expiresAt = now + l.duration + l.margin
		return claimRenewed
	default:
		return claimDenied
	}
	lease.invalidated, lease.proposalInFlight = true, true
	return claimGrantable
}

// Release invalidates an epoch that its holder gives up; false if it is not the caller's or a change is under way.
func (l *roleLeases) Release(now time.Duration, current state.Role, call internalapi.ClaimRoleCall) bool {
	if !l.active || !isHolder(current, call) || call.Epoch == 0 {
		return false
	}
	lease := l.leaseOf(now, call.Role, current.Epoch)
	if lease.epoch != current.Epoch || lease.proposalInFlight {
		return false
	}
	lease.invalidated, lease.proposalInFlight = true, true
	return true
}

// ProposalDone records that the proposal about an epoch came back, well or not: others may claim the role again. The
// epoch stays invalidated, as its proposal may still be committed.
func (l *roleLeases) ProposalDone(role string, epoch uint64) {
	if lease := l.leases[role]; l.active && lease != nil && lease.epoch == epoch {
		lease.proposalInFlight = false
	}
}

// isHolder tells whether the caller holds the role, in this epoch and incarnation.
func isHolder(current state.Role, call internalapi.ClaimRoleCall) bool {
	return call.Epoch == current.Epoch && call.Incarnation == current.Incarnation && call.Holder == current.Holder
}
