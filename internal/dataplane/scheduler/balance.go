package scheduler

import (
	"cmp"

	"crosstide/internal/state"
)

// payment is what placement knows of the parties' balances while it makes a plan. The store checks each start again in
// the step that commits it; a plan within the balances saves it from refusing the same starts in every plan.
type payment struct {
	promised map[string]int64 // what the starts of the plan need, by party
	first    map[string]turn  // the first of a party's due tasks that its balance does not cover; later ones wait behind it
}

func newPayment() payment {
	return payment{promised: map[string]int64{}, first: map[string]turn{}}
}

// turn orders a party's due tasks: urgent queues first, then by age of the job.
type turn struct {
	rank rank
	seq  uint64
}

func (t turn) before(other turn) bool {
	return cmp.Or(cmp.Compare(t.rank, other.rank), cmp.Compare(t.seq, other.seq)) < 0
}

// resetPayment looks at the balances anew, for the next plan. Where nobody pays it does nothing.
func (c *Core) resetPayment() {
	clear(c.payment.promised)
	clear(c.payment.first)
	if len(c.st.Bundle.Parties) == 0 {
		return
	}
	for _, k := range c.queue.classes {
		if j, _ := c.peek(k); j != nil {
			c.covered(k, j)
		}
	}
}

// feeOf gives what the next tasks of a class need, all that are placed together.
func (c *Core) feeOf(k *class, j *state.Job) state.Fee {
	var sum state.Fee
	for _, q := range k.refs[k.head : k.head+k.next()] {
		if fee := c.st.Fee(j, q.TaskRef); fee.Party != "" {
			sum.Party = fee.Party
			sum.Cost += fee.Cost
		}
	}
	return sum
}

// covered tells whether a balance holds the fee of a class beside what the plan needs already. If not, the balance is
// kept for it: tasks of the same party that come later wait too.
func (c *Core) covered(k *class, j *state.Job) bool {
	fee := c.feeOf(k, j)
	if fee.Party == "" {
		return true
	}
	mine := turn{c.rankOf(k, 0), j.Seq}
	first, waits := c.payment.first[fee.Party]
	if waits && first.before(mine) {
		return false
	}
	fee.Cost += c.payment.promised[fee.Party]
	if c.st.Covers(fee) {
		return true
	}
	c.payment.first[fee.Party] = mine
	return false
}

// promise takes the fee of a class into the plan. To be called before its tasks are taken out.
func (c *Core) promise(k *class, j *state.Job) {
	if fee := c.feeOf(k, j); fee.Party != "" {
		c.payment.promised[fee.Party] += fee.Cost
	}
}

// dry tells whether a class waits for its party's balance. It holds up no other party's: no minion is reserved for it,
// and it is looked at again with the next sweep, and at once when an account is topped up.
func (c *Core) dry(k *class) bool {
	if len(c.st.Bundle.Parties) == 0 {
		return false
	}
	j, _ := c.peek(k)
	return j != nil && !c.covered(k, j)
}

// DryTasks is how many due tasks wait for a top-up, by party.
func (c *Core) DryTasks() map[string]int {
	var out map[string]int
	for _, k := range c.queue.classes {
		if !c.dry(k) {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		out[c.st.Bundle.PartyOf(k.queue, k.team)] += len(k.refs) - k.head
	}
	return out
}
