// Package policysim simulates the policy deployment: a whole fleet on one thread under a virtual clock, from one seed.
// There are control-plane nodes on disks that lose what is not synced, data-plane nodes, workers of both kinds, clients
// and an operator, with faults injected into all of them. A checker tests every start, write and answer against the
// invariants as it happens. The same seed has the same trace, byte for byte; several seeds may run concurrently.
//
// All decisions are made by the daemons' own code: raft.Core, store.Store (its steps taken by store.ManualDriver) on a
// storage.MemDisk, state and command, replica.Replica, scheduler.Core, policyworker.Core. The wiring of dataplane.Node
// and of the worker's host is reimplemented here, as events instead of goroutines: a step that a daemon takes must be
// taken here too. The package measures nothing but times to recover; for load and real processes see the other
// testbeds.
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
// Begin with simulation.go and invariants.go. The nodes are in controlplane*.go, dataplane*.go and worker.go, the
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
	Faults            []string      // names of the faults to inject; default: all of Faults
	WithoutGuard      string        // name of a guard to disable, of Guards; "": none
	MeanFaultInterval time.Duration // default: drawn, 200 ms to 2.5 s
	Trace             io.Writer     // gets every line of the trace; nil: none
	// Parties has two parties pay for some of the jobs. The account of one is exhausted repeatedly.
	Parties bool
}

// Report is the result of a run.
type Report struct {
	Seed        uint64
	Breach      *Breach           // nil: every invariant held
	Promise     map[string]uint64 // cases checked, by invariant
	Faults      map[string]uint64 // cases injected, by fault
	Counts      map[string]uint64 // of other events, by description
	Events      uint64            // 0: the seed was not run, see RunSeeds
	VirtualTime time.Duration
	TraceHash   uint64 // xxhash64 of all lines of the trace
	// With Parties: the times from the acknowledgement of a top-up to the next start, under faults and after them, and
	// from the loss of a long-running task's worker to its next start.
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
