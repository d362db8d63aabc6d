package command

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/account"
	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// window is what a start pays in advance in these tests; every command comes a second after the one before.
const window = 10 * time.Second

// newPaid is a state whose team "a" is paid for by party "acme" with so many units. A run costs 10 a second, and so 100
// to start.
func newPaid(units int64) testState {
	b := newTestState()
	b.Bundle.SetParties(map[string]state.Party{"acme": {Teams: []string{"a"}, Price: account.Price{Core: 10}, Reserve: window}})
	b.must(&AccountCreate{Order: "open", Account: "acme"})
	b.topUp("first", units)
	return b
}

func (b testState) topUp(key string, units int64) any {
	return b.must(&AccountTopUp{Account: "acme", Key: key, Amount: units})
}

// sums are balance, reserved and spent of acme.
func (b testState) sums() [3]int64 {
	So(b.Accounts.Check(), ShouldBeNil)
	a := b.Accounts.Accounts["acme"]
	return [3]int64{a.Balance, a.Reserved, a.Spent}
}

func TestPayment_ofRuns(t *testing.T) {
	Convey("given a party with enough for two starts, and two jobs of its team", t, func() {
		b := newPaid(250)
		b.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 4, Retries: 9})
		Convey("a start reserves in its own commit and is refused when the balance is exhausted; an end debits", func() {
			So(b.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1), startOn("m2", "j", 2)), ShouldResemble,
				Planned{RunIDs: []uint64{1, 2, 0}, Refused: []string{"", "", "balance"}})
			So(b.sums(), ShouldEqual, [3]int64{50, 200, 0})
			b.plan(Plan{Ends: []End{{RunID: 1, OK: true}}})
			So(b.sums(), ShouldEqual, [3]int64{140, 100, 10})
			So(b.start(1, startOn("m2", "j", 2)).RunIDs, ShouldResemble, []uint64{3})
			Convey("a refused start leaves the task due and counts as no failure", func() {
				task := b.Jobs["j"].Tasks[0][3]
				So(task, ShouldResemble, state.Task{Phase: state.TaskDue})
				So(b.UnpaidReason(b.Jobs["j"]), ShouldContainSubstring, "party acme has run dry: its balance is 40, a start needs 100")
				b.topUp("second", 60)
				So(b.UnpaidReason(b.Jobs["j"]), ShouldEqual, "")
				So(b.start(1, startOn("m1", "j", 3)).RunIDs, ShouldResemble, []uint64{4})
			})
		})
		Convey("a run that the cluster lost is not paid for; one that was stopped as ordered is", func() {
			b.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1))
			b.plan(Plan{Dead: []Proof{{RunID: 1, Why: ProofLeaseExpired}, {RunID: 2, Why: ProofStop}}})
			So(b.sums(), ShouldEqual, [3]int64{240, 0, 10})
			b.start(1, startOn("m1", "j", 0))
			m := testWorker("m1")
			m.Incarnation = "b2"
			b.plan(Plan{Running: []uint64{3}, Workers: []state.Worker{m}})
			So(b.sums(), ShouldEqual, [3]int64{240, 0, 10})
		})
		Convey("a run that outlives its window is debited further, also below zero, by any later entry", func() {
			b.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1))
			for range 9 {
				b.must(&Purge{JobsKeep: 9})
			}
			So(b.sums(), ShouldEqual, [3]int64{50, 200, 0})
			b.must(&Purge{JobsKeep: 9})
			So(b.sums(), ShouldEqual, [3]int64{-150, 200, 200})
			So(b.start(1, startOn("m2", "j", 2)).Refused, ShouldResemble, []string{"balance"})
			b.plan(Plan{Ends: []End{{RunID: 1, OK: true}, {RunID: 2}}})
			So(b.sums(), ShouldEqual, [3]int64{10, 0, 240})
		})
		Convey("a team that nobody pays for is not affected", func() {
			b.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1))
			b.must(&Submit{Spec: state.Spec{Key: "k", Team: "free", Queue: "default", Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}},
				Digest: "k", Bound: 9})
			b.start(1)
			So(b.start(1, startOn("m2", "j", 2), startOn("m2", "k", 0)).Refused, ShouldResemble, []string{"balance", ""})
			So(b.sums()[1], ShouldEqual, 200)
		})
	})
}

func TestPayment_ofGangs(t *testing.T) {
	Convey("A gang is paid for together or not at all", t, func() {
		b := newPaid(199)
		b.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 2, Gang: true})
		one, two := startOn("m1", "j", 0), startOn("m2", "j", 1)
		one.Group, two.Group = 7, 7
		So(b.start(1, one, two).Refused, ShouldResemble, []string{"balance", "balance"})
		So(b.sums(), ShouldEqual, [3]int64{199, 0, 0})
		b.topUp("one more", 1)
		So(b.start(1, one, two).RunIDs, ShouldResemble, []uint64{1, 2})
		So(b.sums(), ShouldEqual, [3]int64{0, 200, 0})
	})
}

