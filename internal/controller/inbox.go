package controller

import (
	"sync"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// schedulerEvent passes one input to the scheduler's core. The leader's loop calls it with the current time.
type schedulerEvent func(core *scheduler.Core, now time.Duration)

// inbox collects the inputs of the next pass of the leader's loop and wakes the loop. Any goroutine may add to it; only
// the loop drains it.
type inbox struct {
	wakeup chan struct{} // buffered for one signal, which the loop receives

	mu      sync.Mutex
	events  []schedulerEvent
	changes []jobs.Event // of the job table, in commit order
}

func newInbox() *inbox { return &inbox{wakeup: make(chan struct{}, 1)} }

// wake makes the loop start its next pass. It never blocks.
func (b *inbox) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// enqueueEvent adds an input for the scheduler.
func (b *inbox) enqueueEvent(event schedulerEvent) {
	b.mu.Lock()
	b.events = append(b.events, event)
	b.mu.Unlock()
	b.wake()
}

// onTableChange adds a change of the job table. The store calls it with its lock held, so it must neither block nor
// read the table.
func (b *inbox) onTableChange(change jobs.Event) {
	b.mu.Lock()
	b.changes = append(b.changes, change)
	b.mu.Unlock()
	b.wake()
}

// drain empties the inbox and returns its contents.
func (b *inbox) drain() ([]schedulerEvent, []jobs.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events, changes := b.events, b.changes
	b.events, b.changes = nil, nil
	return events, changes
}
