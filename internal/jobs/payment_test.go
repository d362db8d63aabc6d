package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

// testAccounts implements Payments. Its methods use a time that the test sets.
type testAccounts struct {
	*account.Table
	at time.Time
}

func (a *testAccounts) Reserve(c account.Charge) error { return a.Table.Reserve(c, a.at) }
func (a *testAccounts) Debit(run string)               { a.Table.Debit(run, a.at) }

// sums checks the accounts, and returns Balance, Reserved and Spent of acme.
func (a *testAccounts) sums() [3]int64 {
	must(a.Check())
	acme := a.Accounts["acme"]
	return [3]int64{acme.Balance, acme.Reserved, acme.Spent}
}

// paidTable returns a testTable in which acme pays for the queue plain, and accounts in which acme has a balance of
// units. A core costs 10 units a second, so that a start of one core reserves 100 units.
func paidTable(units int64) (*Table, *testAccounts) {
	t := testTable()
	must(t.SetParties(SetParties{Parties: []Party{
		{Name: "acme", Queues: []string{"plain"}, Price: account.Price{Core: 10}, Window: 10 * time.Second},
	}}))
	a := &testAccounts{account.NewTable(), noon}
	must(a.Create("acme", 0))
	if units > 0 {
		_, err := a.TopUp("acme", "first", units, noon)
		must(err)
	}
	t.Payments = a
	return t, a
}

func TestPayment_ofRuns(t *testing.T) {
	Convey("A start reserves if the balance covers it; ended runs are debited and lost runs refunded", t, func() {
		table, a := paidTable(250)
		table.mustSubmit(testJob("j", oneCore(4)))
		first, second := startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w1")
		third := startOf(taskOf("j", 0, 2), 1, "w2")
		So(table.start(first, second, third), ShouldResemble, []bool{true, true, false})
		So(a.sums(), ShouldEqual, [3]int64{50, 200, 0})
		a.at = noon.Add(1500 * time.Millisecond)
		table.end(endOf(first, EndDone), endOf(second, EndLost))
		So(a.sums(), ShouldEqual, [3]int64{235, 0, 15})
		table.end(endOf(first, EndDone)) // a repeated report
		So(a.sums(), ShouldEqual, [3]int64{235, 0, 15})
		So(table.start(third), ShouldResemble, []bool{true})
	})
}

