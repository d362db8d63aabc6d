package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/billingload"
	"crosstide/internal/testbed/faults"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
	"crosstide/internal/testbed/netproxy"
)

// What is offered, and how long the steps last.
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

// BalancesOptions are what the rehearsal of balances is played with.
type BalancesOptions struct {
	Target *faults.Target
	Rate   float64 // jobs per second of the party, and as many of others
	Seed   uint64
}

// BalancesReport is what the rehearsal of balances came to; times are in seconds.
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

// balances is the rehearsal under way. Its steps run one after the other, the loads beside them.
type balances struct {
	*faults.Target
	findings
	operator *billingload.Operator
	party    string
	topUps   map[string]int64 // that were acknowledged: amounts by key
	report   BalancesReport
}

// RunBalances puts a paying party into the bundle and offers its jobs, long-running ones and jobs that nobody pays for.
// The party runs out of balance again and again while the leader, a worker or a member is lost. What is amiss stands in
// the report. Failures: those of opening the party's account.
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

// play offers the three loads, and plays the steps beside them.
func (b *balances) play(ctx context.Context, options BalancesOptions) {
	var loads [3]struct {
		options load.Options
		report  *load.Report
		err     error
	}
	loads[0].options = load.Options{Team: b.party, Rate: options.Rate, TaskDuration: billedTaskDuration,
		DuplicateProbability: 0.05, Prefix: b.party + "-paid"}
	loads[1].options = load.Options{Team: b.party, Count: longRunningJobs, LongRunning: true, Type: "feed",
		Prefix: b.party + "-lasting"}
	loads[2].options = load.Options{Team: "drill", Rate: options.Rate, TaskDuration: billedTaskDuration,
		Prefix: b.party + "-free"}
	loads[0].report, loads[1].report, loads[2].report = &b.report.Paid, &b.report.LongRunning, &b.report.Free
	group := routine.New(ctx)
	for i := range loads {
		l := &loads[i]
		l.options.Dir, l.options.Duration, l.options.Seed = b.Dir, billingLoadDuration, options.Seed
		l.options.Retries, l.options.EndTimeout = billedRetries, billingEndTimeout
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

// readAccount reads the account and keeps the lowest balance.
func (b *balances) readAccount(ctx context.Context) (internalapi.AccountView, error) {
	account, err := b.operator.Account(ctx, b.party)
	if err == nil {
		b.report.Lowest = min(b.report.Lowest, account.Balance)
		if account.Balance+account.Reserved+account.Spent != account.ToppedUp {
			b.violatef("not conserved: %+v", account)
		}
	}
	return account, errs.Pass(err, "show")
}

// awaitExhausted waits until the party's balance is less than a start needs.
func (b *balances) awaitExhausted(ctx context.Context) error {
	need := int64(billingload.CorePrice * billingload.Window / time.Second)
	clock := clock.Real{}
	for end := clock.Now() + exhaustTimeout; clock.Now() < end; {
		account, err := b.readAccount(ctx)
		if err != nil {
			return errs.Pass(err, "dry")
		}
		if account.Balance < need {
			return nil
		}
		if !b.Sleep(ctx, balanceInterval) {
			return errs.New(errs.Stopped, "stopped before %s was dry", b.party)
		}
	}
	return errs.New(errs.Timeout, "the party is not dry within %s", exhaustTimeout)
}

// checkStaysExhausted leaves the party without balance: once what ran has ended, nothing of it starts.
func (b *balances) checkStaysExhausted(ctx context.Context) error {
	b.Sleep(ctx, exhaustedFor)
	from := clock.Real{}.Wall()
	b.Sleep(ctx, exhaustedFor/2)
	started, err := b.starts(b.party+"-paid", from)
	if err != nil {
		return errs.Pass(err, "stay dry")
	}
	account, err := b.readAccount(ctx)
	if err != nil {
		return errs.Pass(err, "stay dry")
	}
	if len(started) > 0 {
		b.violatef("%d jobs started though the party is dry, at a balance of %d", len(started), account.Balance)
	}
	b.notef("dry at %d, %d jobs wait", account.Balance, account.Waiting)
	if account.Waiting == 0 {
		b.violatef("nothing waits while the party is dry")
	}
	return nil
}

// starts returns the starts of jobs with a prefix since a time, by the workers' journals.
func (b *balances) starts(prefix string, since time.Time) ([]audit.Event, error) {
	history, err := audit.Read(b.Dir)
	if err != nil {
		return nil, errs.Pass(err, "journals")
	}
	return slices.DeleteFunc(history.Events, func(e audit.Event) bool {
		isStart := e.Source == audit.Worker && e.Event == journal.Start
		return !isStart || !strings.HasPrefix(e.Job, prefix) || e.At < since.UnixNano()
	}), nil
}

// topUp sends a top-up until it is acknowledged, and then once more: the answer must be the same. It returns when it
// was acknowledged first.
func (b *balances) topUp(ctx context.Context, amount int64) (time.Time, error) {
	order := b.operator.NewTopUp(b.party, amount)
	first, err := b.operator.SendTopUp(ctx, order)
	if err != nil {
		return time.Time{}, errs.Pass(err, "top-up")
	}
	at := clock.Real{}.Wall()
	b.topUps[order.Call.Key] = amount
	again, err := b.operator.SendTopUp(ctx, order)
	b.report.Sent += 2
	if err != nil || again != first {
		b.violatef("a top-up sent again is answered %+v (%v), first %+v", again, err, first)
	}
	return at, nil
}

// topUpAndMeasure tops the party up, with a fault meanwhile unless inject is nil, and measures until its jobs start
// again.
func (b *balances) topUpAndMeasure(ctx context.Context, amount int64, inject func(context.Context) error) error {
	account, err := b.readAccount(ctx)
	if err != nil {
		return errs.Pass(err, "resume")
	}
	before := clock.Real{}.Wall()
	group := routine.New(ctx)
	var faultErr error
	if inject != nil {
		group.Go(func(ctx context.Context) { faultErr = inject(ctx) })
	}
	acknowledged, err := b.topUp(ctx, amount+max(0, -account.Balance))
	if err != nil {
		group.Wait()
		return errs.Pass(errors.Join(err, faultErr), "resume")
	}
	var started []audit.Event
	_, err = b.Await(ctx, resumeTimeout, "work after the top-up", func() bool {
		var err error
		started, err = b.starts(b.party+"-paid", before)
		return err == nil && len(started) > 0
	})
	group.Wait()
	if err != nil || faultErr != nil {
		return errs.Pass(errors.Join(err, faultErr), "resume")
	}
	first := slices.MinFunc(started, compareTimes)
	took := max(0, time.Unix(0, first.At).Sub(acknowledged))
	b.report.Resumed = append(b.report.Resumed, took.Seconds())
	if took > maxResume {
		b.violatef("work went on %s after the yes to a top-up", took)
	}
	return nil
}

func compareTimes(a, b audit.Event) int { return int(min(max(a.At-b.At, -1), 1)) }

// storeLeader names the store's leader.
func (b *balances) storeLeader(ctx context.Context) (string, error) {
	isKnown := func(l fleet.Leaders) bool { return l.Store != "" }
	leaders, err := b.AwaitLeaders(ctx, leaderTimeout, "leader", isKnown)
	return leaders.Store, errs.Pass(err, "leader")
}

// killAndRestart kills a process and starts it again a while later.
func (b *balances) killAndRestart(ctx context.Context, after time.Duration, name string) error {
	killed, err := b.Kill("rehearse", []string{name})
	b.notef("%s killed", strings.Join(killed, " "))
	if err == nil && len(killed) == 0 {
		err = errs.New(errs.Unknown, "%s was not there to be killed", name)
	}
	b.Sleep(ctx, after)
	return errors.Join(err, b.Restart(ctx, []string{name}))
}

// killLeader kills the store's leader and starts it again a while later.
func (b *balances) killLeader(ctx context.Context) error {
	name, err := b.storeLeader(ctx)
	if err != nil {
		return errs.Pass(err, "kill")
	}
	return errs.Pass(b.killAndRestart(ctx, leaderDowntime, name), "kill")
}

// killLeaderAtLastDraw kills the leader as the balance runs out, and then the worker of a long-running task.
func (b *balances) killLeaderAtLastDraw(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		b.awaitExhausted, b.killLeader, b.checkStaysExhausted, b.killLongRunningWorker,
	} {
		if err := step(ctx); err != nil {
			return errs.Pass(err, "draw")
		}
	}
	return nil
}

// killLongRunningWorker kills the worker of a long-running task while the party has no balance: the task must run
// again.
func (b *balances) killLongRunningWorker(ctx context.Context) error {
	started, err := b.starts(b.party+"-lasting", time.Time{})
	if err != nil {
		return errs.Pass(err, "lasting task")
	}
	if len(started) == 0 {
		return errs.New(errs.Unknown, "no lasting task of %s has started", b.party)
	}
	last := slices.MaxFunc(started, compareTimes)
	before := clock.Real{}.Wall()
	if err := b.killAndRestart(ctx, workerDowntime, last.Worker); err != nil {
		return errs.Pass(err, "kill minion")
	}
	var again []audit.Event
	_, err = b.Await(ctx, restartTimeout, "a lasting task runs again", func() bool {
		var err error
		again, err = b.starts(last.Job, before)
		return err == nil && len(again) > 0
	})
	if err != nil {
		return errs.Pass(err, "attach")
	}
	b.report.Attached = append(b.report.Attached, time.Unix(0, again[0].At).Sub(before).Seconds())
	return nil
}

func (b *balances) killLeaderAtTopUp(ctx context.Context) error {
	return errs.Pass(b.topUpAndMeasure(ctx, smallTopUp, b.killLeader), "top-up")
}

// isolateLeader cuts the leader off while the party runs out of balance and is topped up.
func (b *balances) isolateLeader(ctx context.Context) error {
	if b.Nodes.ProxyAddr == "" {
		b.notef("not run: the leader cut off; the fleet has no links")
		return nil
	}
	if err := b.awaitExhausted(ctx); err != nil {
		return errs.Pass(err, "cut")
	}
	name, err := b.storeLeader(ctx)
	if err != nil {
		return errs.Pass(err, "cut")
	}
	fault := netproxy.Fault{Node: name, Kind: netproxy.Blackhole, For: 2 * exhaustedFor}
	if _, err := b.InjectNetwork(ctx, fault); err != nil {
		return errs.Pass(err, "cut")
	}
	b.notef("%s cut off", name)
	if err := b.checkStaysExhausted(ctx); err != nil {
		return errs.Pass(err, "cut")
	}
	return errs.Pass(b.topUpAndMeasure(ctx, smallTopUp, nil), "cut")
}

// wipeMember removes a follower's data while the party has no balance.
func (b *balances) wipeMember(ctx context.Context) error {
	if err := b.awaitExhausted(ctx); err != nil {
		return errs.Pass(err, "wipe")
	}
	leader, err := b.storeLeader(ctx)
	if err != nil {
		return errs.Pass(err, "wipe")
	}
	i := slices.IndexFunc(b.Nodes.ControlPlanes, func(n fleet.Node) bool { return n.Name != leader })
	follower := b.Nodes.ControlPlanes[i].Name
	if err := b.Restart(ctx, []string{follower}, "--wipe"); err != nil {
		return errs.Pass(err, "wipe")
	}
	b.notef("%s wiped", follower)
	return errs.Pass(b.checkStaysExhausted(ctx), "wipe")
}
