package jobssim

import (
	"fmt"
	"time"

	"crosstide/internal/jobs"
)

// Invariant is the name of an invariant, either of the platform or of the simulator.
type Invariant string

// The invariants. Most names are those of the platform.
const (
	LimitInvariant       Invariant = "LIMIT"   // the runs on a worker fit its capacity
	TwiceInvariant       Invariant = "TWICE"   // a task has one run at a time and none after it is done
	OrderInvariant       Invariant = "ORDER"   // no run begins before the steps that it depends on, or early in a round
	RouteInvariant       Invariant = "ROUTE"   // runs are on workers that match their queue, label and MaxPerWorker
	BudgetInvariant      Invariant = "BUDGET"  // a task has no run after maxAttempts failures
	GangInvariant        Invariant = "GANG"    // the members of a gang start together
	UnaskedInvariant     Invariant = "UNASKED" // only submitted jobs run, with their data, and not after a cancel
	RefusedInvariant     Invariant = "REFUSED" // a rejected job does not run
	DrainInvariant       Invariant = "DRAIN"   // no run begins on a worker that drains or has left
	EvacInvariant        Invariant = "EVAC"    // no run begins in an evacuated zone
	MixedInvariant       Invariant = "MIXED"   // a job succeeds only if all of its tasks are done
	LostInvariant        Invariant = "LOST"    // no accepted job is lost, or idle although it could run
	ConfigInvariant      Invariant = "CONFIG"  // acknowledged configurations are in force, invalid ones are refused
	AckInvariant         Invariant = "ACKS"    // requests are acknowledged in time while the core is stable
	RecoverInvariant     Invariant = "RECOVER" // jobs are accepted after the final fault
	LongRunningInvariant Invariant = "LASTING" // LOST, of long-running tasks
	NotedInvariant       Invariant = "NOTED"   // ACKS, of the ends that workers list
	ReplicaInvariant     Invariant = "REPLICA" // all nodes have the same table
	EndInvariant         Invariant = "END"     // every job ends within a bound after the last disruption
)

// Invariants returns all invariants.
func Invariants() []Invariant {
	return []Invariant{LimitInvariant, TwiceInvariant, OrderInvariant, RouteInvariant, BudgetInvariant, GangInvariant,
		UnaskedInvariant, RefusedInvariant, DrainInvariant, EvacInvariant, MixedInvariant, LostInvariant,
		ConfigInvariant, AckInvariant, RecoverInvariant, LongRunningInvariant, NotedInvariant, ReplicaInvariant,
		EndInvariant}
}

// Bounds of the invariants.
const (
	configTime     = 2 * time.Second        // from the acknowledgement of a configuration until it is in force
	evacuationTime = 5 * time.Second        // from the acknowledgement of an evacuation to the last start in the zone
	cancelTime     = 3 * time.Second        // from the acknowledgement of a cancel to the last start
	visibleTime    = 3 * time.Second        // from the acknowledgement of a job until polls find it
	ackTime        = 4 * time.Second        // from a request to its acknowledgement
	recoveryTime   = 12 * time.Second       // from the end of the final fault to the jobs that must be accepted
	maxEarlyStart  = 250 * time.Millisecond // before the round of a task is due
)

// invariantChecker verifies the invariants against the observations of workers and clients. Until the end of a run it
// never reads the scheduler or the table, because these may be at fault.
type invariantChecker struct {
	sim                 *simulator
	histories           map[string]*jobHistory
	gangCheckpoints     map[gangKey]string        // the first checkpoint sent for each run of a gang
	gangHosts           map[gangKey][]*workerHost // the hosts to which the members of a run of a gang were sent
	longRunning         map[jobs.TaskRef]*longRunningTask
	lastStartAt         time.Duration // of the last start on a worker
	lastStartBeforeLoss time.Duration // lastStartAt when newestTerm was elected; 0: none
	newestTerm          uint64        // the term of the newest election
	electedAt           time.Duration // when newestTerm was elected
	awaitsFirstStart    bool          // the leader of newestTerm has not started a run yet
}

func newInvariantChecker(s *simulator) *invariantChecker {
	return &invariantChecker{sim: s, histories: map[string]*jobHistory{}, gangCheckpoints: map[gangKey]string{},
		gangHosts: map[gangKey][]*workerHost{}, longRunning: map[jobs.TaskRef]*longRunningTask{}}
}

// countCase counts a check of an invariant.
func (ic *invariantChecker) countCase(invariant Invariant) { ic.sim.report.Cases[invariant]++ }

// violate records a violation.
func (ic *invariantChecker) violate(invariant Invariant, format string, args ...any) {
	v := Violation{Invariant: invariant, At: ic.sim.now, Detail: fmt.Sprintf(format, args...)}
	ic.sim.trace("BREACH %s: %s", invariant, v.Detail)
	ic.sim.report.Violations = append(ic.sim.report.Violations, v)
}

// require counts a check of an invariant and records a violation unless it holds.
func (ic *invariantChecker) require(invariant Invariant, holds bool, format string, args ...any) {
	ic.countCase(invariant)
	if !holds {
		ic.violate(invariant, format, args...)
	}
}

// history returns the history of a job, which it creates if necessary.
func (ic *invariantChecker) history(id string) *jobHistory {
	j := ic.histories[id]
	if j == nil {
		j = &jobHistory{job: ic.sim.clients.byID[id], tasks: map[jobs.TaskRef]*taskHistory{}}
		ic.histories[id] = j
	}
	return j
}

// String returns the task, the number and the worker of the run.
func (r *liveRun) String() string {
	k := r.key
	return fmt.Sprintf("%s.%d.%d.%d run %d on %s", k.Task.Job, k.Task.Round, k.Task.Step, k.Task.Index, k.Number,
		r.worker.id)
}
