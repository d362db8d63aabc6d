// Package policysim runs a whole fleet on one thread under a virtual clock, from one seed: cplanes on disks that lose what
// is not synced, dplanes, minions of both kinds, clients and an operator, with faults on every side, and an oracle
// that looks at what was really started, written and answered after every event.
//
// What decides is the daemons' own code: raft.Core, the store (by hand, see store.Hand), storage.Store over
// storage.MemDisk, state and command, replica.Replica, scheduler.Core, policyworker.Core. Only the glue of dataplane.Node and of the
// minion's host is written anew here, without goroutines. The same seed gives the same trace, byte for byte.
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

// Options of a run.
type Options struct {
	Seed              uint64
	FaultPeriod       time.Duration // faults and fresh jobs come so long; default 40s
	Faults            []string      // default: all of Faults
	WithoutGuard      string        // a guard to be taken out, of Breaks; "" for none
	MeanFaultInterval time.Duration // mean time between two faults; default: drawn, 200 ms to 2.5 s
	Trace             io.Writer     // gets every line; nil for none
	// Parties lets two parties pay for some of the jobs, of which one runs dry again and again.
	Parties bool
}

// Report is what a run showed.
type Report struct {
	Seed        uint64
	Breach      *Breach           // nil if every promise held
	Promise     map[string]uint64 // cases seen by promise
	Faults      map[string]uint64 // cases made by fault
	Counts      map[string]uint64 // what is counted apart
	Events      uint64
	VirtualTime time.Duration
	TraceHash   uint64 // xxhash64 of all lines
	// With Parties: from the yes to a top-up until work went on, under faults and after them, and from the loss of a
	// lasting task's minion until it ran again.
	Resumes, CalmResumes, Attached []time.Duration
}

// Breach is a broken promise.
type Breach struct {
	Promise   string
	At        time.Duration
	Detail    string
	TraceTail []string // lines of the trace before it
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

// Len is part of heap.Interface.
func (q eventHeap) Len() int { return len(q) }

// Less orders events by time, then by number; part of heap.Interface.
func (q eventHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap is part of heap.Interface.
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventHeap) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventHeap) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

const traceTail = 120 // lines of the trace shown with a breach

type sim struct {
	options Options
	rng     *rand.Rand
	now     time.Duration
	seq     uint64
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
	billing       *billingScenario // nil without Options.Parties

	faultsOver bool // no faults any more
	report     Report
	hash       *xxhash.Digest
	recent     []string
	recentNext int
}

// Run runs one seed to its end or to the first breach. Example:
//
//	r := policysim.Run(policysim.Options{Seed: 7, For: 30 * time.Second})
//	if r.Breach != nil {
//		fmt.Println(r.Seed, r.Breach.Promise, r.Breach.Detail)
//	}
func Run(opt Options) Report {
	s := newSim(opt)
	end := s.options.FaultPeriod + s.billing.paidUpDelay() + endTimeout
	for s.queue.Len() > 0 && s.report.Breach == nil {
		e := heap.Pop(&s.queue).(event)
		if s.now = e.at; s.now > end {
			break
		}
		s.report.Events++
		e.do()
		if s.faultsOver && s.clients.allEnded() {
			break
		}
	}
	if s.report.Breach == nil {
		s.checker.checkEnd()
		s.clients.history.check(s)
	}
	s.report.VirtualTime, s.report.TraceHash = s.now, s.hash.Sum64()
	return s.report
}

// newSim builds the fleet of a seed at time 0.
func newSim(opt Options) *sim {
	if opt.FaultPeriod <= 0 {
		opt.FaultPeriod = 40 * time.Second
	}
	if opt.Faults == nil {
		opt.Faults = Faults
	}
	s := &sim{options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0x7469646563726f73)), byAddr: map[string]*process{}, hash: xxhash.New(),
		report: Report{Seed: opt.Seed, Promise: map[string]uint64{}, Faults: map[string]uint64{}, Counts: map[string]uint64{}}}
	s.build()
	return s
}

// enabled puts an event d from now.
func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.seq, do})
}

// deliver writes a line of the trace.
func (s *sim) trace(format string, args ...any) {
	line := fmt.Sprintf("%12.6f ", s.now.Seconds()) + fmt.Sprintf(format, args...)
	_, _ = s.hash.WriteString(line) // never fails
	if s.options.Trace != nil {
		_, _ = io.WriteString(s.options.Trace, line+"\n") // a trace that nobody reads changes no run
	}
	if len(s.recent) < traceTail {
		s.recent = append(s.recent, line)
	} else {
		s.recent[s.recentNext] = line
	}
	s.recentNext = (s.recentNext + 1) % traceTail
}

// grantedEpoch counts a case of a promise.
func (s *sim) countCase(promise string) { s.report.Promise[promise]++ }

// reportBreach notes the first breach.
func (s *sim) reportBreach(promise, format string, args ...any) {
	if s.report.Breach != nil {
		return
	}
	what := fmt.Sprintf(format, args...)
	s.trace("BREACH %s: %s", promise, what)
	last := append([]string(nil), s.recent...)
	if len(last) == traceTail {
		last = append(last[s.recentNext:], last[:s.recentNext]...)
	}
	s.report.Breach = &Breach{Promise: promise, At: s.now, Detail: what, TraceTail: last}
}

// chance is true with probability p.
func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

// between draws a duration.
func (s *sim) between(a, b time.Duration) time.Duration {
	if b <= a {
		return a
	}
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

// must is for what cannot fail in the simulator; a panic names the seed in Run's caller.
func must(err error) {
	if err != nil {
		panic(errs.Of(err))
	}
}
