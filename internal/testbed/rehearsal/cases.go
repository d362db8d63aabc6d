// Package rehearsal injects faults into a running fleet of the policy deployment under load, and audits the result.
//
// It has four entry points: RunCases runs the named cases one after the other (cases.go, scenarios.go, requests.go),
// RunChurn injects random faults while operators make changes (churn.go), RunZoneOutage takes a zone out (zone.go), and
// RunBalances exhausts the balance of a paying party while leaders fail (balances.go). Package faults injects the
// faults, package load offers jobs and package audit checks the invariants; this package sequences them.
package rehearsal

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/faults"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/load"
)

const (
	faultDelay    = 4 * time.Second // how long the load runs before the fault
	readyTimeout  = 30 * time.Second
	leaderTimeout = 15 * time.Second
)

// CaseOptions are the options of RunCases.
type CaseOptions struct {
	Target       *faults.Target
	BinDir       string // directory of the programs
	Rate         float64
	TaskDuration time.Duration
	Seed         uint64 // of the load of the first case; each further case adds 1
}

// CaseResult is the result of a case.
type CaseResult struct {
	Key, Name  string
	Outage     audit.Outage
	ReadyAfter float64 // seconds from the load's end until every node was ready
	Load       load.Report
	Notes      []string
	Violations []string // empty if no invariant was violated
	hasRun     bool
}

// Measures returns the measurements of the case as one line, or "" if the case could not be run.
func (r CaseResult) Measures() string {
	if !r.hasRun {
		return ""
	}
	outage, jobs := r.Outage, r.Load
	return fmt.Sprintf("accept %.2f/%.2f start %.2f/%.2f ready %.1f  ", outage.FirstAccept, outage.AcceptGap,
		outage.FirstStart, outage.StartGap, r.ReadyAfter) +
		fmt.Sprintf("offered %d accepted %d done %d cancelled %d fault %d refused %d", jobs.Offered, jobs.Accepted,
			jobs.Done, jobs.Cancelled, jobs.Failed, jobs.Offered-jobs.Accepted)
}

// DescribeCases returns a line for each case: its key and its name.
func DescribeCases() string {
	var lines strings.Builder
	for _, s := range scenarios {
		fmt.Fprintf(&lines, "  %s  %s\n", s.key, s.name)
	}
	return lines.String()
}

// CheckCases checks that every key names a case. Failure: Settings.
func CheckCases(keys []string) error {
	_, err := selectScenarios(keys)
	return errs.Pass(err, "cases")
}

// selectScenarios returns the scenarios of keys, in that order, or all scenarios if keys is empty. Failure: Settings.
func selectScenarios(keys []string) ([]scenario, error) {
	if len(keys) == 0 {
		return scenarios, nil
	}
	var selected []scenario
	for _, key := range keys {
		i := slices.IndexFunc(scenarios, func(s scenario) bool { return s.key == strings.TrimSpace(key) })
		if i < 0 {
			return nil, errs.Field(errs.Settings, "only", "unknown case %q", key)
		}
		selected = append(selected, scenarios[i])
	}
	return selected, nil
}

// RunCases runs the cases of keys, or all if keys is empty, one after the other, and passes each result to report. A
// violation is reported only by the first case after which it is found. Failures: Settings, Stopped, those of report.
func RunCases(ctx context.Context, options CaseOptions, keys []string, report func(CaseResult) error) error {
	selected, err := selectScenarios(keys)
	if err != nil {
		return errs.Pass(err, "cases")
	}
	seen := map[string]bool{}
	for i, s := range selected {
		if ctx.Err() != nil {
			return errs.Wrap(ctx.Err(), errs.Stopped, "rehearse")
		}
		run := &caseRun{Target: options.Target, binDir: options.BinDir}
		result := run.execute(ctx, s, load.Options{Dir: options.Target.Dir, Rate: options.Rate, Duration: s.offer,
			Seed: options.Seed + uint64(i), TaskDuration: options.TaskDuration, Retries: 5,
			CancelProbability: 0.05, DuplicateProbability: 0.05}, seen)
		if err := report(result); err != nil {
			return errs.Pass(err, "report")
		}
	}
	return nil
}

