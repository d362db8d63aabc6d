package account

import (
	"container/heap"
	"time"

	"crosstide/internal/errs"
)

// Reservation reserves the price of a run's open window, which ends at Until.
type Reservation struct {
	Account string        `json:"a"`
	Rate    Rate          `json:"r"`
	Window  time.Duration `json:"w"`
	Start   time.Time     `json:"s"`           // of the run
	Until   time.Time     `json:"u"`           // Start plus a whole number of windows
	Drawn   int64         `json:"d,omitempty"` // amount drawn for the windows before the open one
	Draws   int           `json:"p,omitempty"` // number of draws so far
}

// openCost returns the price of the open window. It is computed as the difference of two costs since Start, so that
// rounding errors do not accumulate over the windows.
func (r *Reservation) openCost() int64 { return r.Rate.Cost(r.Until.Sub(r.Start)) - r.Drawn }

// Charge describes the reservation of a run's first window.
type Charge struct {
	Run     string // the run's name, never reused
	Account string
	Rate    Rate
	Window  time.Duration // at least 1 ms
	// Granted skips the check of the balance: the caller has checked that the balance covers all starts of a group
	// together, or the run is a restart of a long-running task.
	Granted bool
}

// cost returns the price of the first window.
func (c *Charge) cost() int64 { return c.Rate.Cost(c.Window) }

// Reserve reserves the first window of a run. Failures: Unknown (no such account), Conflict (the run already has a
// reservation, or the balance does not cover the window). After a failure the table is unchanged.
func (t *Table) Reserve(c Charge, at time.Time) error {
	a := t.find(c.Account)
	switch {
	case a == nil:
		return errs.Field(errs.Unknown, "account", "no account %q", c.Account)
	case t.Reservations[c.Run] != nil:
		return errs.Field(errs.Conflict, "run", "run %q already has a reservation", c.Run)
	case !c.Granted && !a.covers(c.cost()):
		return errs.Field(errs.Conflict, "balance", "account %q has a balance of %d, a start reserves %d",
			c.Account, a.Balance, c.cost())
	}
	r := &Reservation{Account: c.Account, Rate: c.Rate, Window: max(c.Window, time.Millisecond), Start: at}
	r.Until = at.Add(r.Window)
	t.Reservations[c.Run] = r
	heap.Push(&t.renewals, renewal{r.Until, c.Run})
	a.reserve(r.openCost())
	a.rate += r.Rate
	return nil
}

// Debit ends a run: it draws the cost of its run time up to at, and releases the rest of its reservation. A run without
// a reservation is ignored.
func (t *Table) Debit(run string, at time.Time) {
	r := t.remove(run)
	if r == nil {
		return
	}
	a := t.Accounts[r.Account]
	a.reserve(-r.openCost())
	a.draw(run, r, r.Rate.Cost(at.Sub(r.Start))-r.Drawn, at)
}

// Refund ends a run that was lost: it releases the reservation of its open window. Amounts that were drawn for
// earlier windows stay drawn. A run without a reservation is ignored.
func (t *Table) Refund(run string) {
	if r := t.remove(run); r != nil {
		t.Accounts[r.Account].reserve(-r.openCost())
	}
}

// remove removes and returns a run's reservation, or nil if it has none. The caller must release the reserved amount
// of the account.
func (t *Table) remove(run string) *Reservation {
	if t == nil {
		return nil
	}
	r := t.Reservations[run]
	if r == nil {
		return nil
	}
	delete(t.Reservations, run)
	t.Accounts[r.Account].rate -= r.Rate
	return r
}

// HasReservations reports whether any run has a reservation. If so, the log needs regular entries, because windows are
// renewed only when an entry is applied.
func (t *Table) HasReservations() bool { return t != nil && len(t.Reservations) > 0 }
