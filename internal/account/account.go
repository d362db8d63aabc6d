package account

import (
	"time"

	"crosstide/internal/errs"
)

// maxTopUpKeys is how many idempotency keys of an account are remembered, the newest.
const maxTopUpKeys = 4096

// maxNameBytes bounds the name of an account.
const maxNameBytes = 128

// Account is the prepaid account of one party. Balance + Reserved + Spent equals ToppedUp after every change.
type Account struct {
	Name     string `json:"name"`
	Credit   int64  `json:"credit,omitempty"` // how far below zero starts may reserve
	Balance  int64  `json:"balance"`          // neither spent nor reserved; below zero only by renewals and credit
	Reserved int64  `json:"reserved"`         // for the open windows of runs
	Spent    int64  `json:"spent"`
	ToppedUp int64  `json:"topped_up"`
	Ledger   Ledger `json:"ledger"`

	TopUps map[string]TopUp `json:"top_ups,omitempty"` // by idempotency key
	Keys   []string         `json:"keys,omitempty"`    // the keys of TopUps, oldest first

	rate Rate // of all runs with a reservation; derived by Table.Rebuild
}

// TopUp is a top-up that was made, and the answer to it when it is repeated.
type TopUp struct {
	Account string    `json:"account"`
	Key     string    `json:"key"`
	Amount  int64     `json:"amount"`
	Balance int64     `json:"balance"` // after it
	Number  uint64    `json:"number"`  // of its entry in the ledger
	At      time.Time `json:"at"`
}

// Rate returns the total rate of the runs that have a reservation on the account.
func (a *Account) Rate() Rate { return a.rate }

// ExhaustedIn forecasts the time until the balance is exhausted at the present rate: 0 if it is already. It reports
// false if nothing draws on the account, or the time is too long for a Duration.
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

// topUp adds an amount that the caller has checked.
func (a *Account) topUp(key string, amount int64, at time.Time) TopUp {
	a.ToppedUp += amount
	a.Balance += amount
	a.Ledger.append(Entry{At: at, Kind: EntryTopUp, Key: key, Amount: amount})
	a.mustBeConserved()
	made := TopUp{
		Account: a.Name, Key: key, Amount: amount, Balance: a.Balance, Number: a.Ledger.Head.Number, At: at,
	}
	a.rememberTopUp(made)
	return made
}

func (a *Account) rememberTopUp(made TopUp) {
	a.TopUps[made.Key] = made
	a.Keys = append(a.Keys, made.Key)
	if len(a.Keys) > maxTopUpKeys {
		delete(a.TopUps, a.Keys[0])
		a.Keys = a.Keys[1:]
	}
}

// covers reports whether the balance, with the credit, covers a cost.
func (a *Account) covers(cost int64) bool { return a.Balance+a.Credit >= cost }

// reserve moves an amount from the balance to Reserved; a negative one moves it back.
func (a *Account) reserve(amount int64) {
	a.Balance -= amount
	a.Reserved += amount
	a.mustBeConserved()
}

// draw moves an amount from the balance to Spent for a run, with a ledger entry. An amount of 0 or less does nothing.
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

// mustBeConserved panics if the account is not conserved: to continue would hide lost money.
func (a *Account) mustBeConserved() { must(a.checkConserved()) }

// checkConserved checks that Balance + Reserved + Spent is ToppedUp, and that the ledger agrees. Failure: Internal.
func (a *Account) checkConserved() error {
	sum, head := a.Balance+a.Reserved+a.Spent, a.Ledger.Head
	if sum != a.ToppedUp || a.Reserved < 0 || a.Spent < 0 || head.ToppedUp != a.ToppedUp || head.Spent != a.Spent {
		return errs.New(errs.Internal,
			"account %q: %d topped up, %d+%d+%d balance, reserved and spent, the ledger has %d and %d",
			a.Name, a.ToppedUp, a.Balance, a.Reserved, a.Spent, head.ToppedUp, head.Spent)
	}
	return nil
}

// must panics on an error that the caller has ruled out: to continue would let the nodes diverge.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
