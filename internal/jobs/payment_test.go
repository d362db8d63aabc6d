package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

// testAccounts are accounts at a time that the test sets.
type testAccounts struct {
	*account.Table
	at time.Time
}

func (a *testAccounts) Reserve(c account.Charge) error { return a.Table.Reserve(c, a.at) }
func (a *testAccounts) Debit(run string)               { a.Table.Debit(run, a.at) }

// sums are balance, reserved and spent.
func (a *testAccounts) sums() [3]int64 {
	must(a.Check())
	acme := a.Accounts["acme"]
	return [3]int64{acme.Balance, acme.Reserved, acme.Spent}
}

// paidTable is a testTable whose queue "plain" is paid for by acme: 10 a second for a core, 100 to start.
func paidTable(units int64) (*Table, *testAccounts) {
	t := testTable()
	must(t.SetParties(SetParties{Parties: []Party{{Name: "acme", Queues: []string{"plain"}, Price: account.Price{Core: 10}, Window: 10 * time.Second}}}))
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
	Convey("A start reserves and is refused when the balance does not cover it; ends are debited, losses refunded", t, func() {
		table, a := paidTable(250)
		table.mustSubmit(testJob("j", oneCore(4)))
		first, second, third := startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w1"), startOf(taskOf("j", 0, 2), 1, "w2")
		So(table.start(first, second, third), ShouldResemble, []bool{true, true, false})
		So(a.sums(), ShouldEqual, [3]int64{50, 200, 0})
		a.at = noon.Add(1500 * time.Millisecond)
		table.end(endOf(first, EndDone), endOf(second, EndLost))
		So(a.sums(), ShouldEqual, [3]int64{235, 0, 15})
		table.end(endOf(first, EndDone)) // said again
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
	Convey("Of a long-running gang a member that never ran is paid for beside one that did", t, func() {
		table, a := paidTable(100)
		gang := oneCore(2)
		gang.Gang, gang.LongRunning = true, true
		job := table.mustSubmit(testJob("j", gang))
		job.Rounds[0][0][0].LastRun = 1
		So(table.start(startOf(taskOf("j", 0, 0), 2, "w1"), startOf(taskOf("j", 0, 1), 2, "w2")), ShouldResemble, []bool{true, true})
		So(a.sums(), ShouldEqual, [3]int64{-100, 200, 0})
	})
}

func TestPayment_withoutParty(t *testing.T) {
	Convey("Queues that nobody pays for, and tables without parties, need no account", t, func() {
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
	Convey("Parties are decoded from the table's bytes, and invalid ones are refused", t, func() {
		table, _ := paidTable(0)
		back := table.decodedCopy()
		job := table.mustSubmit(testJob("j", oneCore(1)))
		So(back.PartyOf(job).Name, ShouldEqual, "acme")
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

// Whatever is started and ended in whatever order, reservations and handles stay one to one, and no start is recorded
// that the balance did not cover.
func TestPayment_randomHistories(t *testing.T) {
	Convey("There is a reservation for each handle", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			table, a := paidTable(rapid.Int64Range(0, 600).Draw(t, "units"))
			table.mustSubmit(testJob("j", oneCore(6)))
			table.mustSubmit(testJob("k", oneCore(6)))
			out := map[TaskRef]Start{}
			numbers := map[TaskRef]int{}
			for range rapid.IntRange(1, 40).Draw(t, "events") {
				a.at = a.at.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				a.Renew(a.at)
				ref := taskOf(rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job"), 0, rapid.IntRange(0, 5).Draw(t, "task"))
				if start, ok := out[ref]; ok {
					reason := rapid.SampledFrom([]EndReason{EndDone, EndFailed, EndStopped, EndLeaseExpired, EndLost, EndGangBroken, EndGangTimeout}).Draw(t, "how")
					table.end(endOf(start, reason))
					delete(out, ref)
				} else {
					balance := a.Accounts["acme"].Balance
					numbers[ref]++
					start := startOf(ref, numbers[ref], rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker"))
					if table.start(start)[0] {
						out[ref] = start
						if balance < 100 {
							t.Fatalf("a start at a balance of %d", balance)
						}
					}
				}
				must(a.Check())
				if len(a.Reservations) != len(out) {
					t.Fatalf("%d reservations, %d handles", len(a.Reservations), len(out))
				}
				for _, start := range out {
					if a.Reservations[(RunKey{Task: start.Task, Number: start.Number}).RunName()] == nil {
						t.Fatalf("%v has no reservation", start)
					}
				}
			}
		})
	})
}
