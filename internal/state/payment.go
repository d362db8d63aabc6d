package state

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

// DefaultReserve is the window that a start reserves if the bundle does not say; DefaultWarn how long before an account
// is forecast to be dry its party is warned.
const (
	DefaultReserve = time.Minute
	DefaultWarn    = 10 * time.Minute
)

// Party pays for the runs of teams and queues, out of the account of its name.
type Party struct {
	Teams   []string      `json:"teams,omitempty"`
	Queues  []string      `json:"queues,omitempty"`
	Price   account.Price `json:"price"`
	Reserve time.Duration `json:"reserve,omitempty"` // 0: DefaultReserve
	Warn    time.Duration `json:"warn,omitempty"`    // 0: DefaultWarn
}

// Window is how long a run that starts is paid for in advance.
func (p Party) Window() time.Duration { return cmp.Or(p.Reserve, DefaultReserve) }

// WarnBefore is how long before its account is forecast to be dry the party is warned.
func (p Party) WarnBefore() time.Duration { return cmp.Or(p.Warn, DefaultWarn) }

// PartyOf gives the party that pays for a queue and team, "" if none does. A party of the queue goes before one of the
// team.
func (b *Bundle) PartyOf(queue, team string) string {
	if len(b.Parties) == 0 {
		return ""
	}
	return cmp.Or(b.PartyByQueue[queue], b.PartyByTeam[team])
}

// SetParties puts parties into a bundle, with what is looked up by queue and team.
func (b *Bundle) SetParties(parties map[string]Party) {
	b.Parties, b.PartyByQueue, b.PartyByTeam = parties, map[string]string{}, map[string]string{}
	for name, p := range parties {
		for _, queue := range p.Queues {
			b.PartyByQueue[queue] = name
		}
		for _, team := range p.Teams {
			b.PartyByTeam[team] = name
		}
	}
}

// Fee is what a start needs on a balance. Party is "" if it needs nothing.
type Fee struct {
	Party string
	Cost  int64
}

// Fee gives what the start of a task needs: the price of a window, nothing if nobody pays for it, or if it is a lasting
// task that ran before, which stays attached also when its party is dry.
func (s *State) Fee(j *Job, ref TaskRef) Fee {
	party := s.Bundle.PartyOf(j.Spec.Queue, j.Spec.Team)
	if party == "" || j.isRestart(ref) {
		return Fee{}
	}
	p := s.Bundle.Parties[party]
	return Fee{party, p.Price.Rate(needs(&j.Spec.Steps[ref.Step])).Cost(p.Window())}
}

// Covers tells whether the balance holds what starts need together.
func (s *State) Covers(f Fee) bool { return f.Party == "" || s.Accounts.Covers(f.Party, f.Cost) }

// isRestart tells whether a task is a lasting one that ran before.
func (j *Job) isRestart(ref TaskRef) bool {
	return j.Spec.Steps[ref.Step].LongRunning && j.Tasks[ref.Step][ref.Task].RunID > 0
}

// IsRestart tells whether a task is a lasting one that ran before.
func (s *State) IsRestart(ref TaskRef) bool {
	j, t := s.TaskOf(ref)
	return t != nil && j.isRestart(ref)
}

func needs(step *StepSpec) account.Needs {
	return account.Needs{MilliCPU: 1000 * step.Cores, GPUs: step.GPUs}
}

// RunName is the name of a run in the accounts.
func RunName(runID uint64) string { return "r" + strconv.FormatUint(runID, 10) }

// reserve sets the first window of a run aside, if somebody pays for it. It stands in the step that records the handle.
// A lasting task of a party without an account runs on for nothing.
func (s *State) reserve(j *Job, ref TaskRef, runID uint64) error {
	party := s.Bundle.PartyOf(j.Spec.Queue, j.Spec.Team)
	isRestart := j.isRestart(ref)
	if party == "" || isRestart && (s.Accounts == nil || s.Accounts.Accounts[party] == nil) {
		return nil
	}
	if s.Accounts == nil {
		return errs.New(errs.Conflict, "party %q has no account", party)
	}
	p := s.Bundle.Parties[party]
	c := account.Charge{Run: RunName(runID), Account: party, Rate: p.Price.Rate(needs(&j.Spec.Steps[ref.Step])), Window: p.Window(),
		Granted: true} // Plan found it covered with the others of its group, or it is attached
	return errs.Pass(s.Accounts.Reserve(c, s.At), "reserve")
}

// debitRun draws the time of a run whose handle goes.
func (s *State) debitRun(runID uint64) {
	if s.Accounts != nil {
		s.Accounts.Debit(RunName(runID), s.At)
	}
}

// RefundRun gives the open window of a run back that was lost: nobody pays for it. To be called before its handle goes.
func (s *State) RefundRun(runID uint64) {
	if s.Accounts != nil {
		s.Accounts.Refund(RunName(runID))
	}
}

// UnpaidReason tells why a job's due tasks wait for a top-up; "" if none does.
func (s *State) UnpaidReason(j *Job) string {
	if s.Bundle.PartyOf(j.Spec.Queue, j.Spec.Team) == "" {
		return ""
	}
	for i := range j.Tasks {
		for k := range j.Tasks[i] {
			if j.Tasks[i][k].Phase != TaskDue {
				continue
			}
			if f := s.Fee(j, TaskRef{Job: j.Spec.Key, Step: i, Task: k}); !s.Covers(f) {
				return s.insufficientBalance(f)
			}
		}
	}
	return ""
}

func (s *State) insufficientBalance(f Fee) string {
	if s.Accounts == nil || s.Accounts.Accounts[f.Party] == nil {
		return fmt.Sprintf("party %s has no account", f.Party)
	}
	return fmt.Sprintf("party %s has run dry: its balance is %d, a start needs %d; the job goes on by itself after a top-up",
		f.Party, s.Accounts.Accounts[f.Party].Balance, f.Cost)
}

// UseAccounts makes a book the state's, and lets the job table draw on it.
func (s *State) UseAccounts(accounts *account.Table) {
	s.Accounts = accounts
	s.JobTable.Payments = tablePayments{s}
}

// tablePayments lets the job table draw on the same accounts, at the store's time.
type tablePayments struct{ s *State }

// Covers is jobs.Payments.
func (p tablePayments) Covers(party string, cost int64) bool { return p.s.Accounts.Covers(party, cost) }

// Reserve is jobs.Payments.
func (p tablePayments) Reserve(charge account.Charge) error {
	return errs.Pass(p.s.Accounts.Reserve(charge, p.s.At), "reserve")
}

// Settle is jobs.Payments.
func (p tablePayments) Debit(run string) { p.s.Accounts.Debit(run, p.s.At) }

// Return is jobs.Payments.
func (p tablePayments) Refund(run string) { p.s.Accounts.Refund(run) }
