package policysim

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/errs"
)

// event is a function to run at a point of virtual time.
type event struct {
	at  time.Duration
	seq uint64 // order among the events of the same time
	do  func()
}

// eventHeap is a heap of events by time, then by seq.
type eventHeap []event

// Len is part of heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, then by seq; it is part of heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap is part of heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// traceTail is the number of lines of the trace that are kept for a breach.
const traceTail = 120

// sim is a run: the virtual clock with its events, the only source of random numbers, the fleet, and the report.
// Everything runs on the goroutine of Run. Each draw and each event is part of the history: a change of their order
// changes everything after it.
type sim struct {
	options Options
	rng     *rand.Rand
	now     time.Duration // virtual time
	seq     uint64        // of the newest event
	queue   eventHeap

	network       network
	processes     []*process
	byAddr        map[string]*process
	controlPlanes []*controlPlane
	dataPlanes    []*dataPlane
	workers       []*worker
	clients       *clients
	faults        *faultInjector
	checker       *invariantChecker

	billing        *billingScenario // nil without Options.Parties, as billingChecker is
	billingChecker *billingChecker

	faultsOver bool // FaultPeriod has passed, all faults have ended
	report     Report
	hash       *xxhash.Digest // of the trace
	recent     []string       // ring of the newest lines of the trace
	recentNext int            // index of the next line in recent
}

// schedule runs do after d.
func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.seq, do})
}

// trace writes a line of the trace.
func (s *sim) trace(format string, args ...any) {
	line := fmt.Sprintf("%12.6f ", s.now.Seconds()) + fmt.Sprintf(format, args...)
	_, _ = s.hash.WriteString(line) // never fails
	if s.options.Trace != nil {
		_, _ = io.WriteString(s.options.Trace, line+"\n") // a failure does not affect the run
	}
	if len(s.recent) < traceTail {
		s.recent = append(s.recent, line)
	} else {
		s.recent[s.recentNext] = line
	}
	s.recentNext = (s.recentNext + 1) % traceTail
}

// countCase counts a case of an invariant.
func (s *sim) countCase(promise string) { s.report.Promise[promise]++ }

// reportBreach reports the first breach; the run ends after this event.
func (s *sim) reportBreach(promise, format string, args ...any) {
	if s.report.Breach != nil {
		return
	}
	detail := fmt.Sprintf(format, args...)
	s.trace("BREACH %s: %s", promise, detail)
	tail := append([]string(nil), s.recent...)
	if len(tail) == traceTail {
		tail = append(tail[s.recentNext:], tail[:s.recentNext]...)
	}
	s.report.Breach = &Breach{Promise: promise, At: s.now, Detail: detail, TraceTail: tail}
}

// chance reports true with probability p.
func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

// between draws a duration from low inclusive to high exclusive; low if high is not above it.
func (s *sim) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// pick draws an element of a list.
func pick[T any](s *sim, list []T) T { return list[s.rng.IntN(len(list))] }

// must panics on an error that cannot occur in the simulator.
func must(err error) {
	if err != nil {
		panic(errs.Of(err))
	}
}
