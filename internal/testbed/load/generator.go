// Package load is the load generator of the testbed. Its clients submit jobs to a fleet in an open loop, that is at a
// rate that does not depend on the answers. Each job is submitted, with retries after lost answers, polled until it
// ends, and journaled; package audit checks the fleet against these journals.
//
// Run plans all arrivals from the seed (arrivals.go), starts each at its time (generator.go) and follows each job on
// its own goroutine (job.go). At the end it reads the workers' journals and returns a Report (report.go). RunProfile
// runs all kinds of work of a deployment at once (profile.go). The package checks no invariants.
package load

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/latency"
)

const (
	connsPerNode = 256
	pollBurst    = 50 // polls that may exceed Options.MaxPollsPerSecond at once
)

// Caller sends one call to a node (*fleet.Caller). It may be called from many goroutines.
type Caller interface {
	Call(ctx context.Context, method, addr, path string, in any, timeout time.Duration) (fleet.Reply, error)
}

// generator is one load in progress. The fields above mu do not change after the first job has started.
type generator struct {
	options  Options
	caller   Caller
	nodes    []fleet.Node // the data planes, which serve the clients
	clock    clock.Clock
	polls    *rate.Limiter
	journals []*journal.Writer // one per client

	mu         sync.Mutex
	counts     Report
	accept     *latency.Histogram // from a job's arrival to its acceptance
	acceptedAt map[string]int64   // Unix ns, by the job's key
	err        error              // the first error of a journal
}

// Run submits the jobs of a load to the data planes of the fleet in options.Dir and waits until the accepted ones have
// ended, at most for EndTimeout after Duration. The Report is complete even if ctx ends early. Failures: Invalid,
// Settings (the fleet has no data plane), Malformed, Disk. Example:
//
//	report, err := load.Run(ctx, load.Options{Dir: dir, Rate: 20, Duration: 20 * time.Second,
//		TaskDuration: 100 * time.Millisecond})
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.SetDefaults(); err != nil {
		return Report{}, errs.Pass(err, "load")
	}
	if options.Prefix == "" {
		options.Prefix = newPrefix()
	}
	nodes, err := fleet.Read(options.Dir)
	if err != nil {
		return Report{}, errs.Pass(err, "load")
	}
	if len(nodes.DataPlanes) == 0 {
		return Report{}, errs.New(errs.Settings, "the fleet has no dplane")
	}
	g := newGenerator(options, fleet.NewCaller(connsPerNode), clock.Real{}, nodes.DataPlanes)
	for i := range options.Clients {
		name := fmt.Sprintf("consumer-%s-%d.jsonl", options.Prefix, i+1)
		writer, err := journal.Open(filepath.Join(options.Dir, "journal", name))
		if err != nil {
			return Report{}, errs.Pass(err, "load")
		}
		defer writer.Close()
		g.journals = append(g.journals, writer)
	}
	g.run(ctx, planArrivals(options))
	report, err := g.report()
	return report, errs.Pass(err, "load")
}

func newGenerator(options Options, caller Caller, clock clock.Clock, nodes []fleet.Node) *generator {
	return &generator{options: options, caller: caller, clock: clock, nodes: nodes,
		polls:  rate.NewLimiter(rate.Limit(options.MaxPollsPerSecond), pollBurst),
		counts: Report{Refused: map[string]int{}, Overloaded: map[string]int{}},
		accept: latency.New(), acceptedAt: map[string]int64{}}
}

// newPrefix returns a key prefix made from the time, so that no earlier load used it.
func newPrefix() string { return "l" + strconv.FormatInt(time.Now().UnixMilli(), 36) }

// run starts every job at its time, without waiting for answers to earlier ones, and then waits for all of them.
func (g *generator) run(ctx context.Context, arrivals []arrival) {
	began := g.clock.Now()
	ctx, stop := context.WithCancel(ctx)
	defer g.clock.Set(g.options.Duration+g.options.EndTimeout, stop).Stop()
	defer stop()
	group := routine.New(ctx)
	for i, next := range arrivals {
		if !g.sleep(ctx, began+next.at-g.clock.Now()) {
			break
		}
		g.count(func(r *Report) { r.Offered++ })
		group.Go(func(ctx context.Context) { g.follow(ctx, g.journals[i%len(g.journals)], next, began+next.at) })
	}
	group.Wait()
	g.count(func(r *Report) {
		r.Seconds = (g.clock.Now() - began).Seconds()
		r.Rate = float64(r.Offered) / g.options.Duration.Seconds()
	})
}

// count calls change on the counts with the mutex held.
func (g *generator) count(change func(r *Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.counts)
}

// sleep waits for d. It returns false if ctx ends first.
func (g *generator) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return clock.Sleep(ctx.Done(), g.clock, d)
}
