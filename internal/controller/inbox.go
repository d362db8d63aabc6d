package controller

import (
	"sync"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// schedulerEvent is an input of the scheduler's core, made on the loop's goroutine at the time now.
type schedulerEvent func(core *scheduler.Core, now time.Duration)

// inbox collects the inputs of the loop's next pass, and wakes the loop. Any goroutine may add to it; the loop alone
// drains it.
type inbox struct {
	wakeup chan struct{} // holds one signal at most; the loop receives from it

	mu      sync.Mutex
	events  []schedulerEvent
	changes []jobs.Event // of the job table, in the order of their commits
}

func newInbox() *inbox { return &inbox{wakeup: make(chan struct{}, 1)} }

// wake makes the loop begin its next pass. It never blocks.
func (b *inbox) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// enqueueEvent adds an input of the scheduler.
func (b *inbox) enqueueEvent(event schedulerEvent) {
	b.mu.Lock()
	b.events = append(b.events, event)
	b.mu.Unlock()
	b.wake()
}

// onTableChange adds a change of the job table. The store calls it under its lock: it must not block or read the table.
func (b *inbox) onTableChange(change jobs.Event) {
	b.mu.Lock()
	b.changes = append(b.changes, change)
	b.mu.Unlock()
	b.wake()
}

// drain empties the inbox and returns what was in it.
func (b *inbox) drain() ([]schedulerEvent, []jobs.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events, changes := b.events, b.changes
	b.events, b.changes = nil, nil
	return events, changes
}
