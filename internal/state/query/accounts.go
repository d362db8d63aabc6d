package query

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// Accounts returns all accounts, sorted by name.
func Accounts(s *state.State) []internalapi.AccountView {
	if s.Accounts == nil {
		return []internalapi.AccountView{}
	}
	runs, waiting := runsByAccount(s), waitingByParty(s)
	accounts := make([]internalapi.AccountView, 0, len(s.Accounts.Accounts))
	for _, name := range slices.Sorted(maps.Keys(s.Accounts.Accounts)) {
		accounts = append(accounts, accountView(s, name, runs[name], waiting[name]))
	}
	return accounts
}

// Account returns one account. Failure: Unknown.
func Account(s *state.State, name string) (internalapi.AccountView, error) {
	if _, err := findAccount(s, name); err != nil {
		return internalapi.AccountView{}, errs.Pass(err, "show")
	}
	return accountView(s, name, runsByAccount(s)[name], waitingByParty(s)[name]), nil
}

// Ledger returns at most limit entries of an account's ledger, those with numbers above after. Failure: Unknown.
func Ledger(s *state.State, name string, after uint64, limit int) (internalapi.LedgerAnswer, error) {
	a, err := findAccount(s, name)
	if err != nil {
		return internalapi.LedgerAnswer{}, errs.Pass(err, "ledger")
	}
	return internalapi.LedgerAnswer{
		Account: name, Base: a.Ledger.Base, Head: a.Ledger.Head, Entries: a.Ledger.Since(after, limit),
	}, nil
}

// ExportLedger returns an account's ledger as CSV. Failures: Unknown, Damaged.
func ExportLedger(s *state.State, name string) ([]byte, error) {
	a, err := findAccount(s, name)
	if err != nil {
		return nil, errs.Pass(err, "export")
	}
	var text bytes.Buffer
	err = a.Ledger.WriteCSV(&text)
	return text.Bytes(), errs.Pass(err, "export")
}

func findAccount(s *state.State, name string) (*account.Account, error) {
	if s.Accounts == nil || s.Accounts.Accounts[name] == nil {
		return nil, errs.Field(errs.Unknown, "account", "no account %q", name)
	}
	return s.Accounts.Accounts[name], nil
}

func accountView(s *state.State, name string, runs, waiting int) internalapi.AccountView {
	a, party := s.Accounts.Accounts[name], s.Bundle.Parties[name]
	view := internalapi.AccountView{
		Name: name, Balance: a.Balance, Reserved: a.Reserved, Spent: a.Spent, ToppedUp: a.ToppedUp, Credit: a.Credit,
		Runs: runs, Rate: a.Rate(), Teams: party.Teams, Queues: party.Queues, Waiting: waiting,
	}
	view.ExhaustedIn, view.IsDrawing = a.ExhaustedIn()
	view.Warning = balanceWarning(&view, party)
	return view
}

// balanceWarning returns a warning if an account is exhausted or will be soon, otherwise "".
func balanceWarning(view *internalapi.AccountView, party state.Party) string {
	switch {
	case view.Waiting > 0:
		return fmt.Sprintf("balance exhausted: %d jobs wait for a top-up", view.Waiting)
	case view.IsDrawing && view.ExhaustedIn < party.WarnBefore():
		return fmt.Sprintf("balance exhausted in about %s at the current rate", view.ExhaustedIn.Round(time.Second))
	}
	return ""
}

// runsByAccount returns the number of runs with a reservation by account.
func runsByAccount(s *state.State) map[string]int {
	runs := map[string]int{}
	for _, r := range s.Accounts.Reservations {
		runs[r.Account]++
	}
	return runs
}

// waitingByParty returns the number of jobs that wait for a top-up by party.
func waitingByParty(s *state.State) map[string]int {
	waiting := map[string]int{}
	if len(s.Bundle.Parties) == 0 {
		return waiting
	}
	for _, job := range s.Jobs {
		if job.Phase == state.JobRunning && s.UnpaidReason(job) != "" {
			waiting[s.PartyOf(job)]++
		}
	}
	return waiting
}

// waitsBehindReason returns a reason if due tasks of a job wait because the balance is reserved for another job of the
// party, which is paid for first and waits for a top-up; otherwise "". Its cost is proportional to the number of jobs.
func waitsBehindReason(s *state.State, job *state.Job) string {
	party := s.PartyOf(job)
	if party == "" || job.Phase != state.JobRunning || !hasDueTask(job) {
		return ""
	}
	for _, other := range s.Jobs {
		if other.Phase == state.JobRunning && s.PartyOf(other) == party && isPaidBefore(s, other, job) &&
			s.UnpaidReason(other) != "" {
			return fmt.Sprintf("the balance of party %s is reserved for a job with precedence; "+
				"the job continues automatically after a top-up", party)
		}
	}
	return ""
}

// isPaidBefore reports whether the tasks of a job are paid for before those of another.
func isPaidBefore(s *state.State, job, other *state.Job) bool {
	isUrgent, isOtherUrgent := s.Bundle.Queues[job.Spec.Queue].Urgent, s.Bundle.Queues[other.Spec.Queue].Urgent
	if isUrgent != isOtherUrgent {
		return isUrgent
	}
	return job.Seq < other.Seq
}

func hasDueTask(j *state.Job) bool {
	for _, tasks := range j.Tasks {
		if slices.ContainsFunc(tasks, func(t state.Task) bool { return t.Phase == state.TaskDue }) {
			return true
		}
	}
	return false
}
