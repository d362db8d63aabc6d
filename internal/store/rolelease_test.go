package store

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

const (
	testLease  = 3 * time.Second
	testMargin = 300 * time.Millisecond
)

func TestRoleLeases_grantAndRenew(t *testing.T) {
	Convey("Given active leases and a role that a holds", t, func() {
		var clock clock.Virtual
		leases := newRoleLeases(testLease, testMargin)
		current := state.Role{Holder: "a", Incarnation: "1", Epoch: 7}
		roles := map[string]*state.Role{"sched": &current}
		a := internalapi.ClaimRoleCall{Role: "sched", Holder: "a", Incarnation: "1", Epoch: 7}
		b := internalapi.ClaimRoleCall{Role: "sched", Holder: "b", Incarnation: "1"}
		claim := func(c internalapi.ClaimRoleCall) claimResult { return leases.Claim(clock.Now(), current, c) }
		So(claim(a), ShouldEqual, claimDenied)
		leases.BecomeLeader(clock.Now(), roles)

		Convey("The holder renews, and no other node is granted the role before lease and margin have expired", func() {
			clock.Advance(testLease)
			So(claim(b), ShouldEqual, claimDenied)
			So(claim(a), ShouldEqual, claimRenewed)
			clock.Advance(testLease + testMargin - 1)
			So(claim(b), ShouldEqual, claimDenied)
			clock.Advance(1)
			So(claim(b), ShouldEqual, claimGrantable)
			Convey("Then the old epoch is never renewed again, whatever the outcome of the grant", func() {
				So(claim(a), ShouldEqual, claimDenied)
				So(claim(b), ShouldEqual, claimDenied) // one proposal at a time
				leases.ProposalDone("sched", 7)
				So(leases.Release(clock.Now(), current, a), ShouldBeTrue)
				leases.ProposalDone("sched", 7)
				So(claim(a), ShouldEqual, claimGrantable) // as a candidate for a new epoch
			})
		})
		Convey("A new incarnation of the holder waits like any other node", func() {
			restarted := a
			restarted.Incarnation = "2"
			So(claim(restarted), ShouldEqual, claimDenied)
			So(leases.Release(clock.Now(), current, restarted), ShouldBeFalse)
			clock.Advance(testLease + testMargin)
			So(claim(restarted), ShouldEqual, claimGrantable)
		})
		Convey("A new leader counts the lease as just granted", func() {
			clock.Advance(testLease)
			leases.StepDown()
			So(claim(a), ShouldEqual, claimDenied)
			clock.Advance(testLease)
			leases.BecomeLeader(clock.Now(), roles)
			So(claim(b), ShouldEqual, claimDenied)
			So(claim(a), ShouldEqual, claimRenewed)
		})
		Convey("A released role can be granted at once, and its epoch is never renewed", func() {
			So(leases.Release(clock.Now(), current, a), ShouldBeTrue)
			So(claim(a), ShouldEqual, claimDenied)
			leases.ProposalDone("sched", 7)
			So(claim(a), ShouldEqual, claimDenied) // the release may still be committed
			current = state.Role{Epoch: 9}
			So(claim(b), ShouldEqual, claimGrantable)
		})
	})
}

// TestRoleLeases_neverTwoHolders runs random sequences of renewals, expiries, grants whose answers are lost and leader
// changes. At no time may two nodes have a valid lease, where each node counts its lease from before it sent its call.
func TestRoleLeases_neverTwoHolders(t *testing.T) {
	Convey("Over many seeds no two nodes hold the role at once", t, func() {
		maxHolders, grants := 0, 0
		for seed := range uint64(400) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			var clock clock.Virtual
			leases := newRoleLeases(testLease, testMargin)
			var current state.Role
			type node struct {
				epoch uint64
				until time.Duration
			}
			nodes := [3]node{}
			index := uint64(0)
			leases.BecomeLeader(0, nil)
			for range 300 {
				i := rnd.IntN(len(nodes))
				sentAt := clock.Now()
				clock.Advance(time.Duration(rnd.Int64N(int64(2 * testLease / 3))))
				call := internalapi.ClaimRoleCall{Role: "sched", Holder: string(rune('a' + i)), Incarnation: "1",
					Epoch: nodes[i].epoch}
				answerLost := rnd.IntN(4) == 0
				switch rnd.IntN(12) {
				case 0: // the leader fails; the next one has only the replicated state
					leases.StepDown()
					clock.Advance(time.Duration(rnd.Int64N(int64(testLease))))
					leases.BecomeLeader(clock.Now(), map[string]*state.Role{"sched": &current})
					continue
				case 1:
					if nodes[i].until > sentAt && nodes[i].epoch == current.Epoch {
						nodes[i].until = 0
						if leases.Release(clock.Now(), current, call) && !answerLost {
							index++
							current = state.Role{Epoch: index}
						}
						leases.ProposalDone("sched", call.Epoch)
					}
					continue
				}
				before := current.Epoch
				decision := leases.Claim(clock.Now(), current, call)
				if decision == claimGrantable {
					grants++
					index++
					current = state.Role{Holder: call.Holder, Incarnation: "1", Epoch: index}
					leases.ObserveEpoch(clock.Now(), "sched", index)
					leases.ProposalDone("sched", before)
				}
				if decision != claimDenied && !answerLost {
					nodes[i] = node{current.Epoch, sentAt + testLease}
				}
				holders := 0
				for _, n := range nodes {
					if n.until > clock.Now() {
						holders++
					}
				}
				maxHolders = max(maxHolders, holders)
			}
		}
		So(maxHolders, ShouldEqual, 1)
		So(grants, ShouldBeGreaterThan, 400)
	})
}
