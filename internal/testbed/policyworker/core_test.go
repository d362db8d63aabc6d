package policyworker

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/testbed/journal"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// harness drives a core and counts what it journals.
type harness struct {
	*Core
	counts map[string]map[uint64]int // of journaled events, by event and run ID
	last   []journal.Entry           // of the last step
}

func newHarness(t Traits) *harness {
	t.Name, t.Incarnation, t.Zone = "m", "b", "z1"
	b := &harness{Core: NewCore(t), counts: map[string]map[uint64]int{}}
	b.take(b.Start())
	return b
}

// take counts what a step journals, and returns its actions.
func (b *harness) take(s Actions) Actions {
	b.last = s.Journal
	for _, e := range s.Journal {
		if b.counts[e.Event] == nil {
			b.counts[e.Event] = map[uint64]int{}
		}
		b.counts[e.Event][e.RunID]++
	}
	return s
}

// ask makes a lease call and returns the answer, which must come in the same step.
func (b *harness) ask(now time.Duration, call internalapi.LeaseCall) internalapi.LeaseAnswer {
	call.Worker, call.Incarnation, call.Epoch = "m", "b", max(call.Epoch, 1)
	s := b.take(b.RenewLease(now, 99, call))
	So(s.Replies, ShouldNotBeEmpty)
	r := s.Replies[len(s.Replies)-1]
	So(r.Tag, ShouldEqual, 99)
	So(r.Err, ShouldBeNil)
	return r.Answer
}

func order(runID uint64, run string, until time.Duration) internalapi.StartOrder {
	return internalapi.StartOrder{RunID: runID, Job: "j", Step: "s", Cores: 1, Run: json.RawMessage(run),
		StartBy: 20 * ms, LeaseUntil: until}
}

func starts(o ...internalapi.StartOrder) internalapi.LeaseCall {
	return internalapi.LeaseCall{Starts: o}
}

const longRunning = `{"ms":-1}`

// orders returns every order of 0..n-1.
func orders(n int) (out [][]int) {
	if n == 0 {
		return [][]int{nil}
	}
	for _, rest := range orders(n - 1) {
		for at := 0; at <= len(rest); at++ {
			out = append(out, append(append(append([]int{}, rest[:at]...), n-1), rest[at:]...))
		}
	}
	return out
}

func TestCallsInEveryOrder(t *testing.T) {
	const first, again, floor, renew, delay = 0, 1, 2, 3, 4
	start1, start2 := starts(order(1, longRunning, 50*sec)), starts(order(2, longRunning, 50*sec))
	start2.Starts[0].StartBy = 5 * ms // every call comes at 10 ms or later
	calls := []internalapi.LeaseCall{start1, start1, {Floor: 1}, {Renew: []uint64{1}, RenewUntil: 100 * sec}, start2}

	for _, kind := range []string{KindCheck, KindObey} {
		Convey("Every order of a start, its duplicate, a floor, a renewal and a late start: "+kind, t, func() {
			permutations := orders(len(calls))
			So(permutations, ShouldHaveLength, 120)
			for _, seq := range permutations {
				b, at := newHarness(Traits{Kind: kind, Cores: 4}), [5]int{}
				var answer internalapi.LeaseAnswer
				for i, which := range seq {
					at[which] = i
					answer = b.ask(time.Duration(10+i)*ms, calls[which])
				}
				// What must have happened, from where each call came.
				ones, twos, before := 2, 1, 0 // starts of run ID 1 and 2; of run ID 1 ahead of the renewal
				for _, which := range []int{first, again} {
					if at[which] < at[renew] {
						before++
					}
				}
				if kind == KindCheck {
					ones, twos, before = 0, 0, 0 // run ID 2 never starts, run ID 1 not once run ID 2 or the floor was seen
					if begin := min(at[first], at[again]); begin < at[floor] && begin < at[delay] {
						ones = 1
						if begin < at[renew] {
							before = 1
						}
					}
				}
				name := fmt.Sprint(kind, seq)
				started := fmt.Sprint(b.counts[journal.Start][1], b.counts[journal.Start][2])
				So(name+started, ShouldEqual, name+fmt.Sprint(ones, twos))
				So(b.counts[journal.Refuse][1]+b.counts[journal.Refuse][2], ShouldEqual, 3-ones-twos)
				So(b.counts[journal.Order][1]+b.counts[journal.Order][2], ShouldEqual, 3)
				So([]uint64{answer.Seen, answer.Floor}, ShouldResemble, []uint64{2, 1})

				b.take(b.Tick(50 * sec)) // the first lease has expired
				So(b.counts[journal.Expire][1], ShouldEqual, ones-before)
				So(b.counts[journal.Expire][2], ShouldEqual, twos)
				running := b.ask(60*sec, internalapi.LeaseCall{}).Running
				So(len(running) == 1, ShouldEqual, before > 0)
				b.take(b.Tick(100 * sec)) // the renewed one too
				So(b.counts[journal.Expire][1], ShouldEqual, ones)
				So(b.ask(101*sec, internalapi.LeaseCall{}).Running, ShouldBeEmpty)
			}
		})
	}
}

