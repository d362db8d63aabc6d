package command

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/account"
	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// window is what a start pays in advance in these tests; every command comes a second after the one before.
const window = 10 * time.Second

// newPaid is a book whose team "a" is paid for by party "acme" with so many units. A run costs 10 a second, and so 100
// to start.
func newPaid(units int64) testState {
	b := newTestState()
	b.Bundle.SetParties(map[string]state.Party{"acme": {Teams: []string{"a"}, Price: account.Price{Core: 10}, Reserve: window}})
	b.must(&AccountCreate{Order: "open", Account: "acme"})
	b.topUp("first", units)
	return b
}

func (b testState) must(c Command) any {
	a, err := b.do(c)
	So(err, ShouldBeNil)
	return a
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

func (b testState) plan(p Plan) Planned {
	p.Epoch, p.BundleVersion = 1, b.Bundle.Version
	return b.must(&p).(Planned)
}

func TestPaidRun(t *testing.T) {
	Convey("given a party with enough for two starts, and two jobs of its team", t, func() {
		b := newPaid(250)
		b.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 4, Retries: 9})
		Convey("a start reserves in its own commit and is refused when dry; an end settles", func() {
			So(b.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1), startOn("m2", "j", 2)), ShouldResemble,
				Planned{RunIDs: []uint64{1, 2, 0}, Refused: []string{"", "", "balance"}})
			So(b.sums(), ShouldEqual, [3]int64{50, 200, 0})
			b.plan(Plan{Ends: []End{{RunID: 1, OK: true}}})
			So(b.sums(), ShouldEqual, [3]int64{140, 100, 10})
			So(b.start(1, startOn("m2", "j", 2)).RunIDs, ShouldResemble, []uint64{3})
			Convey("a start refused before waits with its place and without a try", func() {
				task := b.Jobs["j"].Tasks[0][3]
				So(task, ShouldResemble, state.Task{Phase: state.TaskDue})
				So(b.UnpaidReason(b.Jobs["j"]), ShouldContainSubstring, "party acme has run dry: its balance is 40, a start needs 100")
				b.topUp("second", 60)
				So(b.UnpaidReason(b.Jobs["j"]), ShouldEqual, "")
				So(b.start(1, startOn("m1", "j", 3)).RunIDs, ShouldResemble, []uint64{4})
			})
		})
		Convey("what the cluster lost is not paid for; what was stopped on our word is", func() {
			b.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1))
			b.plan(Plan{Dead: []Proof{{RunID: 1, Why: ProofLeaseExpired}, {RunID: 2, Why: ProofStop}}})
			So(b.sums(), ShouldEqual, [3]int64{240, 0, 10})
			b.start(1, startOn("m1", "j", 0))
			m := testWorker("m1")
			m.Incarnation = "b2"
			b.plan(Plan{Running: []uint64{3}, Workers: []state.Worker{m}})
			So(b.sums(), ShouldEqual, [3]int64{240, 0, 10})
		})
		Convey("a run that outlives its window draws on, also below zero, by any entry that is later", func() {
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
		Convey("a team that nobody pays for goes on beside it", func() {
			b.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1))
			b.must(&Submit{Spec: state.Spec{Key: "k", Team: "free", Queue: "default", Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}},
				Digest: "k", Bound: 9})
			b.start(1)
			So(b.start(1, startOn("m2", "j", 2), startOn("m2", "k", 0)).Refused, ShouldResemble, []string{"balance", ""})
			So(b.sums()[1], ShouldEqual, 200)
		})
	})
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
	Convey("A lasting task starts only when paid for, and stays attached when dry", t, func() {
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
	Convey("A party without an account starts nothing, but for lasting tasks that ran before", t, func() {
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

// TestBalanceRaces tries every order of what takes from a balance and what adds to it, with a start after each prefix:
// it is given exactly when the balance covers it at that entry, whatever its holder thought.
func TestBalanceRaces(t *testing.T) {
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
	Convey("a start is given exactly when the balance covers it in its own step", t, func() {
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

func TestAccountOrders(t *testing.T) {
	Convey("Orders on accounts count once, are answered alike, and need an operator", t, func() {
		o := newOperatorsFixture()
		opened := &AccountCreate{Order: "o1", Account: "acme", By: "ada"}
		opened.Sig = o.keys["ada"].Sign(signature.AccountCreate("o1", "acme", 0))
		paid := &AccountTopUp{Account: "acme", Key: "k1", Amount: 50, By: "ben"}
		paid.Sig = o.keys["ben"].Sign(signature.AccountTopUp("k1", "acme", 50))
		_, err := o.do(paid)
		So(kinds(err), ShouldEqual, errs.Unknown)
		first, err := o.do(opened)
		So(err, ShouldBeNil)
		made, err := o.do(paid)
		So(err, ShouldBeNil)
		data, err := o.st.Encode()
		So(err, ShouldBeNil)
		o.st, err = state.Decode(data)
		So(err, ShouldBeNil)
		again, err := o.do(opened)
		So(err, ShouldBeNil)
		So(fmt.Sprintf("%s", again), ShouldEqual, fmt.Sprintf("%s", first))
		twice, err := o.do(paid)
		So(err, ShouldBeNil)
		So(twice, ShouldResemble, made)
		So(o.st.Accounts.Accounts["acme"].Balance, ShouldEqual, 50)

		more := *paid
		more.Amount = 5000
		eve := *paid
		eve.By, eve.Sig = "eve", o.keys["eve"].Sign(signature.AccountTopUp("k1", "acme", 50))
		unsigned := *opened
		unsigned.Order, unsigned.Sig = "o2", ""
		for _, bad := range []Command{&more, &eve, &unsigned} {
			_, err := o.do(bad)
			So(kinds(err), ShouldEqual, errs.Forbidden)
		}
		more.Sig = o.keys["ben"].Sign(signature.AccountTopUp("k1", "acme", 5000))
		_, err = o.do(&more)
		So(kinds(err), ShouldEqual, errs.Conflict)
		So(o.st.Accounts.Check(), ShouldBeNil)
	})
	Convey("The bundle maps teams and queues to parties, each to one", t, func() {
		b, err := bundle.Parse([]byte(`{"queues":{"q":{},"r":{}},"parties":{"acme":{"teams":["a"],"queues":["q"],"price":{"core":10,"gpu":500},
			"reserve":"30s"},"blue":{"teams":["b"],"price":{"core":1},"warn":"1h"}}}`))
		So(err, ShouldBeNil)
		for _, c := range [][3]string{{"q", "b", "acme"}, {"r", "b", "blue"}, {"r", "a", "acme"}, {"r", "c", ""}} {
			So(b.PartyOf(c[0], c[1]), ShouldEqual, c[2])
		}
		So(b.Parties["acme"].Window(), ShouldEqual, 30*time.Second)
		So(b.Parties["blue"].Window(), ShouldEqual, state.DefaultReserve)
		So(b.Parties["blue"].WarnBefore(), ShouldEqual, time.Hour)
		_, err = bundle.Parse([]byte(`{"queues":{"q":{}},"parties":{"acme":{"teams":["a"],"queues":["z"],"price":{"core":-1}},
			"blue":{"teams":["a"],"price":{}},"cold":{"teams":[],"price":{"core":1},"reserve":"1ms"}}}`))
		So(kinds(err), ShouldEqual, errs.Invalid)
		for _, mistake := range []string{"5 mistakes", `there is no queue "z"`, "price.core", `parties.blue.teams: "a" is paid for by "acme" already`,
			"cold.teams", "cold.reserve"} {
			So(err.Error(), ShouldContainSubstring, mistake)
		}
	})
}

func TestPaidJobTable(t *testing.T) {
	Convey("The job table draws on the same accounts, also in a state that came from its bytes", t, func() {
		b := testState{state.New()}
		b.must(&JobConfigure{jobs.Configure{Version: 1, Replace: true, Services: []jobs.Service{{Name: "s"}},
			Queues: []jobs.Queue{{Name: "q", Service: "s", MaxAttempts: 1, Timeout: time.Second}}}})
		b.must(&JobRegister{jobs.Register{Workers: []jobs.Worker{{ID: "w", Service: "s", Capacity: jobs.Resources{MilliCPU: 4000}}}}})
		b.must(&JobParties{Order: "parties", SetParties: jobs.SetParties{Parties: []jobs.Party{{Name: "acme", Queues: []string{"q"},
			Price: account.Price{Core: 10}, Window: window}}}})
		b.must(&JobSubmit{jobs.Submit{Spec: jobs.Spec{ID: "j", Queue: "q", Steps: []jobs.Step{{Count: 3, Needs: jobs.Resources{MilliCPU: 1000}}}}}})
		start := func(index int) bool {
			return b.must(&JobProgress{jobs.Progress{Term: 1, Starts: []jobs.Start{{Task: jobs.TaskRef{Job: "j", Index: index}, Number: 1,
				Worker: "w"}}}}).(jobs.Started).Recorded[0]
		}
		So(start(0), ShouldBeFalse) // there is no account
		b.must(&AccountCreate{Order: "open", Account: "acme"})
		b.topUp("first", 150)
		So(start(0), ShouldBeTrue)
		data, err := b.Encode()
		So(err, ShouldBeNil)
		b.State, err = state.Decode(data)
		So(err, ShouldBeNil)
		So(start(1), ShouldBeFalse)
		So(b.sums(), ShouldEqual, [3]int64{50, 100, 0})
		b.must(&JobProgress{jobs.Progress{Term: 1, Ends: []jobs.End{{Key: jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1}, Worker: "w",
			Reason: jobs.EndDone}}}})
		So(b.sums(), ShouldEqual, [3]int64{130, 0, 20})
		So(start(1), ShouldBeTrue)
	})
}

func TestPaidLongRunningGang(t *testing.T) {
	Convey("Of a lasting gang a member that never ran is paid for beside one that did, below zero if need be", t, func() {
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
