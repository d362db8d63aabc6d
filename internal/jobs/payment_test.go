package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

// testAccounts implements Payments at a time that the test sets.
type testAccounts struct {
	*account.Table
	at time.Time
}

func (a *testAccounts) Reserve(c account.Charge) error { return a.Table.Reserve(c, a.at) }
func (a *testAccounts) Debit(run string)               { a.Table.Debit(run, a.at) }

// sums checks the accounts, and returns the balance, the reserved and the spent units of acme.
func (a *testAccounts) sums() [3]int64 {
	must(a.Check())
	acme := a.Accounts["acme"]
	return [3]int64{acme.Balance, acme.Reserved, acme.Spent}
}

// paidTable returns a testTable in which acme, with units on its account, pays for the queue plain: 10 units a second
// for each core, so that a start of one core reserves 100.
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
	Convey("A start reserves if the balance covers it; ends are debited and losses refunded", t, func() {
		table, a := paidTable(250)
		table.mustSubmit(testJob("j", oneCore(4)))
		first, second := startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w1")
		third := startOf(taskOf("j", 0, 2), 1, "w2")
		So(table.start(first, second, third), ShouldResemble, []bool{true, true, false})
		So(a.sums(), ShouldEqual, [3]int64{50, 200, 0})
		a.at = noon.Add(1500 * time.Millisecond)
		table.end(endOf(first, EndDone), endOf(second, EndLost))
		So(a.sums(), ShouldEqual, [3]int64{235, 0, 15})
		table.end(endOf(first, EndDone)) // reported again
		So(a.sums(), ShouldEqual, [3]int64{235, 0, 15})
		So(table.start(third), ShouldResemble, []bool{true})
	})
}

func TestPayment_ofGangs(t *testing.T) {
	Convey("A gang is paid for together or not at all", t, func() {
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
	Convey("A long-running task that ran before restarts on an exhausted balance; one that never ran waits", t, func() {
		table, a := paidTable(100)
		feed := oneCore(1)
		feed.LongRunning = true
		table.mustSubmit(testJob("j", feed))
		table.mustSubmit(testJob("k", feed))
		start := startOf(taskOf("j", 0, 0), 1, "w1")
		So(table.start(start, startOf(taskOf("k", 0, 0), 1, "w2")), ShouldResemble, []bool{true, false})
		table.end(endOf(start, EndLeaseExpired))
		other := startOf(taskOf("j", 0, 0), 2, "w2")
		table.mustSubmit(testJob("l", oneCore(1)))
		So(table.start(startOf(taskOf("l", 0, 0), 1, "w1")), ShouldResemble, []bool{true})
		So(table.start(other), ShouldResemble, []bool{true})
		So(a.sums(), ShouldEqual, [3]int64{-100, 200, 0})
	})
}

func TestPayment_ofLongRunningGangs(t *testing.T) {
	Convey("The first run of a gang's member is paid for with another's restart", t, func() {
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
	Convey("Queues without a party, and tables without parties, need no account", t, func() {
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
	Convey("Without any account a party's queue waits", t, func() {
		table, _ := paidTable(0)
		table.Payments = nil
		table.mustSubmit(testJob("j", oneCore(1)))
		So(table.start(startOf(taskOf("j", 0, 0), 1, "w1")), ShouldResemble, []bool{false})
	})
}

func TestSetParties(t *testing.T) {
	Convey("Parties are decoded with the table, and invalid ones are refused", t, func() {
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

// paidHistory draws starts and ends of the tasks of a table that acme pays for.
type paidHistory struct {
	*rapid.T
	table    *Table
	accounts *testAccounts
	running  map[TaskRef]Start // with a handle
	lastRun  map[TaskRef]int   // newest number of a start
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
		}).Draw(h.T, "how")
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
		h.Fatalf("a start at a balance of %d", balance)
	}
}

// checkReservations checks that there is one reservation for each handle, and no other.
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

// TestPayment_randomHistories draws starts and ends: reservations and handles stay one to one, and no start is recorded
// that the balance does not cover.
func TestPayment_randomHistories(t *testing.T) {
	Convey("There is a reservation for each handle", t, func() {
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
