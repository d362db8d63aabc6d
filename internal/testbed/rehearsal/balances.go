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

// The loads, the top-ups, and the time that the steps take.
const (
	billedTaskDuration  = 400 * time.Millisecond
	billingLoadDuration = 75 * time.Second
	billingEndTimeout   = 90 * time.Second
	billedRetries       = 20 // of a task
	longRunningJobs     = 2
	smallTopUp          = 400
	lastTopUp           = 1_000_000

	exhaustTimeout  = 20 * time.Second // from a top-up until the party has run out of balance again
	exhaustedFor    = 4 * time.Second  // how long it is left without
	leaderDowntime  = 3 * time.Second
	workerDowntime  = time.Second
	restartTimeout  = 20 * time.Second // from the loss of a worker until its long-running task runs again
	resumeTimeout   = 10 * time.Second // from a top-up until work resumes, to be measured at all
	maxResume       = time.Second      // from the acknowledgement of a top-up until work resumes
	balanceInterval = 20 * time.Millisecond
	recoveryTimeout = 30 * time.Second
)

// BalancesOptions are the options of RunBalances.
type BalancesOptions struct {
	Target *faults.Target
	Rate   float64 // jobs per second of the party, and as many of others
	Seed   uint64
}

// BalancesReport is the result of RunBalances. Times are in seconds.
type BalancesReport struct {
	Notes       []string                `json:"notes"`
	Violations  []string                `json:"wrong,omitempty"`
	Resumed     []float64               `json:"resumed"`  // from a top-up's acknowledgement until a job started
	Attached    []float64               `json:"attached"` // from the loss of a worker until its task ran again
	Lowest      int64                   `json:"lowest"`   // balance that was read
	Account     internalapi.AccountView `json:"account"`  // at the end
	TopUps      int                     `json:"top_ups"`  // acknowledged, each once
	Sent        int                     `json:"sent"`     // top-ups sent, with those sent again
	Paid        load.Report             `json:"paid"`
	LongRunning load.Report             `json:"lasting"`
	Free        load.Report             `json:"free"`
	Audit       []audit.Finding         `json:"audit"`
}

// IsClean reports whether nothing was violated.
func (r BalancesReport) IsClean() bool { return len(r.Violations) == 0 && audit.NoneViolated(r.Audit) }

// balances is a rehearsal in progress. Its steps run one after the other, concurrently with the loads.
type balances struct {
	*faults.Target
	findings
	operator *billingload.Operator
	party    string
	topUps   map[string]int64 // that were acknowledged: amounts by key
	report   BalancesReport
}

// RunBalances adds a paying party to the bundle and offers jobs of the party, long-running ones among them, and jobs
// that nobody pays for. The party runs out of balance again and again while the leader, a worker or a member is lost.
// Violations are in the report. Failures: those of opening the party's account.
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
	b.play(ctx, options)
	b.check(ctx)
	b.report.Notes, b.report.Violations = b.notes, b.violations
	return b.report, nil
}

// billingLoad is one of the three loads that are offered.
type billingLoad struct {
	options load.Options
	report  *load.Report // where its result goes
	err     error
}

// loads returns the three loads: the party's jobs, its long-running ones and jobs that nobody pays for.
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

// play runs the loads and, concurrently, the steps.
func (b *balances) play(ctx context.Context, options BalancesOptions) {
	loads := b.loads(options)
	group := routine.New(ctx)
	for _, l := range loads {
		group.Go(func(ctx context.Context) { *l.report, l.err = load.Run(ctx, l.options) })
	}
	b.playSteps(ctx)
	group.Wait()
	for _, l := range loads {
		if l.err != nil {
			b.violatef("load of %s: %v", l.options.Team, l.err)
		}
	}
}

// playSteps plays the steps one after the other. A step that fails is a violation and does not keep the next one from
// being played.
func (b *balances) playSteps(ctx context.Context) {
	for _, step := range []struct {
		name string
		play func(context.Context) error
	}{
		{"leader killed at the last draw", b.killLeaderAtLastDraw},
		{"leader killed at a top-up", b.killLeaderAtTopUp},
		{"leader cut off", b.isolateLeader},
		{"member wiped", b.wipeMember},
		{"last top-up", func(ctx context.Context) error {
			return errs.Pass(b.topUpAndMeasure(ctx, lastTopUp, nil), "top-up")
		}},
	} {
		if err := step.play(ctx); err != nil {
			b.violatef("%s: %v", step.name, err)
		}
	}
}
