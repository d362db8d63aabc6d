// Package policysim is a deterministic simulator of the policy deployment. It runs a whole fleet on one goroutine under
// a virtual clock: control-plane nodes with disks that lose unsynced data, data-plane nodes, workers of both kinds,
// clients and an operator. Faults are injected into all of them, and a checker verifies the invariants at every start,
// write and answer. The same seed produces the same trace, byte for byte; several seeds may run concurrently.
//
// All decisions are made by the daemons' own code: raft.Core, store.Store (its steps taken by store.ManualDriver) on a
// storage.MemDisk, state and command, replica.Replica, scheduler.Core, policyworker.Core. The wiring of dataplane.Node
// and of the worker's host is reimplemented here, with events instead of goroutines: a step that is added to a daemon
// must be added here too. The package measures only recovery times; the other testbeds cover load and real processes.
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
// Start with simulation.go and invariants.go. The nodes are in controlplane*.go, dataplane*.go and worker.go, the
// faults in faults.go, injections.go and directedfaults.go, and the checks in invariants.go and check*.go.
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
	FaultPeriod       time.Duration // for which faults are injected and jobs are submitted; default 40s
	Faults            []string      // names of the faults to inject; nil: all of Faults
	WithoutGuard      string        // name of a guard to disable, of Guards; "": none
	MeanFaultInterval time.Duration // 0: drawn from 200 ms to 2.5 s
	Trace             io.Writer     // receives every line of the trace; nil: no trace
	// Parties makes two parties pay for some of the jobs. The account of one of them is exhausted repeatedly.
	Parties bool
}

// Report is the result of a run.
type Report struct {
	Seed        uint64
	Violation   *Violation        // nil: every invariant held
	Cases       map[string]uint64 // cases checked, by invariant
	Faults      map[string]uint64 // cases injected, by fault
	Counts      map[string]uint64 // other events, by description
	Events      uint64            // 0: the seed was not run, see RunSeeds
	VirtualTime time.Duration
	TraceHash   uint64 // xxhash64 of all lines of the trace
	// With Parties: the times from the acknowledgement of a top-up to the next start, under faults and after them, and
	// the times from the loss of a long-running task's worker to the task's next start.
	ResumeDelays, ResumeDelaysAfterFaults, ReattachDelays []time.Duration
}

// Violation describes the first invariant that did not hold in a run.
type Violation struct {
	Invariant string // the invariant
	At        time.Duration
	Detail    string
	TraceTail []string // the newest lines of the trace
}

// Run runs one seed to its end or to the first violation. Example:
//
//	r := policysim.Run(policysim.Options{Seed: 7, FaultPeriod: 30 * time.Second})
//	if r.Violation != nil {
//		fmt.Println(r.Seed, r.Violation.Invariant, r.Violation.Detail)
//	}
func Run(options Options) Report {
	s := newSim(options)
	end := s.options.FaultPeriod + s.billing.lastTopUpDelay() + endTimeout
	for s.queue.Len() > 0 && s.report.Violation == nil {
		next := heap.Pop(&s.queue).(event)
		if s.now = next.at; s.now > end {
			break
		}
		s.report.Events++
		next.do()
		if s.faultsEnded && s.clients.allEnded() {
			break
		}
	}
	if s.report.Violation == nil {
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
		report: Report{Seed: options.Seed, Cases: map[string]uint64{}, Faults: map[string]uint64{},
			Counts: map[string]uint64{}}}
	s.build()
	return s
}
