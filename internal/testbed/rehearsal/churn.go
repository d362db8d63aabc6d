package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/faults"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
	"crosstide/internal/testbed/operator"
)

const (
	maxDowntime       = 4 * time.Second // of a killed process
	maxFreeze         = 6 * time.Second
	drainDuration     = 3 * time.Second
	evacuationTime    = 6 * time.Second
	gracefulTimeout   = 15 * time.Second // for a worker that is signalled to leave
	cancelledJobs     = 20
	changeProbability = 0.2 // of a race between operators, and of a repeated order
)

// ChurnOptions are the options of RunChurn.
type ChurnOptions struct {
	Target         *faults.Target
	Profile        string  // of load.RunProfile
	Scale          float64 // of the profile's rates
	Duration       time.Duration
	EndTimeout     time.Duration // from the end of Duration until every accepted job has ended
	Seed           uint64
	FaultInterval  time.Duration // mean time from the end of a fault to the next
	ChangeInterval time.Duration // mean time between changes of the bundle; 0: none
	Only           []string      // kinds of faults; empty: all
}

// ChurnReport is the result of a churn.
type ChurnReport struct {
	Faults  map[string]int         `json:"faults"` // by kind
	Work    map[string]load.Report `json:"work"`   // by kind of work
	Bundles *operator.Report       `json:"bundles,omitempty"`
}

// churn is a run of RunChurn in progress. It injects one fault after the other, concurrently with operators and load.
type churn struct {
	*faults.Target
	options ChurnOptions
	rng     *rand.Rand
	writer  *journal.Writer // an operator's journal, for the drains that it orders
	orders  int             // sent so far; makes their IDs unique
	counts  map[string]int  // of faults, by kind
}

// faultKinds are the kinds of faults in the order of the documentation. Faults are drawn by index: in another order, a
// seed would yield other faults.
var faultKinds = []string{"kill", "freeze", "drain", "leave", "evacuate", "cancel"}

// RunChurn runs a profile's load, operators and random faults concurrently until all three have ended. Failures:
// Invalid, those of the load, the operators and the faults.
func RunChurn(ctx context.Context, options ChurnOptions) (ChurnReport, error) {
	writer, err := journal.Open(filepath.Join(options.Target.Dir, "journal", "operator-churn.jsonl"))
	if err != nil {
		return ChurnReport{}, errs.Pass(err, "churn")
	}
	defer writer.Close()
	c := &churn{Target: options.Target, options: options, rng: rand.New(rand.NewPCG(options.Seed, 7)), writer: writer,
		counts: map[string]int{}}
	report := ChurnReport{Faults: c.counts}
	var mu sync.Mutex
	var failures []error
	group := routine.New(ctx)
	run := func(what string, work func(ctx context.Context) error) {
		group.Go(func(ctx context.Context) {
			if err := work(ctx); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, errs.Pass(err, "%s", what))
			}
		})
	}
	run("work", func(ctx context.Context) (err error) {
		report.Work, err = load.RunProfile(ctx, options.Profile, options.Scale, load.Options{Dir: c.Dir,
			Duration: options.Duration, EndTimeout: options.EndTimeout, Seed: options.Seed})
		return errs.Pass(err, "load")
	})
	if options.ChangeInterval > 0 {
		run("bundles", func(ctx context.Context) error {
			changes, err := operator.Run(ctx, operator.Options{Dir: c.Dir, Duration: options.Duration,
				Seed: options.Seed, Interval: options.ChangeInterval, RaceProbability: changeProbability,
				RepeatProbability: changeProbability})
			report.Bundles = &changes
			return errs.Pass(err, "operators")
		})
	}
	run("faults", c.injectFaults)
	group.Wait()
	if err := errors.Join(failures...); err != nil {
		return report, errs.Wrap(err, errs.Internal, "churn")
	}
	return report, nil
}

// injectFaults injects faults until the duration has elapsed. It heals the last fault before it returns.
func (c *churn) injectFaults(ctx context.Context) error {
	inject := map[string]func(context.Context) error{"kill": c.killOne, "freeze": c.freezeOne, "drain": c.drainSome,
		"leave": c.leaveOne, "evacuate": c.evacuateOne, "cancel": c.cancelMany}
	kinds := c.options.Only
	if len(kinds) == 0 {
		kinds = faultKinds
	}
	for _, kind := range kinds {
		if !slices.Contains(faultKinds, kind) {
			return errs.Field(errs.Invalid, "only", "unknown kind of fault %q", kind)
		}
	}
	clk := clock.Real{}
	for end := clk.Now() + c.options.Duration; clk.Now() < end; {
		if !c.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(c.options.FaultInterval))) {
			return nil
		}
		kind := kinds[c.rng.IntN(len(kinds))]
		if err := inject[kind](ctx); err != nil && ctx.Err() == nil {
			return errs.Pass(err, "%s", kind)
		}
		c.counts[kind]++
	}
	return nil
}

