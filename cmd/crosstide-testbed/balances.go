package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/billingload"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
	"crosstide/internal/testbed/netproxy"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:  "balances",
		Usage: "run a paying party dry under load, with the leader killed at its draws and top-ups, then audit",
		Description: "crosstide-testbed balances --fleet DIR [--rate 8]\n\n" +
			"Puts a paying party into the bundle and offers its jobs, two lasting ones and jobs that nobody pays for. The\n" +
			"party runs dry three times: the leader is killed at the last draw and while a top-up is sent, a top-up is sent\n" +
			"again, a lasting task's minion is killed, the leader is cut off (if the fleet has links) and a member loses its\n" +
			"data. Prints one JSON object, the audit's lines to the standard error. Exit 1 if something was amiss.",
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.FloatFlag{Name: "rate", Value: 8, Usage: "jobs per second of the party, and as many of others"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "script", Usage: "scripts/`fleet`, which starts processes again (default: beside this program's folder)"},
		},
		Action: runBalances,
	})
}

// What is offered, and how long the steps last.
const (
	taskDuration    = 400 * time.Millisecond
	loadDuration    = 75 * time.Second
	longRunningJobs = 2
	exhaustTimeout  = 20 * time.Second // from a top-up until the party is dry again
	exhaustedFor    = 4 * time.Second  // how long it is left dry
	resumeBound     = time.Second      // from the yes to a top-up until work goes on
	attachBound     = 20 * time.Second // from the loss of a minion until its lasting task runs again
	smallTopUp      = 400
	lastTopUp       = 1_000_000
	pollInterval    = 20 * time.Millisecond
)

// balancesReport is what the drill came to; times in seconds.
type balancesReport struct {
	Notes       []string                `json:"notes"`
	Wrong       []string                `json:"wrong,omitempty"`
	Resumed     []float64               `json:"resumed"`  // from the yes to a top-up until a job of the party started
	Attached    []float64               `json:"attached"` // from the loss of a minion until its lasting task ran again
	Lowest      int64                   `json:"lowest"`   // balance that was read
	Account     internalapi.AccountView `json:"account"`  // at the end
	TopUps      int                     `json:"top_ups"`  // acknowledged, each once
	Sent        int                     `json:"sent"`     // top-ups sent, again and again
	Paid        load.Report             `json:"paid"`
	LongRunning load.Report             `json:"lasting"`
	Free        load.Report             `json:"free"`
	Audit       []audit.Finding         `json:"audit"`
}

// billingRun is the drill at work.
type billingRun struct {
	faultRun
	operator *billingload.Operator
	party    string
	keys     map[string]int64 // acknowledged top-ups: amounts
	out      balancesReport
}

func runBalances(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	set, err := newFaultRun(cmd)
	if err != nil {
		return errs.Pass(err, "balances")
	}
	party := fmt.Sprintf("payer-%x", clock.Real{}.Wall().UnixMilli())
	operator, err := billingload.New(set.dir, party)
	if err != nil {
		return errs.Pass(err, "balances")
	}
	p := &billingRun{faultRun: set, operator: operator, party: party, keys: map[string]int64{}}
	if err := p.operator.CreateParty(ctx, party); err != nil {
		return errs.Pass(err, "balances")
	}
	if _, err := p.topUp(ctx, smallTopUp); err != nil {
		return errs.Pass(err, "balances")
	}
	p.run(ctx, cmd.Float("rate"), cmd.Uint64("seed"))
	p.check(ctx)
	if err := audit.WriteReport(os.Stderr, p.out.Audit, 10); err != nil {
		return errs.Pass(err, "balances")
	}
	p.out.Notes, p.out.Wrong = p.notes, p.violations
	if err := printJSON(cmd.Root().Writer, p.out); err != nil {
		return errs.Pass(err, "balances")
	}
	if len(p.violations) > 0 || !audit.NoneViolated(p.out.Audit) {
		return exitCode{errs.New(errs.Internal, "something was amiss"), 1}
	}
	return nil
}