func TestLeases(t *testing.T) {
	Convey("A run ends by itself before its lease does", t, func() {
		b := newHarness(Traits{Kind: KindCheck, Cores: 4})
		s := b.take(b.RenewLease(10*ms, 1, internalapi.LeaseCall{Worker: "m", Incarnation: "b",
			Starts: []internalapi.StartOrder{order(1, `{"ms":100}`, sec), order(2, `{"ms":50,"ok":false}`, sec)}}))
		So(s.WakeAt, ShouldEqual, 60*ms)
		So(b.Tick(60*ms).WakeAt, ShouldEqual, 110*ms)
		s = b.take(b.Tick(110 * ms))
		So(s.WakeAt, ShouldEqual, Never)
		So(b.last[0].OK, ShouldBeTrue)
		So(b.ask(111*ms, internalapi.LeaseCall{}).Ended, ShouldResemble, []internalapi.RunEnd{
			{RunID: 2, Outcome: internalapi.OutcomeFailed, Reason: "the run is not ok"},
			{RunID: 1, Outcome: internalapi.OutcomeOK}})
		Convey("and is listed until it is acknowledged", func() {
			left := []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}
			So(b.ask(112*ms, internalapi.LeaseCall{Acked: []uint64{2}}).Ended, ShouldResemble, left)
			So(b.ask(113*ms, internalapi.LeaseCall{Acked: []uint64{1, 7}}).Ended, ShouldBeEmpty)
		})
	})
	Convey("After a freeze past the lease a run counts as expired, and a renewal comes too late", t, func() {
		b := newHarness(Traits{Kind: KindCheck, Cores: 4})
		b.ask(10*ms, starts(order(1, `{"ms":100}`, sec)))
		a := b.ask(25*sec, internalapi.LeaseCall{Renew: []uint64{1}, RenewUntil: 60 * sec})
		So(a.Running, ShouldBeEmpty)
		So(a.Ended[0].Outcome, ShouldEqual, internalapi.OutcomeLeaseExpired)
		So(b.counts[journal.End][1], ShouldEqual, 0)
		So(b.counts[journal.Expire][1], ShouldEqual, 1)
	})
	Convey("A lease is only extended, and not by a call that knows another incarnation", t, func() {
		b := newHarness(Traits{Kind: KindCheck, Cores: 4})
		b.ask(10*ms, starts(order(1, longRunning, 2*sec)))
		b.ask(11*ms, internalapi.LeaseCall{Renew: []uint64{1}, RenewUntil: sec})
		So(b.Tick(12*ms).WakeAt, ShouldEqual, 2*sec)
		s := b.RenewLease(13*ms, 5, internalapi.LeaseCall{Worker: "m", Incarnation: "older",
			Renew: []uint64{1}, RenewUntil: 9 * sec})
		So(s.WakeAt, ShouldEqual, 2*sec)
	})
	Convey("Even an obeying worker does not start a run whose lease is over", t, func() {
		b := newHarness(Traits{Kind: KindObey})
		a := b.ask(3*sec, starts(order(1, longRunning, 2*sec)))
		So(a.Running, ShouldBeEmpty)
		So(a.Ended[0].Outcome, ShouldEqual, internalapi.OutcomeLeaseExpired)
		So(b.counts[journal.Start][1], ShouldEqual, 0)
		Convey("nor is its run ID listed as ended while a run of it goes on", func() {
			b.ask(3*sec, starts(order(2, longRunning, 9*sec)))
			a := b.ask(3*sec, starts(order(2, longRunning, 2*sec)))
			So(a.Running, ShouldResemble, []uint64{2})
			So(a.Ended, ShouldHaveLength, 1)
		})
	})
	Convey("A stop kills, and frees the capacity for starts of the same call", t, func() {
		b := newHarness(Traits{Kind: KindCheck, Cores: 1})
		b.ask(10*ms, starts(order(1, longRunning, sec)))
		a := b.ask(11*ms, internalapi.LeaseCall{Stops: []internalapi.StopOrder{{RunID: 1, Why: "cancel"}},
			Starts: starts(order(2, longRunning, sec)).Starts})
		stopped := internalapi.RunEnd{RunID: 1, Outcome: internalapi.OutcomeStopped, Reason: "cancel"}
		So(a.Ended, ShouldResemble, []internalapi.RunEnd{stopped})
		So(a.Running, ShouldResemble, []uint64{2})
		So(b.counts[journal.Stop][1], ShouldEqual, 1)
	})
	Convey("A run whose program is invalid fails with a reason", t, func() {
		for _, run := range []string{`{"ms":"x"}`, `{"ms":1.5}`, `{"ok":1}`, `[]`, `{`, `{"ms":99999999999999}`} {
			b := newHarness(Traits{Kind: KindCheck, Cores: 1})
			a := b.ask(10*ms, starts(order(1, run, sec)))
			So(a.Ended, ShouldHaveLength, 1)
			So(a.Ended[0].Outcome, ShouldEqual, internalapi.OutcomeFailed)
			So(a.Ended[0].Reason, ShouldNotBeBlank)
		}
	})
	Convey("The random outcome of a run depends on the seed and the run ID only", t, func() {
		ends := func(first, second uint64) map[uint64]string {
			b := newHarness(Traits{Kind: KindObey, FailProbability: 0.5, SlowFactor: 3, Seed: 7})
			b.ask(10*ms, starts(order(first, `{"ms":9}`, sec)))
			b.ask(10*ms, starts(order(second, `{"ms":9}`, sec)))
			outcomes := map[uint64]string{}
			b.Tick(500 * ms)
			for _, e := range b.ask(500*ms, internalapi.LeaseCall{}).Ended {
				outcomes[e.RunID] = e.Outcome
			}
			return outcomes
		}
		for n := range uint64(20) {
			So(ends(2*n+1, 2*n+2), ShouldResemble, ends(2*n+2, 2*n+1))
		}
	})
}

