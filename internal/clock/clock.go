// Package clock is the only source of time in crosstide: Real for the daemons, Virtual for tests and simulators.
//
// A component takes a Clock in its options, and reads the time and sets timers only through it, so that a test decides
// when time passes. Leases, timeouts and backoffs are implemented by the callers. Step functions take no Clock; their
// owner reads one and passes the time in.
//
// Entry points: Clock, and Sleep (sleep.go), which pauses on a Clock.
package clock

import (
	"container/heap"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time and sets timers. It is safe for concurrent use.
type Clock interface {
	// Now returns the time since an arbitrary start. It never decreases, and it counts the time for which the machine
	// was suspended: a lease must not outlive a suspension of its holder.
	Now() time.Duration
	// Wall returns the time of day, for people and for ages of records, never for leases: it may go back.
	Wall() time.Time
	// Set calls fn once, after d, on a goroutine that the clock chooses; fn must not block. The result's Stop cancels
	// the timer.
	Set(d time.Duration, fn func()) Stopper
}

// Stopper cancels a timer. Stop reports whether it prevented the timer from firing; it does not wait for a call in
// progress.
type Stopper interface{ Stop() bool }

// Real is the machine's clock (CLOCK_BOOTTIME).
type Real struct{}

// Now reads CLOCK_BOOTTIME, which advances while the machine or the process is suspended.
func (Real) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall returns time.Now().
func (Real) Wall() time.Time { return time.Now() }

// Set starts a timer of the standard library.
func (Real) Set(d time.Duration, fn func()) Stopper { return time.AfterFunc(d, fn) }

// Virtual is a clock that moves only by Advance. Timers fire in order of time, then in the order in which they were
// set. The zero value starts at 0.
type Virtual struct {
	mu      sync.Mutex // guards the fields below, and those of its timers
	now     time.Duration
	lastSeq uint64    // seq of the timer set last
	timers  timerHeap // timers that have not fired; stopped ones stay until they are due
}

// timer is a timer of a Virtual clock.
type timer struct {
	clock *Virtual // immutable
	at    time.Duration
	seq   uint64 // number of the timer on its clock: of two due at the same time, the lower one fires first
	fn    func()
	done  bool // fired or stopped
}

// Stop prevents the timer from firing, and reports whether it was still pending.
func (t *timer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	wasPending := !t.done
	t.done = true
	return wasPending
}

// timerHeap is a min-heap of timers for container/heap.
type timerHeap []*timer

// Len is part of heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less orders timers by time, then by the order in which they were set; part of heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap is part of heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(*timer)) }

// Pop is part of heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Now returns the virtual time.
func (v *Virtual) Now() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Wall returns the Unix epoch plus Now.
func (v *Virtual) Wall() time.Time { return time.Unix(0, 0).Add(v.Now()) }

// Set adds a timer at Now+d.
func (v *Virtual) Set(d time.Duration, fn func()) Stopper {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastSeq++
	t := &timer{clock: v, at: v.now + max(d, 0), seq: v.lastSeq, fn: fn}
	heap.Push(&v.timers, t)
	return t
}

// Advance moves the clock by d and fires the timers that become due, including timers that their functions set. The
// functions run one after the other on the goroutine of the caller, at the time of their timer and without a lock.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	end := v.now + d
	for len(v.timers) > 0 && v.timers[0].at <= end {
		t := heap.Pop(&v.timers).(*timer)
		if t.done {
			continue
		}
		t.done = true
		v.now = max(v.now, t.at)
		v.mu.Unlock()
		t.fn()
		v.mu.Lock()
	}
	v.now = max(v.now, end)
	v.mu.Unlock()
}