func TestPayment_ofGangs(t *testing.T) {
	Convey("A gang starts only if the balance covers all members together", t, func() {
		table, a := paidTable(199)
		gang := oneCore(2)
		gang.Gang = true
		table.mustSubmit(testJob("j", gang))
		starts := []Start{startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w2")}
		So(table.start(starts...), ShouldResemble, []bool{false, false})
		_, err := a.TopUp("acme", "second", 1, noon)
		So(err, ShouldBeNil)
		So(table.start(starts...), ShouldResemble, []bool{true, true})
		So(a.sums(), ShouldEqual, [3]int64{0, 200, 0})
	})
}

func TestPayment_ofLongRunningTasks(t *testing.T) {
	Convey("With an exhausted balance a long-running task can restart, but not start for the first time", t, func() {
		table, a := paidTable(100)
		step := oneCore(1)
		step.LongRunning = true
		table.mustSubmit(testJob("j", step))
		table.mustSubmit(testJob("k", step))
		start := startOf(taskOf("j", 0, 0), 1, "w1")
		So(table.start(start, startOf(taskOf("k", 0, 0), 1, "w2")), ShouldResemble, []bool{true, false})
		table.end(endOf(start, EndLeaseExpired))
		restart := startOf(taskOf("j", 0, 0), 2, "w2")
		table.mustSubmit(testJob("l", oneCore(1)))
		So(table.start(startOf(taskOf("l", 0, 0), 1, "w1")), ShouldResemble, []bool{true})
		So(table.start(restart), ShouldResemble, []bool{true})
		So(a.sums(), ShouldEqual, [3]int64{-100, 200, 0})
	})
}

func TestPayment_ofLongRunningGangs(t *testing.T) {
	Convey("For a long-running gang the balance must cover only the members that have not run before", t, func() {
		table, a := paidTable(100)
		gang := oneCore(2)
		gang.Gang, gang.LongRunning = true, true
		job := table.mustSubmit(testJob("j", gang))
		job.Rounds[0][0][0].LastRun = 1
		So(table.start(startOf(taskOf("j", 0, 0), 2, "w1"), startOf(taskOf("j", 0, 1), 2, "w2")), ShouldResemble,
			[]bool{true, true})
		So(a.sums(), ShouldEqual, [3]int64{-100, 200, 0})
	})
}

func TestPayment_withoutParty(t *testing.T) {
	Convey("Runs of queues without a party, and of tables without parties, are free", t, func() {
		table, a := paidTable(0)
		guarded := testJob("g", oneCore(1))
		guarded.Spec.Queue = "guarded"
		table.mustSubmit(guarded)
		So(table.start(startOf(taskOf("g", 0, 0), 1, "g1")), ShouldResemble, []bool{true})
		So(a.sums(), ShouldEqual, [3]int64{0, 0, 0})
		free := testTable()
		free.mustSubmit(testJob("j", oneCore(1)))
		So(free.bytes(), ShouldNotContainSubstring, "parties")
		So(free.start(startOf(taskOf("j", 0, 0), 1, "w1")), ShouldResemble, []bool{true})
	})
}

func TestPayment_withoutAccount(t *testing.T) {
	Convey("Without accounts no task of a party's queue starts", t, func() {
		table, _ := paidTable(0)
		table.Payments = nil
		table.mustSubmit(testJob("j", oneCore(1)))
		So(table.start(startOf(taskOf("j", 0, 0), 1, "w1")), ShouldResemble, []bool{false})
	})
}

func TestSetParties(t *testing.T) {
	Convey("Parties are decoded with the table, and invalid parties are refused", t, func() {
		table, _ := paidTable(0)
		decoded := table.decodedCopy()
		job := table.mustSubmit(testJob("j", oneCore(1)))
		So(decoded.PartyOf(job).Name, ShouldEqual, "acme")
		for field, p := range map[string]Party{
			"parties[0].name":   {Window: time.Second},
			"parties[0].window": {Name: "a"},
			"parties[0].price":  {Name: "a", Window: time.Second, Price: account.Price{GPU: -1}},
			"parties[0].queues": {Name: "a", Window: time.Second, Queues: []string{"q", "q"}},
		} {
			err := table.SetParties(SetParties{Parties: []Party{p}})
			So(err, shouldBeKind, errs.Invalid)
			So(err, shouldNameField, field)
		}
		So(table.PartyOf(job).Name, ShouldEqual, "acme")
	})
}

// paidHistory applies random starts and ends to tasks of a paidTable.
type paidHistory struct {
	*rapid.T
	table    *Table
	accounts *testAccounts
	running  map[TaskRef]Start // starts whose runs have a handle
	lastRun  map[TaskRef]int   // number of the newest start
}

// event starts a task, or ends its run if it has one.
func (h *paidHistory) event() {
	h.accounts.at = h.accounts.at.Add(time.Duration(rapid.IntRange(0, 5000).Draw(h.T, "ms")) * time.Millisecond)
	h.accounts.Renew(h.accounts.at)
	job := rapid.SampledFrom([]string{"j", "k"}).Draw(h.T, "job")
	ref := taskOf(job, 0, rapid.IntRange(0, 5).Draw(h.T, "task"))
	if start, ok := h.running[ref]; ok {
		reason := rapid.SampledFrom([]EndReason{
			EndDone, EndFailed, EndStopped, EndLeaseExpired, EndLost, EndGangBroken, EndGangTimeout,
		}).Draw(h.T, "reason")
		h.table.end(endOf(start, reason))
		delete(h.running, ref)
		return
	}
	balance := h.accounts.Accounts["acme"].Balance
	h.lastRun[ref]++
	start := startOf(ref, h.lastRun[ref], rapid.SampledFrom([]string{"w1", "w2"}).Draw(h.T, "worker"))
	if !h.table.start(start)[0] {
		return
	}
	h.running[ref] = start
	if balance < 100 {
		h.Fatalf("a start was recorded at a balance of %d", balance)
	}
}

// checkReservations checks that each handle has a reservation, and that no other reservations exist.
func (h *paidHistory) checkReservations() {
	must(h.accounts.Check())
	if len(h.accounts.Reservations) != len(h.running) {
		h.Fatalf("%d reservations, %d handles", len(h.accounts.Reservations), len(h.running))
	}
	for _, start := range h.running {
		if h.accounts.Reservations[(RunKey{Task: start.Task, Number: start.Number}).RunName()] == nil {
			h.Fatalf("%v has no reservation", start)
		}
	}
}

// TestPayment_randomHistories checks after random starts and ends that reservations correspond one to one to handles,
// and that no start was recorded that the balance did not cover.
func TestPayment_randomHistories(t *testing.T) {
	Convey("Each handle has a reservation", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			table, accounts := paidTable(rapid.Int64Range(0, 600).Draw(t, "units"))
			h := &paidHistory{
				T: t, table: table, accounts: accounts, running: map[TaskRef]Start{}, lastRun: map[TaskRef]int{},
			}
			table.mustSubmit(testJob("j", oneCore(6)))
			table.mustSubmit(testJob("k", oneCore(6)))
			for range rapid.IntRange(1, 40).Draw(t, "events") {
				h.event()
				h.checkReservations()
			}
		})
	})
}
