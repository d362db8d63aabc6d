package policysim

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/testbed/policyworker"
)

// BillingInvariants are the names of the invariants that are checked only with Options.Parties.
var BillingInvariants = []string{"conserved", "paid for", "bounded below zero", "resumes in time", "attached"}

// billingChecker checks the invariants of billing. It computes its own accounts from the commands in the log and from
// the times at which handles are created and released, and compares the replicated accounts with them after every
// entry. The checks that tasks start after a top-up and that long-running tasks are restarted are in
// checkbillingprogress.go. It only observes, with one exception: when an account becomes exhausted it may kill the
// leader of the store.
type billingChecker struct {
	sim      *sim
	accounts map[string]*accountModel
	runs     map[uint64]*paidRun    // runs with a handle, by run ID
	everRan  map[state.TaskRef]bool // long-running tasks that had a run
	checks   uint64                 // number of calls of checkAccounts

	plan         *command.Plan     // the plan that is being applied; nil while another entry is
	incarnations map[string]string // incarnations of the workers before plan, by name

	pendingResume        *resumption // nil: none
	pendingReattachments []reattachment
}

// accountModel is the checker's own computation of an account.
type accountModel struct {
	topUps           map[string]int64 // amounts, by key
	spent            int64            // cost of the runs whose handle was released
	exhausted        bool
	nonNegativeSince time.Time // newest time at which the balance was not negative
	endedSinceBound  int64     // upper bound on the draws of runs that ended since nonNegativeSince
}

// paidRun is a run with a handle that a party pays for.
type paidRun struct {
	party string
	rate  int64 // units a second
	start time.Time
}

// newBillingChecker returns a checker that gets each event of the reference state after the invariant checker.
func newBillingChecker(s *sim) *billingChecker {
	bc := &billingChecker{sim: s, accounts: map[string]*accountModel{}, runs: map[uint64]*paidRun{},
		everRan: map[state.TaskRef]bool{}}
	observe := s.checker.reference.OnEvent
	s.checker.reference.OnEvent = func(event state.Event) {
		observe(event)
		switch event.Kind {
		case state.EventHandleCreated:
			bc.checkCreated(event.Handle)
		case state.EventHandleReleased:
			bc.observeReleased(event.Handle)
		}
	}
	return bc
}

// account returns the replicated account, or nil if it does not exist.
func (bc *billingChecker) account(name string) *account.Account {
	if bc.sim.checker.reference.Accounts == nil {
		return nil
	}
	return bc.sim.checker.reference.Accounts.Accounts[name]
}

// storeTime returns the time of the newest committed entry.
func (bc *billingChecker) storeTime() time.Time { return bc.sim.checker.reference.At }

// price returns the cost of a length of time at a rate in units per second, rounded up.
func price(rate int64, length time.Duration) int64 {
	return (rate*int64(length) + int64(time.Second) - 1) / int64(time.Second)
}

// closedWindows returns the total length of a run's windows that have ended by the time at.
func (r *paidRun) closedWindows(at time.Time) time.Duration {
	return at.Sub(r.start) / paidWindow * paidWindow
}

// boundSince returns an upper bound on what a run has drawn and reserved between since and at.
func (r *paidRun) boundSince(since, at time.Time) int64 {
	if since.Before(r.start) {
		since = r.start
	}
	return price(r.rate, at.Sub(since)+paidWindow)
}

// sums are the amounts of an account that the checker compares.
type sums struct{ toppedUp, balance, reserved, spent int64 }

// expectedSums computes the sums of a party's account at a time from the checker's own records.
func (bc *billingChecker) expectedSums(party string, at time.Time) (want sums) {
	model := bc.accounts[party]
	if model == nil {
		return sums{}
	}
	for _, amount := range model.topUps {
		want.toppedUp += amount
	}
	want.spent = model.spent
	for _, r := range bc.runs {
		if r.party == party {
			closed := r.closedWindows(at)
			want.spent += price(r.rate, closed)
			want.reserved += price(r.rate, closed+paidWindow) - price(r.rate, closed)
		}
	}
	want.balance = want.toppedUp - want.reserved - want.spent
	return want
}

// apply calls apply, which applies an entry to the reference state, and then checks the accounts. A nil checker only
// calls apply.
func (bc *billingChecker) apply(data []byte, apply func()) {
	if bc == nil {
		apply()
		return
	}
	var entry command.Entry
	if len(data) > 0 {
		must(json.Unmarshal(data, &entry))
	}
	bc.plan = nil
	switch entry.Op {
	case "plan":
		bc.observePlan(entry.Body)
		apply()
	case "account-create":
		apply()
		bc.observeCreate(entry.Body)
	case "account-top-up":
		bc.applyTopUp(entry.Body, apply)
	default:
		apply()
	}
	bc.checkAccounts()
}

// observePlan records a plan and the workers' incarnations before it, for the checks that run while it is applied.
func (bc *billingChecker) observePlan(body []byte) {
	bc.plan = &command.Plan{}
	must(json.Unmarshal(body, bc.plan))
	bc.incarnations = map[string]string{}
	for name, w := range bc.sim.checker.reference.Workers {
		bc.incarnations[name] = w.Incarnation
	}
}

func (bc *billingChecker) observeCreate(body []byte) {
	var create command.AccountCreate
	must(json.Unmarshal(body, &create))
	if bc.account(create.Account) != nil && bc.accounts[create.Account] == nil {
		bc.accounts[create.Account] = &accountModel{topUps: map[string]int64{}, nonNegativeSince: bc.storeTime()}
	}
}

