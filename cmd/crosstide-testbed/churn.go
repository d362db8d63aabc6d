package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
	"crosstide/internal/testbed/operator"
)

func init() {
	commands = append(commands, &cli.Command{
		Name: "churn", Usage: "a deployment's work with rolling faults and operators at work, then the audit",
		Description: "crosstide-testbed churn --fleet DIR --profile lubra|mamlaka --for 5m [--seed 1]\n\n" +
			"The work of the deployment; two operators who change bundles and race; and, one after the other at random:\n" +
			"a node killed and started again, a node frozen, minions drained by order and by themselves, a zone\n" +
			"evacuated and lifted, a mass of cancels. Prints one JSON object; the audit goes to the standard error.\n" +
			"Exit 1 if a promise is broken, or an accepted job is unknown or unfinished.",
		Flags: []cli.Flag{fleetFlag(),
			&cli.StringFlag{Name: "profile", Value: "lubra"}, &cli.FloatFlag{Name: "scale", Value: 1, Usage: "of the profile's rates"},
			&cli.DurationFlag{Name: "for", Value: time.Minute}, &cli.DurationFlag{Name: "wait", Value: time.Minute, Usage: "for the ends"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "every", Value: 2 * time.Second, Usage: "from the end of a fault to the next, on average"},
			&cli.DurationFlag{Name: "changes", Value: 2 * time.Second, Usage: "from a change of bundle to the next, on average; 0: none"},
			&cli.StringFlag{Name: "script", Usage: "scripts/`fleet`, which starts processes again (default: beside this program's folder)"},
			&cli.StringSliceFlag{Name: "only", Usage: "kinds of faults: kill, freeze, drain, leave, evacuate, cancel (default: all)"},
		},
		Action: churn,
	}, &cli.Command{
		Name: "lags", Usage: "how long a fleet took to follow cancels, drains and evacuations, by its journals",
		ArgsUsage: "DIR",
		Action: func(_ context.Context, cmd *cli.Command) error {
			h, err := audit.Read(cmd.Args().First())
			if err != nil {
				return errs.Pass(err, "lags")
			}
			for _, l := range audit.Lags(h) {
				fmt.Fprintf(cmd.Root().Writer, "%-32s %5d cases  p50 %7.1f ms  p99 %7.1f ms  max %7.1f ms\n", l.What, l.Cases,
					l.P50.Seconds()*1000, l.P99.Seconds()*1000, l.Max.Seconds()*1000)
			}
			return nil
		},
	})
}

// churner injects the faults.
type churner struct {
	faultRun
	rng    *rand.Rand
	writer *journal.Writer // an operator's, for drains by order
	orders int             // given so far, for their IDs
	done   map[string]int
}

// churnReport is the result of a churn.
type churnReport struct {
	Faults  map[string]int         `json:"faults"`
	Work    map[string]load.Report `json:"work"`
	Bundles *operator.Report       `json:"bundles,omitempty"`
}

func churn(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	set, err := newFaultRun(cmd)
	if err != nil {
		return errs.Pass(err, "churn")
	}
	dir := set.dir
	writer, err := journal.Open(filepath.Join(dir, "journal", "operator-churn.jsonl"))
	if err != nil {
		return errs.Pass(err, "churn")
	}
	defer writer.Close()
	c := &churner{faultRun: set, rng: rand.New(rand.NewPCG(cmd.Uint64("seed"), 7)), writer: writer, done: map[string]int{}}
	out := churnReport{Faults: c.done}
	lasts, seed := cmd.Duration("for"), cmd.Uint64("seed")
	var mu sync.Mutex
	var broke []error
	failed := func(what string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			broke = append(broke, errs.Pass(err, "%s", what))
		}
	}
	group := routine.New(ctx)
	group.Go(func(ctx context.Context) {
		work, err := load.RunProfile(ctx, cmd.String("profile"), cmd.Float("scale"),
			load.Options{Dir: dir, Duration: lasts, EndTimeout: cmd.Duration("wait"), Seed: seed})
		out.Work = work
		failed("work", err)
	})
	if every := cmd.Duration("changes"); every > 0 {
		group.Go(func(ctx context.Context) {
			r, err := operator.Run(ctx, operator.Options{Dir: dir, For: lasts, Seed: seed, Interval: every, RaceProbability: 0.2, RepeatProbability: 0.2})
			out.Bundles = &r
			failed("bundles", err)
		})
	}
	group.Go(func(ctx context.Context) {
		failed("faults", c.injectFaults(ctx, lasts, cmd.Duration("every"), cmd.StringSlice("only")))
	})
	group.Wait()
	if err := errors.Join(broke...); err != nil {
		return errs.Wrap(err, errs.Internal, "churn")
	}
	if err := printJSON(cmd.Root().Writer, out); err != nil {
		return errs.Pass(err, "churn")
	}
	return errs.Pass(c.check(ctx, out), "churn")
}

// check audits, and looks for jobs that are not over.
func (c *churner) check(ctx context.Context, out churnReport) error {
	findings, err := auditFleet(ctx, c.dir)
	if err != nil {
		return errs.Pass(err, "audit")
	}
	if err := audit.WriteReport(os.Stderr, findings, 3); err != nil {
		return errs.Pass(err, "audit")
	}
	for kind, r := range out.Work {
		if r.Unknown+r.Unfinished > 0 {
			return exitCode{errs.New(errs.Internal, "%s: %d jobs unknown, %d unfinished", kind, r.Unknown, r.Unfinished), 1}
		}
	}
	if !audit.NoneViolated(findings) {
		return exitCode{errs.New(errs.Internal, "a promise is broken"), 1}
	}
	return nil
}