// run offers the three loads, and lets the party run dry again and again beside them.
func (p *billingRun) run(ctx context.Context, rate float64, seed uint64) {
	offer := func(o load.Options, into *load.Report) func(context.Context) {
		o.Dir, o.Duration, o.Seed, o.Retries, o.EndTimeout = p.dir, loadDuration, seed, 20, 90*time.Second
		return func(ctx context.Context) {
			report, err := load.Run(ctx, o)
			if *into = report; err != nil {
				p.failf("load of %s: %v", o.Team, err)
			}
		}
	}
	group := routine.New(ctx)
	group.Go(offer(load.Options{Team: p.party, Rate: rate, TaskDuration: taskDuration, DuplicateProbability: 0.05, Prefix: p.party + "-paid"}, &p.out.Paid))
	group.Go(offer(load.Options{Team: p.party, Count: longRunningJobs, LongRunning: true, Type: "feed", Prefix: p.party + "-lasting"}, &p.out.LongRunning))
	group.Go(offer(load.Options{Team: "drill", Rate: rate, TaskDuration: taskDuration, Prefix: p.party + "-free"}, &p.out.Free))
	for _, step := range []struct {
		name string
		do   func(context.Context) error
	}{
		{"leader killed at the last draw", p.killAtDraw},
		{"leader killed at a top-up", p.killAtTopUp},
		{"leader cut off", p.cutCore},
		{"member wiped", p.wipeMember},
	} {
		if err := step.do(ctx); err != nil {
			p.failf("%s: %v", step.name, err)
		}
	}
	if err := p.topUpAndMeasure(ctx, lastTopUp, nil); err != nil {
		p.failf("last top-up: %v", err)
	}
	group.Wait()
}

// readAccount reads the account and keeps the lowest balance.
func (p *billingRun) readAccount(ctx context.Context) (internalapi.AccountView, error) {
	v, err := p.operator.Account(ctx, p.party)
	if err == nil {
		p.out.Lowest = min(p.out.Lowest, v.Balance)
		if v.Balance+v.Reserved+v.Spent != v.ToppedUp {
			p.failf("not conserved: %+v", v)
		}
	}
	return v, errs.Pass(err, "show")
}

// awaitExhausted waits until the party has less than a start needs.
func (p *billingRun) awaitExhausted(ctx context.Context) error {
	need := int64(billingload.CorePrice * billingload.Window / time.Second)
	for end := (clock.Real{}).Now() + exhaustTimeout; (clock.Real{}).Now() < end; {
		v, err := p.readAccount(ctx)
		if err != nil {
			return errs.Pass(err, "dry")
		}
		if v.Balance < need {
			return nil
		}
		if !pause(ctx, pollInterval) {
			return errs.New(errs.Stopped, "stopped before %s was dry", p.party)
		}
	}
	return errs.New(errs.Timeout, "the party is not dry within %s", exhaustTimeout)
}

// checkStaysExhausted leaves the party dry: once what ran is over, nothing of it starts.
func (p *billingRun) checkStaysExhausted(ctx context.Context) error {
	pause(ctx, exhaustedFor)
	from := clock.Real{}.Wall()
	pause(ctx, exhaustedFor/2)
	started, err := p.starts(p.party+"-paid", from)
	if err != nil {
		return errs.Pass(err, "stay dry")
	}
	v, err := p.readAccount(ctx)
	if err != nil {
		return errs.Pass(err, "stay dry")
	}
	if len(started) > 0 {
		p.failf("%d jobs started though the party is dry, at a balance of %d", len(started), v.Balance)
	}
	p.notef("dry at %d, %d jobs wait", v.Balance, v.Waiting)
	if v.Waiting == 0 {
		p.failf("nothing waits while the party is dry")
	}
	return nil
}

// starts gives the starts of jobs with a prefix since a time, by the minions' journals.
func (p *billingRun) starts(prefix string, since time.Time) ([]audit.Event, error) {
	h, err := audit.Read(p.dir)
	if err != nil {
		return nil, errs.Pass(err, "journals")
	}
	return slices.DeleteFunc(h.Events, func(e audit.Event) bool {
		return e.Source != audit.Worker || e.Event != journal.Start || !strings.HasPrefix(e.Job, prefix) || e.At < since.UnixNano()
	}), nil
}

