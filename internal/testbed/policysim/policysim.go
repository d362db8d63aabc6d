// Package policysim simulates the policy deployment: a whole fleet on one thread under a virtual clock, from one seed.
// There are control-plane nodes on disks that lose what is not synced, data-plane nodes, workers of both kinds, clients
// and an operator, with faults on every side. After every event a checker compares with the invariants what was really
// started, written and answered. The same seed has the same trace, byte for byte; simulations of several seeds may run
// beside each other.
//
// All decisions are made by the daemons' own code: raft.Core, store.Store (its steps taken by store.ManualDriver) on a
// storage.MemDisk, state and command, replica.Replica, scheduler.Core, policyworker.Core. The glue of dataplane.Node
// and of the worker's host is written anew here, as events instead of goroutines: a step that a daemon takes must be
// taken here too. Nothing is measured here but time to recover; for load and real processes see the other testbeds.
//
// Run loops over the events in order of time:
//
//	s := newSim(options)                        // fleet.go: processes, checker, clients, fault injector
//	for {
//		e := heap.Pop(&s.queue).(event)     // simulation.go: events, random numbers, the trace
//		s.now = e.at
//		e.do()                              // a timer of a process (process.go), an arrival (network.go), a fault
//	}
//
// Begin with simulation.go and invariants.go. The nodes are controlplane*.go, dataplane*.go and worker.go, what goes
// wrong is faults.go, injections.go and directedfaults.go, what is checked is invariants.go and check*.go.
package policysim

import (
	"container/heap"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options of a run.
type Options struct {
	Seed              uint64
	FaultPeriod       time.Duration // for which faults are injected and new jobs come; default 40s
	Faults            []string      // default: all of Faults
	WithoutGuard      string        // a guard to be taken out, of Guards; "": none
	MeanFaultInterval time.Duration // default: drawn, 200 ms to 2.5 s
	Trace             io.Writer     // every line of the trace is written to it; nil: none
	// Parties lets two parties pay for some of the jobs. The account of one is exhausted again and again.
	Parties bool
}

// Report is what a run showed.
type Report struct {
	Seed        uint64
	Breach      *Breach           // nil: every invariant held
	Promise     map[string]uint64 // cases seen, by invariant
	Faults      map[string]uint64 // cases made, by fault
	Counts      map[string]uint64 // what is neither, by what it is
	Events      uint64            // 0: the seed was not run, see RunSeeds
	VirtualTime time.Duration
	TraceHash   uint64 // xxhash64 of all lines of the trace
	// With Parties: from the acknowledgement of a top-up until work went on, under faults and after them, and from the
	// loss of a long-running task's worker until it ran again.
	Resumes, CalmResumes, Attached []time.Duration
}

// Breach is the first invariant that did not hold in a run.
type Breach struct {
	Promise   string // the invariant
	At        time.Duration
	Detail    string
	TraceTail []string // the newest lines of the trace
}

// Run runs one seed to its end or to the first breach. Example:
//
//	r := policysim.Run(policysim.Options{Seed: 7, FaultPeriod: 30 * time.Second})
//	if r.Breach != nil {
//		fmt.Println(r.Seed, r.Breach.Promise, r.Breach.Detail)
//	}
func Run(options Options) Report {
	s := newSim(options)
	end := s.options.FaultPeriod + s.billing.paidUpDelay() + endTimeout
	for s.queue.Len() > 0 && s.report.Breach == nil {
		next := heap.Pop(&s.queue).(event)
		if s.now = next.at; s.now > end {
			break
		}
		s.report.Events++
		next.do()
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
func newSim(options Options) *sim {
	if options.FaultPeriod <= 0 {
		options.FaultPeriod = 40 * time.Second
	}
	if options.Faults == nil {
		options.Faults = Faults
	}
	s := &sim{options: options, rng: rand.New(rand.NewPCG(options.Seed, 0x7469646563726f73)),
		byAddr: map[string]*process{}, hash: xxhash.New(),
		report: Report{Seed: options.Seed, Promise: map[string]uint64{}, Faults: map[string]uint64{},
			Counts: map[string]uint64{}}}
	s.build()
	return s
}
