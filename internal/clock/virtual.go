package clock

import (
	"container/heap"
	"sync"
	"time"
)

// Virtual is a clock that moves only by Advance. Timers fire in order of time, then of setting.
// The zero value starts at 0.
type Virtual struct {
	mu     sync.Mutex
	now    time.Duration
	next   uint64 // number of the newest timer
	timers timerHeap
}

// timer is a timer of a Virtual. The clock's mutex guards it.
type timer struct {
	at      time.Duration
	seq     uint64 // in the order in which timers were set
	call    func()
	stopped bool // fired or cancelled
	clock   *Virtual
}

// Stop keeps the timer from firing, and reports whether it would still have fired.
func (t *timer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	pending := !t.stopped
	t.stopped = true
	return pending
}

// timerHeap is a container/heap by time.
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
	t := &timer{at: v.now + max(d, 0), seq: v.next, call: call, clock: v}
	heap.Push(&v.timers, t)
	return t
}

// Advance moves the clock by d and fires, in order, the timers that become due.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	end := v.now + d
	for len(v.timers) > 0 && v.timers[0].at <= end {
		t := heap.Pop(&v.timers).(*timer)
		if t.stopped {
			continue
		}
		t.stopped = true
		v.now = max(v.now, t.at)
		v.mu.Unlock()
		t.call()
		v.mu.Lock()
	}
	v.now = max(v.now, end)
	v.mu.Unlock()
}
