package store

import (
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// claimResult is the result of a claim on a role.
type claimResult uint8

const (
	claimDenied    claimResult = iota // another node holds the lease, or a proposal about the role is in flight
	claimRenewed                      // the caller's lease is renewed
	claimGrantable                    // reserved for the caller: propose the command, then call ProposalDone
)

// roleLeases keeps the leases of singleton roles, in memory only. It has no clock: callers pass the time. leadership
// owns it; guarded by Store.mu.
//
// It is active from BecomeLeader to StepDown. BecomeLeader is called once this node is the confirmed leader: it holds a
// valid leader lease and has applied every entry that earlier leaders committed. StepDown is called when it no longer
// leads. In between, its leader lease may expire, so the caller of Claim and Release must check the leader lease.
//
// A role never has two holders, because a holder counts its lease from before it sent its call, while the leader counts
// from its answer and adds a margin for clock drift. A new leader does not know when its predecessor last answered, but
// that was before the new leader's own lease became valid. So BecomeLeader treats every lease as granted at the time of
// that call. Once a command that ends an epoch (a grant or a release) was proposed, its outcome may stay unknown, so
// this leader never renews that epoch again.
type roleLeases struct {
	duration time.Duration // of a lease, as its holder counts it
	margin   time.Duration // added by the leader, for clock drift
	active   bool
	leases   map[string]*roleLease // by role; only while active
}

// roleLease is the lease on one epoch of a role.
type roleLease struct {
	epoch            uint64
	expiresAt        time.Duration
	invalidated      bool // a grant or release that ends the epoch was proposed, so it is never renewed
	proposalInFlight bool // that proposal has no outcome yet
}

func newRoleLeases(duration, margin time.Duration) *roleLeases {
	return &roleLeases{duration: duration, margin: margin}
}

// BecomeLeader activates the leases and treats each as granted now. It must be called once this node is the confirmed
// leader; roles are those of the live state.
func (l *roleLeases) BecomeLeader(now time.Duration, roles map[string]*state.Role) {
	l.active, l.leases = true, map[string]*roleLease{}
	for name, r := range roles {
		l.leaseOf(now, name, r.Epoch)
	}
}

// StepDown drops all leases until the next BecomeLeader.
func (l *roleLeases) StepDown() { l.active, l.leases = false, nil }

// Active reports whether the leases are active.
func (l *roleLeases) Active() bool { return l.active }

// ObserveEpoch starts a lease on a role's epoch now, if the epoch is new. It is called for each grant when it is
// applied; the lease of a grant observed late expires late, which is safe.
func (l *roleLeases) ObserveEpoch(now time.Duration, role string, epoch uint64) {
	if l.active {
		l.leaseOf(now, role, epoch)
	}
}

// leaseOf returns the lease on a role. If epoch is newer than that of the known lease, it starts a new lease now.
func (l *roleLeases) leaseOf(now time.Duration, role string, epoch uint64) *roleLease {
	lease := l.leases[role]
	if lease == nil || lease.epoch < epoch {
		lease = &roleLease{epoch: epoch, expiresAt: now + l.duration + l.margin}
		l.leases[role] = lease
	}
	return lease
}

// Claim decides a claim that is answered at now; current is the role in the live state. The caller must have checked
// that this node holds a valid leader lease at now and that the live state includes every entry committed by earlier
// leaders. On claimGrantable the role is reserved until ProposalDone. Example:
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
	case current.Holder == "": // released or never granted: the epoch has no holder
	case now >= lease.expiresAt: // expired for the holder too, which has stopped and needs a new epoch
	case !lease.invalidated && isHolder(current, call):
		lease.expiresAt = now + l.duration + l.margin
		return claimRenewed
	default:
		return claimDenied
	}
	lease.invalidated, lease.proposalInFlight = true, true
	return claimGrantable
}

// Release invalidates an epoch that its holder releases, and reserves the role until ProposalDone. It returns false if
// the caller does not hold the epoch or a proposal about it is in flight.
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

// ProposalDone ends the reservation of a role, whatever the outcome of the proposal. The epoch stays invalidated, as
// its proposal may still be committed.
func (l *roleLeases) ProposalDone(role string, epoch uint64) {
	if lease := l.leases[role]; l.active && lease != nil && lease.epoch == epoch {
		lease.proposalInFlight = false
	}
}

// isHolder reports whether the caller holds the role in its current epoch, under the same incarnation.
func isHolder(current state.Role, call internalapi.ClaimRoleCall) bool {
	return call.Epoch == current.Epoch && call.Incarnation == current.Incarnation && call.Holder == current.Holder
}