func TestRefusals(t *testing.T) {
	traits := Traits{Kind: KindCheck, Cores: 2, GPUs: 1, Labels: map[string]string{"disk": "ssd"}}
	cases := map[string]func(*harness, *internalapi.LeaseCall, *internalapi.StartOrder){
		"":     func(*harness, *internalapi.LeaseCall, *internalapi.StartOrder) {},
		"boot": func(_ *harness, c *internalapi.LeaseCall, _ *internalapi.StartOrder) { c.Incarnation = "older" },
		"ticket": func(b *harness, _ *internalapi.LeaseCall, _ *internalapi.StartOrder) {
			b.ask(ms, starts(order(10, "", sec)))
		},
		"floor": func(_ *harness, c *internalapi.LeaseCall, _ *internalapi.StartOrder) { c.Floor = 10 },
		"late":  func(_ *harness, _ *internalapi.LeaseCall, o *internalapi.StartOrder) { o.StartBy = 9 * ms },
		"room":  func(_ *harness, _ *internalapi.LeaseCall, o *internalapi.StartOrder) { o.GPUs = 2 },
		"label": func(_ *harness, _ *internalapi.LeaseCall, o *internalapi.StartOrder) {
			o.Labels = map[string]string{"disk": "hdd"}
		},
		"drain": func(b *harness, _ *internalapi.LeaseCall, _ *internalapi.StartOrder) {
			b.take(b.Drain(ms, true, false))
		},
	}
	Convey("A checking worker refuses, with its reason, what an obeying one starts", t, func() {
		for reason, spoil := range cases {
			for _, kind := range []string{KindCheck, KindObey} {
				traits.Kind = kind
				b, o := newHarness(traits), order(10, longRunning, sec)
				c := internalapi.LeaseCall{Worker: "m", Incarnation: "b", Epoch: 1}
				spoil(b, &c, &o)
				c.Starts = []internalapi.StartOrder{o}
				a := b.take(b.RenewLease(10*ms, 1, c)).Replies[0].Answer
				if kind == KindObey || reason == "" {
					So(a.Running, ShouldResemble, []uint64{10})
					So(a.Refused, ShouldBeEmpty)
					continue
				}
				So(a.Running, ShouldBeEmpty)
				So(a.Refused, ShouldResemble, []internalapi.StartRefusal{{RunID: 10, Why: reason}})
				So(a.Seen, ShouldEqual, 10) // so that it will never run
				So(b.ask(11*ms, internalapi.LeaseCall{}).Refused, ShouldBeEmpty)
			}
		}
	})
	Convey("Under an older epoch a checking worker does nothing at all; an obeying one obeys", t, func() {
		for kind, want := range map[string]errs.Kind{KindCheck: errs.Stale, KindObey: ""} {
			b := newHarness(Traits{Kind: kind, Cores: 2})
			b.ask(ms, internalapi.LeaseCall{Epoch: 9})
			c := starts(order(1, longRunning, sec))
			c.Worker, c.Incarnation, c.Epoch, c.Floor = "m", "b", 8, 5
			r := b.take(b.RenewLease(2*ms, 1, c)).Replies[0]
			So(errs.KindOf(r.Err), ShouldEqual, want)
			a := b.ask(3*ms, internalapi.LeaseCall{Epoch: 9})
			So(a.Epoch, ShouldEqual, 9)
			So(len(a.Running) == 1 && a.Floor == 5, ShouldEqual, kind == KindObey)
			So(len(a.Running) == 0 && a.Floor == 0 && a.Seen == 0, ShouldEqual, kind == KindCheck)
		}
	})
}

