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
	"crosstide/internal/testbed/exhaustive"
)

// window is the run time that a start reserves in these tests.
const window = 10 * time.Second

// newPaidState returns a state in which the party acme, with the given balance, pays for team a: 10 units a second for
// each run, so that a start reserves 100.
func newPaidState(units int64) testState {
	s := newTestState()
	s.Bundle.SetParties(map[string]state.Party{
		"acme": {Teams: []string{"a"}, Price: account.Price{Core: 10}, Reserve: window},
	})
	s.must(&AccountCreate{Order: "open", Account: "acme"})
	s.topUp("first", units)
	return s
}

func (s testState) topUp(key string, units int64) any {
	return s.must(&AccountTopUp{Account: "acme", Key: key, Amount: units})
}

// sums checks the accounts, and returns the balance, the reserved and the spent units of acme.
func (s testState) sums() [3]int64 {
	So(s.Accounts.Check(), ShouldBeNil)
	a := s.Accounts.Accounts["acme"]
	return [3]int64{a.Balance, a.Reserved, a.Spent}
}

func TestPayment_ofRuns(t *testing.T) {
	Convey("Given a party with enough for two starts, and a job of its team", t, func() {
		s := newPaidState(250)
		s.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 4, Retries: 9})
		Convey("a start reserves when it is applied, or is refused if the balance is exhausted; an end debits", func() {
			So(s.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1), startOn("m2", "j", 2)), ShouldResemble,
				Planned{RunIDs: []uint64{1, 2, 0}, Refused: []state.Refusal{"", "", "balance"}})
			So(s.sums(), ShouldEqual, [3]int64{50, 200, 0})
			s.plan(Plan{Ends: []End{{RunID: 1, OK: true}}})
			So(s.sums(), ShouldEqual, [3]int64{140, 100, 10})
			So(s.start(1, startOn("m2", "j", 2)).RunIDs, ShouldResemble, []uint64{3})
			Convey("a refused start leaves the task due and does not count as a failure", func() {
				task := s.Jobs["j"].Tasks[0][3]
				So(task, ShouldResemble, state.Task{Phase: state.TaskDue})
				So(s.UnpaidReason(s.Jobs["j"]), ShouldContainSubstring,
					"the balance of party acme is insufficient: it is 40, a start needs 100")
				s.topUp("second", 60)
				So(s.UnpaidReason(s.Jobs["j"]), ShouldEqual, "")
				So(s.start(1, startOn("m1", "j", 3)).RunIDs, ShouldResemble, []uint64{4})
			})
		})
		Convey("a run that the cluster lost is refunded; one that was stopped as ordered is debited", func() {
			s.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1))
			s.plan(Plan{Dead: []Proof{{RunID: 1, Kind: ProofLeaseExpired}, {RunID: 2, Kind: ProofStop}}})
			So(s.sums(), ShouldEqual, [3]int64{240, 0, 10})
			s.start(1, startOn("m1", "j", 0))
			restarted := testWorker("m1")
			restarted.Incarnation = "b2"
			s.plan(Plan{Running: []uint64{3}, Workers: []state.Worker{restarted}})
			So(s.sums(), ShouldEqual, [3]int64{240, 0, 10})
		})
		Convey("a run that exceeds its window is debited by any later entry, also below zero", func() {
			s.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1))
			for range 9 {
				s.must(&Purge{JobsKeep: 9})
			}
			So(s.sums(), ShouldEqual, [3]int64{50, 200, 0})
			s.must(&Purge{JobsKeep: 9})
			So(s.sums(), ShouldEqual, [3]int64{-150, 200, 200})
			So(s.start(1, startOn("m2", "j", 2)).Refused, ShouldResemble, []state.Refusal{"balance"})
			s.plan(Plan{Ends: []End{{RunID: 1, OK: true}, {RunID: 2}}})
			So(s.sums(), ShouldEqual, [3]int64{10, 0, 240})
		})
		Convey("a team without a party is not affected", func() {
			s.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1))
			steps := []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}
			spec := state.Spec{Key: "k", Team: "free", Queue: "default", Steps: steps}
			s.must(&Submit{Spec: spec, Digest: "k", Bound: 9})
			s.start(1)
			So(s.start(1, startOn("m2", "j", 2), startOn("m2", "k", 0)).Refused, ShouldResemble,
				[]state.Refusal{"balance", ""})
			So(s.sums()[1], ShouldEqual, 200)
		})
	})
}

func TestPayment_ofGangs(t *testing.T) {
	Convey("The starts of a gang are paid for together or not at all", t, func() {
		s := newPaidState(199)
		s.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 2, Gang: true})
		first, other := startOn("m1", "j", 0), startOn("m2", "j", 1)
		first.Group, other.Group = 7, 7
		So(s.start(1, first, other).Refused, ShouldResemble, []state.Refusal{"balance", "balance"})
		So(s.sums(), ShouldEqual, [3]int64{199, 0, 0})
		s.topUp("one more", 1)
		So(s.start(1, first, other).RunIDs, ShouldResemble, []uint64{1, 2})
		So(s.sums(), ShouldEqual, [3]int64{0, 200, 0})
	})
}