// caseRun is a case in progress.
type caseRun struct {
	*faults.Target
	findings
	binDir  string
	leaders fleet.Leaders // before the fault
	faultAt time.Time     // when the fault was injected
}

// execute runs a scenario under load, waits until the fleet is ready again, and audits. seen holds the violations that
// earlier cases have reported.
func (r *caseRun) execute(ctx context.Context, s scenario, options load.Options, seen map[string]bool) CaseResult {
	result := CaseResult{Key: s.key, Name: s.name}
	if err := r.prepare(ctx); err != nil {
		r.violatef("not run: %v", err)
	} else {
		result.hasRun = true
		var offersEnd time.Time
		result.Load, offersEnd = r.injectUnderLoad(ctx, s, options)
		result.ReadyAfter = r.awaitRecovery(ctx)
		if n := result.Load.Unknown; n > 0 {
			r.violatef("%d accepted jobs are unknown", n)
		}
		if n := result.Load.Unfinished; n > 0 {
			r.violatef("%d accepted jobs did not end", n)
		}
		r.addNewViolations(ctx, r.Dir, seen)
		if result.Outage, err = r.measureOutage(offersEnd); err != nil {
			r.violatef("read journals: %v", err)
		}
	}
	result.Notes, result.Violations = r.notes, r.violations
	return result
}

// prepare waits until the fleet is ready and both leaders are known.
func (r *caseRun) prepare(ctx context.Context) error {
	if _, err := r.AwaitReady(ctx, readyTimeout, "ready before the case"); err != nil {
		return errs.Pass(err, "prepare")
	}
	isKnown := func(l fleet.Leaders) bool { return l.Store != "" && l.Scheduler != "" }
	leaders, err := r.AwaitLeaders(ctx, leaderTimeout, "holders", isKnown)
	r.leaders = leaders
	return errs.Pass(err, "prepare")
}

// injectUnderLoad starts the load, injects the fault faultDelay later and waits until the load ends. offersEnd is when
// the last job was due.
func (r *caseRun) injectUnderLoad(ctx context.Context, s scenario, options load.Options) (jobs load.Report,
	offersEnd time.Time) {
	var loadErr error
	group := routine.New(ctx)
	group.Go(func(ctx context.Context) { jobs, loadErr = load.Run(ctx, options) })
	offersEnd = clock.Real{}.Wall().Add(options.Duration)
	var faultErr error
	if r.Sleep(ctx, faultDelay) {
		r.markFault()
		faultErr = s.inject(ctx, r)
	}
	group.Wait()
	if faultErr != nil {
		r.violatef("inject fault: %v", faultErr)
	}
	if loadErr != nil {
		r.violatef("load: %v", loadErr)
	}
	return jobs, offersEnd
}

// awaitRecovery waits until every node is ready, and returns how many seconds that took.
func (r *caseRun) awaitRecovery(ctx context.Context) float64 {
	seconds, err := r.AwaitReady(ctx, readyTimeout, "ready after the case")
	if err != nil {
		r.violatef("%v; nodes not ready: %s", err, strings.Join(r.NotReady(ctx), " "))
	}
	return seconds
}

// measureOutage measures the outage from the fault to the end of the offers.
func (r *caseRun) measureOutage(offersEnd time.Time) (audit.Outage, error) {
	history, err := audit.Read(r.Dir)
	if err != nil {
		return audit.Outage{}, errs.Pass(err, "away")
	}
	history.Events = slices.DeleteFunc(history.Events, func(e audit.Event) bool { return e.At > offersEnd.UnixNano() })
	return audit.MeasureOutage(history, r.faultAt), nil
}

// markFault sets the time of the fault to now. A scenario whose fault comes after preparations calls it
// again: the last call counts.
func (r *caseRun) markFault() { r.faultAt = clock.Real{}.Wall() }

// kill kills processes, all at once, and notes their names. It fails if one of them was not running.
func (r *caseRun) kill(names ...string) error {
	r.markFault()
	killed, err := r.Kill("rehearse", names)
	r.notef("%s killed", strings.Join(killed, " "))
	if err == nil && len(killed) < len(names) {
		err = errs.New(errs.Unknown, "only %d of %d processes were running", len(killed), len(names))
	}
	return errs.Pass(err, "kill")
}
