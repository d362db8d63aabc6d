package account

import (
	"container/heap"
	"time"
)

// Renew draws the windows that are over at now, and reserves the next ones, also below zero. It must be called before
// every other change of a later time, so that no run continues beyond a paid window.
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

// renewReservation draws all windows of a run that are over at now with one entry, and reserves the open one.
func (t *Table) renewReservation(run string, r *Reservation, now time.Time) {
	a := t.Accounts[r.Account]
	a.reserve(-r.openCost())
	windows := now.Sub(r.Start) / r.Window
	over := r.Start.Add(windows * r.Window)
	a.draw(run, r, r.Rate.Cost(over.Sub(r.Start))-r.Drawn, now)
	r.Until = over.Add(r.Window)
	a.reserve(r.openCost())
	heap.Push(&t.renewals, renewal{r.Until, run})
}

// renewal is the end of a run's window.
type renewal struct {
	until time.Time
	run   string
}

// renewals is a heap of windows by end, then by run. Entries of runs that have ended stay until they are due.
type renewals []renewal

// Len implements heap.Interface.
func (r renewals) Len() int { return len(r) }

// Swap implements heap.Interface.
func (r renewals) Swap(i, k int) { r[i], r[k] = r[k], r[i] }

// Less orders windows by end, then by run; it implements heap.Interface.
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
