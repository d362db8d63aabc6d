package account

import (
	"container/heap"
	"time"

	"crosstide/internal/errs"
)

// Table holds all accounts and reservations. It has no lock: the owner of the enclosing state.State
// serializes all access. For Covers, Debit, Refund, Renew, Check and HasReservations a nil table behaves as an empty
// one.
type Table struct {
	Accounts     map[string]*Account     `json:"accounts"`     // by the party's name; never removed
	Reservations map[string]*Reservation `json:"reservations"` // by run; the account of each is in Accounts

	renewals renewals // one for each reservation, and outdated ones of ended runs; derived by Rebuild
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.Rebuild()
	return t
}

// Rebuild derives the unexported fields from the exported ones after decoding, and initializes nil maps.
func (t *Table) Rebuild() {
	if t.Accounts == nil {
		t.Accounts = map[string]*Account{}
	}
	if t.Reservations == nil {
		t.Reservations = map[string]*Reservation{}
	}
	for _, a := range t.Accounts {
		if a.TopUps == nil {
			a.TopUps = map[string]TopUp{}
		}
		a.rate = 0
	}
	t.renewals = nil
	for run, r := range t.Reservations {
		t.Accounts[r.Account].rate += r.Rate
		heap.Push(&t.renewals, renewal{r.Until, run})
	}
}

// Create adds an account. Failures: Conflict (an account with this name exists), Invalid.
func (t *Table) Create(name string, credit int64) error {
	switch {
	case name == "" || len(name) > maxNameBytes:
		return errs.Field(errs.Invalid, "account", "must be a name of 1 to %d bytes", maxNameBytes)
	case credit < 0 || credit > MaxAmount:
		return errs.Field(errs.Invalid, "credit", "must be 0 to %d, is %d", MaxAmount, credit)
	case t.Accounts[name] != nil:
		return errs.Field(errs.Conflict, "account", "account %q already exists", name)
	}
	t.Accounts[name] = &Account{Name: name, Credit: credit, TopUps: map[string]TopUp{}}
	return nil
}

// TopUp adds an amount to a balance, once for each idempotency key: a repeated call returns the first answer. Failures:
// Unknown (no such account), Conflict (the key was used for another amount), Invalid.
func (t *Table) TopUp(name, key string, amount int64, at time.Time) (TopUp, error) {
	a := t.Accounts[name]
	if a == nil {
		return TopUp{}, errs.Field(errs.Unknown, "account", "no account %q", name)
	}
	if earlier, ok := a.TopUps[key]; ok {
		if earlier.Amount != amount {
			return TopUp{}, errs.Field(errs.Conflict, "key", "key %q was already used for a top-up of %d",
				key, earlier.Amount)
		}
		return earlier, nil
	}
	switch {
	case key == "":
		return TopUp{}, errs.Field(errs.Invalid, "key", "idempotency key of a top-up must not be empty")
	case amount <= 0 || amount > MaxAmount-a.ToppedUp:
		return TopUp{}, errs.Field(errs.Invalid, "amount", "must be 1 to %d, is %d", MaxAmount-a.ToppedUp, amount)
	}
	return a.topUp(key, amount, at), nil
}

// Covers reports whether the account exists and its balance plus credit covers a cost.
func (t *Table) Covers(name string, cost int64) bool {
	a := t.find(name)
	return a != nil && a.covers(cost)
}

// Check checks the consistency of the table: every account's Balance + Reserved + Spent equals its ToppedUp, its
// Reserved is the sum of its reservations, and its ledger is valid. Failures: Internal, Damaged.
func (t *Table) Check() error {
	if t == nil {
		return nil
	}
	reserved := map[string]int64{}
	for run, r := range t.Reservations {
		if t.Accounts[r.Account] == nil {
			return errs.New(errs.Internal, "run %q has a reservation on an unknown account", run)
		}
		reserved[r.Account] += r.openCost()
	}
	for name, a := range t.Accounts {
		if err := a.checkConserved(); err != nil {
			return errs.Pass(err, "check")
		}
		if a.Reserved != reserved[name] {
			return errs.New(errs.Internal, "account %q has %d reserved, its reservations add up to %d",
				name, a.Reserved, reserved[name])
		}
		if err := a.Ledger.Verify(); err != nil {
			return errs.Pass(err, "account %q", name)
		}
	}
	return nil
}

// find returns an account, or nil if it does not exist or the table is nil.
func (t *Table) find(name string) *Account {
	if t == nil {
		return nil
	}
	return t.Accounts[name]
}