// injectFaults injects faults until d is over; the last one is healed before it returns.
func (c *churner) injectFaults(ctx context.Context, d, every time.Duration, only []string) error {
	kinds := map[string]func(context.Context) error{"kill": c.killOne, "freeze": c.freezeOne, "drain": c.drainSome,
		"leave": c.leaveOne, "evacuate": c.evacuateOne, "cancel": c.cancelMany}
	if len(only) == 0 {
		only = []string{"kill", "freeze", "drain", "leave", "evacuate", "cancel"}
	}
	for _, name := range only {
		if kinds[name] == nil {
			return errs.Field(errs.Invalid, "only", "no kind of fault is named %q", name)
		}
	}
	clock := clock.Real{}
	for end := clock.Now() + d; clock.Now() < end; {
		if !pause(ctx, time.Duration(c.rng.ExpFloat64()*float64(every))) {
			return nil
		}
		kind := only[c.rng.IntN(len(only))]
		if err := kinds[kind](ctx); err != nil && ctx.Err() == nil {
			return errs.Pass(err, "%s", kind)
		}
		c.done[kind]++
	}
	return nil
}

func (c *churner) pickNode(list []fleet.Node) fleet.Node { return list[c.rng.IntN(len(list))] }

// anyNode picks a cplane, a dplane or a minion, each role as often as the others.
func (c *churner) anyNode() fleet.Node {
	return c.pickNode([][]fleet.Node{c.nodes.ControlPlanes, c.nodes.DataPlanes, c.nodes.Workers}[c.rng.IntN(3)])
}

func (c *churner) killOne(ctx context.Context) error {
	name := c.anyNode().Name
	if err := c.kill(name); err != nil {
		return errs.Pass(err, "kill")
	}
	pause(ctx, time.Duration(c.rng.Int64N(int64(4*time.Second))))
	return errs.Pass(c.restart(context.WithoutCancel(ctx), []string{name}), "back")
}

func (c *churner) freezeOne(ctx context.Context) error {
	return errs.Pass(freeze(ctx, c.dir, c.anyNode().Name, time.Duration(c.rng.Int64N(int64(6*time.Second)))), "freeze")
}

// drainSome drains a few minions by an operator's order, and opens them again.
func (c *churner) drainSome(ctx context.Context) error {
	var out []fleet.Node
	for range 1 + len(c.nodes.Workers)/16 {
		out = append(out, c.pickNode(c.nodes.Workers))
	}
	give := func(ctx context.Context, name, word, ev string, before bool) error {
		c.orders++
		note := func() error {
			return errs.Pass(c.writer.Append(map[string]any{"at": clock.Real{}.Wall().UnixNano(), "ev": ev, "node": name}), "journal")
		}
		var first error
		if before { // starts may come from its commit on
			first = note()
		}
		err := sendOrder(ctx, c.nodes.ControlPlanes, "/v1/minions/"+name+"/"+word,
			operatorapi.Order{Order: fmt.Sprintf("churn-%d-%d", clock.Real{}.Wall().UnixNano(), c.orders)})
		if err == nil && !before {
			first = note()
		}
		return errors.Join(err, first)
	}
	for _, m := range out {
		if err := give(ctx, m.Name, "drain", audit.Drain, false); err != nil {
			return errs.Pass(err, "drain %s", m.Name)
		}
	}
	pause(ctx, 3*time.Second)
	for _, m := range out {
		if err := give(context.WithoutCancel(ctx), m.Name, "open", audit.Undrain, true); err != nil {
			return errs.Pass(err, "open %s", m.Name)
		}
	}
	return nil
}

// leaveOne asks a minion to leave, as the platform does, and starts it again.
func (c *churner) leaveOne(ctx context.Context) error {
	name := c.pickNode(c.nodes.Workers).Name
	if err := fleet.Signal(c.dir, name, unix.SIGTERM); err != nil {
		return errs.Pass(err, "leave")
	}
	_, err := c.await(ctx, 15*time.Second, name+" gone", func() bool { _, err := fleet.PID(c.dir, name); return err != nil })
	return errors.Join(err, c.restart(context.WithoutCancel(ctx), []string{name}))
}

func (c *churner) evacuateOne(ctx context.Context) error {
	zone := c.pickNode(c.nodes.ControlPlanes).Zone
	return errs.Pass(evacuate(ctx, c.dir, zone, 6*time.Second), "zone %s", zone)
}

// cancelMany hands in a crowd of jobs and cancels them one after the other at once.
func (c *churner) cancelMany(ctx context.Context) error {
	_, err := load.Run(ctx, load.Options{Dir: c.dir, Count: 20, Duration: time.Second, TaskDuration: 5 * time.Second, CancelProbability: 1, Team: "crowd",
		Seed: c.rng.Uint64(), Clients: 2, EndTimeout: 20 * time.Second, Prefix: fmt.Sprintf("x%d", clock.Real{}.Wall().UnixNano())})
	return errs.Pass(err, "crowd")
}
