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

// traceTailLines is the number of trace lines that are kept for Violation.TraceTail.
const traceTailLines = 120

// sim is the state of one run: the virtual clock and its event queue, the only source of random numbers, the fleet and
// the report. It is confined to the goroutine of Run. The order of random draws and events is part of the history: a
// change of that order changes everything after it.
type sim struct {
	options Options
	rng     *rand.Rand
	now     time.Duration // virtual time
	seq     uint64        // sequence number of the newest event
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

	billing        *billingScenario // nil without parties (see build), as billingChecker is
	billingChecker *billingChecker

	faultsEnded bool // FaultPeriod has passed, all faults have ended
	report      Report
	hash        *xxhash.Digest // of the trace
	recent      []string       // ring of the newest lines of the trace
	recentNext  int            // index of the next line in recent
}

// schedule runs do when d of virtual time has passed. A negative d counts as 0.
func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.seq, do})
}

// trace adds a line to the trace: to its hash, to Options.Trace and to the recent lines.
func (s *sim) trace(format string, args ...any) {
	line := fmt.Sprintf("%12.6f ", s.now.Seconds()) + fmt.Sprintf(format, args...)
	_, _ = s.hash.WriteString(line) // never fails
	if s.options.Trace != nil {
		_, _ = io.WriteString(s.options.Trace, line+"\n") // a failure does not affect the run
	}
	if len(s.recent) < traceTailLines {
		s.recent = append(s.recent, line)
	} else {
		s.recent[s.recentNext] = line
	}
	s.recentNext = (s.recentNext + 1) % traceTailLines
}

// countCase counts a check of an invariant in Report.Cases.
func (s *sim) countCase(invariant string) { s.report.Cases[invariant]++ }

// reportViolation records the first violation of an invariant. The run ends after the current event.
func (s *sim) reportViolation(invariant, format string, args ...any) {
	if s.report.Violation != nil {
		return
	}
	detail := fmt.Sprintf(format, args...)
	s.trace("BREACH %s: %s", invariant, detail)
	tail := append([]string(nil), s.recent...)
	if len(tail) == traceTailLines {
		tail = append(tail[s.recentNext:], tail[:s.recentNext]...)
	}
	s.report.Violation = &Violation{Invariant: invariant, At: s.now, Detail: detail, TraceTail: tail}
}

// chance returns true with probability p.
func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

// between draws a duration in [low, high). It returns low if high <= low.
func (s *sim) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// pick returns a random element of list.
func pick[T any](s *sim, list []T) T { return list[s.rng.IntN(len(list))] }

// must panics on an error that cannot occur in the simulator.
func must(err error) {
	if err != nil {
		panic(errs.Of(err))
	}
}
