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

func TestRoleLeases(t *testing.T) {
	Convey("Given active leases and a role that a holds", t, func() {
		var clock clock.Virtual
		leases := newRoleLeases(testLease, testMargin)
		current := state.Role{Holder: "a", Incarnation: "1", Epoch: 7}
		roles := map[string]*state.Role{"sched": &current}
		a := internalapi.ClaimRoleCall{Role: "sched", Holder: "a", Incarnation: "1", Epoch: 7}
		b := internalapi.ClaimRoleCall{Role: "sched", Holder: "b", Incarnation: "1"}
		ask := func(c internalapi.ClaimRoleCall) claimResult { return leases.Claim(clock.Now(), current, c) }
		So(ask(a), ShouldEqual, claimDenied)
		leases.BecomeLeader(clock.Now(), roles)

		Convey("the holder renews and no other is granted before lease and margin are over", func() {
			clock.Advance(testLease)
			So(ask(b), ShouldEqual, claimDenied)
			So(ask(a), ShouldEqual, claimRenewed)
			clock.Advance(testLease + testMargin - 1)
			So(ask(b), ShouldEqual, claimDenied)
			clock.Advance(1)
			So(ask(b), ShouldEqual, claimGrantable)
			Convey("and then the old epoch is never renewed again, whatever the grant's outcome", func() {
				So(ask(a), ShouldEqual, claimDenied)
				So(ask(b), ShouldEqual, claimDenied) // one proposal at a time
				leases.ProposalDone("sched", 7)
				So(leases.Release(clock.Now(), current, a), ShouldBeTrue)
				leases.ProposalDone("sched", 7)
				So(ask(a), ShouldEqual, claimGrantable) // as a candidate for a new epoch
			})
		})
		Convey("a new incarnation of the holder waits like any other", func() {
			again := a
			again.Incarnation = "2"
			So(ask(again), ShouldEqual, claimDenied)
			So(leases.Release(clock.Now(), current, again), ShouldBeFalse)
			clock.Advance(testLease + testMargin)
			So(ask(again), ShouldEqual, claimGrantable)
		})
		Convey("a new leader counts it as just granted", func() {
			clock.Advance(testLease)
			leases.StepDown()
			So(ask(a), ShouldEqual, claimDenied)
			clock.Advance(testLease)
			leases.BecomeLeader(clock.Now(), roles)
			So(ask(b), ShouldEqual, claimDenied)
			So(ask(a), ShouldEqual, claimRenewed)
		})
		Convey("a released role is free at once, and its epoch over", func() {
			So(leases.Release(clock.Now(), current, a), ShouldBeTrue)
			So(ask(a), ShouldEqual, claimDenied)
			leases.ProposalDone("sched", 7)
			So(ask(a), ShouldEqual, claimDenied) // the end may still be committed
			current = state.Role{Epoch: 9}
			So(ask(b), ShouldEqual, claimGrantable)
		})
	})
}

// Every order of renewals, expiries, grants whose answers are lost and changes of leader, by seeds: no two
// holders believe that they have the role at once, each counting its own lease from before it sent its call.
func TestRoleLeases_neverTwoHolders(t *testing.T) {
	Convey("Over many seeds no two nodes hold the role at once", t, func() {
		worst, grants := 0, 0
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
				sent := clock.Now()
				clock.Advance(time.Duration(rnd.Int64N(int64(2 * testLease / 3))))
				call := internalapi.ClaimRoleCall{Role: "sched", Holder: string(rune('a' + i)), Incarnation: "1", Epoch: nodes[i].epoch}
				lost := rnd.IntN(4) == 0
				switch rnd.IntN(12) {
				case 0: // the leader falls; the next one knows only the state
					leases.StepDown()
					clock.Advance(time.Duration(rnd.Int64N(int64(testLease))))
					leases.BecomeLeader(clock.Now(), map[string]*state.Role{"sched": &current})
					continue
				case 1:
					if nodes[i].until > sent && nodes[i].epoch == current.Epoch {
						nodes[i].until = 0
						if leases.Release(clock.Now(), current, call) && !lost {
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
				if decision != claimDenied && !lost {
					nodes[i] = node{current.Epoch, sent + testLease}
				}
				n := 0
				for _, x := range nodes {
					if x.until > clock.Now() {
						n++
					}
				}
				worst = max(worst, n)
			}
		}
		So(worst, ShouldEqual, 1)
		So(grants, ShouldBeGreaterThan, 400)
	})
}
