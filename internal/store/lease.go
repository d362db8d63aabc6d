package store

import (
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// Verdict is what the Book says to a call for a duty.
type Verdict uint8

const (
	Theirs Verdict = iota // held by another, or a change of it is under way
	Mine                  // the caller's lease is renewed
	Free                  // may be granted to the caller: propose command.Grant, then tell Settled
)

// Book is the leader's account of duty leases. It lives in memory only, and only while this node is the
// confirmed leader: Lead opens it, Lose closes it. It has no clock and no lock of its own.
//
// Why no two hold a duty at once: the holder counts its lease from before it sent its call, the book from when
// the call was answered, plus a margin for clocks that do not run equally fast. A new leader does not know when
// its predecessor answered last, but surely that was before it became the confirmed leader itself: it counts
// every lease as granted at that moment. Once a grant or an end of an epoch was proposed, its fate may stay
// unknown: the epoch is never renewed again by this leader.
type Book struct {
	lease, margin time.Duration
	open          bool
	pages         map[string]*page
}

// page is the account of one epoch of a duty.
type page struct {
	epoch uint64
	until time.Duration
	void  bool // a change of it was proposed: no renewal
	busy  bool // that proposal is under way
}

// NewBook makes a closed book. lease is what holders are told, margin what the book waits longer.
func NewBook(lease, margin time.Duration) *Book { return &Book{lease: lease, margin: margin} }

// Lead opens the book at the moment this node became the confirmed leader and its state has all that earlier
// leaders committed: all leases count as just granted.
func (b *Book) Lead(now time.Duration, duties map[string]*state.Duty) {
	b.open, b.pages = true, map[string]*page{}
	for name, d := range duties {
		b.page(now, name, d.Epoch)
	}
}

// Lose closes the book.
func (b *Book) Lose() { b.open, b.pages = false, nil }

// Open tells whether this node counts leases.
func (b *Book) Open() bool { return b.open }

// Seen takes in that the state shows a duty at an epoch, now. It is told of each grant as it is applied; a
// grant told of late is counted late, which is safe.
func (b *Book) Seen(now time.Duration, duty string, epoch uint64) {
	if b.open {
		b.page(now, duty, epoch)
	}
}

// page gives the account of a duty, begun now if its epoch is new to the book.
func (b *Book) page(now time.Duration, duty string, epoch uint64) *page {
	p := b.pages[duty]
	if p == nil || p.epoch < epoch {
		p = &page{epoch: epoch, until: now + b.lease + b.margin}
		b.pages[duty] = p
	}
	return p
}

// Ask judges a call that is answered at now, on the duty as the state shows it. The caller has made sure that
// this node is the confirmed leader at now and that the state is as new as that. On Free the duty is held back
// until Settled. Example:
//
//	if book.Ask(now, held, call) == Mine {
//		return internalapi.DutyAnswer{Mine: true, Epoch: held.Epoch, Lease: lease}
//	}
func (b *Book) Ask(now time.Duration, held state.Duty, call internalapi.DutyCall) Verdict {
	if !b.open {
		return Theirs
	}
	p := b.page(now, call.Duty, held.Epoch)
	switch {
	case p.epoch != held.Epoch || p.busy:
		return Theirs
	case held.Holder == "": // given up or never granted: nothing runs under it
	case now >= p.until: // over; also for its holder, who has stopped by itself and begins a new epoch
	case !p.void && call.Epoch == held.Epoch && call.Boot == held.Boot && call.Holder == held.Holder:
		p.until = now + b.lease + b.margin
		return Mine
	default:
		return Theirs
	}
	p.void, p.busy = true, true
	return Free
}

// End voids an epoch whose holder gives it up; false if it is not the caller's to give up or under change.
func (b *Book) End(now time.Duration, held state.Duty, call internalapi.DutyCall) bool {
	if !b.open || held.Holder != call.Holder || held.Boot != call.Boot || held.Epoch != call.Epoch || call.Epoch == 0 {
		return false
	}
	p := b.page(now, call.Duty, held.Epoch)
	if p.epoch != held.Epoch || p.busy {
		return false
	}
	p.void, p.busy = true, true
	return true
}

// Settled takes in that the proposal about an epoch came back, well or not: others may ask again. The epoch
// stays void, as its proposal may still be committed.
func (b *Book) Settled(duty string, epoch uint64) {
	if p := b.pages[duty]; b.open && p != nil && p.epoch == epoch {
		p.busy = false
	}
}
