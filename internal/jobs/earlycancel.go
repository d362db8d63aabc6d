package jobs

import (
	"slices"
	"time"
)

// maxEarlyCancels is the maximum number of early cancellations; the oldest are dropped first.
const maxEarlyCancels = 16384

// EarlyCancel is a cancellation that was acknowledged while no job had its ID. The submission that it was meant for may
// still be on its way, in a process that does not run or on a slow connection; it must not start the job.
type EarlyCancel struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
}

// rememberCancel records the cancellation of an ID that has no job. A repetition changes nothing.
func (t *Table) rememberCancel(id string, at time.Time) {
	if t.isCancelledEarly(id) {
		return
	}
	t.EarlyCancels = append(t.EarlyCancels, EarlyCancel{ID: id, At: at})
	t.indexes.earlyCancels[id] = struct{}{}
	if excess := len(t.EarlyCancels) - maxEarlyCancels; excess > 0 {
		t.dropOldestCancels(excess)
	}
}

// isCancelledEarly reports whether a submission under an ID must be accepted as a cancelled job.
func (t *Table) isCancelledEarly(id string) bool {
	_, isCancelled := t.indexes.earlyCancels[id]
	return isCancelled
}

// forgetCancel deletes the cancellation of an ID once a job has it.
func (t *Table) forgetCancel(id string) {
	delete(t.indexes.earlyCancels, id)
	t.EarlyCancels = slices.DeleteFunc(t.EarlyCancels, func(c EarlyCancel) bool { return c.ID == id })
}

// purgeCancels deletes the cancellations from before a time. The clocks of leaders differ, so an older cancellation may
// stand behind a newer one; it is deleted with that one.
func (t *Table) purgeCancels(before time.Time) {
	expired := 0
	for expired < len(t.EarlyCancels) && t.EarlyCancels[expired].At.Before(before) {
		expired++
	}
	if expired > 0 {
		t.dropOldestCancels(expired)
	}
}

func (t *Table) dropOldestCancels(count int) {
	for _, cancel := range t.EarlyCancels[:count] {
		delete(t.indexes.earlyCancels, cancel.ID)
	}
	t.EarlyCancels = slices.Clone(t.EarlyCancels[count:])
}