func TestPayment_ofLongRunningTasks(t *testing.T) {
	Convey("A long-running task starts only when paid for, and restarts also when the balance is exhausted", t, func() {
		s := newPaidState(99)
		s.submit("j", state.StepSpec{Name: "s", Type: "t", LongRunning: true})
		So(s.start(1, startOn("m1", "j", 0)).Refused, ShouldResemble, []state.Refusal{"balance"})
		s.topUp("one more", 1)
		So(s.start(1, startOn("m1", "j", 0)).RunIDs, ShouldResemble, []uint64{1})
		s.plan(Plan{Dead: []Proof{{RunID: 1, Kind: ProofLeaseExpired}}})
		s.submit("k", state.StepSpec{Name: "s", Type: "t"})
		s.start(1, startOn("m1", "k", 0))
		So(s.sums(), ShouldEqual, [3]int64{0, 100, 0})
		So(s.start(1, startOn("m2", "j", 0)).RunIDs, ShouldResemble, []uint64{3})
		So(s.sums(), ShouldEqual, [3]int64{-100, 200, 0})
	})
}

func TestPayment_withoutAccount(t *testing.T) {
	Convey("For a party without an account nothing starts but restarts of long-running tasks", t, func() {
		s := newTestState()
		s.submit("j", state.StepSpec{Name: "s", Type: "t", LongRunning: true})
		s.start(1, startOn("m1", "j", 0))
		s.Bundle.SetParties(map[string]state.Party{
			"acme": {Queues: []string{"default"}, Price: account.Price{Core: 10}},
		})
		s.submit("k", state.StepSpec{Name: "s", Type: "t"})
		So(s.start(1, startOn("m2", "k", 0)).Refused, ShouldResemble, []state.Refusal{"balance"})
		So(s.UnpaidReason(s.Jobs["k"]), ShouldEqual, "party acme has no account")
		s.plan(Plan{Dead: []Proof{{RunID: 1, Kind: ProofLeaseExpired}}})
		So(s.start(1, startOn("m2", "j", 0)).RunIDs, ShouldResemble, []uint64{2})
	})
}

func TestPayment_withoutParty(t *testing.T) {
	Convey("Without parties the encoded state has no accounts", t, func() {
		s := newTestState()
		s.submit("j", state.StepSpec{Name: "s", Type: "t"})
		s.start(1, startOn("m1", "j", 0))
		data, err := s.Encode()
		So(err, ShouldBeNil)
		So(bytes.Contains(data, []byte("accounts")), ShouldBeFalse)
		_, err = s.do(&AccountTopUp{Account: "acme", Key: "k", Amount: 1})
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
	})
}

func TestPayment_ofLongRunningGangs(t *testing.T) {
	Convey("A gang starts if the balance covers its first runs; its restarts may make the balance negative", t, func() {
		s := newPaidState(200)
		s.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 2, LongRunning: true})
		s.start(1, startOn("m1", "j", 0))
		s.plan(Plan{Dead: []Proof{{RunID: 1, Kind: ProofLeaseExpired}}})
		s.start(1, startOn("m1", "j", 0))
		s.plan(Plan{Dead: []Proof{{RunID: 2, Kind: ProofLeaseExpired}}})
		s.Accounts.Accounts["acme"].Balance -= 100 // as if 100 units less had been topped up
		s.Accounts.Accounts["acme"].ToppedUp -= 100
		s.Accounts.Accounts["acme"].Ledger.Head.ToppedUp -= 100
		first, other := startOn("m1", "j", 0), startOn("m2", "j", 1)
		first.Group, other.Group = 7, 7
		So(s.start(1, first, other).RunIDs, ShouldResemble, []uint64{3, 4})
		So(s.Accounts.Accounts["acme"].Balance, ShouldEqual, -100)
	})
}

// TestPayment_races tries every order of events that change a balance, with a start after each prefix: it is assigned
// if and only if the balance covers it at that entry, whatever the balance was when the scheduler planned it.
func TestPayment_races(t *testing.T) {
	events := []struct {
		name string
		do   func(s testState)
	}{
		{"another start", func(s testState) { s.start(1, startOn("m1", "j", 0)) }},
		{"top-up", func(s testState) { s.topUp("more", 120) }},
		{"the same top-up", func(s testState) { s.topUp("more", 120) }},
		{"an end", func(s testState) { s.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, OK: true}}}) }},
		{"a loss", func(s testState) { s.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 2, Kind: ProofFloor}}}) }},
		{"a long time", func(s testState) { s.do(&Purge{JobsKeep: 9}); s.Accounts.Renew(s.At.Add(window)) }},
	}
	Convey("A start is assigned if and only if the balance covers it at its own entry", t, func() {
		orders := exhaustive.Arrangements(len(events), func(chosen []int) {
			s := newPaidState(300)
			s.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 4, Retries: 9})
			s.start(1, startOn("m2", "j", 1), startOn("m2", "j", 2))
			for _, i := range chosen {
				events[i].do(s)
			}
			balance := s.Accounts.Accounts["acme"].Balance
			got := s.start(1, startOn("m1", "j", 3))
			if assigned := got.RunIDs[0] > 0; assigned != (balance >= 100) {
				panic(fmt.Sprintf("after %v a start at a balance of %d: %v", chosen, balance, got))
			}
			if err := s.Accounts.Check(); err != nil {
				panic(err)
			}
		})
		So(orders, ShouldEqual, 1957) // all ordered choices of six
	})
}
