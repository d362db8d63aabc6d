package store

import (
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// claimResult is what the Book says to a call for a duty.
type claimResult uint8

const (
	claimDenied    claimResult = iota // held by another, or a change of it is under way
	claimRenewed                      // the caller's lease is renewed
	claimGrantable                    // may be granted to the caller: propose command.Grant, then tell Settled
)

// roleLeases is the leader's account of duty leases. It lives in memory only, and only while this node is the
// confirmed leader: Lead opens it, Lose closes it. It has no clock and no lock of its own.
//
// Why no two hold a duty at once: the holder counts its lease from before it sent its call, the book from when
// the call was answered, plus a margin for clocks that do not run equally fast. A new leader does not know when
// its predecessor answered last, but surely that was before it became the confirmed leader itself: it counts
// every lease as granted at that moment. Once a grant or an end of an epoch was proposed, its fate may stay
// unknown: the epoch is never renewed again by this leader.
type roleLeases struct {
	duration, margin time.Duration
	active           bool
	leases           map[string]*roleLease
}

// roleLease is the account of one epoch of a duty.
type roleLease struct {
	epoch            uint64
	expiresAt        time.Duration
	invalidated      bool // a change of it was proposed: no renewal
	proposalInFlight bool // that proposal is under way
}

// newRoleLeases makes a closed book. lease is what holders are told, margin what the book waits longer.
func newRoleLeases(lease, margin time.Duration) *roleLeases {
	return &roleLeases{duration: lease, margin: margin}
}

// BecomeLeader opens the book at the moment this node became the confirmed leader and its state has all that earlier
// leaders committed: all leases count as just granted.
func (b *roleLeases) BecomeLeader(now time.Duration, duties map[string]*state.Role) {
	b.active, b.leases = true, map[string]*roleLease{}
	for name, d := range duties {
		b.leaseOf(now, name, d.Epoch)
	}
}

// StepDown closes the book.
func (b *roleLeases) StepDown() { b.active, b.leases = false, nil }

// Active tells whether this node counts leases.
func (b *roleLeases) Active() bool { return b.active }

// ObserveEpoch takes in that the state shows a duty at an epoch, now. It is told of each grant as it is applied; a
// grant told of late is counted late, which is safe.
func (b *roleLeases) ObserveEpoch(now time.Duration, duty string, epoch uint64) {
	if b.active {
		b.leaseOf(now, duty, epoch)
	}
}

// roleLease gives the account of a duty, begun now if its epoch is new to the book.
func (b *roleLeases) leaseOf(now time.Duration, duty string, epoch uint64) *roleLease {
	p := b.leases[duty]
	if p == nil || p.epoch < epoch {
		p = &roleLease{epoch: epoch, expiresAt: now + b.duration + b.margin}
		b.leases[duty] = p
	}
	return p
}

// Claim judges a call that is answered at now, on the duty as the state shows it. The caller has made sure that
// this node is the confirmed leader at now and that the state is as new as that. On Free the duty is held back
// until Settled. Example:
//
//	if book.Claim(now, held, call) == Mine {
//		return internalapi.DutyAnswer{Mine: true, Epoch: held.Epoch, Lease: lease}
//	}
func (b *roleLeases) Claim(now time.Duration, current state.Role, call internalapi.ClaimRoleCall) claimResult {
	if !b.active {
		return claimDenied
	}
	p := b.leaseOf(now, call.Role, current.Epoch)
	switch {
	case p.epoch != current.Epoch || p.proposalInFlight:
		return claimDenied
	case current.Holder == "": // given up or never granted: nothing runs under it
	case now >= p.expiresAt: // over; also for its holder, who has stopped by itself and begins a new epoch
	case !p.invalidated && call.Epoch == current.Epoch && call.Incarnation == current.Incarnation && call.Holder == current.Holder:
		p.expiresAt = now + b.duration + b.margin
		return claimRenewed
	default:
		return claimDenied
	}
	p.invalidated, p.proposalInFlight = true, true
	return claimGrantable
}

// Release voids an epoch whose holder gives it up; false if it is not the caller's to give up or under change.
func (b *roleLeases) Release(now time.Duration, current state.Role, call internalapi.ClaimRoleCall) bool {
	if !b.active || current.Holder != call.Holder || current.Incarnation != call.Incarnation || current.Epoch != call.Epoch || call.Epoch == 0 {
		return false
	}
	p := b.leaseOf(now, call.Role, current.Epoch)
	if p.epoch != current.Epoch || p.proposalInFlight {
		return false
	}
	p.invalidated, p.proposalInFlight = true, true
	return true
}

// ProposalDone takes in that the proposal about an epoch came back, well or not: others may ask again. The epoch
// stays void, as its proposal may still be committed.
func (b *roleLeases) ProposalDone(duty string, epoch uint64) {
	if p := b.leases[duty]; b.active && p != nil && p.epoch == epoch {
		p.proposalInFlight = false
	}
}
