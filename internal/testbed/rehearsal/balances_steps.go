package rehearsal

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/billingload"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/netproxy"
)

// readAccount reads the account, records the lowest balance and checks that no unit was created or lost.
func (b *balances) readAccount(ctx context.Context) (internalapi.AccountView, error) {
	account, err := b.operator.Account(ctx, b.party)
	if err == nil {
		b.report.Lowest = min(b.report.Lowest, account.Balance)
		if account.Balance+account.Reserved+account.Spent != account.ToppedUp {
			b.violatef("balance, reserved and spent do not sum to the top-ups: %+v", account)
		}
	}
	return account, errs.Pass(err, "show")
}

// awaitExhausted waits until the party's balance is below the price of one core for a billing window, which a start
// of its jobs reserves at least.
func (b *balances) awaitExhausted(ctx context.Context) error {
	need := int64(billingload.CorePrice * billingload.Window / time.Second)
	clk := clock.Real{}
	for end := clk.Now() + exhaustTimeout; clk.Now() < end; {
		account, err := b.readAccount(ctx)
		if err != nil {
			return errs.Pass(err, "dry")
		}
		if account.Balance < need {
			return nil
		}
		if !b.Sleep(ctx, balanceInterval) {
			return errs.New(errs.Stopped, "stopped before the balance of %s was exhausted", b.party)
		}
	}
	return errs.New(errs.Timeout, "balance not exhausted within %s", exhaustTimeout)
}

// checkStaysExhausted leaves the party without balance for exhaustedFor, in which its running jobs end. Then it checks
// for half that time that none of its jobs starts, and that jobs wait.
func (b *balances) checkStaysExhausted(ctx context.Context) error {
	b.Sleep(ctx, exhaustedFor)
	from := clock.Real{}.Wall()
	b.Sleep(ctx, exhaustedFor/2)
	started, err := b.starts(b.party+"-paid", from)
	if err != nil {
		return errs.Pass(err, "stay exhausted")
	}
	account, err := b.readAccount(ctx)
	if err != nil {
		return errs.Pass(err, "stay exhausted")
	}
	if len(started) > 0 {
		b.violatef("%d jobs started although the balance was exhausted, at %d", len(started), account.Balance)
	}
	b.notef("exhausted at a balance of %d, %d jobs waiting", account.Balance, account.Waiting)
	if account.Waiting == 0 {
		b.violatef("no job waiting although the balance is exhausted")
	}
	return nil
}

// starts returns the starts in the workers' journals, since a time, of jobs whose key has a prefix.
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

// topUp sends a top-up until it is acknowledged, and then once more: the answer must be the same. It returns the time
// of the first acknowledgement.
func (b *balances) topUp(ctx context.Context, amount int64) (time.Time, error) {
	order := b.operator.NewTopUp(b.party, amount)
	first, err := b.operator.SendTopUp(ctx, order)
	if err != nil {
		return time.Time{}, errs.Pass(err, "top-up")
	}
	acknowledgedAt := clock.Real{}.Wall()
	b.topUps[order.Call.Key] = amount
	again, err := b.operator.SendTopUp(ctx, order)
	b.report.Sent += 2
	if err != nil || again != first {
		b.violatef("repeated top-up answered with %+v (%v), first with %+v", again, err, first)
	}
	return acknowledgedAt, nil
}

// topUpAndMeasure tops the party up by amount, plus the deficit if its balance is negative. It measures the time until
// the party's jobs start again, and injects a fault concurrently unless inject is nil.
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
	_, err = b.Await(ctx, resumeTimeout, "work resumed after the top-up", func() bool {
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
		b.violatef("work resumed %s after the acknowledgement of a top-up", took)
	}
	return nil
}

func compareTimes(a, b audit.Event) int { return cmp.Compare(a.At, b.At) }

// storeLeader returns the name of the store's leader, once there is one.
func (b *balances) storeLeader(ctx context.Context) (string, error) {
	isKnown := func(l fleet.Leaders) bool { return l.Store != "" }
	leaders, err := b.AwaitLeaders(ctx, leaderTimeout, "leader", isKnown)
	return leaders.Store, errs.Pass(err, "leader")
}

// killAndRestart kills a process and restarts it after downtime.
func (b *balances) killAndRestart(ctx context.Context, downtime time.Duration, name string) error {
	killed, err := b.Kill("rehearse", []string{name})
	b.notef("%s killed", strings.Join(killed, " "))
	if err == nil && len(killed) == 0 {
		err = errs.New(errs.Unknown, "process %s was not running", name)
	}
	b.Sleep(ctx, downtime)
	return errors.Join(err, b.Restart(ctx, []string{name}))
}

// killLeader kills the store's leader and restarts it after leaderDowntime.
func (b *balances) killLeader(ctx context.Context) error {
	name, err := b.storeLeader(ctx)
	if err != nil {
		return errs.Pass(err, "kill")
	}
	return errs.Pass(b.killAndRestart(ctx, leaderDowntime, name), "kill")
}

// killLeaderAtLastDraw kills the leader when the balance is exhausted, and then the worker of a long-running task.
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
		return errs.Pass(err, "long-running task")
	}
	if len(started) == 0 {
		return errs.New(errs.Unknown, "no long-running task of %s has started", b.party)
	}
	last := slices.MaxFunc(started, compareTimes)
	before := clock.Real{}.Wall()
	if err := b.killAndRestart(ctx, workerDowntime, last.Worker); err != nil {
		return errs.Pass(err, "kill minion")
	}
	var again []audit.Event
	_, err = b.Await(ctx, restartTimeout, "long-running task restarted", func() bool {
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

// killLeaderAtTopUp kills the leader while the party is topped up.
func (b *balances) killLeaderAtTopUp(ctx context.Context) error {
	return errs.Pass(b.topUpAndMeasure(ctx, smallTopUp, b.killLeader), "top-up")
}

// isolateLeader cuts the leader off from the network once the balance is exhausted, and tops the party up while the
// leader is still cut off.
func (b *balances) isolateLeader(ctx context.Context) error {
	if b.Nodes.ProxyAddr == "" {
		b.notef("leader isolation not run: the fleet has no proxy")
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

// wipeMember removes a follower's data while the party has no balance, and checks that no job of the party starts.
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
