package account

import (
	"container/heap"
	"time"

	"crosstide/internal/errs"
)

// Table holds all accounts and reservations. It has no lock: the owner of its State serializes all access. Covers,
// Debit, Refund, Renew, Check and HasReservations may be called on a nil table, which holds nothing.
type Table struct {
	Accounts     map[string]*Account     `json:"accounts"`     // by the party's name; never removed
	Reservations map[string]*Reservation `json:"reservations"` // by run; each of an account in Accounts

	renewals renewals // at least one for each reservation, at its Until; derived by Rebuild
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.Rebuild()
	return t
}

// Rebuild derives the unexported fields after the exported ones were decoded, and fills maps that are nil.
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

// Create opens an account. Failures: Conflict (there is one of that name), Invalid.
func (t *Table) Create(name string, credit int64) error {
	switch {
	case name == "" || len(name) > maxNameBytes:
		return errs.Field(errs.Invalid, "account", "must be a name of 1 to %d bytes", maxNameBytes)
	case credit < 0 || credit > MaxAmount:
		return errs.Field(errs.Invalid, "credit", "must be 0 to %d, is %d", MaxAmount, credit)
	case t.Accounts[name] != nil:
		return errs.Field(errs.Conflict, "account", "there is an account %q", name)
	}
	t.Accounts[name] = &Account{Name: name, Credit: credit, TopUps: map[string]TopUp{}}
	return nil
}

// TopUp adds to a balance, once for each idempotency key: repeated, it returns the first answer. Failures: Unknown (no
// such account), Conflict (the key is another top-up's), Invalid.
func (t *Table) TopUp(name, key string, amount int64, at time.Time) (TopUp, error) {
	a := t.Accounts[name]
	if a == nil {
		return TopUp{}, errs.Field(errs.Unknown, "account", "no account %q", name)
	}
	if made, ok := a.TopUps[key]; ok {
		if made.Amount != amount {
			return TopUp{}, errs.Field(errs.Conflict, "key", "%q was a top-up of %d", key, made.Amount)
		}
		return made, nil
	}
	switch {
	case key == "":
		return TopUp{}, errs.Field(errs.Invalid, "key", "a top-up needs a key")
	case amount <= 0 || amount > MaxAmount-a.ToppedUp:
		return TopUp{}, errs.Field(errs.Invalid, "amount", "must be 1 to %d, is %d", MaxAmount-a.ToppedUp, amount)
	}
	return a.topUp(key, amount, at), nil
}

// Covers reports whether the account's balance and credit cover a cost; false if there is no such account.
func (t *Table) Covers(name string, cost int64) bool {
	a := t.find(name)
	return a != nil && a.covers(cost)
}

// Check checks the consistency of the table: every account is conserved, its reserved amount is the sum of its
// reservations, and its ledger is verified. Failures: Internal, Damaged.
func (t *Table) Check() error {
	if t == nil {
		return nil
	}
	reserved := map[string]int64{}
	for run, r := range t.Reservations {
		if t.Accounts[r.Account] == nil {
			return errs.New(errs.Internal, "run %q has a reservation without account", run)
		}
		reserved[r.Account] += r.openCost()
	}
	for name, a := range t.Accounts {
		if err := a.checkConserved(); err != nil {
			return errs.Pass(err, "check")
		}
		if a.Reserved != reserved[name] {
			return errs.New(errs.Internal, "account %q has %d reserved, its runs hold %d",
				name, a.Reserved, reserved[name])
		}
		if err := a.Ledger.Verify(); err != nil {
			return errs.Pass(err, "account %q", name)
		}
	}
	return nil
}

// find returns an account; nil if there is none, or the table is nil.
func (t *Table) find(name string) *Account {
	if t == nil {
		return nil
	}
	return t.Accounts[name]
}
