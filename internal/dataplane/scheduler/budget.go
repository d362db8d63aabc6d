package scheduler

import (
	"cmp"

	"crosstide/internal/state"
)

// budget is what placement knows of the parties' balances while it makes a plan. The store checks each start again in
// the step that commits it; a plan within the balances saves it from refusing the same starts in every plan.
type budget struct {
	reserved       map[string]int64        // what the starts of the plan need, by party
	firstUncovered map[string]paymentOrder // the first of a party's due tasks that its balance does not cover; later ones wait behind it
}

func newBudget() budget {
	return budget{reserved: map[string]int64{}, firstUncovered: map[string]paymentOrder{}}
}

// paymentOrder orders a party's due tasks: urgent queues first, then by age of the job.
type paymentOrder struct {
	rank rank
	seq  uint64
}

func (t paymentOrder) before(other paymentOrder) bool {
	return cmp.Or(cmp.Compare(t.rank, other.rank), cmp.Compare(t.seq, other.seq)) < 0
}

// resetBudget looks at the balances anew, for the next plan. Where nobody pays it does nothing.
func (c *Core) resetBudget() {
	clear(c.budget.reserved)
	clear(c.budget.firstUncovered)
	if len(c.st.Bundle.Parties) == 0 {
		return
	}
	for _, k := range c.queue.classes {
		if j, _ := c.peek(k); j != nil {
			c.isCovered(k, j)
		}
	}
}

// nextFee gives what the next tasks of a class need, all that are placed together.
func (c *Core) nextFee(k *class, j *state.Job) state.Fee {
	var sum state.Fee
	for _, q := range k.refs[k.head : k.head+k.groupSize()] {
		if fee := c.st.Fee(j, q.TaskRef); fee.Party != "" {
			sum.Party = fee.Party
			sum.Cost += fee.Cost
		}
	}
	return sum
}

// isCovered tells whether a balance holds the fee of a class beside what the plan needs already. If not, the balance is
// kept for it: tasks of the same party that come later wait too.
func (c *Core) isCovered(k *class, j *state.Job) bool {
	fee := c.nextFee(k, j)
	if fee.Party == "" {
		return true
	}
	mine := paymentOrder{c.rankOf(k, 0), j.Seq}
	first, waits := c.budget.firstUncovered[fee.Party]
	if waits && first.before(mine) {
		return false
	}
	fee.Cost += c.budget.reserved[fee.Party]
	if c.st.Covers(fee) {
		return true
	}
	c.budget.firstUncovered[fee.Party] = mine
	return false
}

// reserveFee takes the fee of a class into the plan. To be called before its tasks are taken out.
func (c *Core) reserveFee(k *class, j *state.Job) {
	if fee := c.nextFee(k, j); fee.Party != "" {
		c.budget.reserved[fee.Party] += fee.Cost
	}
}

// awaitsTopUp tells whether a class waits for its party's balance. It holds up no other party's: no minion is reserved for it,
// and it is looked at again with the next sweep, and at once when an account is topped up.
func (c *Core) awaitsTopUp(k *class) bool {
	if len(c.st.Bundle.Parties) == 0 {
		return false
	}
	j, _ := c.peek(k)
	return j != nil && !c.isCovered(k, j)
}

// TasksAwaitingTopUp is how many due tasks wait for a top-up, by party.
func (c *Core) TasksAwaitingTopUp() map[string]int {
	var out map[string]int
	for _, k := range c.queue.classes {
		if !c.awaitsTopUp(k) {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		out[c.st.Bundle.PartyOf(k.queue, k.team)] += len(k.refs) - k.head
	}
	return out
}
