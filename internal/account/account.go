package account

import (
	"time"

	"crosstide/internal/errs"
)

// maxTopUpKeys is the number of idempotency keys that an account remembers; the oldest are dropped first.
const maxTopUpKeys = 4096

// maxNameBytes is the maximum length of an account's name.
const maxNameBytes = 128

// Account is the prepaid account of one party. Balance + Reserved + Spent equals ToppedUp after every change.
type Account struct {
	Name     string `json:"name"`
	Credit   int64  `json:"credit,omitempty"` // starts may reserve until Balance is -Credit
	Balance  int64  `json:"balance"`          // not spent or reserved; negative only by credit, renewals and grants
	Reserved int64  `json:"reserved"`         // for the open windows of runs
	Spent    int64  `json:"spent"`
	ToppedUp int64  `json:"topped_up"`
	Ledger   Ledger `json:"ledger"`

	TopUps map[string]TopUp `json:"top_ups,omitempty"` // by idempotency key
	Keys   []string         `json:"keys,omitempty"`    // the keys of TopUps, oldest first

	rate Rate // of all runs with a reservation; derived by Table.Rebuild
}

// TopUp is an applied top-up. It is also the answer to a repeated one with the same key.
type TopUp struct {
	Account string    `json:"account"`
	Key     string    `json:"key"`
	Amount  int64     `json:"amount"`
	Balance int64     `json:"balance"` // after the top-up
	Number  uint64    `json:"number"`  // of the top-up's ledger entry
	At      time.Time `json:"at"`
}

// Rate returns the total rate of the runs that have a reservation on the account.
func (a *Account) Rate() Rate { return a.rate }

// ExhaustedIn returns the forecast time until the balance is exhausted at the current rate, or 0 if it already is. The
// credit is not counted. It reports false if no run draws on the account or the time does not fit a Duration.
func (a *Account) ExhaustedIn() (time.Duration, bool) {
	switch {
	case a.Balance <= 0:
		return 0, true
	case a.rate <= 0:
		return 0, false
	}
	seconds := float64(a.Balance) * 1000 / float64(a.rate)
	if longest := float64(1<<63-1) / float64(time.Second); seconds >= longest {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// topUp applies a top-up. The caller has validated the amount.
func (a *Account) topUp(key string, amount int64, at time.Time) TopUp {
	a.ToppedUp += amount
	a.Balance += amount
	a.Ledger.append(Entry{At: at, Kind: EntryTopUp, Key: key, Amount: amount})
	a.mustBeConserved()
	applied := TopUp{
		Account: a.Name, Key: key, Amount: amount, Balance: a.Balance, Number: a.Ledger.Head.Number, At: at,
	}
	a.rememberTopUp(applied)
	return applied
}

func (a *Account) rememberTopUp(applied TopUp) {
	a.TopUps[applied.Key] = applied
	a.Keys = append(a.Keys, applied.Key)
	if len(a.Keys) > maxTopUpKeys {
		delete(a.TopUps, a.Keys[0])
		a.Keys = a.Keys[1:]
	}
}

// covers reports whether the balance plus the credit covers a cost.
func (a *Account) covers(cost int64) bool { return a.Balance+a.Credit >= cost }

// reserve moves an amount from Balance to Reserved; a negative amount is moved back.
func (a *Account) reserve(amount int64) {
	a.Balance -= amount
	a.Reserved += amount
	a.mustBeConserved()
}

// draw moves an amount from Balance to Spent for a run and adds a ledger entry. An amount of 0 or less is ignored.
func (a *Account) draw(run string, r *Reservation, amount int64, at time.Time) {
	if amount <= 0 {
		return
	}
	a.Balance -= amount
	a.Spent += amount
	a.Ledger.append(Entry{At: at, Kind: EntryDraw, Key: run, DrawIndex: r.Draws, Amount: amount})
	r.Drawn += amount
	r.Draws++
	a.mustBeConserved()
}

// mustBeConserved panics if the account's amounts are inconsistent: continuing would hide lost money.
func (a *Account) mustBeConserved() { must(a.checkConserved()) }

// checkConserved checks that Balance + Reserved + Spent equals ToppedUp and that the ledger's head has the same totals.
// Failure: Internal.
func (a *Account) checkConserved() error {
	sum, head := a.Balance+a.Reserved+a.Spent, a.Ledger.Head
	if sum != a.ToppedUp || a.Reserved < 0 || a.Spent < 0 || head.ToppedUp != a.ToppedUp || head.Spent != a.Spent {
		return errs.New(errs.Internal,
			"account %q: topped up %d, balance %d + reserved %d + spent %d; ledger totals: topped up %d, spent %d",
			a.Name, a.ToppedUp, a.Balance, a.Reserved, a.Spent, head.ToppedUp, head.Spent)
	}
	return nil
}

// must panics on an error that only a bug can cause: continuing would let the replicas diverge.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