func (bc *billingChecker) observeTopUp(topUp *command.AccountTopUp) {
	s, model := bc.sim, bc.accounts[topUp.Account]
	if model == nil {
		return
	}
	if _, again := model.topUps[topUp.Key]; again {
		s.report.Counts["top-ups that came again"]++
		return
	}
	model.topUps[topUp.Key] = topUp.Amount
	s.report.Counts["top-ups"]++
	s.trace("account %s is topped up with %d by %s", topUp.Account, topUp.Amount, topUp.Key)
}

// checkCreated checks that the balance covers the run of a new handle (invariant: paid for). It need not cover the
// restart of a long-running task.
func (bc *billingChecker) checkCreated(h *state.Handle) {
	s := bc.sim
	j, _ := s.checker.reference.TaskOf(h.Ref)
	party := partyOf[j.Spec.Team]
	if party == "" || s.checker.reference.Bundle.Version < 2 {
		return
	}
	longRunning := j.Spec.Steps[h.Ref.Step].LongRunning
	rate := int64(h.Cores) * corePrice
	if longRunning && bc.everRan[h.Ref] {
		s.report.Counts["lasting tasks started again"]++
	} else {
		s.countCase("paid for")
		cost := price(rate, paidWindow)
		if balance := bc.expectedSums(party, bc.storeTime()).balance; balance < cost {
			s.reportViolation("paid for", "run ID %d of %v is given at a balance of %d, it needs %d",
				h.RunID, h.Ref, balance, cost)
		}
	}
	bc.everRan[h.Ref] = longRunning
	bc.runs[h.RunID] = &paidRun{party, rate, bc.storeTime()}
}

// observeReleased adds the cost of a released run to the spent amount. A lost run costs only its closed windows.
func (bc *billingChecker) observeReleased(h *state.Handle) {
	r := bc.runs[h.RunID]
	if r == nil {
		return
	}
	delete(bc.runs, h.RunID)
	model, length := bc.accounts[r.party], bc.storeTime().Sub(r.start)
	if bc.isLost(h) {
		bc.sim.report.Counts["lost runs given back"]++
		length = r.closedWindows(bc.storeTime())
	}
	model.spent += price(r.rate, length)
	model.endedSinceBound += r.boundSince(model.nonNegativeSince, bc.storeTime())
}

// isLost reports whether the plan being applied releases a handle without a reported end of its run, and not because
// the run was stopped as ordered.
func (bc *billingChecker) isLost(h *state.Handle) bool {
	if slices.ContainsFunc(bc.plan.Ends, func(e command.End) bool { return e.RunID == h.RunID }) {
		return false
	}
	for _, w := range bc.plan.Workers {
		isNew := w.Incarnation != bc.incarnations[w.Name] && w.Incarnation != h.Incarnation
		if w.Name == h.Worker && isNew && (w.Kind != policyworker.KindObey || h.Phase == state.TaskRunning) {
			return true
		}
	}
	return !slices.ContainsFunc(bc.plan.Dead, func(proof command.Proof) bool {
		return proof.RunID == h.RunID && proof.Kind == command.ProofStop
	})
}

// checkAccounts compares the replicated accounts with the expected sums (invariant: conserved).
func (bc *billingChecker) checkAccounts() {
	s := bc.sim
	for _, name := range slices.Sorted(maps.Keys(bc.accounts)) {
		replicated, want := bc.account(name), bc.expectedSums(name, bc.storeTime())
		s.countCase("conserved")
		got := sums{replicated.ToppedUp, replicated.Balance, replicated.Reserved, replicated.Spent}
		if got != want {
			s.reportViolation("conserved",
				"account %s has %d topped up, %d balance, %d reserved, %d spent; it should be %d, %d, %d, %d", name,
				got.toppedUp, got.balance, got.reserved, got.spent, want.toppedUp, want.balance, want.reserved,
				want.spent)
		}
		bc.checkBound(name, want.balance)
		bc.observeExhaustion(name, want.balance)
	}
	const checkEvery = 64 // Accounts.Check is slow
	if bc.checks++; bc.checks%checkEvery == 0 {
		if err := s.checker.reference.Accounts.Check(); err != nil {
			s.reportViolation("conserved", "%v", err)
		}
	}
}

// checkBound checks that a negative balance is covered by what the runs can have drawn since the balance was last not
// negative (invariant: bounded below zero).
func (bc *billingChecker) checkBound(name string, balance int64) {
	model := bc.accounts[name]
	if balance >= 0 {
		model.nonNegativeSince, model.endedSinceBound = bc.storeTime(), 0
		return
	}
	bc.sim.countCase("bounded below zero")
	bound := model.endedSinceBound
	for _, r := range bc.runs {
		if r.party == name {
			bound += r.boundSince(model.nonNegativeSince, bc.storeTime())
		}
	}
	if -balance > bound {
		bc.sim.reportViolation("bounded below zero", "account %s is at %d, what was out since %s draws %d at most",
			name, balance, model.nonNegativeSince, bound)
	}
}

// observeExhaustion counts the periods in which an account is exhausted. When the account of limitedParty becomes
// exhausted, it may kill the leader of the store.
func (bc *billingChecker) observeExhaustion(name string, balance int64) {
	s, model := bc.sim, bc.accounts[name]
	exhausted := balance < price(corePrice, paidWindow)
	if exhausted && !model.exhausted {
		s.report.Counts["dry spells"]++
		s.trace("account %s runs dry at %d", name, balance)
		if name == limitedParty && s.chance(0.1) {
			s.billing.killLeader("leader killed at the last draw", s.between(0, 5*time.Millisecond))
		}
	}
	model.exhausted = exhausted
}