func (c *churn) pickNode(list []fleet.Node) fleet.Node { return list[c.rng.IntN(len(list))] }

// pickAnyNode picks a node. Control planes, data planes and workers are equally likely.
func (c *churn) pickAnyNode() fleet.Node {
	roles := [][]fleet.Node{c.Nodes.ControlPlanes, c.Nodes.DataPlanes, c.Nodes.Workers}
	return c.pickNode(roles[c.rng.IntN(len(roles))])
}

func (c *churn) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit)))
}

// killOne kills a node and restarts it after at most maxDowntime.
func (c *churn) killOne(ctx context.Context) error {
	name := c.pickAnyNode().Name
	killed, err := c.Kill("rehearse", []string{name})
	if err == nil && len(killed) == 0 {
		err = errs.New(errs.Unknown, "node %s was not running", name)
	}
	if err != nil {
		return errs.Pass(err, "kill")
	}
	c.Sleep(ctx, c.randomDuration(maxDowntime))
	return errs.Pass(c.Restart(context.WithoutCancel(ctx), []string{name}), "back")
}

// freezeOne freezes a node for less than maxFreeze.
func (c *churn) freezeOne(ctx context.Context) error {
	return errs.Pass(c.Freeze(ctx, c.pickAnyNode().Name, c.randomDuration(maxFreeze)), "freeze")
}

// drainSome drains one worker, and one more for every 16 in the fleet, by operator orders. It undrains them after
// drainDuration.
func (c *churn) drainSome(ctx context.Context) error {
	var drained []fleet.Node
	for range 1 + len(c.Nodes.Workers)/16 {
		drained = append(drained, c.pickNode(c.Nodes.Workers))
	}
	for _, w := range drained {
		if err := c.sendWorkerOrder(ctx, w.Name, "drain"); err != nil {
			return errs.Pass(err, "drain %s", w.Name)
		}
		if err := c.record(audit.Drain, w.Name); err != nil {
			return errs.Pass(err, "drain %s", w.Name)
		}
	}
	c.Sleep(ctx, drainDuration)
	for _, w := range drained {
		recorded := c.record(audit.Undrain, w.Name) // before the order: starts are allowed from its commit on
		sent := c.sendWorkerOrder(context.WithoutCancel(ctx), w.Name, "open")
		if err := errors.Join(sent, recorded); err != nil {
			return errs.Pass(err, "open %s", w.Name)
		}
	}
	return nil
}

// sendWorkerOrder sends an operator's order about a worker.
func (c *churn) sendWorkerOrder(ctx context.Context, worker, verb string) error {
	c.orders++
	id := fmt.Sprintf("churn-%d-%d", clock.Real{}.Wall().UnixNano(), c.orders)
	err := c.SendOrder(ctx, "/v1/minions/"+worker+"/"+verb, operatorapi.Order{Order: id})
	return errs.Pass(err, "order")
}

// record journals an operator's order.
func (c *churn) record(event, worker string) error {
	err := c.writer.Append(map[string]any{"at": clock.Real{}.Wall().UnixNano(), "ev": event, "node": worker})
	return errs.Pass(err, "journal")
}

// leaveOne signals a worker to leave, as the platform does, and restarts it once it has exited.
func (c *churn) leaveOne(ctx context.Context) error {
	name := c.pickNode(c.Nodes.Workers).Name
	if err := fleet.Signal(c.Dir, name, unix.SIGTERM); err != nil {
		return errs.Pass(err, "leave")
	}
	hasLeft := func() bool { _, err := fleet.PID(c.Dir, name); return err != nil }
	_, err := c.Await(ctx, gracefulTimeout, name+" exited", hasLeft)
	return errors.Join(err, c.Restart(context.WithoutCancel(ctx), []string{name}))
}

// evacuateOne evacuates the zone of a random control plane and lifts the evacuation after evacuationTime.
func (c *churn) evacuateOne(ctx context.Context) error {
	zone := c.pickNode(c.Nodes.ControlPlanes).Zone
	return errs.Pass(c.Evacuate(ctx, zone, evacuationTime), "zone %s", zone)
}

// cancelMany submits cancelledJobs jobs and cancels each at once.
func (c *churn) cancelMany(ctx context.Context) error {
	_, err := load.Run(ctx, load.Options{Dir: c.Dir, Count: cancelledJobs, Duration: time.Second,
		TaskDuration: 5 * time.Second, CancelProbability: 1, Team: "crowd", Seed: c.rng.Uint64(), Clients: 2,
		EndTimeout: 20 * time.Second, Prefix: fmt.Sprintf("x%d", clock.Real{}.Wall().UnixNano())})
	return errs.Pass(err, "crowd")
}