func TestPayment_ofLongRunningTasks(t *testing.T) {
	Convey("A long-running task starts only when paid for, and restarts also when the balance is exhausted", t, func() {
		b := newPaid(99)
		b.submit("j", state.StepSpec{Name: "s", Type: "t", LongRunning: true})
		So(b.start(1, startOn("m1", "j", 0)).Refused, ShouldResemble, []string{"balance"})
		b.topUp("one more", 1)
		So(b.start(1, startOn("m1", "j", 0)).RunIDs, ShouldResemble, []uint64{1})
		b.plan(Plan{Dead: []Proof{{RunID: 1, Why: ProofLeaseExpired}}})
		b.submit("k", state.StepSpec{Name: "s", Type: "t"})
		b.start(1, startOn("m1", "k", 0))
		So(b.sums(), ShouldEqual, [3]int64{0, 100, 0})
		So(b.start(1, startOn("m2", "j", 0)).RunIDs, ShouldResemble, []uint64{3})
		So(b.sums(), ShouldEqual, [3]int64{-100, 200, 0})
	})
}

func TestPayment_withoutAccount(t *testing.T) {
	Convey("A party without an account starts nothing, but for restarts of long-running tasks", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "s", Type: "t", LongRunning: true})
		b.start(1, startOn("m1", "j", 0))
		b.Bundle.SetParties(map[string]state.Party{"acme": {Queues: []string{"default"}, Price: account.Price{Core: 10}}})
		b.submit("k", state.StepSpec{Name: "s", Type: "t"})
		So(b.start(1, startOn("m2", "k", 0)).Refused, ShouldResemble, []string{"balance"})
		So(b.UnpaidReason(b.Jobs["k"]), ShouldEqual, "party acme has no account")
		b.plan(Plan{Dead: []Proof{{RunID: 1, Why: ProofLeaseExpired}}})
		So(b.start(1, startOn("m2", "j", 0)).RunIDs, ShouldResemble, []uint64{2})
	})
}

func TestPayment_withoutParty(t *testing.T) {
	Convey("Where nobody pays, there are no accounts, and none in the bytes", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "s", Type: "t"})
		b.start(1, startOn("m1", "j", 0))
		data, err := b.Encode()
		So(err, ShouldBeNil)
		So(bytes.Contains(data, []byte("accounts")), ShouldBeFalse)
		_, err = b.do(&AccountTopUp{Account: "acme", Key: "k", Amount: 1})
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
	})
}

func TestPayment_ofLongRunningGangs(t *testing.T) {
	Convey("Of a long-running gang a member that never ran is paid for beside one that did, below zero if need be", t, func() {
		b := newPaid(200)
		b.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 2, LongRunning: true})
		b.start(1, startOn("m1", "j", 0))
		b.plan(Plan{Dead: []Proof{{RunID: 1, Why: ProofLeaseExpired}}})
		b.start(1, startOn("m1", "j", 0))
		b.plan(Plan{Dead: []Proof{{RunID: 2, Why: ProofLeaseExpired}}})
		b.Accounts.Accounts["acme"].Balance -= 100 // as if something else ran
		b.Accounts.Accounts["acme"].ToppedUp -= 100
		b.Accounts.Accounts["acme"].Ledger.Head.ToppedUp -= 100
		one, two := startOn("m1", "j", 0), startOn("m2", "j", 1)
		one.Group, two.Group = 7, 7
		So(b.start(1, one, two).RunIDs, ShouldResemble, []uint64{3, 4})
		So(b.Accounts.Accounts["acme"].Balance, ShouldEqual, -100)
	})
}

// TestPayment_races tries every order of what takes from a balance and what adds to it, with a start after each prefix:
// it is assigned exactly when the balance covers it at that entry, whatever the scheduler planned on.
func TestPayment_races(t *testing.T) {
	events := []struct {
		name string
		do   func(b testState)
	}{
		{"another start", func(b testState) { b.start(1, startOn("m1", "j", 0)) }},
		{"top-up", func(b testState) { b.topUp("more", 120) }},
		{"the same top-up", func(b testState) { b.topUp("more", 120) }},
		{"an end", func(b testState) { b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, OK: true}}}) }},
		{"a loss", func(b testState) { b.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 2, Why: ProofFloor}}}) }},
		{"a long time", func(b testState) { b.do(&Purge{JobsKeep: 9}); b.Accounts.Renew(b.At.Add(window)) }},
	}
	Convey("a start is assigned exactly when the balance covers it at its own entry", t, func() {
		orders := 0
		var walk func(seq []int, used int)
		walk = func(seq []int, used int) {
			b := newPaid(300)
			b.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 4, Retries: 9})
			b.start(1, startOn("m2", "j", 1), startOn("m2", "j", 2))
			for _, i := range seq {
				events[i].do(b)
			}
			balance := b.Accounts.Accounts["acme"].Balance
			got := b.start(1, startOn("m1", "j", 3))
			if given := got.RunIDs[0] > 0; given != (balance >= 100) {
				panic(fmt.Sprintf("after %v a start at a balance of %d: %v", seq, balance, got))
			}
			if err := b.Accounts.Check(); err != nil {
				panic(err)
			}
			orders++
			for i := range events {
				if used&(1<<i) == 0 {
					walk(append(seq[:len(seq):len(seq)], i), used|1<<i)
				}
			}
		}
		walk(nil, 0)
		So(orders, ShouldEqual, 1957) // all ordered choices of six
	})
}
