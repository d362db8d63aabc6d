package account

import (
	"container/heap"
	"time"
)

// Renew draws the price of the windows that have ended at now and reserves the next ones, even if the balance becomes
// negative. It must be called before every other change of a later time, so that no run continues beyond a paid window.
func (t *Table) Renew(now time.Time) {
	if t == nil {
		return
	}
	for len(t.renewals) > 0 && !t.renewals[0].until.After(now) {
		due := heap.Pop(&t.renewals).(renewal)
		r := t.Reservations[due.run]
		if r == nil || !r.Until.Equal(due.until) {
			continue // the run has ended
		}
		t.renewReservation(due.run, r, now)
	}
}

// renewReservation draws all windows of a run that have ended at now with one ledger entry, and reserves the open one.
func (t *Table) renewReservation(run string, r *Reservation, now time.Time) {
	a := t.Accounts[r.Account]
	a.reserve(-r.openCost())
	endedWindows := now.Sub(r.Start) / r.Window
	openStart := r.Start.Add(endedWindows * r.Window)
	a.draw(run, r, r.Rate.Cost(openStart.Sub(r.Start))-r.Drawn, now)
	r.Until = openStart.Add(r.Window)
	a.reserve(r.openCost())
	heap.Push(&t.renewals, renewal{r.Until, run})
}

// renewal is the time at which a run's open window ends.
type renewal struct {
	until time.Time
	run   string
}

// renewals is a heap ordered by end of the window, then by run. Renewals of runs that have ended stay in it until due.
type renewals []renewal

// Len implements heap.Interface.
func (r renewals) Len() int { return len(r) }

// Swap implements heap.Interface.
func (r renewals) Swap(i, k int) { r[i], r[k] = r[k], r[i] }

// Less orders renewals by end of the window, then by run; it implements heap.Interface.
func (r renewals) Less(i, k int) bool {
	if r[i].until.Equal(r[k].until) {
		return r[i].run < r[k].run
	}
	return r[i].until.Before(r[k].until)
}

// Push implements heap.Interface.
func (r *renewals) Push(x any) { *r = append(*r, x.(renewal)) }

// Pop implements heap.Interface.
func (r *renewals) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}
