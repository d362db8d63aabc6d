// Package load is the stand-in clients of the rehearsal kit: an open loop of jobs at a rate, each handed in,
// handed in again after a lost answer, polled to its end, and journaled.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
)

// Bounds of the clients.
const (
	callBound = 5 * time.Second        // of one call
	pollFirst = 200 * time.Millisecond // wait before the first poll
	pollMost  = 3 * time.Second        // the wait grows by half with every poll up to this
	backFirst = 50 * time.Millisecond  // wait before another node is tried without a Retry-After
	backMost  = 3 * time.Second        // the longest Retry-After that is heeded, and the most a wait grows to
	conns     = 256                    // to each node
)

// Caller sends one call to a node (*fleet.Caller).
type Caller interface {
	Call(ctx context.Context, method, addr, path string, in any, bound time.Duration) (fleet.Reply, error)
}

type load struct {
	opt    Options
	caller Caller
	nodes  []fleet.Node
	clock  clock.Clock
	polls  *rate.Limiter
	books  []*journal.Writer

	mu     sync.Mutex
	counts Report
	accept *latencies
	yes    map[string]int64 // when a job was acknowledged, Unix ns
	broke  error            // the first journal fault
}

// Run offers the load of o to the dplanes of the fleet in o.Dir and waits for the ends of what was accepted. The
// Report is whole also when ctx ends early. Faults: Invalid, Disk. Example:
//
//	report, err := load.Run(ctx, load.Options{Dir: dir, Rate: 20, For: 20 * time.Second, Run: 100 * time.Millisecond})
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Fill(); err != nil {
		return Report{}, errs.Pass(err, "load")
	}
	if o.Prefix == "" {
		o.Prefix = stamp()
	}
	nodes, err := fleet.Read(o.Dir)
	if err != nil {
		return Report{}, errs.Pass(err, "load")
	}
	if len(nodes.DPlanes) == 0 {
		return Report{}, errs.New(errs.Settings, "the fleet has no dplane")
	}
	l := &load{opt: o, caller: fleet.NewCaller(conns), nodes: nodes.DPlanes, clock: clock.Real{},
		polls: rate.NewLimiter(rate.Limit(o.Polls), 50), accept: newLatencies(), yes: map[string]int64{}}
	l.counts.Refused, l.counts.Overloaded = map[string]int{}, map[string]int{}
	for i := range o.Workers {
		book, err := journal.Open(filepath.Join(o.Dir, "journal", fmt.Sprintf("consumer-%s-%d.jsonl", o.Prefix, i+1)))
		if err != nil {
			return Report{}, errs.Pass(err, "load")
		}
		defer book.Close()
		l.books = append(l.books, book)
	}
	l.offer(ctx, plan(o))
	report, err := l.report()
	return report, errs.Pass(err, "load")
}

// stamp returns a prefix of keys that no earlier load had.
func stamp() string { return "l" + strconv.FormatInt(time.Now().UnixMilli(), 36) }

// offer starts every job at its time, whatever became of those before, and waits for all.
func (l *load) offer(ctx context.Context, offers []offer) {
	began := l.clock.Now()
	ctx, stop := context.WithCancel(ctx)
	defer l.clock.Set(l.opt.For+l.opt.Wait, stop).Stop()
	defer stop()
	group := routine.New(ctx)
	for i, of := range offers {
		if l.sleep(ctx, began+of.at-l.clock.Now()) != nil {
			break
		}
		l.count(func(r *Report) { r.Offered++ })
		group.Go(func(ctx context.Context) { l.follow(ctx, l.books[i%len(l.books)], of, began+of.at) })
	}
	group.Wait()
	l.count(func(r *Report) {
		r.Seconds = (l.clock.Now() - began).Seconds()
		r.Rate = float64(r.Offered) / l.opt.For.Seconds()
	})
}

// job is one job on its way.
type job struct {
	*load
	offer
	book *journal.Writer
	luck *rand.Rand
	node int // tried last
}

// follow sees a job through: yes, perhaps once more, perhaps a cancel, polls to the end.
func (l *load) follow(ctx context.Context, book *journal.Writer, of offer, due time.Duration) {
	j := &job{load: l, offer: of, book: book, luck: rand.New(rand.NewPCG(of.seed, 2))}
	j.node = j.luck.IntN(len(l.nodes))
	j.note(Entry{Ev: Submit, Node: j.nodes[j.node].Name, Team: j.spec.Team, Queue: j.spec.Queue})
	reply, why := j.insist(ctx, http.MethodPost, "/v1/jobs", j.spec)
	if why != "" {
		j.note(Entry{Ev: Refused, Node: j.nodes[j.node].Name, Why: why, Status: reply.Status})
		l.count(func(r *Report) { r.Refused[why]++ })
		return
	}
	yes := j.note(Entry{Ev: Accepted, Node: j.nodes[j.node].Name, Team: j.spec.Team, Queue: j.spec.Queue,
		State: stateOf(reply), Status: reply.Status, Steps: stepsOf(j.spec)})
	took := l.clock.Now() - due
	l.count(func(r *Report) {
		r.Accepted++
		l.accept.record(took)
		l.yes[j.spec.Key] = yes
	})
	if j.dup {
		j.again(ctx)
	}
	cancelAt := time.Duration(-1)
	if j.cancel >= 0 {
		cancelAt = l.clock.Now() + j.cancel
	}
	j.watch(ctx, cancelAt)
}

