// Package jobssim is the deterministic simulator of the jobs deployment: it runs the scheduler against stand-ins of
// workers, clients and an operator, on one thread under a virtual clock, from one seed.
//
// What decides is the product's own code: scheduler.Core over jobs.Table. The loop around it (node.go, orders.go,
// heartbeats.go) mirrors controller.Leader: the same check of the lease before each order, the same inputs and table
// events. The replicated log (log.go), the links (network.go) and the workers (worker.go, run.go) are stand-ins that do
// whatever the platform allows. Disruptions come at random (disruptions.go); the invariant checker (invariants.go)
// judges only what workers and clients saw. The same seed makes the same run, event by event: TestHistories pins that.
//
// Run is one run. Begin with simulator.loop and node.pass.
package jobssim

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// Options of a run.
type Options struct {
	Seed             uint64
	DisruptionPeriod time.Duration // how long disruptions and new jobs come; default 32 s
	DrainTime        time.Duration // after that, until every job has ended, at most; default 45 s
	WithoutGuard     Guard         // a guard that is removed; empty: none
	Load             Load          // which jobs come; default Mixed
	Disruptions      []Disruption  // which disruptions come; nil: all
	DisruptionRate   float64       // how many times as many disruptions come as usual; default 1
	Trace            io.Writer     // gets a line for each event worth a line; nil: none
}

// Report is the result of a run.
type Report struct {
	Seed        uint64
	Breaches    []Breach
	Cases       map[Rule]int       // situations that were checked, by rule
	Disruptions map[Disruption]int // disruptions made, by kind
	Seen        map[string]int     // what else occurred, such as refusals of workers
	IdlePeriods int                // of over maxIdle, in which a job could run and did not, excused ones included
	LongestIdle time.Duration      // the longest of them
	Failovers   []time.Duration    // from the last start of a leader to the first of the next one
	Takeovers   []time.Duration    // from the election of a leader to its first start
	Starts      int                // starts on workers
	Jobs        int                // jobs accepted
	Events      int
	VirtualTime time.Duration
}

// Breach is a broken rule.
type Breach struct {
	Rule Rule
	At   time.Duration
	What string
}

// maxBreaches is the number of breaches after which a run ends.
const maxBreaches = 5

// event is a call that is due at a time.
type event struct {
	at     time.Duration
	number uint64 // in the order in which events were scheduled
	call   func()
}

// eventQueue is a heap of events by time, then by number.
type eventQueue []event

// Len is part of heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Swap is part of heap.Interface.
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Less orders events by time, then by number; part of heap.Interface.
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].number < q[k].number
}

// Push is for package heap.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop is for package heap.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// simulator is one run. Everything in it runs on the goroutine of Run.
type simulator struct {
	options Options
	rng     *rand.Rand // one for all draws: their order is part of the run
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
	quiet        quiet
	shortage     shortage
	incarnations int
}

// epoch is the time of day at which each run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run simulates one seed until all jobs have ended, time is up, or maxBreaches rules were broken.
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
	s.report = Report{Seed: opt.Seed, Cases: map[Rule]int{}, Disruptions: map[Disruption]int{}, Seen: map[string]int{}}
	s.checker = newInvariantChecker(s)
	s.buildCore()
	s.buildWorkers()
	s.buildOperator()
	s.buildClients()
	s.planDisruptions()
	s.checker.watchIdle()
	s.loop()
	s.report.VirtualTime = s.now
	return s.report
}

// loop runs the events in order until all jobs have ended or time is up.
func (s *simulator) loop() {
	end := s.options.DisruptionPeriod + s.options.DrainTime
	for len(s.queue) > 0 && len(s.report.Breaches) < maxBreaches {
		e := heap.Pop(&s.queue).(event)
		if e.at > end || s.now > s.options.DisruptionPeriod && s.clients.allEnded() {
			break
		}
		s.now = e.at
		s.report.Events++
		e.call()
	}
	if len(s.report.Breaches) < maxBreaches {
		s.checker.finish()
	}
}

// after schedules a call.
func (s *simulator) after(d time.Duration, call func()) {
	s.number++
	heap.Push(&s.queue, event{at: s.now + max(0, d), number: s.number, call: call})
}

// between draws a duration.
func (s *simulator) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)+1))
}

// chance draws true with a probability.
func (s *simulator) chance(p float64) bool { return s.rng.Float64() < p }

// wall returns the true time of day.
func (s *simulator) wall() time.Time { return epoch.Add(s.now) }

func (s *simulator) trace(format string, args ...any) {
	if s.options.Trace != nil {
		// A trace that nobody reads changes no run.
		_, _ = fmt.Fprintf(s.options.Trace, "%9.4f %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
	}
}
