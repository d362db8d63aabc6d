// Package account keeps the prepaid balances of parties: accounts, top-ups, reservations for runs, and the ledger of
// what was topped up and drawn. It is part of the replicated state: Book changes only by its methods, in the order of
// the log, and is the same on every node that applied the same entries. It reads no clock: every change carries its
// time. All money is in whole units.
package account

import (
	"container/heap"
	"time"

	"crosstide/internal/errs"
)

// MaxTopUpKeys is how many idempotency keys of an account are remembered, the newest.
const MaxTopUpKeys = 4096

// maxNameBytes bounds the name of an account, in bytes.
const maxNameBytes = 128

// Account is a party's money. Balance + Reserved + Spent is ToppedUp after every change.
type Account struct {
	Name     string           `json:"name"`
	Credit   int64            `json:"credit,omitempty"` // how far below zero starts may reserve
	Balance  int64            `json:"balance"`          // neither spent nor reserved; below zero only by runs that are out
	Reserved int64            `json:"reserved"`         // for the open windows of runs
	Spent    int64            `json:"spent"`
	ToppedUp int64            `json:"topped_up"`
	Ledger   Ledger           `json:"ledger"`
	TopUps   map[string]TopUp `json:"top_ups,omitempty"` // by idempotency key
	Keys     []string         `json:"keys,omitempty"`    // of TopUps, oldest first

	rate Rate // of all runs that are out
}

// TopUp is a top-up that was made, and the answer to it when it is sent again.
type TopUp struct {
	Account string    `json:"account"`
	Key     string    `json:"key"`
	Amount  int64     `json:"amount"`
	Balance int64     `json:"balance"` // after it
	Number  uint64    `json:"number"`  // of its entry in the ledger
	At      time.Time `json:"at"`
}

// Reservation is what is set aside for a run: the price of the window that ends at Until.
type Reservation struct {
	Account string        `json:"a"`
	Rate    Rate          `json:"r"`
	Window  time.Duration `json:"w"`
	Start   time.Time     `json:"s"`
	Until   time.Time     `json:"u"`
	Drawn   int64         `json:"d,omitempty"` // of the windows before
	Draws   int           `json:"p,omitempty"` // draws so far
}

// openCost is what the open window takes.
func (r *Reservation) openCost() int64 { return r.Rate.Cost(r.Until.Sub(r.Start)) - r.Drawn }

// Charge asks for a reservation.
type Charge struct {
	Run     string // its name, never used again
	Account string
	Rate    Rate
	Window  time.Duration // at least 1 ms
	// Granted reserves also when the balance does not cover it: the caller has found the starts of a group covered
	// together, or it is a lasting task that ran before.
	Granted bool
}

// cost is what the first window takes.
func (c *Charge) cost() int64 { return c.Rate.Cost(c.Window) }

// Table holds all accounts and reservations. It has no lock: its owner has. The zero value is an empty book after
// Rebuild.
type Table struct {
	Accounts     map[string]*Account     `json:"accounts"`
	Reservations map[string]*Reservation `json:"reservations"` // by run

	renewals renewals
}

// NewTable makes an empty book.
func NewTable() *Table {
	b := &Table{}
	b.Rebuild()
	return b
}

// Rebuild makes anew what is derived, after the exported fields were decoded.
func (b *Table) Rebuild() {
	if b.Accounts == nil {
		b.Accounts = map[string]*Account{}
	}
	if b.Reservations == nil {
		b.Reservations = map[string]*Reservation{}
	}
	for _, a := range b.Accounts {
		if a.TopUps == nil {
			a.TopUps = map[string]TopUp{}
		}
		a.rate = 0
	}
	b.renewals = nil
	for run, r := range b.Reservations {
		b.Accounts[r.Account].rate += r.Rate
		heap.Push(&b.renewals, renewal{r.Until, run})
	}
}

// Create opens an account. Failures: Conflict (there is one of that name), Invalid.
func (b *Table) Create(name string, credit int64) error {
	switch {
	case name == "" || len(name) > maxNameBytes:
		return errs.Field(errs.Invalid, "account", "must be a name of 1 to %d bytes", maxNameBytes)
	case credit < 0 || credit > MaxAmount:
		return errs.Field(errs.Invalid, "credit", "must be 0 to %d, is %d", MaxAmount, credit)
	case b.Accounts[name] != nil:
		return errs.Field(errs.Conflict, "account", "there is an account %q", name)
	}
	b.Accounts[name] = &Account{Name: name, Credit: credit, TopUps: map[string]TopUp{}}
	return nil
}

