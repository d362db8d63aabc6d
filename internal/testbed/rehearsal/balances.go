package rehearsal

import (
	"context"
	"fmt"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/billingload"
	"crosstide/internal/testbed/faults"
	"crosstide/internal/testbed/load"
)

// Constants of the loads, the top-ups and the durations of the steps.
const (
	billedTaskDuration  = 400 * time.Millisecond
	billingLoadDuration = 75 * time.Second
	billingEndTimeout   = 90 * time.Second
	billedRetries       = 20 // of a task
	longRunningJobs     = 2
	smallTopUp          = 400
	lastTopUp           = 1_000_000

	exhaustTimeout  = 20 * time.Second // from a top-up until the balance of the party is exhausted again
	exhaustedFor    = 4 * time.Second  // how long the balance is left exhausted
	leaderDowntime  = 3 * time.Second
	workerDowntime  = time.Second
	restartTimeout  = 20 * time.Second // from the loss of a worker until its long-running task runs again
	resumeTimeout   = 10 * time.Second // from a top-up until work resumes; after that the step fails
	maxResume       = time.Second      // from the acknowledgement of a top-up until work resumes; more is a violation
	balanceInterval = 20 * time.Millisecond
	recoveryTimeout = 30 * time.Second
)

// BalancesOptions are the options of RunBalances.
type BalancesOptions struct {
	Target *faults.Target
	Rate   float64 // jobs per second of the paying party; as many unpaid jobs are offered in addition
	Seed   uint64
}

// BalancesReport is the result of RunBalances. Times are in seconds.
type BalancesReport struct {
	Notes       []string                `json:"notes"`
	Violations  []string                `json:"wrong,omitempty"`
	Resumed     []float64               `json:"resumed"`  // from the acknowledgement of each top-up until a job started
	Attached    []float64               `json:"attached"` // from the loss of each worker until its task ran again
	Lowest      int64                   `json:"lowest"`   // lowest balance that was read
	Account     internalapi.AccountView `json:"account"`  // at the end
	TopUps      int                     `json:"top_ups"`  // acknowledged top-ups, each counted once
	Sent        int                     `json:"sent"`     // top-ups sent, including repetitions
	Paid        load.Report             `json:"paid"`
	LongRunning load.Report             `json:"lasting"`
	Free        load.Report             `json:"free"`
	Audit       []audit.Finding         `json:"audit"`
}

// IsClean reports whether no violation was found.
func (r BalancesReport) IsClean() bool { return len(r.Violations) == 0 && audit.NoneViolated(r.Audit) }

// balances is a run of RunBalances in progress. Its steps run one after the other, concurrently with the loads.
type balances struct {
	*faults.Target
	findings
	operator *billingload.Operator
	party    string
	topUps   map[string]int64 // amounts of the acknowledged top-ups, by key
	report   BalancesReport
}

// RunBalances adds a paying party to the bundle and offers jobs of the party, some of them long-running, and unpaid
// jobs. The balance of the party is exhausted repeatedly while the leader, a worker or the data of a follower is lost.
// Violations are in the report. Failures: those of billingload.New, of adding the party and
// of its first top-up.
func RunBalances(ctx context.Context, options BalancesOptions) (BalancesReport, error) {
	party := fmt.Sprintf("payer-%x", clock.Real{}.Wall().UnixMilli())
	operator, err := billingload.New(options.Target.Dir, party)
	if err != nil {
		return BalancesReport{}, errs.Pass(err, "balances")
	}
	b := &balances{Target: options.Target, operator: operator, party: party, topUps: map[string]int64{}}
	if err := operator.CreateParty(ctx, party); err != nil {
		return BalancesReport{}, errs.Pass(err, "balances")
	}
	if _, err := b.topUp(ctx, smallTopUp); err != nil {
		return BalancesReport{}, errs.Pass(err, "balances")
	}
	b.runUnderLoad(ctx, options)
	b.check(ctx)
	b.report.Notes, b.report.Violations = b.notes, b.violations
	return b.report, nil
}

// billingLoad is one of the three loads.
type billingLoad struct {
	options load.Options
	report  *load.Report // receives the result
	err     error
}

// loads returns the three loads: the party's jobs, its long-running ones and unpaid jobs.
func (b *balances) loads(options BalancesOptions) []*billingLoad {
	loads := []*billingLoad{
		{report: &b.report.Paid, options: load.Options{Team: b.party, Rate: options.Rate,
			TaskDuration: billedTaskDuration, DuplicateProbability: 0.05, Prefix: b.party + "-paid"}},
		{report: &b.report.LongRunning, options: load.Options{Team: b.party, Count: longRunningJobs, LongRunning: true,
			Type: "feed", Prefix: b.party + "-lasting"}},
		{report: &b.report.Free, options: load.Options{Team: "drill", Rate: options.Rate,
			TaskDuration: billedTaskDuration, Prefix: b.party + "-free"}},
	}
	for _, l := range loads {
		l.options.Dir, l.options.Duration, l.options.Seed = b.Dir, billingLoadDuration, options.Seed
		l.options.Retries, l.options.EndTimeout = billedRetries, billingEndTimeout
	}
	return loads
}

// runUnderLoad runs the steps concurrently with the loads.
func (b *balances) runUnderLoad(ctx context.Context, options BalancesOptions) {
	loads := b.loads(options)
	group := routine.New(ctx)
	for _, l := range loads {
		group.Go(func(ctx context.Context) { *l.report, l.err = load.Run(ctx, l.options) })
	}
	b.runSteps(ctx)
	group.Wait()
	for _, l := range loads {
		if l.err != nil {
			b.violatef("load of team %s: %v", l.options.Team, l.err)
		}
	}
}

// runSteps runs the steps one after the other. A step that fails is reported as a violation, and the next one runs.
func (b *balances) runSteps(ctx context.Context) {
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"leader killed at the last draw", b.killLeaderAtLastDraw},
		{"leader killed at a top-up", b.killLeaderAtTopUp},
		{"leader cut off", b.isolateLeader},
		{"member wiped", b.wipeMember},
		{"last top-up", func(ctx context.Context) error {
			return errs.Pass(b.topUpAndMeasure(ctx, lastTopUp, nil), "top-up")
		}},
	} {
		if err := step.run(ctx); err != nil {
			b.violatef("%s: %v", step.name, err)
		}
	}
}
