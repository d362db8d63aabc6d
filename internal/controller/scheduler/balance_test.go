package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/account"
	"crosstide/internal/jobs"
)

// paidAccounts is an account table that reads the clock of a cluster.
type paidAccounts struct {
	*account.Table
	cluster *cluster
}

func (a paidAccounts) Reserve(charge account.Charge) error {
	return a.Table.Reserve(charge, a.cluster.wall())
}

func (a paidAccounts) Debit(run string) { a.Table.Debit(run, a.cluster.wall()) }

// addPaidAccount makes acme pay for queue q: 10 units per core and second, reserved for a window of 10 s in advance.
// units is the balance of its account.
func (c *cluster) addPaidAccount(units int64) paidAccounts {
	acme := jobs.Party{Name: "acme", Queues: []string{"q"}, Price: account.Price{Core: 10}, Window: 10 * time.Second}
	So(c.table.SetParties(jobs.SetParties{Parties: []jobs.Party{acme}}), ShouldBeNil)
	accounts := paidAccounts{account.NewTable(), c}
	So(accounts.Create("acme", 0), ShouldBeNil)
	c.table.Payments = accounts
	accounts.topUp("first", units)
	return accounts
}

func (a paidAccounts) topUp(key string, units int64) {
	_, err := a.TopUp("acme", key, units, a.cluster.wall())
	So(err, ShouldBeNil)
}

// startsOf counts the starts of a job that the newest passes sent.
func (c *cluster) startsOf(job string) int {
	count := 0
	for _, start := range c.starts {
		if start.Order.Key.Task.Job == job {
			count++
		}
	}
	return count
}

func TestQueueOfExhaustedAccount(t *testing.T) {
	Convey("Tasks of a queue with an exhausted account wait without commits and start soon after a top-up", t, func() {
		c := newReadyCluster()
		accounts := c.addPaidAccount(150)
		c.submit("j", jobs.Step{Count: 2, Needs: jobs.Resources{MilliCPU: 1000}})
		c.runPasses() // returns only if no pass proposes a start that the table refuses
		So(c.startsOf("j"), ShouldEqual, 1)
		c.accept()
		c.answer(RenewalAnswer{Running: []ListedRun{{Key: jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1}}}})
		c.submitTo("urgent", "u", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}})
		c.runPasses()
		So([]int{c.startsOf("j"), c.startsOf("u")}, ShouldResemble, []int{0, 1})
		c.accept()
		accounts.topUp("second", 50)
		c.now += sweepInterval
		c.runPasses()
		So(c.startsOf("j"), ShouldEqual, 1)
		So(accounts.Check(), ShouldBeNil)
	})
}
