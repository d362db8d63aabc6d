// Package operator simulates the two operators of a fleet. They write, sign and read back bundles (versions of the
// configuration), sometimes both on the same base at once, sometimes evacuate a zone, and journal the answers. Package
// audit checks the invariants for operators against these journals; the Report of this package counts only those
// violations that show in single answers.
//
// Run is the loop: one change after the other (change.go), each a draft and two signatures sent as orders (order.go),
// then the checks of all nodes (rollout.go), and after a change perhaps an evacuation (evacuation.go).
package operator

import (
	"context"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/latency"
)

const (
	callTimeout  = 3 * time.Second        // for one call
	retryBackoff = 100 * time.Millisecond // before a retry at another control plane
	liftAttempts = 10                     // at the end of Run, for an evacuation that is still in force
	connsPerNode = 8
)

// Options are the options of Run.
type Options struct {
	Dir                 string        // folder of the fleet
	Duration            time.Duration // no change begins after it
	Seed                uint64        // for all random draws; the fleet's answers and their timing still vary
	Interval            time.Duration // average time from the end of a change to the next one
	RaceProbability     float64       // that both operators write a draft on the same base at once
	RepeatProbability   float64       // that an order is sent again after its answer
	EvacuateProbability float64       // that a zone is evacuated after a change, if none is evacuated
	InvalidProbability  float64       // that an invalid bundle is sent before a change
}

// session is a Run in progress. Its loop runs on one goroutine. Orders that are sent at the same time have goroutines
// of their own, which use only the fields below mu and those that do not change.
type session struct {
	Options
	keys      []signature.Key // of the two operators
	nodes     fleet.Nodes
	zones     []string // the zones that have workers
	caller    *fleet.Caller
	clock     clock.Clock
	rng       *rand.Rand // for the loop
	writer    *journal.Writer
	prefix    string     // of the orders' IDs
	evacuated evacuation // the one in force, if any

	mu           sync.Mutex
	counts       Report
	toEverywhere *latency.Histogram // from the acknowledgement to the last node, per change
	toNode       *latency.Histogram // from the acknowledgement to each node
	fromForce    *latency.Histogram // from the commit to each node
	fromSign     *latency.Histogram // from the last signature of a version to its acknowledgement
	err          error              // failures of the journal
	callRng      *rand.Rand         // for orders, several of which may be in flight at once
}

// Run has the operators change the bundle of the fleet for options.For. Failures: Disk, Malformed, Settings. Example:
//
//	report, err := operator.Run(ctx, operator.Options{Dir: dir, For: time.Minute, Seed: 1, Interval: time.Second})
func Run(ctx context.Context, options Options) (Report, error) {
	o, err := newSession(options)
	if err != nil {
		return Report{}, errs.Pass(err, "bundles")
	}
	path := filepath.Join(options.Dir, "journal", "operator-bundles-"+o.prefix+".jsonl")
	if o.writer, err = journal.Open(path); err != nil {
		return Report{}, errs.Pass(err, "bundles")
	}
	defer o.writer.Close()
	o.run(ctx)
	return o.report(), errs.Pass(o.err, "operators' journal")
}

func newSession(options Options) (*session, error) {
	o := &session{Options: options, caller: fleet.NewCaller(connsPerNode), clock: clock.Real{},
		rng: rand.New(rand.NewPCG(options.Seed, 3)), callRng: rand.New(rand.NewPCG(options.Seed, 4)),
		counts: Report{Refused: map[string]int{}}, toEverywhere: latency.New(), toNode: latency.New(),
		fromForce: latency.New(), fromSign: latency.New()}
	var err error
	if o.nodes, err = fleet.Read(options.Dir); err != nil {
		return nil, errs.Pass(err, "fleet")
	}
	if o.keys, err = fleet.Keys(options.Dir); err != nil {
		return nil, errs.Pass(err, "keys")
	}
	for _, m := range o.nodes.Workers {
		if !slices.Contains(o.zones, m.Zone) {
			o.zones = append(o.zones, m.Zone)
		}
	}
	if len(o.zones) == 0 || len(o.nodes.ControlPlanes) == 0 {
		return nil, errs.New(errs.Settings, "the fleet has no minion or no cplane")
	}
	o.prefix = "b" + strconv.FormatInt(o.clock.Wall().UnixMilli(), 36)
	return o, nil
}

// run makes changes for the duration For, then lifts the evacuation that is still in force, if there is one.
func (o *session) run(ctx context.Context) {
	end := o.clock.Now() + o.Duration
	for i := 0; o.clock.Now() < end && ctx.Err() == nil; i++ {
		if o.rng.Float64() < o.InvalidProbability {
			o.submitInvalid(ctx, i)
		}
		o.change(ctx, i)
		o.evacuateOrLift(ctx, i)
		if !o.sleep(ctx, time.Duration(o.rng.ExpFloat64()*float64(o.Interval))) {
			break
		}
	}
	for i := 0; o.evacuated.zone != "" && i < liftAttempts && ctx.Err() == nil; i++ {
		o.lift(ctx, -1-i)
	}
}

// record journals an entry with the current time.
func (o *session) record(e Entry) {
	e.At = o.clock.Wall().UnixNano()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = errors.Join(o.err, o.writer.Append(e))
}

// count calls change on the counts with the mutex held.
func (o *session) count(change func(r *Report)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.counts)
}

// sleep waits for d. It returns false if ctx ends first.
func (o *session) sleep(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx.Done(), o.clock, d)
}