// topUp sends a top-up until it is acknowledged, and then once more: the answer must be the same.
func (p *billingRun) topUp(ctx context.Context, amount int64) (time.Time, error) {
	order := p.operator.NewTopUp(p.party, amount)
	first, err := p.operator.Send(ctx, order)
	if err != nil {
		return time.Time{}, errs.Pass(err, "top-up")
	}
	at := clock.Real{}.Wall()
	p.keys[order.Call.Key] = amount
	again, err := p.operator.Send(ctx, order)
	p.out.Sent += 2
	if err != nil || again != first {
		p.failf("a top-up sent again is answered %+v (%v), first %+v", again, err, first)
	}
	return at, nil
}

// topUpAndMeasure tops the party up, with a blow meanwhile, and measures until its jobs start again.
func (p *billingRun) topUpAndMeasure(ctx context.Context, amount int64, inject func(context.Context) error) error {
	v, err := p.readAccount(ctx)
	if err != nil {
		return errs.Pass(err, "resume")
	}
	before := clock.Real{}.Wall()
	group := routine.New(ctx)
	var faultErr error
	if inject != nil {
		group.Go(func(ctx context.Context) { faultErr = inject(ctx) })
	}
	at, err := p.topUp(ctx, amount+max(0, -v.Balance))
	if err != nil {
		group.Wait()
		return errs.Pass(errors.Join(err, faultErr), "resume")
	}
	var first time.Time
	_, err = p.await(ctx, 10*time.Second, "work after the top-up", func() bool {
		started, err := p.starts(p.party+"-paid", before)
		if err != nil || len(started) == 0 {
			return false
		}
		first = time.Unix(0, started[0].At)
		for _, e := range started {
			if t := time.Unix(0, e.At); t.Before(first) {
				first = t
			}
		}
		return true
	})
	group.Wait()
	if err != nil || faultErr != nil {
		return errs.Pass(errors.Join(err, faultErr), "resume")
	}
	took := max(0, first.Sub(at))
	p.out.Resumed = append(p.out.Resumed, took.Seconds())
	if took > resumeBound {
		p.failf("work went on %s after the yes to a top-up", took)
	}
	return nil
}

// leader names the store's leader.
func (p *billingRun) leader(ctx context.Context) (string, error) {
	_, err := p.await(ctx, 15*time.Second, "leader", func() bool {
		who, err := fleet.FindLeaders(ctx, p.caller, p.nodes)
		p.who = who
		return err == nil && who.Store != ""
	})
	return p.who.Store, errs.Pass(err, "leader")
}

// killLeader kills the leader and starts it again a while later.
func (p *billingRun) killLeader(ctx context.Context) error {
	name, err := p.leader(ctx)
	if err != nil {
		return errs.Pass(err, "kill")
	}
	return errs.Pass(p.killAndRestart(ctx, 3*time.Second, name), "kill")
}

func (p *billingRun) killAtDraw(ctx context.Context) error {
	if err := p.awaitExhausted(ctx); err != nil {
		return errs.Pass(err, "draw")
	}
	if err := p.killLeader(ctx); err != nil {
		return errs.Pass(err, "draw")
	}
	if err := p.checkStaysExhausted(ctx); err != nil {
		return errs.Pass(err, "draw")
	}
	if err := p.killLongRunningWorker(ctx); err != nil {
		return errs.Pass(err, "lasting task")
	}
	return nil
}

// killLongRunningWorker kills the minion of a lasting task while the party is dry: the task must run again.
func (p *billingRun) killLongRunningWorker(ctx context.Context) error {
	started, err := p.starts(p.party+"-lasting", time.Time{})
	if err != nil {
		return errs.Pass(err, "lasting task")
	}
	if len(started) == 0 {
		return errs.New(errs.Unknown, "no lasting task of %s has started", p.party)
	}
	last := slices.MaxFunc(started, func(a, b audit.Event) int { return int(min(max(a.At-b.At, -1), 1)) })
	before := clock.Real{}.Wall()
	if err := p.killAndRestart(ctx, time.Second, last.Worker); err != nil {
		return errs.Pass(err, "kill minion")
	}
	var again []audit.Event
	_, err = p.await(ctx, attachBound, "a lasting task runs again", func() bool {
		again, err = p.starts(last.Job, before)
		return err == nil && len(again) > 0
	})
	if err != nil {
		return errs.Pass(err, "attach")
	}
	p.out.Attached = append(p.out.Attached, time.Unix(0, again[0].At).Sub(before).Seconds())
	return nil
}

