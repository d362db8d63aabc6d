package jobs

import (
	"fmt"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

// Party pays for the runs of queues, from the account with its name.
type Party struct {
	Name   string        `json:"name"`
	Queues []string      `json:"queues"` // a queue belongs to at most one party
	Price  account.Price `json:"price"`
	Window time.Duration `json:"window"` // each start reserves the price of one window
}

// Payments reserves and debits the cost of runs on the accounts of parties. The table calls its methods while it
// applies a change; they use the time of that change.
type Payments interface {
	// Covers reports whether the balance plus the credit of a party's account covers a cost. It is false if the party
	// has no account.
	Covers(party string, cost int64) bool
	// Reserve reserves the first window of a run. A failed call changes nothing.
	Reserve(charge account.Charge) error
	// Debit debits the run time of a run that ended. A run without a reservation is ignored.
	Debit(run string)
	// Refund releases the open window of a lost run. A run without a reservation is ignored.
	Refund(run string)
}

// SetParties sets the parties and the queues that they pay for. Until the first SetParties is applied, runs are free.
type SetParties struct {
	Parties []Party `json:"parties"`
}

// SetParties replaces the parties. Runs with a handle keep their reservations. Failure: Invalid.
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
	payers := map[string]string{} // by queue
	for i, p := range parties {
		path := fmt.Sprintf("parties[%d]", i)
		switch {
		case p.Name == "":
			return errs.Field(errs.Invalid, path+".name", "must not be empty")
		case p.Window < time.Millisecond:
			return errs.Field(errs.Invalid, path+".window", "must be at least 1 ms, is %s", p.Window)
		case !p.Price.Valid():
			return errs.Field(errs.Invalid, path+".price", "each part must be from 0 to %d", account.MaxPrice)
		}
		for _, queue := range p.Queues {
			if other, taken := payers[queue]; taken {
				return errs.Field(errs.Invalid, path+".queues", "%q is already paid for by %q", queue, other)
			}
			payers[queue] = p.Name
		}
	}
	return nil
}

// Covers reports whether a party's balance covers a cost, as Payments.Covers does. A cost of 0 is always covered; while
// Payments is nil, no other cost is.
func (t *Table) Covers(party *Party, cost int64) bool {
	return cost == 0 || t.Payments != nil && t.Payments.Covers(party.Name, cost)
}

// PartyOf returns the party that pays for a job, or nil if the job is free.
func (t *Table) PartyOf(job *Job) *Party {
	if len(t.Parties) == 0 {
		return nil
	}
	return t.indexes.partyByQueue[t.QueueName(job)]
}

// Fee returns the amount that the balance of a job's party must cover for a task to start: the price of a window. It is
// 0 if the job is free, and for a restart of a long-running task, which may restart even if the balance is exhausted.
func (t *Table) Fee(job *Job, ref TaskRef) int64 {
	party := t.PartyOf(job)
	if party == nil || job.isRestart(ref) {
		return 0
	}
	return party.rate(&job.Spec.Steps[ref.Step]).Cost(party.Window)
}

// rate returns the cost rate of one run of a task of a step.
func (p *Party) rate(step *Step) account.Rate {
	return p.Price.Rate(account.Needs{
		MilliCPU: step.Needs.MilliCPU, MemoryMB: step.Needs.MemoryMB, GPUs: step.Needs.GPUs,
	})
}

// isRestart reports whether a task is long-running and has run before.
func (j *Job) isRestart(ref TaskRef) bool {
	return j.Spec.Steps[ref.Step].LongRunning && j.Rounds[ref.Round][ref.Step][ref.Index].LastRun > 0
}

// isCovered reports whether the balance of a job's party covers the sum of the fees of a group of starts. group holds
// their positions.
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

// RunName returns the name under which a run is charged to an account.
func (k RunKey) RunName() string {
	return fmt.Sprintf("j%q/%d/%d/%d#%d", k.Task.Job, k.Task.Round, k.Task.Step, k.Task.Index, k.Number)
}

// reserve reserves the first window of a run after isCovered has returned true for its group. A restart of a
// long-running task is free if its party has no account.
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
		panic(err) // only a bug can reserve a run twice: run numbers are never reused
	}
}

// closeReservation debits the run time of a run whose handle was released. If the run was lost, its lease expired or
// its gang timed out, it refunds the open window instead.
func (t *Table) closeReservation(key RunKey, reason EndReason) {
	switch {
	case t.Payments == nil:
	case reason == EndLost || reason == EndLeaseExpired || reason == EndGangTimeout:
		t.Payments.Refund(key.RunName())
	default:
		t.Payments.Debit(key.RunName())
	}
}
