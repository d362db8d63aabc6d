package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/account"
	"crosstide/internal/jobs"
)

// paidAccounts are accounts at the harness's time.
type paidAccounts struct {
	*account.Table
	h *harness
}

func (a paidAccounts) at() time.Time { return time.Time{}.Add(a.h.now) }

func (a paidAccounts) Reserve(c account.Charge) error { return a.Table.Reserve(c, a.at()) }
func (a paidAccounts) Debit(run string)               { a.Table.Debit(run, a.at()) }

// pay makes acme pay for queue q: 10 a second for a core, 100 to start.
func (h *harness) pay(units int64) paidAccounts {
	So(h.table.SetParties(jobs.SetParties{Parties: []jobs.Party{{Name: "acme", Queues: []string{"q"}, Price: account.Price{Core: 10},
		Window: 10 * time.Second}}}), ShouldBeNil)
	a := paidAccounts{account.NewTable(), h}
	So(a.Create("acme", 0), ShouldBeNil)
	h.table.Payments = a
	a.topUp("first", units)
	return a
}

func (a paidAccounts) topUp(key string, units int64) {
	_, err := a.TopUp("acme", key, units, a.at())
	So(err, ShouldBeNil)
}

// count returns how many starts of a job were sent.
func (h *harness) count(job string) int {
	n := 0
	for _, s := range h.starts {
		if s.Order.Key.Task.Job == job {
			n++
		}
	}
	return n
}

func TestQueueOfExhaustedAccount(t *testing.T) {
	Convey("A queue whose account is exhausted waits without commits, and goes on within a sweep after a top-up", t, func() {
		h := newHarness()
		a := h.pay(150)
		h.submit(jobs.Step{Count: 2, Needs: jobs.Resources{MilliCPU: 1000}})
		h.pass() // it returns: no start is proposed and refused again and again
		So(h.count("j"), ShouldEqual, 1)
		h.accept()
		h.answer(RenewalAnswer{Running: []ListedRun{{Key: jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1}}}})
		h.submitTo("urgent", "u", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}})
		h.pass()
		So([]int{h.count("j"), h.count("u")}, ShouldResemble, []int{0, 1})
		h.accept()
		a.topUp("second", 50)
		h.now += sweepInterval
		h.pass()
		So(h.count("j"), ShouldEqual, 1)
		So(a.Check(), ShouldBeNil)
	})
}
