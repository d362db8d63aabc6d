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

func TestBook(t *testing.T) {
	Convey("Given an open book and a duty held by a", t, func() {
		var clock clock.Virtual
		book := NewBook(testLease, testMargin)
		held := state.Duty{Holder: "a", Boot: "1", Epoch: 7}
		duties := map[string]*state.Duty{"sched": &held}
		a := internalapi.DutyCall{Duty: "sched", Holder: "a", Boot: "1", Epoch: 7}
		b := internalapi.DutyCall{Duty: "sched", Holder: "b", Boot: "1"}
		ask := func(c internalapi.DutyCall) Verdict { return book.Ask(clock.Now(), held, c) }
		So(ask(a), ShouldEqual, Theirs)
		book.Lead(clock.Now(), duties)

		Convey("the holder renews and no other is granted before lease and margin are over", func() {
			clock.Advance(testLease)
			So(ask(b), ShouldEqual, Theirs)
			So(ask(a), ShouldEqual, Mine)
			clock.Advance(testLease + testMargin - 1)
			So(ask(b), ShouldEqual, Theirs)
			clock.Advance(1)
			So(ask(b), ShouldEqual, Free)
			Convey("and then the old epoch is never renewed again, whatever the grant's fate", func() {
				So(ask(a), ShouldEqual, Theirs)
				So(ask(b), ShouldEqual, Theirs) // one proposal at a time
				book.Settled("sched", 7)
				So(book.End(clock.Now(), held, a), ShouldBeTrue)
				book.Settled("sched", 7)
				So(ask(a), ShouldEqual, Free) // as a candidate for a new epoch
			})
		})
		Convey("a new boot of the holder waits like any other", func() {
			again := a
			again.Boot = "2"
			So(ask(again), ShouldEqual, Theirs)
			So(book.End(clock.Now(), held, again), ShouldBeFalse)
			clock.Advance(testLease + testMargin)
			So(ask(again), ShouldEqual, Free)
		})
		Convey("a new leader counts it as just granted", func() {
			clock.Advance(testLease)
			book.Lose()
			So(ask(a), ShouldEqual, Theirs)
			clock.Advance(testLease)
			book.Lead(clock.Now(), duties)
			So(ask(b), ShouldEqual, Theirs)
			So(ask(a), ShouldEqual, Mine)
		})
		Convey("a duty given up is free at once, and its epoch over", func() {
			So(book.End(clock.Now(), held, a), ShouldBeTrue)
			So(ask(a), ShouldEqual, Theirs)
			book.Settled("sched", 7)
			So(ask(a), ShouldEqual, Theirs) // the end may still be committed
			held = state.Duty{Epoch: 9}
			So(ask(b), ShouldEqual, Free)
		})
	})
}

// Every order of renewals, expiries, grants whose answers are lost and changes of leader, by seeds: no two
// holders believe in the duty at once, each counting its own lease from before it sent its call.
func TestBookNeverTwo(t *testing.T) {
	Convey("Over many seeds no two nodes hold the duty at once", t, func() {
		worst, grants := 0, 0
		for seed := range uint64(400) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			var clock clock.Virtual
			book := NewBook(testLease, testMargin)
			var held state.Duty
			type node struct {
				epoch uint64
				until time.Duration
			}
			nodes := [3]node{}
			index := uint64(0)
			book.Lead(0, nil)
			for range 300 {
				i := rnd.IntN(len(nodes))
				sent := clock.Now()
				clock.Advance(time.Duration(rnd.Int64N(int64(2 * testLease / 3))))
				call := internalapi.DutyCall{Duty: "sched", Holder: string(rune('a' + i)), Boot: "1", Epoch: nodes[i].epoch}
				lost := rnd.IntN(4) == 0
				switch rnd.IntN(12) {
				case 0: // the leader falls; the next one knows only the state
					book.Lose()
					clock.Advance(time.Duration(rnd.Int64N(int64(testLease))))
					book.Lead(clock.Now(), map[string]*state.Duty{"sched": &held})
					continue
				case 1:
					if nodes[i].until > sent && nodes[i].epoch == held.Epoch {
						nodes[i].until = 0
						if book.End(clock.Now(), held, call) && !lost {
							index++
							held = state.Duty{Epoch: index}
						}
						book.Settled("sched", call.Epoch)
					}
					continue
				}
				before := held.Epoch
				verdict := book.Ask(clock.Now(), held, call)
				if verdict == Free {
					grants++
					index++
					held = state.Duty{Holder: call.Holder, Boot: "1", Epoch: index}
					book.Seen(clock.Now(), "sched", index)
					book.Settled("sched", before)
				}
				if verdict != Theirs && !lost {
					nodes[i] = node{held.Epoch, sent + testLease}
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
