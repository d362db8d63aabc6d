package jobssim

import (
	"fmt"
	"time"

	"crosstide/internal/jobs"
)

// Rule is an invariant: of the platform, or one of the simulator's own.
type Rule string

// The invariants. The platform names most of them.
const (
	LimitRule       Rule = "LIMIT"
	TwiceRule       Rule = "TWICE"
	OrderRule       Rule = "ORDER"
	RouteRule       Rule = "ROUTE"
	BudgetRule      Rule = "BUDGET"
	GangRule        Rule = "GANG"
	UnaskedRule     Rule = "UNASKED"
	RefusedRule     Rule = "REFUSED"
	DrainRule       Rule = "DRAIN"
	EvacRule        Rule = "EVAC"
	MixedRule       Rule = "MIXED"
	LostRule        Rule = "LOST"
	ConfigRule      Rule = "CONFIG"
	AckRule         Rule = "ACKS"
	RecoverRule     Rule = "RECOVER"
	LongRunningRule Rule = "LASTING" // LOST, of long-running tasks
	NotedRule       Rule = "NOTED"   // ACKS, of the ends that workers list
	ReplicaRule     Rule = "REPLICA" // all nodes have the same table
	EndRule         Rule = "END"     // every job ends within a bound once disruptions are over
)

// Rules returns all invariants.
func Rules() []Rule {
	return []Rule{LimitRule, TwiceRule, OrderRule, RouteRule, BudgetRule, GangRule, UnaskedRule, RefusedRule, DrainRule,
		EvacRule, MixedRule, LostRule, ConfigRule, AckRule, RecoverRule, LongRunningRule, NotedRule, ReplicaRule,
		EndRule}
}

// Bounds of the invariants.
const (
	configTime     = 2 * time.Second
	evacuationTime = 5 * time.Second
	cancelTime     = 3 * time.Second
	visibleTime    = 3 * time.Second
	ackTime        = 4 * time.Second
	recoveryTime   = 12 * time.Second
	earlyTime      = 250 * time.Millisecond
)

// invariantChecker judges what workers and clients saw. Until the end of a run it never reads the scheduler or the
// table: they may be what is wrong.
type invariantChecker struct {
	sim                 *simulator
	histories           map[string]*jobHistory
	gangCheckpoints     map[gangKey]string        // checkpoints by run of a gang
	gangHosts           map[gangKey][]*workerHost // where the members of a run of a gang were sent
	longRunning         map[jobs.TaskRef]*longRunningTask
	lastStartAt         time.Duration // of the last start on a worker
	lastStartBeforeLoss time.Duration // last start before the leader was lost; 0: none
	newestTerm          uint64        // term that was elected last
	electedAt           time.Duration // when newestTerm was elected
	awaitsFirstStart    bool          // the leader of newestTerm has started nothing yet
}

func newInvariantChecker(s *simulator) *invariantChecker {
	return &invariantChecker{sim: s, histories: map[string]*jobHistory{}, gangCheckpoints: map[gangKey]string{},
		gangHosts: map[gangKey][]*workerHost{}, longRunning: map[jobs.TaskRef]*longRunningTask{}}
}

func (ic *invariantChecker) count(rule Rule) { ic.sim.report.Cases[rule]++ }

func (ic *invariantChecker) breach(rule Rule, format string, args ...any) {
	b := Breach{Rule: rule, At: ic.sim.now, What: fmt.Sprintf(format, args...)}
	ic.sim.trace("BREACH %s: %s", rule, b.What)
	ic.sim.report.Breaches = append(ic.sim.report.Breaches, b)
}

// require counts a case of an invariant and records a breach if it does not hold.
func (ic *invariantChecker) require(rule Rule, isSatisfied bool, format string, args ...any) {
	ic.count(rule)
	if !isSatisfied {
		ic.breach(rule, format, args...)
	}
}

func (ic *invariantChecker) job(id string) *jobHistory {
	j := ic.histories[id]
	if j == nil {
		j = &jobHistory{job: ic.sim.clients.byID[id], tasks: map[jobs.TaskRef]*taskHistory{}}
		ic.histories[id] = j
	}
	return j
}

// String names the run and its worker.
func (r *liveRun) String() string {
	k := r.key
	return fmt.Sprintf("%s.%d.%d.%d run %d on %s", k.Task.Job, k.Task.Round, k.Task.Step, k.Task.Index, k.Number,
		r.worker.id)
}