// again hands the job in once more at another node: it must be the same job.
func (j *job) again(ctx context.Context) {
	j.other()
	reply, why := j.insist(ctx, http.MethodPost, "/v1/jobs", j.spec)
	j.note(Entry{Ev: Again, Node: j.nodes[j.node].Name, Status: reply.Status, State: stateOf(reply), Why: why})
	j.count(func(r *Report) {
		if r.Dups++; why != "" {
			r.DupsRefused++
		}
	})
}

// watch polls until the job is over; from cancelAt on (below 0: never) it cancels first.
func (j *job) watch(ctx context.Context, cancelAt time.Duration) {
	seen, missing := "", false
	for wait := pollFirst; ; wait = min(wait*3/2, pollMost) {
		pause := wait
		if cancelAt >= 0 {
			pause = min(wait, cancelAt-j.clock.Now())
		}
		if j.sleep(ctx, pause) != nil || j.polls.Wait(ctx) != nil {
			break
		}
		if cancelAt >= 0 && j.clock.Now() >= cancelAt {
			cancelAt = -1
			j.note(Entry{Ev: Cancel, Node: j.nodes[j.node].Name})
			if reply, why := j.insist(ctx, http.MethodDelete, "/v1/jobs/"+j.spec.Key, nil); why == "" {
				j.note(Entry{Ev: Cancelled, Node: j.nodes[j.node].Name, State: stateOf(reply), Status: reply.Status})
				j.count(func(r *Report) { r.Cancels++ })
			}
		}
		j.node = j.luck.IntN(len(j.nodes))
		reply, err := j.caller.Call(ctx, http.MethodGet, j.nodes[j.node].Addr, "/v1/jobs/"+j.spec.Key, nil, callBound)
		j.count(func(r *Report) { r.Polls++ })
		is := Missing
		switch {
		case err == nil && reply.Good():
			is = stateOf(reply)
		case err != nil || reply.Status != http.StatusNotFound:
			continue
		}
		if is == Missing {
			missing = true
		}
		if is == seen && is != Missing {
			continue
		}
		seen = is
		j.note(Entry{Ev: Poll, Node: j.nodes[j.node].Name, State: is, Status: reply.Status})
		if phase := state.JobPhase(is); phase.IsTerminal() {
			j.count(func(r *Report) { r.end(phase, missing) })
			return
		}
	}
	j.count(func(r *Report) { r.end("", missing) })
}

// insist sends a call that may be repeated to one node after another until it is answered for good or the time
// to give up has come; why is the kind of the last refusal, "" after a yes.
func (j *job) insist(ctx context.Context, method, path string, in any) (reply fleet.Reply, why string) {
	end := j.clock.Now() + j.opt.GiveUp
	for back := backFirst; ; back = min(back*2, backMost) {
		got, err := j.caller.Call(ctx, method, j.nodes[j.node].Addr, path, in, callBound)
		switch {
		case err != nil:
			why = "lost" // it may have been accepted all the same
		case got.Good():
			return got, ""
		default:
			if reply, why = got, got.Kind(); !passing(got.Status) {
				return reply, why
			}
		}
		j.count(func(r *Report) { r.Overloaded[why]++ })
		wait := time.Duration((0.5 + j.luck.Float64()) * float64(back))
		if err == nil && got.After > 0 {
			wait = min(got.After, backMost)
		}
		if j.clock.Now()+wait > end || j.sleep(ctx, wait) != nil {
			return reply, why
		}
		j.other()
		j.count(func(r *Report) { r.Tries++ })
	}
}

// passing reports whether the same call may well be answered otherwise at another time or node.
func passing(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway,
		http.StatusGatewayTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// other goes on to another node, if there is one.
func (j *job) other() {
	if n := len(j.nodes); n > 1 {
		j.node = (j.node + 1 + j.luck.IntN(n-1)) % n
	}
}

// note journals e and gives its time.
func (j *job) note(e Entry) int64 {
	e.At, e.Job = j.clock.Wall().UnixNano(), j.spec.Key
	if err := j.book.Append(e); err != nil {
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.broke == nil {
			j.broke = errs.Pass(err, "client's journal")
		}
	}
	return e.At
}

func (l *load) count(do func(r *Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(&l.counts)
}

// sleep waits for d on the clock; a fault if ctx ends first.
func (l *load) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 && ctx.Err() == nil {
		return nil
	}
	fired := make(chan struct{})
	defer l.clock.Set(d, func() { close(fired) }).Stop()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Stopped, "the load's time is over")
	}
}

func stateOf(r fleet.Reply) string {
	var v struct{ State string }
	if json.Unmarshal(r.Body, &v) != nil || v.State == "" {
		return "?"
	}
	return v.State
}

func stepsOf(spec state.Spec) []Step {
	var out []Step
	for _, s := range spec.Steps {
		out = append(out, Step{s.Name, s.Type, s.Tasks, s.Cores, s.Labels})
	}
	return out
}