func (p *billingRun) killAtTopUp(ctx context.Context) error {
	return errs.Pass(p.topUpAndMeasure(ctx, smallTopUp, p.killLeader), "top-up")
}

// cutCore cuts the leader off while the party runs dry and is topped up.
func (p *billingRun) cutCore(ctx context.Context) error {
	if p.nodes.ProxyAddr == "" {
		p.notef("not run: the leader cut off; the fleet has no links")
		return nil
	}
	if err := p.awaitExhausted(ctx); err != nil {
		return errs.Pass(err, "cut")
	}
	name, err := p.leader(ctx)
	if err != nil {
		return errs.Pass(err, "cut")
	}
	if _, err := cut(ctx, p.dir, netproxy.Fault{Node: name, Kind: netproxy.Blackhole, For: 2 * exhaustedFor}); err != nil {
		return errs.Pass(err, "cut")
	}
	p.notef("%s cut off", name)
	if err := p.checkStaysExhausted(ctx); err != nil {
		return errs.Pass(err, "cut")
	}
	return errs.Pass(p.topUpAndMeasure(ctx, smallTopUp, nil), "cut")
}

// wipeMember takes a follower's data while the party is dry.
func (p *billingRun) wipeMember(ctx context.Context) error {
	if err := p.awaitExhausted(ctx); err != nil {
		return errs.Pass(err, "wipe")
	}
	name, err := p.leader(ctx)
	if err != nil {
		return errs.Pass(err, "wipe")
	}
	i := slices.IndexFunc(p.nodes.ControlPlanes, func(n fleet.Node) bool { return n.Name != name })
	if err := p.restart(ctx, []string{p.nodes.ControlPlanes[i].Name}, "--wipe"); err != nil {
		return errs.Pass(err, "wipe")
	}
	p.notef("%s wiped", p.nodes.ControlPlanes[i].Name)
	return errs.Pass(p.checkStaysExhausted(ctx), "wipe")
}

// check reads the account back from every cplane and audits.
func (p *billingRun) check(ctx context.Context) {
	_, err := p.await(ctx, 30*time.Second, "ready after the drill", func() bool { return len(fleet.NotReady(ctx, p.caller, p.nodes)) == 0 })
	if err != nil {
		p.failf("%v", err)
	}
	for what, r := range map[string]load.Report{"paid": p.out.Paid, "free": p.out.Free} {
		if !r.AllDone() {
			p.failf("%s: %d accepted, %d done, %d unknown, %d unfinished", what, r.Accepted, r.Done, r.Unknown, r.Unfinished)
		}
	}
	if p.out.Account, err = p.readAccount(ctx); err != nil {
		p.failf("account: %v", err)
		return
	}
	p.checkLedgers(ctx)
	p.out.TopUps = len(p.keys)
	if p.out.Audit, err = auditFleet(ctx, p.dir); err != nil {
		p.failf("audit: %v", err)
	}
}

// checkLedgers compares the exports of all cplanes, and adds the entries up.
func (p *billingRun) checkLedgers(ctx context.Context) {
	want := int64(0)
	for _, amount := range p.keys {
		want += amount
	}
	if p.out.Account.ToppedUp != want {
		p.failf("topped up with %d, %d was acknowledged", p.out.Account.ToppedUp, want)
	}
	var first []byte
	for _, node := range p.nodes.ControlPlanes {
		raw, err := p.operator.Export(ctx, node, p.party)
		if err != nil {
			p.failf("export at %s: %v", node.Name, err)
			continue
		}
		if first == nil {
			first = raw
		}
		if !bytes.Equal(raw, first) {
			p.failf("%s exports another ledger", node.Name)
		}
	}
	sums, err := billingload.SumExport(first)
	if err != nil || sums.ToppedUp != want || sums.Spent != p.out.Account.Spent {
		p.failf("the ledger adds up to %d and %d (%v), the account has %d and %d", sums.ToppedUp, sums.Spent, err, want, p.out.Account.Spent)
	}
}
