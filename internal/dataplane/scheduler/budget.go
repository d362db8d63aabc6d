package scheduler

import (
	"cmp"

	"crosstide/internal/state"
)

// budget tracks the parties' balances while placement builds a plan. The store checks each start again when the plan
// is applied; the budget keeps the scheduler from proposing the same uncovered starts in every plan.
type budget struct {
	reserved map[string]int64 // fees of the starts in the plan, by party
	// firstUncovered is, by party, the first due task that the balance does not cover. Later tasks wait behind it.
	firstUncovered map[string]paymentOrder
}

func newBudget() budget {
	return budget{reserved: map[string]int64{}, firstUncovered: map[string]paymentOrder{}}
}

// paymentOrder is the position of a due task among those of its party: by rank, then oldest job first.
type paymentOrder struct {
	rank rank
	seq  uint64
}

func (o paymentOrder) before(other paymentOrder) bool {
	return cmp.Or(cmp.Compare(o.rank, other.rank), cmp.Compare(o.seq, other.seq)) < 0
}

// resetBudget clears the budget for a new plan, and records each party's first uncovered task before any task is
// placed. Without parties in the bundle every task is covered.
func (c *Core) resetBudget() {
	clear(c.placement.budget.reserved)
	clear(c.placement.budget.firstUncovered)
	if len(c.st.Bundle.Parties) == 0 {
		return
	}
	for _, cls := range c.queue.classes {
		if job, _ := c.peek(cls); job != nil {
			c.checkCovered(cls, job)
		}
	}
}

// nextFee returns the total fee of the next group of tasks of a class. Its Party is empty if no party pays for them.
func (c *Core) nextFee(cls *class, job *state.Job) state.Fee {
	var sum state.Fee
	for _, task := range cls.refs[cls.head : cls.head+cls.groupSize()] {
		if fee := c.st.Fee(job, task.TaskRef); fee.Party != "" {
			sum.Party = fee.Party
			sum.Cost += fee.Cost
		}
	}
	return sum
}

// checkCovered reports whether the party's balance covers the next fee of a class in addition to the fees that the
// plan has reserved. If not, it records the class's next task as the party's first uncovered one, behind which later
// tasks wait.
func (c *Core) checkCovered(cls *class, job *state.Job) bool {
	fee := c.nextFee(cls, job)
	if fee.Party == "" {
		return true
	}
	order := paymentOrder{c.rankOf(cls, 0), job.Seq}
	first, exists := c.placement.budget.firstUncovered[fee.Party]
	if exists && first.before(order) {
		return false
	}
	fee.Cost += c.placement.budget.reserved[fee.Party]
	if c.st.Covers(fee) {
		return true
	}
	c.placement.budget.firstUncovered[fee.Party] = order
	return false
}

// reserveFee reserves the fee of a class's next group in the plan. It must be called before the group is popped.
func (c *Core) reserveFee(cls *class, job *state.Job) {
	if fee := c.nextFee(cls, job); fee.Party != "" {
		c.placement.budget.reserved[fee.Party] += fee.Cost
	}
}

// awaitsTopUp reports whether the balance of a class's party does not cover its next tasks. Such a class delays no
// other party: it gets no reservation. It is considered again at the next sweep, and immediately when an account
// changes. Like checkCovered, awaitsTopUp may record the party's first uncovered task.
func (c *Core) awaitsTopUp(cls *class) bool {
	if len(c.st.Bundle.Parties) == 0 {
		return false
	}
	job, _ := c.peek(cls)
	return job != nil && !c.checkCovered(cls, job)
}

// TasksAwaitingTopUp returns the number of due tasks that wait for a top-up, by party, or nil if no task waits.
func (c *Core) TasksAwaitingTopUp() map[string]int {
	var waiting map[string]int
	for _, cls := range c.queue.classes {
		if !c.awaitsTopUp(cls) {
			continue
		}
		if waiting == nil {
			waiting = map[string]int{}
		}
		waiting[c.st.Bundle.PartyOf(cls.queue, cls.team)] += len(cls.refs) - cls.head
	}
	return waiting
}