// TopUp adds to a balance, once for each key: sent again it gives the first answer. Failures: Unknown (no such account),
// Conflict (the key is another top-up's), Invalid.
func (b *Table) TopUp(name, key string, amount int64, at time.Time) (TopUp, error) {
	a := b.Accounts[name]
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
	a.ToppedUp += amount
	a.Balance += amount
	a.Ledger.append(Entry{At: at, Kind: EntryTopUp, Key: key, Amount: amount})
	a.mustBeConserved()
	made := TopUp{Account: name, Key: key, Amount: amount, Balance: a.Balance, Number: a.Ledger.Head.Number, At: at}
	a.rememberTopUp(made)
	return made, nil
}

// rememberTopUp keeps a top-up's key.
func (a *Account) rememberTopUp(made TopUp) {
	a.TopUps[made.Key] = made
	a.Keys = append(a.Keys, made.Key)
	if len(a.Keys) > MaxTopUpKeys {
		delete(a.TopUps, a.Keys[0])
		a.Keys = a.Keys[1:]
	}
}

// Covers tells whether a balance is enough for starts that reserve so much in all. Without the account it is not.
func (b *Table) Covers(name string, cost int64) bool {
	a := b.find(name)
	return a != nil && a.Balance+a.Credit >= cost
}

// find finds an account, also in a book that is nil.
func (b *Table) find(name string) *Account {
	if b == nil {
		return nil
	}
	return b.Accounts[name]
}

// Reserve sets the first window of a run aside. Failures: Unknown (no such account), Conflict (the run has one, or the
// balance does not cover it). A refusal changes nothing.
func (b *Table) Reserve(c Charge, at time.Time) error {
	a := b.find(c.Account)
	switch {
	case a == nil:
		return errs.Field(errs.Unknown, "account", "no account %q", c.Account)
	case b.Reservations[c.Run] != nil:
		return errs.Field(errs.Conflict, "run", "%q has a reservation", c.Run)
	case !c.Granted && !b.Covers(c.Account, c.cost()):
		return errs.Field(errs.Conflict, "balance", "account %q has %d, a start reserves %d", c.Account, a.Balance, c.cost())
	}
	r := &Reservation{Account: c.Account, Rate: c.Rate, Window: max(c.Window, time.Millisecond), Start: at}
	r.Until = at.Add(r.Window)
	b.Reservations[c.Run] = r
	heap.Push(&b.renewals, renewal{r.Until, c.Run})
	a.reserve(r.openCost())
	a.rate += r.Rate
	return nil
}

// Debit ends a run: its time up to at is drawn, the rest of its reservation goes back. Without a reservation nothing
// is done.
func (b *Table) Debit(run string, at time.Time) {
	r := b.close(run)
	if r == nil {
		return
	}
	a := b.Accounts[r.Account]
	a.reserve(-r.openCost())
	a.draw(run, r, r.Rate.Cost(at.Sub(r.Start))-r.Drawn, at)
}

// Return ends a run that was lost: its open window goes back whole. Without a reservation nothing is done.
func (b *Table) Refund(run string) {
	if r := b.close(run); r != nil {
		b.Accounts[r.Account].reserve(-r.openCost())
	}
}

// close takes a run's reservation out of the book; nil if it has none.
func (b *Table) close(run string) *Reservation {
	if b == nil {
		return nil
	}
	r := b.Reservations[run]
	if r == nil {
		return nil
	}
	delete(b.Reservations, run)
	b.Accounts[r.Account].rate -= r.Rate
	return r
}

// Renew draws the windows that are over at now, and reserves the next ones, also below zero. To be called before every
// other change of a later time, so that no run is out longer than its window.
func (b *Table) Renew(now time.Time) {
	if b == nil {
		return
	}
	for len(b.renewals) > 0 && !b.renewals[0].until.After(now) {
		due := heap.Pop(&b.renewals).(renewal)
		r := b.Reservations[due.run]
		if r == nil || !r.Until.Equal(due.until) {
			continue // it has ended
		}
		b.renew(due.run, r, now)
	}
}

