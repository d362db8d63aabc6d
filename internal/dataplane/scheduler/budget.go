package scheduler

import (
	"cmp"

	"crosstide/internal/state"
)

// budget is the state of the parties' balances while placement makes a plan. The store checks each start again when the
// plan is applied; the budget keeps the scheduler from proposing the same uncovered starts in every plan.
type budget struct {
	reserved map[string]int64 // what the starts of the plan need, by party
	// firstUncovered is the first of a party's due tasks that its balance does not cover; later ones wait behind it.
	firstUncovered map[string]paymentOrder
}

func newBudget() budget {
	return budget{reserved: map[string]int64{}, firstUncovered: map[string]paymentOrder{}}
}

// paymentOrder orders a party's due tasks: urgent queues first, then by age of the job.
type paymentOrder struct {
	rank rank
	seq  uint64
}

func (o paymentOrder) before(other paymentOrder) bool {
	return cmp.Or(cmp.Compare(o.rank, other.rank), cmp.Compare(o.seq, other.seq)) < 0
}

// resetBudget clears the budget for a new plan, and finds each party's first uncovered task before any task is placed.
// It finds none if the bundle has no parties.
func (c *Core) resetBudget() {
	clear(c.placement.budget.reserved)
	clear(c.placement.budget.firstUncovered)
	if len(c.st.Bundle.Parties) == 0 {
		return
	}
	for _, cls := range c.queue.classes {
		if job, _ := c.peek(cls); job != nil {
			c.isCovered(cls, job)
		}
	}
}

// nextFee returns the fee of the tasks of a class that are placed together next.
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

// isCovered reports whether a party's balance covers the next fee of a class, in addition to what the plan has
// reserved. If it does not, the class is recorded as the party's first uncovered one, and tasks that come later wait
// behind it.
func (c *Core) isCovered(cls *class, job *state.Job) bool {
	fee := c.nextFee(cls, job)
	if fee.Party == "" {
		return true
	}
	order := paymentOrder{c.rankOf(cls, 0), job.Seq}
	first, waits := c.placement.budget.firstUncovered[fee.Party]
	if waits && first.before(order) {
		return false
	}
	fee.Cost += c.placement.budget.reserved[fee.Party]
	if c.st.Covers(fee) {
		return true
	}
	c.placement.budget.firstUncovered[fee.Party] = order
	return false
}

// reserveFee reserves the fee of a class's next tasks in the plan. It must be called before they are popped.
func (c *Core) reserveFee(cls *class, job *state.Job) {
	if fee := c.nextFee(cls, job); fee.Party != "" {
		c.placement.budget.reserved[fee.Party] += fee.Cost
	}
}

// awaitsTopUp reports whether a class waits for its party's balance. Such a class delays no other party: it gets no
// reservation, and is tried again with the next sweep, and at once when an account is topped up.
func (c *Core) awaitsTopUp(cls *class) bool {
	if len(c.st.Bundle.Parties) == 0 {
		return false
	}
	job, _ := c.peek(cls)
	return job != nil && !c.isCovered(cls, job)
}

// TasksAwaitingTopUp returns how many due tasks wait for a top-up, by party; nil if none does.
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
