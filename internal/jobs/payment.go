package jobs

import (
	"fmt"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

// Party pays for the runs of queues, out of the account of its name.
type Party struct {
	Name   string        `json:"name"`
	Queues []string      `json:"queues"` // no queue is in two parties
	Price  account.Price `json:"price"`
	Window time.Duration `json:"window"` // that each start pays in advance
}

// Payments are the accounts that runs are paid from. The table calls the methods while it makes a change, and they act
// at the time of that change.
type Payments interface {
	// Covers reports whether a party's balance covers a cost.
	Covers(party string, cost int64) bool
	// Reserve reserves the first window of a run; a refusal changes nothing.
	Reserve(charge account.Charge) error
	// Debit debits the time of a run that ended. A run without a reservation is ignored.
	Debit(run string)
	// Refund returns the open window of a lost run. A run without a reservation is ignored.
	Refund(run string)
}

// SetParties sets the parties and the queues that they pay for. Until the first one is applied nobody pays.
type SetParties struct {
	Parties []Party `json:"parties"`
}

// SetParties replaces the parties. Runs that have a handle keep their reservations. Failure: Invalid.
func (t *Table) SetParties(c SetParties) error {
	if err := validateParties(c.Parties); err != nil {
		return errs.Pass(err, "set")
	}
	t.Parties = c.Parties
	t.indexParties()
	t.notify(ConfigChanged, "")
	return nil
}

func validateParties(parties []Party) error {
	queues := map[string]string{}
	for i, p := range parties {
		at := fmt.Sprintf("parties[%d]", i)
		switch {
		case p.Name == "":
			return errs.Field(errs.Invalid, at+".name", "must not be empty")
		case p.Window < time.Millisecond:
			return errs.Field(errs.Invalid, at+".window", "must be 1 ms at least, is %s", p.Window)
		case !p.Price.Valid():
			return errs.Field(errs.Invalid, at+".price", "each part must be 0 to %d", account.MaxPrice)
		}
		for _, queue := range p.Queues {
			if other, taken := queues[queue]; taken {
				return errs.Field(errs.Invalid, at+".queues", "%q is paid for by %q already", queue, other)
			}
			queues[queue] = p.Name
		}
	}
	return nil
}

// Covers reports whether a party's balance covers a cost. Without accounts it covers none.
func (t *Table) Covers(party *Party, cost int64) bool {
	return cost == 0 || t.Payments != nil && t.Payments.Covers(party.Name, cost)
}

// PartyOf returns the party that pays for a job; nil if nobody does.
func (t *Table) PartyOf(job *Job) *Party {
	if len(t.Parties) == 0 {
		return nil
	}
	return t.indexes.partyByQueue[job.Spec.Queue]
}

// Fee returns the amount that the start of a task reserves on its party's balance: the price of a window. It is 0 if
// nobody pays for the job, and for a restart of a long-running task, which continues even when the balance is
// exhausted.
func (t *Table) Fee(job *Job, ref TaskRef) int64 {
	party := t.PartyOf(job)
	if party == nil || job.isRestart(ref) {
		return 0
	}
	return party.rate(&job.Spec.Steps[ref.Step]).Cost(party.Window)
}

// rate returns the cost rate of a run of a step.
func (p *Party) rate(step *Step) account.Rate {
	return p.Price.Rate(account.Needs{
		MilliCPU: step.Needs.MilliCPU, MemoryMB: step.Needs.MemoryMB, GPUs: step.Needs.GPUs,
	})
}

// isRestart reports whether a task is a long-running one that ran before.
func (j *Job) isRestart(ref TaskRef) bool {
	return j.Spec.Steps[ref.Step].LongRunning && j.Rounds[ref.Round][ref.Step][ref.Index].LastRun > 0
}

// isCovered reports whether the balance of a job's party covers the starts of a group together.
func (t *Table) isCovered(job *Job, starts []Start, group []int) bool {
	party := t.PartyOf(job)
	if party == nil {
		return true
	}
	var cost int64
	for _, i := range group {
		cost += t.Fee(job, starts[i].Task)
	}
	return t.Covers(party, cost)
}

// RunName returns the name of a run in the accounts.
func (k RunKey) RunName() string {
	return fmt.Sprintf("j%q/%d/%d/%d#%d", k.Task.Job, k.Task.Round, k.Task.Step, k.Task.Index, k.Number)
}

// reserve reserves the first window of a run whose group was just found covered. A restart of a long-running task whose
// party has no account is not paid for.
func (t *Table) reserve(job *Job, key RunKey) {
	party := t.PartyOf(job)
	if party == nil || t.Payments == nil {
		return
	}
	err := t.Payments.Reserve(account.Charge{
		Run: key.RunName(), Account: party.Name, Rate: party.rate(&job.Spec.Steps[key.Task.Step]),
		Window: party.Window, Granted: true,
	})
	if err != nil && !errs.Is(err, errs.Unknown) {
		panic(err) // the run has a reservation: but run numbers are never reused
	}
}

// closeReservation debits the time of a run whose handle is released, or refunds its open window if the run was lost.
func (t *Table) closeReservation(key RunKey, reason EndReason) {
	switch {
	case t.Payments == nil:
	case reason == EndLost || reason == EndLeaseExpired || reason == EndGangTimeout:
		t.Payments.Refund(key.RunName())
	default:
		t.Payments.Debit(key.RunName())
	}
}
