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

// harness drives a core and counts its journal entries.
type harness struct {
	*Core
	counts map[string]map[uint64]int // of journal entries, by event and run ID
	last   []journal.Entry           // of the last step
}

func newHarness(t Traits) *harness {
	t.Name, t.Incarnation, t.Zone = "m", "b", "z1"
	h := &harness{Core: NewCore(t), counts: map[string]map[uint64]int{}}
	h.take(h.Start())
	return h
}

// take counts the journal entries of a step and returns its actions.
func (h *harness) take(s Actions) Actions {
	h.last = s.Journal
	for _, e := range s.Journal {
		if h.counts[e.Event] == nil {
			h.counts[e.Event] = map[uint64]int{}
		}
		h.counts[e.Event][e.RunID]++
	}
	return s
}

// ask makes a lease call and returns its answer, which the same step must contain.
func (h *harness) ask(now time.Duration, call internalapi.LeaseCall) internalapi.LeaseAnswer {
	call.Worker, call.Incarnation, call.Epoch = "m", "b", max(call.Epoch, 1)
	s := h.take(h.RenewLease(now, 99, call))
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

// permute returns all permutations of 0..n-1.
func permute(n int) (permutations [][]int) {
	if n == 0 {
		return [][]int{nil}
	}
	for _, rest := range permute(n - 1) {
		for at := 0; at <= len(rest); at++ {
			permutations = append(permutations, append(append(append([]int{}, rest[:at]...), n-1), rest[at:]...))
		}
	}
	return permutations
}

// TestCallsInEveryOrder guards against a run that starts twice, or after the scheduler has given it up. This happens if
// the network duplicates, delays or reorders calls, so the test delivers the same five calls in all 120 orders.
func TestCallsInEveryOrder(t *testing.T) {
	const first, duplicate, floor, renew, late = 0, 1, 2, 3, 4 // indices of calls
	start1, start2 := starts(order(1, longRunning, 50*sec)), starts(order(2, longRunning, 50*sec))
	start2.Starts[0].StartBy = 5 * ms // every call arrives at 10 ms or later
	calls := []internalapi.LeaseCall{start1, start1, {Floor: 1}, {Renew: []uint64{1}, RenewUntil: 100 * sec}, start2}

	for _, kind := range []string{KindCheck, KindObey} {
		Convey("Every order of a start, its duplicate, a floor, a renewal and a late start: "+kind, t, func() {
			permutations := permute(len(calls))
			So(permutations, ShouldHaveLength, 120)
			for _, seq := range permutations {
				h, at := newHarness(Traits{Kind: kind, Cores: 4}), [5]int{}
				var answer internalapi.LeaseAnswer
				for i, which := range seq {
					at[which] = i
					answer = h.ask(time.Duration(10+i)*ms, calls[which])
				}
				// The expected counts follow from the position of each call.
				// wantRenewed is how many starts of run ID 1 precede the renewal, which extends their leases.
				wantStarts1, wantStarts2, wantRenewed := 2, 1, 0
				for _, which := range []int{first, duplicate} {
					if at[which] < at[renew] {
						wantRenewed++
					}
				}
				if kind == KindCheck {
					// Run ID 2 is refused as late. Run ID 1 starts at most once, and only if neither the order for
					// run ID 2 nor the floor arrived before it.
					wantStarts1, wantStarts2, wantRenewed = 0, 0, 0
					if begin := min(at[first], at[duplicate]); begin < at[floor] && begin < at[late] {
						wantStarts1 = 1
						if begin < at[renew] {
							wantRenewed = 1
						}
					}
				}
				name := fmt.Sprint(kind, seq)
				started := fmt.Sprint(h.counts[journal.Start][1], h.counts[journal.Start][2])
				So(name+started, ShouldEqual, name+fmt.Sprint(wantStarts1, wantStarts2))
				So(h.counts[journal.Refuse][1]+h.counts[journal.Refuse][2], ShouldEqual, 3-wantStarts1-wantStarts2)
				So(h.counts[journal.Order][1]+h.counts[journal.Order][2], ShouldEqual, 3)
				So([]uint64{answer.Seen, answer.Floor}, ShouldResemble, []uint64{2, 1})

				h.take(h.Tick(50 * sec)) // leases that were not renewed have expired
				So(h.counts[journal.Expire][1], ShouldEqual, wantStarts1-wantRenewed)
				So(h.counts[journal.Expire][2], ShouldEqual, wantStarts2)
				running := h.ask(60*sec, internalapi.LeaseCall{}).Running
				So(len(running) == 1, ShouldEqual, wantRenewed > 0)
				h.take(h.Tick(100 * sec)) // the renewed leases have expired, too
				So(h.counts[journal.Expire][1], ShouldEqual, wantStarts1)
				So(h.ask(101*sec, internalapi.LeaseCall{}).Running, ShouldBeEmpty)
			}
		})
	}
}

func TestLeases(t *testing.T) {
	Convey("A run ends before its lease expires", t, func() {
		h := newHarness(Traits{Kind: KindCheck, Cores: 4})
		s := h.take(h.RenewLease(10*ms, 1, internalapi.LeaseCall{Worker: "m", Incarnation: "b",
			Starts: []internalapi.StartOrder{order(1, `{"ms":100}`, sec), order(2, `{"ms":50,"ok":false}`, sec)}}))
		So(s.WakeAt, ShouldEqual, 60*ms)
		So(h.Tick(60*ms).WakeAt, ShouldEqual, 110*ms)
		s = h.take(h.Tick(110 * ms))
		So(s.WakeAt, ShouldEqual, Never)
		So(h.last[0].OK, ShouldBeTrue)
		So(h.ask(111*ms, internalapi.LeaseCall{}).Ended, ShouldResemble, []internalapi.RunEnd{
			{RunID: 2, Outcome: internalapi.OutcomeFailed, Reason: "the run is not ok"},
			{RunID: 1, Outcome: internalapi.OutcomeOK}})
		Convey("and is listed until its end is acknowledged", func() {
			left := []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}
			So(h.ask(112*ms, internalapi.LeaseCall{Acked: []uint64{2}}).Ended, ShouldResemble, left)
			So(h.ask(113*ms, internalapi.LeaseCall{Acked: []uint64{1, 7}}).Ended, ShouldBeEmpty)
		})
	})
	Convey("After a freeze past the lease a run has expired, and a renewal has no effect", t, func() {
		h := newHarness(Traits{Kind: KindCheck, Cores: 4})
		h.ask(10*ms, starts(order(1, `{"ms":100}`, sec)))
		a := h.ask(25*sec, internalapi.LeaseCall{Renew: []uint64{1}, RenewUntil: 60 * sec})
		So(a.Running, ShouldBeEmpty)
		So(a.Ended[0].Outcome, ShouldEqual, internalapi.OutcomeLeaseExpired)
		So(h.counts[journal.End][1], ShouldEqual, 0)
		So(h.counts[journal.Expire][1], ShouldEqual, 1)
	})
	Convey("A lease is never shortened, and a call that names another incarnation does not extend it", t, func() {
		h := newHarness(Traits{Kind: KindCheck, Cores: 4})
		h.ask(10*ms, starts(order(1, longRunning, 2*sec)))
		h.ask(11*ms, internalapi.LeaseCall{Renew: []uint64{1}, RenewUntil: sec})
		So(h.Tick(12*ms).WakeAt, ShouldEqual, 2*sec)
		s := h.RenewLease(13*ms, 5, internalapi.LeaseCall{Worker: "m", Incarnation: "older",
			Renew: []uint64{1}, RenewUntil: 9 * sec})
		So(s.WakeAt, ShouldEqual, 2*sec)
	})
	Convey("Even an obeying worker does not start a run whose lease has expired", t, func() {
		h := newHarness(Traits{Kind: KindObey})
		a := h.ask(3*sec, starts(order(1, longRunning, 2*sec)))
		So(a.Running, ShouldBeEmpty)
		So(a.Ended[0].Outcome, ShouldEqual, internalapi.OutcomeLeaseExpired)
		So(h.counts[journal.Start][1], ShouldEqual, 0)
		Convey("and does not list its run ID as ended while another run with it is in progress", func() {
			h.ask(3*sec, starts(order(2, longRunning, 9*sec)))
			a := h.ask(3*sec, starts(order(2, longRunning, 2*sec)))
			So(a.Running, ShouldResemble, []uint64{2})
			So(a.Ended, ShouldHaveLength, 1)
		})
	})
	Convey("A stop ends a run and frees its capacity for starts of the same call", t, func() {
		h := newHarness(Traits{Kind: KindCheck, Cores: 1})
		h.ask(10*ms, starts(order(1, longRunning, sec)))
		a := h.ask(11*ms, internalapi.LeaseCall{Stops: []internalapi.StopOrder{{RunID: 1, Why: "cancel"}},
			Starts: starts(order(2, longRunning, sec)).Starts})
		stopped := internalapi.RunEnd{RunID: 1, Outcome: internalapi.OutcomeStopped, Reason: "cancel"}
		So(a.Ended, ShouldResemble, []internalapi.RunEnd{stopped})
		So(a.Running, ShouldResemble, []uint64{2})
		So(h.counts[journal.Stop][1], ShouldEqual, 1)
	})
	Convey("A run whose program is invalid fails with a reason", t, func() {
		for _, run := range []string{`{"ms":"x"}`, `{"ms":1.5}`, `{"ok":1}`, `[]`, `{`, `{"ms":99999999999999}`} {
			h := newHarness(Traits{Kind: KindCheck, Cores: 1})
			a := h.ask(10*ms, starts(order(1, run, sec)))
			So(a.Ended, ShouldHaveLength, 1)
			So(a.Ended[0].Outcome, ShouldEqual, internalapi.OutcomeFailed)
			So(a.Ended[0].Reason, ShouldNotBeBlank)
		}
	})
	Convey("The random outcome of a run depends on the seed and the run ID only", t, func() {
		ends := func(first, second uint64) map[uint64]string {
			h := newHarness(Traits{Kind: KindObey, FailProbability: 0.5, SlowFactor: 3, Seed: 7})
			h.ask(10*ms, starts(order(first, `{"ms":9}`, sec)))
			h.ask(10*ms, starts(order(second, `{"ms":9}`, sec)))
			outcomes := map[uint64]string{}
			h.Tick(500 * ms)
			for _, e := range h.ask(500*ms, internalapi.LeaseCall{}).Ended {
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
		"ticket": func(h *harness, _ *internalapi.LeaseCall, _ *internalapi.StartOrder) {
			h.ask(ms, starts(order(10, "", sec)))
		},
		"floor": func(_ *harness, c *internalapi.LeaseCall, _ *internalapi.StartOrder) { c.Floor = 10 },
		"late":  func(_ *harness, _ *internalapi.LeaseCall, o *internalapi.StartOrder) { o.StartBy = 9 * ms },
		"room":  func(_ *harness, _ *internalapi.LeaseCall, o *internalapi.StartOrder) { o.GPUs = 2 },
		"label": func(_ *harness, _ *internalapi.LeaseCall, o *internalapi.StartOrder) {
			o.Labels = map[string]string{"disk": "hdd"}
		},
		"drain": func(h *harness, _ *internalapi.LeaseCall, _ *internalapi.StartOrder) {
			h.take(h.Drain(ms, true, false))
		},
	}
	Convey("A checking worker refuses, with its reason, what an obeying one starts", t, func() {
		for reason, invalidate := range cases {
			for _, kind := range []string{KindCheck, KindObey} {
				traits.Kind = kind
				h, o := newHarness(traits), order(10, longRunning, sec)
				c := internalapi.LeaseCall{Worker: "m", Incarnation: "b", Epoch: 1}
				invalidate(h, &c, &o)
				c.Starts = []internalapi.StartOrder{o}
				a := h.take(h.RenewLease(10*ms, 1, c)).Replies[0].Answer
				if kind == KindObey || reason == "" {
					So(a.Running, ShouldResemble, []uint64{10})
					So(a.Refused, ShouldBeEmpty)
					continue
				}
				So(a.Running, ShouldBeEmpty)
				So(a.Refused, ShouldResemble, []internalapi.StartRefusal{{RunID: 10, Why: reason}})
				So(a.Seen, ShouldEqual, 10) // so the run ID never starts
				So(h.ask(11*ms, internalapi.LeaseCall{}).Refused, ShouldBeEmpty)
			}
		}
	})
	Convey("A checking worker rejects a call of an older epoch; an obeying one carries it out", t, func() {
		for kind, want := range map[string]errs.Kind{KindCheck: errs.Stale, KindObey: ""} {
			h := newHarness(Traits{Kind: kind, Cores: 2})
			h.ask(ms, internalapi.LeaseCall{Epoch: 9})
			c := starts(order(1, longRunning, sec))
			c.Worker, c.Incarnation, c.Epoch, c.Floor = "m", "b", 8, 5
			r := h.take(h.RenewLease(2*ms, 1, c)).Replies[0]
			So(errs.KindOf(r.Err), ShouldEqual, want)
			a := h.ask(3*ms, internalapi.LeaseCall{Epoch: 9})
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
	Convey("While a run is in progress and there is no update, a call with a wait is a long poll", t, func() {
		h := newHarness(Traits{Kind: KindCheck, Cores: 4, Grace: 5 * sec})
		h.ask(10*ms, starts(order(1, `{"ms":500}`, 9*sec)))
		s := h.take(h.RenewLease(20*ms, 2, wait(2)))
		So(s.Replies, ShouldBeEmpty)
		So(s.WakeAt, ShouldEqual, 510*ms)
		tags := func(s Actions) (replied []uint64) {
			for _, r := range s.Replies {
				So(r.Answer.Call, ShouldEqual, r.Tag)
				replied = append(replied, r.Tag)
			}
			return replied
		}
		Convey("a newer call ends the wait and may itself be a long poll", func() {
			So(tags(h.RenewLease(30*ms, 3, wait(3))), ShouldResemble, []uint64{2})
			c := starts(order(2, longRunning, sec))
			c.Call, c.Worker, c.Incarnation, c.Epoch = 4, "m", "b", 1
			So(tags(h.RenewLease(31*ms, 4, c)), ShouldResemble, []uint64{3, 4})
		})
		Convey("a run's end ends it", func() {
			s := h.Tick(510 * ms)
			So(tags(s), ShouldResemble, []uint64{2})
			So(s.Replies[0].Answer.Ended, ShouldHaveLength, 1)
		})
		Convey("a drain ends it, and the exit after the acknowledgement ends the next one", func() {
			s := h.Drain(30*ms, true, true)
			So(tags(s), ShouldResemble, []uint64{2})
			So(s.Replies[0].Answer.Draining, ShouldBeTrue)
			So(s.Exit, ShouldBeFalse)
			So(h.Tick(510*ms).Exit, ShouldBeFalse)
			c := wait(3)
			c.Acked = []uint64{1}
			s = h.RenewLease(520*ms, 3, c)
			So(tags(s), ShouldResemble, []uint64{3})
			So(s.Exit, ShouldBeTrue)
		})
		Convey("its deadline ends it", func() {
			h.ask(30*ms, internalapi.LeaseCall{Renew: []uint64{1}, Stops: []internalapi.StopOrder{{RunID: 1}}})
			So(h.RenewLease(40*ms, 3, wait(3)).WakeAt, ShouldEqual, 1040*ms)
			So(tags(h.Tick(1040*ms)), ShouldResemble, []uint64{3})
		})
		Convey("a call with a raised floor, with a new epoch or after a lost answer is answered at once", func() {
			c := wait(3)
			c.Floor = 4
			So(tags(h.RenewLease(30*ms, 3, c)), ShouldResemble, []uint64{2, 3})
			c = wait(4)
			c.Epoch = 2
			So(tags(h.RenewLease(31*ms, 4, c)), ShouldResemble, []uint64{4})
			h.AnswerLost(4)
			c.Call = 5
			So(tags(h.RenewLease(32*ms, 5, c)), ShouldResemble, []uint64{5})
		})
	})
	Convey("When its grace has elapsed, a leaving worker stops its runs", t, func() {
		h := newHarness(Traits{Kind: KindCheck, Cores: 4, Grace: 5 * sec})
		h.ask(10*ms, starts(order(1, longRunning, 60*sec)))
		So(h.Drain(20*ms, true, true).WakeAt, ShouldEqual, 5020*ms)
		s := h.take(h.Tick(5020 * ms))
		So(s.Exit, ShouldBeTrue)
		So(h.counts[journal.Stop][1], ShouldEqual, 1)
	})
}