// renew draws all whole windows of a run up to now in one entry, and reserves the one after.
func (b *Table) renew(run string, r *Reservation, now time.Time) {
	a := b.Accounts[r.Account]
	a.reserve(-r.openCost())
	windows := now.Sub(r.Start) / r.Window
	over := r.Start.Add(windows * r.Window)
	a.draw(run, r, r.Rate.Cost(over.Sub(r.Start))-r.Drawn, now)
	r.Until = over.Add(r.Window)
	a.reserve(r.openCost())
	heap.Push(&b.renewals, renewal{r.Until, run})
}

// reserve moves units from the balance to what is reserved, back if there are less than 0.
func (a *Account) reserve(amount int64) {
	a.Balance -= amount
	a.Reserved += amount
	a.mustBeConserved()
}

// draw moves units from the balance to what is spent.
func (a *Account) draw(run string, r *Reservation, amount int64, at time.Time) {
	if amount <= 0 {
		return // nothing to pay: no entry
	}
	a.Balance -= amount
	a.Spent += amount
	a.Ledger.append(Entry{At: at, Kind: EntryDraw, Key: run, DrawIndex: r.Draws, Amount: amount})
	r.Drawn += amount
	r.Draws++
	a.mustBeConserved()
}

// mustBeConserved stops the process if the account is not conserved: going on would hide lost money.
func (a *Account) mustBeConserved() { must(a.checkConserved()) }

func (a *Account) checkConserved() error {
	sum, head := a.Balance+a.Reserved+a.Spent, a.Ledger.Head
	if sum != a.ToppedUp || a.Reserved < 0 || a.Spent < 0 || head.ToppedUp != a.ToppedUp || head.Spent != a.Spent {
		return errs.New(errs.Internal, "account %q: %d topped up, %d+%d+%d balance, reserved and spent, the ledger has %d and %d",
			a.Name, a.ToppedUp, a.Balance, a.Reserved, a.Spent, head.ToppedUp, head.Spent)
	}
	return nil
}

// Check holds the whole book against itself: every account conserved, what is reserved the sum of the reservations, every
// ledger verified. Failures: Internal, Damaged.
func (b *Table) Check() error {
	if b == nil {
		return nil
	}
	reserved := map[string]int64{}
	for run, r := range b.Reservations {
		if b.Accounts[r.Account] == nil {
			return errs.New(errs.Internal, "run %q has a reservation without account", run)
		}
		reserved[r.Account] += r.openCost()
	}
	for name, a := range b.Accounts {
		if err := a.checkConserved(); err != nil {
			return errs.Pass(err, "check")
		}
		if a.Reserved != reserved[name] {
			return errs.New(errs.Internal, "account %q has %d reserved, its runs hold %d", name, a.Reserved, reserved[name])
		}
		if err := a.Ledger.Verify(); err != nil {
			return errs.Pass(err, "account %q", name)
		}
	}
	return nil
}

// HasReservations tells whether runs hold reservations: their windows want entries of the log to be renewed by.
func (b *Table) HasReservations() bool { return b != nil && len(b.Reservations) > 0 }

// Rate is what all runs of an account that are out cost together.
func (a *Account) Rate() Rate { return a.rate }

// ExhaustedIn forecasts when the balance is gone if as much runs as now: 0 when it is, false if nothing draws.
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

// must is for what the caller has made sure of: going on would leave the nodes apart.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// renewal says that a run's window ends at until.
type renewal struct {
	until time.Time
	run   string
}

// renewals is a heap of windows by end, then by run. Entries of runs that have ended stay until they come up.
type renewals []renewal

// Len is the number of windows.
func (r renewals) Len() int { return len(r) }

// Swap exchanges two windows.
func (r renewals) Swap(i, k int) { r[i], r[k] = r[k], r[i] }

// Less orders windows by end, then by run.
func (r renewals) Less(i, k int) bool {
	if r[i].until.Equal(r[k].until) {
		return r[i].run < r[k].run
	}
	return r[i].until.Before(r[k].until)
}

// Push is for package heap.
func (r *renewals) Push(x any) { *r = append(*r, x.(renewal)) }

// Pop is for package heap.
func (r *renewals) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}
