// Package jobssim is a deterministic simulator of the jobs deployment. It runs the scheduler against simulated workers,
// clients and an operator, on one goroutine with a virtual clock and one seeded random number generator.
//
// The decisions are made by production code: scheduler.Core over jobs.Table. The loop around it (node.go, orders.go,
// heartbeats.go) mirrors controller.Leader: it checks the lease before each order and passes the same inputs and table
// events to the scheduler. The replicated log (log.go), the links (network.go) and the workers (worker.go, run.go) are
// simulated and may do anything that the platform permits. Disruptions are injected at random (disruptions.go). The
// invariant checker (invariants.go) judges only what workers and clients observed. A seed always produces the same
// sequence of events, which TestHistories verifies.
//
// Run simulates one seed. The main loops are simulator.loop and node.pass.
package jobssim

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// Options configures a run.
type Options struct {
	Seed             uint64
	DisruptionPeriod time.Duration // in which disruptions are injected and jobs submitted; default 32 s
	DrainTime        time.Duration // longest time after it until every job has ended; default 45 s
	WithoutGuard     Guard         // the guard to remove; empty: none
	Load             Load          // which jobs are submitted; default Mixed
	Disruptions      []Disruption  // which disruptions are injected; nil: all
	DisruptionRate   float64       // multiplies the frequency of disruptions; default 1
	Trace            io.Writer     // receives the trace of the run, one line per notable event; nil: none
}

// Report is the result of a run.
type Report struct {
	Seed        uint64
	Violations  []Violation
	Cases       map[Invariant]int  // checks made, by invariant
	Disruptions map[Disruption]int // disruptions injected, by kind
	Counts      map[string]int     // other occurrences, such as refused starts, by description
	IdlePeriods int                // periods over maxIdle in which a job could run and did not, with excused ones
	LongestIdle time.Duration      // the longest idle period of a job
	Failovers   []time.Duration    // from the last run started by a leader to the first started by its successor
	Takeovers   []time.Duration    // from the election of a leader to the first run that it starts
	Starts      int                // of runs on workers
	Jobs        int                // accepted jobs
	Events      int
	VirtualTime time.Duration
}

// Violation describes a violated invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// maxViolations is the number of violations after which a run ends.
const maxViolations = 5

// event is a function call scheduled for a virtual time.
type event struct {
	at     time.Duration
	number uint64 // increases with each scheduled event
	call   func()
}

// eventQueue is a heap of events by time, then by number.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Less orders events by time, then by number. It implements heap.Interface.
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].number < q[k].number
}

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// simulator is the state of one run. All its code runs on the goroutine that called Run.
type simulator struct {
	options Options
	rng     *rand.Rand // the only source of randomness: the order of draws determines the run
	now     time.Duration
	queue   eventQueue
	number  uint64 // of the newest event
	report  Report

	log          *replicatedLog
	nodes        []*node
	hosts        []*workerHost
	gangs        map[gangKey]*gang
	clients      *clients
	operator     *operator
	checker      *invariantChecker
	disrupted    disruptionEnds
	shortage     shortage
	incarnations int
}

// epoch is the wall-clock time at which each run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run simulates one seed until all jobs have ended, the time limit is reached or maxViolations were recorded.
func Run(opt Options) Report {
	if opt.DisruptionPeriod == 0 {
		opt.DisruptionPeriod = 32 * time.Second
	}
	if opt.DrainTime == 0 {
		opt.DrainTime = 45 * time.Second
	}
	if opt.DisruptionRate == 0 {
		opt.DisruptionRate = 1
	}
	s := &simulator{options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 7)), gangs: map[gangKey]*gang{}}
	s.report = Report{Seed: opt.Seed, Cases: map[Invariant]int{}, Disruptions: map[Disruption]int{},
		Counts: map[string]int{}}
	s.checker = newInvariantChecker(s)
	s.buildCore()
	s.buildWorkers()
	s.buildOperator()
	s.buildClients()
	s.planDisruptions()
	s.checker.scheduleIdleChecks()
	s.loop()
	s.report.VirtualTime = s.now
	return s.report
}

// loop executes the events in order until all jobs have ended or the time limit is reached.
func (s *simulator) loop() {
	end := s.options.DisruptionPeriod + s.options.DrainTime
	for len(s.queue) > 0 && len(s.report.Violations) < maxViolations {
		e := heap.Pop(&s.queue).(event)
		if e.at > end || s.now > s.options.DisruptionPeriod && s.clients.allEnded() {
			break
		}
		s.now = e.at
		s.report.Events++
		e.call()
	}
	if len(s.report.Violations) < maxViolations {
		s.checker.finish()
	}
}

// after schedules a call d from now.
func (s *simulator) after(d time.Duration, call func()) {
	s.number++
	heap.Push(&s.queue, event{at: s.now + max(0, d), number: s.number, call: call})
}

// between returns a random duration from least to most, both included.
func (s *simulator) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)+1))
}

// chance returns true with probability p.
func (s *simulator) chance(p float64) bool { return s.rng.Float64() < p }

// wall returns the true wall-clock time. The clock of each node is skewed against it.
func (s *simulator) wall() time.Time { return epoch.Add(s.now) }

// trace writes a line to Options.Trace. TestHistories hashes these lines.
func (s *simulator) trace(format string, args ...any) {
	if s.options.Trace != nil {
		// A failed write of the trace must not affect the run.
		_, _ = fmt.Fprintf(s.options.Trace, "%9.4f %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
	}
}
