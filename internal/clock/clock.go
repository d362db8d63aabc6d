// Package clock is the clock and the timers: real ones for the daemons, virtual ones for tests and the simulator.
package clock

import (
	"container/heap"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start that counts suspension and never goes back, and sets timers.
type Clock interface {
	// Now is the time since the clock's start. It counts the time a machine was suspended.
	Now() time.Duration
	// Wall is the time of day, for people and for ages of records, never for leases.
	Wall() time.Time
	// Set calls call once after d, on a goroutine of the clock. Stop of the result cancels it.
	Set(d time.Duration, call func()) Stopper
}

// Stopper cancels a timer. Stop tells whether the timer had not fired yet.
type Stopper interface{ Stop() bool }

// Real is the machine's clock (CLOCK_BOOTTIME).
type Real struct{}

// Now reads CLOCK_BOOTTIME, which goes on while the machine or the process is suspended.
func (Real) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall is time.Now.
func (Real) Wall() time.Time { return time.Now() }

// Set is time.AfterFunc.
func (Real) Set(d time.Duration, call func()) Stopper { return time.AfterFunc(d, call) }

// Virtual is a clock that moves only by Advance. Timers fire in order of time, then of setting.
// The zero value starts at 0.
type Virtual struct {
	mu    sync.Mutex
	now   time.Duration
	next  uint64
	queue timerHeap
}

type timer struct {
	at      time.Duration
	seq     uint64
	call    func()
	stopped bool
	clock   *Virtual
}

// Stop keeps the timer from firing and tells whether it was still to fire.
func (r *timer) Stop() bool {
	r.clock.mu.Lock()
	defer r.clock.mu.Unlock()
	was := !r.stopped
	r.stopped = true
	return was
}

type timerHeap []*timer

// Len is part of heap.Interface.
func (q timerHeap) Len() int { return len(q) }

// Less orders timers by time, then by the order in which they were set; part of heap.Interface.
func (q timerHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap is part of heap.Interface.
func (q timerHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *timerHeap) Push(x any) { *q = append(*q, x.(*timer)) }

// Pop is part of heap.Interface.
func (q *timerHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Now is the virtual time.
func (v *Virtual) Now() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Wall is the Unix epoch plus Now.
func (v *Virtual) Wall() time.Time { return time.Unix(0, 0).Add(v.Now()) }

// Set adds a timer at Now+d.
func (v *Virtual) Set(d time.Duration, call func()) Stopper {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.next++
	r := &timer{at: v.now + max(d, 0), seq: v.next, call: call, clock: v}
	heap.Push(&v.queue, r)
	return r
}

// Advance moves the clock by d and fires, in order, the timers that become due.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	end := v.now + d
	for len(v.queue) > 0 && v.queue[0].at <= end {
		r := heap.Pop(&v.queue).(*timer)
		if r.stopped {
			continue
		}
		r.stopped = true
		v.now = max(v.now, r.at)
		v.mu.Unlock()
		r.call()
		v.mu.Lock()
	}
	v.now = max(v.now, end)
	v.mu.Unlock()
}