func TestLongPoll(t *testing.T) {
	wait := func(n uint64) internalapi.LeaseCall {
		return internalapi.LeaseCall{Call: n, Worker: "m", Incarnation: "b", Epoch: 1, Wait: sec}
	}
	Convey("While a run is in progress and there is no update, a call that may wait is a long poll", t, func() {
		b := newHarness(Traits{Kind: KindCheck, Cores: 4, Grace: 5 * sec})
		b.ask(10*ms, starts(order(1, `{"ms":500}`, 9*sec)))
		s := b.take(b.RenewLease(20*ms, 2, wait(2)))
		So(s.Replies, ShouldBeEmpty)
		So(s.WakeAt, ShouldEqual, 510*ms)
		tag := func(s Actions) (out []uint64) {
			for _, r := range s.Replies {
				So(r.Answer.Call, ShouldEqual, r.Tag)
				out = append(out, r.Tag)
			}
			return out
		}
		Convey("a newer call ends the wait and may wait itself", func() {
			So(tag(b.RenewLease(30*ms, 3, wait(3))), ShouldResemble, []uint64{2})
			c := starts(order(2, longRunning, sec))
			c.Call, c.Worker, c.Incarnation, c.Epoch = 4, "m", "b", 1
			So(tag(b.RenewLease(31*ms, 4, c)), ShouldResemble, []uint64{3, 4})
		})
		Convey("a run's end ends it", func() {
			s := b.Tick(510 * ms)
			So(tag(s), ShouldResemble, []uint64{2})
			So(s.Replies[0].Answer.Ended, ShouldHaveLength, 1)
		})
		Convey("a drain ends it, and so does the leave that follows the acknowledgement", func() {
			s := b.Drain(30*ms, true, true)
			So(tag(s), ShouldResemble, []uint64{2})
			So(s.Replies[0].Answer.Draining, ShouldBeTrue)
			So(s.Exit, ShouldBeFalse)
			So(b.Tick(510*ms).Exit, ShouldBeFalse)
			c := wait(3)
			c.Acked = []uint64{1}
			s = b.RenewLease(520*ms, 3, c)
			So(tag(s), ShouldResemble, []uint64{3})
			So(s.Exit, ShouldBeTrue)
		})
		Convey("its own wait ends it", func() {
			b.ask(30*ms, internalapi.LeaseCall{Renew: []uint64{1}, Stops: []internalapi.StopOrder{{RunID: 1}}})
			So(b.RenewLease(40*ms, 3, wait(3)).WakeAt, ShouldEqual, 1040*ms)
			So(tag(b.Tick(1040*ms)), ShouldResemble, []uint64{3})
		})
		Convey("a raised floor, a new epoch and a lost answer are answered at once", func() {
			c := wait(3)
			c.Floor = 4
			So(tag(b.RenewLease(30*ms, 3, c)), ShouldResemble, []uint64{2, 3})
			c = wait(4)
			c.Epoch = 2
			So(tag(b.RenewLease(31*ms, 4, c)), ShouldResemble, []uint64{4})
			b.AnswerLost(4)
			c.Call = 5
			So(tag(b.RenewLease(32*ms, 5, c)), ShouldResemble, []uint64{5})
		})
	})
	Convey("When the grace is over a leaving worker stops its runs", t, func() {
		b := newHarness(Traits{Kind: KindCheck, Cores: 4, Grace: 5 * sec})
		b.ask(10*ms, starts(order(1, longRunning, 60*sec)))
		So(b.Drain(20*ms, true, true).WakeAt, ShouldEqual, 5020*ms)
		s := b.take(b.Tick(5020 * ms))
		So(s.Exit, ShouldBeTrue)
		So(b.counts[journal.Stop][1], ShouldEqual, 1)
	})
}
