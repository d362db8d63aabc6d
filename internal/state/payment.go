package state

import (
	"fmt"
	"strconv"

	"crosstide/internal/account"
	"crosstide/internal/errs"
)

// Fee is the amount that a start reserves from a party's balance. Party is "" if no party pays.
type Fee struct {
	Party string
	Cost  int64
}

// PartyOf returns the party that pays for a job's runs, or "" if none does.
func (s *State) PartyOf(j *Job) string { return s.Bundle.PartyOf(j.Spec.Queue, j.Spec.Team) }

// Fee returns the fee for starting a task: the price of one window. It is zero if no party pays for the job, and for
// the restart of a long-running task, which continues even when the balance is exhausted.
func (s *State) Fee(job *Job, ref TaskRef) Fee {
	party := s.PartyOf(job)
	if party == "" || job.isRestart(ref) {
		return Fee{}
	}
	p := s.Bundle.Parties[party]
	return Fee{party, p.rate(&job.Spec.Steps[ref.Step]).Cost(p.Window())}
}

// Covers reports whether the balance plus the credit of the party's account covers a fee, which may be the
// sum of the fees of several starts.
func (s *State) Covers(f Fee) bool { return f.Party == "" || s.Accounts.Covers(f.Party, f.Cost) }

// UnpaidReason returns why due tasks of a job wait for a top-up, or "" if none does.
func (s *State) UnpaidReason(job *Job) string {
	if s.PartyOf(job) == "" {
		return ""
	}
	for i := range job.Tasks {
		for k := range job.Tasks[i] {
			if job.Tasks[i][k].Phase != TaskDue {
				continue
			}
			if f := s.Fee(job, TaskRef{Job: job.Spec.Key, Step: i, Task: k}); !s.Covers(f) {
				return s.insufficientBalanceReason(f)
			}
		}
	}
	return ""
}

func (s *State) insufficientBalanceReason(f Fee) string {
	if s.Accounts == nil || s.Accounts.Accounts[f.Party] == nil {
		return fmt.Sprintf("party %s has no account", f.Party)
	}
	return fmt.Sprintf("the balance of party %s is insufficient: it is %d, a start needs %d; "+
		"the job continues automatically after a top-up", f.Party, s.Accounts.Accounts[f.Party].Balance, f.Cost)
}

// IsRestart reports whether a task is long-running and has been started before.
func (s *State) IsRestart(ref TaskRef) bool {
	j, t := s.TaskOf(ref)
	return t != nil && j.isRestart(ref)
}

func (j *Job) isRestart(ref TaskRef) bool {
	return j.Spec.Steps[ref.Step].LongRunning && j.Tasks[ref.Step][ref.Task].RunID > 0
}

// rate returns the cost rate of a run of a step.
func (p Party) rate(step *StepSpec) account.Rate {
	return p.Price.Rate(account.Needs{MilliCPU: 1000 * step.Cores, GPUs: step.GPUs})
}

// RunName returns the name under which the accounts record a run.
func RunName(runID uint64) string { return "r" + strconv.FormatUint(runID, 10) }

// reserve reserves the first window of a run if a party pays for it, in the transition that records its handle. The
// restart of a long-running task is not charged if its party has no account.
func (s *State) reserve(job *Job, ref TaskRef, runID uint64) error {
	party := s.PartyOf(job)
	isRestart := job.isRestart(ref)
	if party == "" || isRestart && (s.Accounts == nil || s.Accounts.Accounts[party] == nil) {
		return nil
	}
	if s.Accounts == nil {
		return errs.New(errs.Conflict, "party %q has no account", party)
	}
	p := s.Bundle.Parties[party]
	charge := account.Charge{
		Run: RunName(runID), Account: party, Rate: p.rate(&job.Spec.Steps[ref.Step]), Window: p.Window(),
		Granted: true, // the plan checked that the balance covers its whole group, or it is a restart
	}
	return errs.Pass(s.Accounts.Reserve(charge, s.At), "reserve")
}

// debitRun debits the run time of a run whose handle is released.
func (s *State) debitRun(runID uint64) {
	if s.Accounts != nil {
		s.Accounts.Debit(RunName(runID), s.At)
	}
}

// RefundRun refunds the open window of a run that was lost. It must be called before the run's handle is released,
// which would debit the run's time.
func (s *State) RefundRun(runID uint64) {
	if s.Accounts != nil {
		s.Accounts.Refund(RunName(runID))
	}
}

// SetAccounts sets the accounts of the state and of its job table.
func (s *State) SetAccounts(accounts *account.Table) {
	s.Accounts = accounts
	s.JobTable.Payments = tablePayments{s}
}

// tablePayments implements jobs.Payments for the job table with the state's accounts, at the store time.
type tablePayments struct{ s *State }

// Covers implements jobs.Payments.
func (p tablePayments) Covers(party string, cost int64) bool { return p.s.Accounts.Covers(party, cost) }

// Reserve implements jobs.Payments.
func (p tablePayments) Reserve(charge account.Charge) error {
	return errs.Pass(p.s.Accounts.Reserve(charge, p.s.At), "reserve")
}

// Debit implements jobs.Payments.
func (p tablePayments) Debit(run string) { p.s.Accounts.Debit(run, p.s.At) }

// Refund implements jobs.Payments.
func (p tablePayments) Refund(run string) { p.s.Accounts.Refund(run) }
