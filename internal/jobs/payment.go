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
	Queues []string      `json:"queues"`
	Price  account.Price `json:"price"`
	Window time.Duration `json:"window"` // that each start pays in advance
}

// Payments are the accounts that runs are paid from. All calls are at the time of the change that makes them.
type Payments interface {
	// Covers tells whether a party's balance holds a cost.
	Covers(party string, cost int64) bool
	// Reserve sets the first window of a run aside; a refusal changes nothing.
	Reserve(charge account.Charge) error
	// Debit draws the time of a run that is over. A run without a reservation is none of its.
	Debit(run string)
	// Refund gives the open window of a lost run back.
	Refund(run string)
}

// SetParties says who pays for which queues from now on. Nobody pays until it is called.
type SetParties struct {
	Parties []Party `json:"parties"`
}

// SetParties puts other parties in force; runs that are out go on as they were reserved. Failure: Invalid.
func (t *Table) SetParties(c SetParties) error {
	queues := map[string]string{}
	for i, p := range c.Parties {
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
	t.Parties = c.Parties
	t.indexParties()
	t.notify(ConfigChanged, "")
	return nil
}

func (t *Table) indexParties() {
	t.partyByQueue = map[string]*Party{}
	for i := range t.Parties {
		for _, queue := range t.Parties[i].Queues {
			t.partyByQueue[queue] = &t.Parties[i]
		}
	}
}

// Covers tells whether a party's balance holds a cost. Without accounts it holds none.
func (t *Table) Covers(party *Party, cost int64) bool {
	return cost == 0 || t.Payments != nil && t.Payments.Covers(party.Name, cost)
}

// PartyOf gives the party that pays for a job; nil if nobody does.
func (t *Table) PartyOf(job *Job) *Party {
	if len(t.Parties) == 0 {
		return nil
	}
	return t.partyByQueue[job.Spec.Queue]
}

// Fee is what the start of a task needs on its party's balance: the price of a window, nothing if nobody pays, or for a
// lasting task that ran before, which stays attached also when its party is dry.
func (t *Table) Fee(job *Job, ref TaskRef) int64 {
	party := t.PartyOf(job)
	if party == nil || job.isRestart(ref) {
		return 0
	}
	return party.rate(&job.Spec.Steps[ref.Step]).Cost(party.Window)
}

func (p *Party) rate(step *Step) account.Rate {
	return p.Price.Rate(account.Needs{MilliCPU: step.Needs.MilliCPU, MemoryMB: step.Needs.MemoryMB, GPUs: step.Needs.GPUs})
}

// isRestart tells whether a task is a lasting one that ran before.
func (j *Job) isRestart(ref TaskRef) bool {
	return j.Spec.Steps[ref.Step].LongRunning && j.Rounds[ref.Round][ref.Step][ref.Index].LastRun > 0
}

// isCovered tells whether the balance of a job's party holds what the starts of a group need together.
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

// RunName is the name of a run in the accounts.
func (k RunKey) RunName() string {
	return fmt.Sprintf("j%q/%d/%d/%d#%d", k.Task.Job, k.Task.Round, k.Task.Step, k.Task.Index, k.Number)
}

// reserve sets the first window of a run aside that was just found covered, with the others of its group. What needs no
// balance, as a lasting task that ran before, runs for nothing if its party has no account.
func (t *Table) reserve(job *Job, key RunKey) {
	party := t.PartyOf(job)
	if party == nil || t.Payments == nil {
		return
	}
	err := t.Payments.Reserve(account.Charge{Run: key.RunName(), Account: party.Name,
		Rate: party.rate(&job.Spec.Steps[key.Task.Step]), Window: party.Window, Granted: true})
	if err != nil && !errs.Is(err, errs.Unknown) {
		panic(err) // the run has a reservation: run numbers are never given twice
	}
}

// closeReservation settles the reservation of a run whose handle goes, or gives its open window back if the run was lost.
func (t *Table) closeReservation(key RunKey, reason EndReason) {
	switch {
	case t.Payments == nil:
	case reason == EndLost || reason == EndLeaseExpired || reason == EndGangTimeout:
		t.Payments.Refund(key.RunName())
	default:
		t.Payments.Debit(key.RunName())
	}
}
