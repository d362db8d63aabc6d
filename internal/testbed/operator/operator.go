// Package operator is the testbed's stand-in for the operators of a fleet: two of them write, sign, race for and read
// back bundles (versions of the configuration), now and then evacuate a zone, and journal the answers. Package audit
// checks the promises to operators against these journals; this package only counts what it can see at once, in its
// Report.
//
// Run is the loop: one change after the other (change.go), each a draft and two signatures sent as orders (order.go),
// then the checks of all nodes (rollout.go); after a change perhaps an evacuation (evacuation.go).
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
	callTimeout  = 3 * time.Second        // of one call
	retryBackoff = 100 * time.Millisecond // before another control plane is tried
	liftAttempts = 10                     // at the end, of an evacuation that is still open
	connsPerNode = 8
)

// Options are the options of Run.
type Options struct {
	Dir                 string        // of the fleet
	For                 time.Duration // no change begins after it
	Seed                uint64        // of all chance; what the fleet answers, and when, is not part of it
	Interval            time.Duration // from the end of a change to the next, on average
	RaceProbability     float64       // that both operators write against the same base at once
	RepeatProbability   float64       // that an order is sent once more
	EvacuateProbability float64       // that a zone is evacuated after a change, while none is
	InvalidProbability  float64       // that an invalid text is sent before a change
}

// session is a Run in progress. Its loop runs on one goroutine; orders that are sent at the same time have goroutines
// that use only what the mutex guards and what is fixed.
type session struct {
	Options
	keys      []signature.Key // of the two operators
	nodes     fleet.Nodes
	zones     []string // that have workers
	caller    *fleet.Caller
	clock     clock.Clock
	rng       *rand.Rand // of the loop
	writer    *journal.Writer
	prefix    string     // of the orders' IDs
	evacuated evacuation // that is open

	mu           sync.Mutex
	counts       Report
	toEverywhere *latency.Histogram // from the acknowledgement to the last node, per change
	toNode       *latency.Histogram // from the acknowledgement to each node
	fromForce    *latency.Histogram // from the commit to each node
	fromSign     *latency.Histogram // from the signature to its acknowledgement
	err          error              // failures of the journal
	callRng      *rand.Rand         // of orders, several of which may be under way at once
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

// run makes changes until the time is over, then lifts an evacuation that is still open.
func (o *session) run(ctx context.Context) {
	end := o.clock.Now() + o.For
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

func (o *session) record(e Entry) {
	e.At = o.clock.Wall().UnixNano()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = errors.Join(o.err, o.writer.Append(e))
}

// count changes the report under the mutex.
func (o *session) count(change func(r *Report)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.counts)
}

// sleep waits for d. It returns false if ctx ends first.
func (o *session) sleep(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx.Done(), o.clock, d)
}
