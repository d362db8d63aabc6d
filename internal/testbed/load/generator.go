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
	callTimeout       = 5 * time.Second        // of one call
	firstPollInterval = 200 * time.Millisecond // wait before the first poll
	maxPollInterval   = 3 * time.Second        // the wait grows by half with every poll up to this
	minBackoff        = 50 * time.Millisecond  // wait before another node is tried without a Retry-After
	maxBackoff        = 3 * time.Second        // the longest Retry-After that is heeded, and the most a wait grows to
	connsPerNode      = 256                    // to each node
)

// Caller sends one call to a node (*fleet.Caller).
type Caller interface {
	Call(ctx context.Context, method, addr, path string, in any, timeout time.Duration) (fleet.Reply, error)
}

type generator struct {
	opt      Options
	caller   Caller
	nodes    []fleet.Node
	clock    clock.Clock
	polls    *rate.Limiter
	journals []*journal.Writer

	mu         sync.Mutex
	counts     Report
	accept     *latencies
	acceptedAt map[string]int64 // when a job was acknowledged, Unix ns
	err        error            // the first journal fault
}

// TaskDuration offers the load of o to the dplanes of the fleet in o.Dir and waits for the ends of what was accepted. The
// Report is whole also when ctx ends early. Faults: Invalid, Disk. Example:
//
//	report, err := load.TaskDuration(ctx, load.Options{Dir: dir, Rate: 20, For: 20 * time.Second, Run: 100 * time.Millisecond})
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.SetDefaults(); err != nil {
		return Report{}, errs.Pass(err, "load")
	}
	if o.Prefix == "" {
		o.Prefix = newPrefix()
	}
	nodes, err := fleet.Read(o.Dir)
	if err != nil {
		return Report{}, errs.Pass(err, "load")
	}
	if len(nodes.DataPlanes) == 0 {
		return Report{}, errs.New(errs.Settings, "the fleet has no dplane")
	}
	l := &generator{opt: o, caller: fleet.NewCaller(connsPerNode), nodes: nodes.DataPlanes, clock: clock.Real{},
		polls: rate.NewLimiter(rate.Limit(o.MaxPollsPerSecond), 50), accept: newLatencies(), acceptedAt: map[string]int64{}}
	l.counts.Refused, l.counts.Overloaded = map[string]int{}, map[string]int{}
	for i := range o.Clients {
		writer, err := journal.Open(filepath.Join(o.Dir, "journal", fmt.Sprintf("consumer-%s-%d.jsonl", o.Prefix, i+1)))
		if err != nil {
			return Report{}, errs.Pass(err, "load")
		}
		defer writer.Close()
		l.journals = append(l.journals, writer)
	}
	l.run(ctx, planArrivals(o))
	report, err := l.report()
	return report, errs.Pass(err, "load")
}

// newPrefix returns a prefix of keys that no earlier load had.
func newPrefix() string { return "l" + strconv.FormatInt(time.Now().UnixMilli(), 36) }

// arrival starts every job at its time, whatever became of those before, and waits for all.
func (l *generator) run(ctx context.Context, offers []arrival) {
	began := l.clock.Now()
	ctx, stop := context.WithCancel(ctx)
	defer l.clock.Set(l.opt.Duration+l.opt.EndTimeout, stop).Stop()
	defer stop()
	group := routine.New(ctx)
	for i, of := range offers {
		if l.sleep(ctx, began+of.at-l.clock.Now()) != nil {
			break
		}
		l.count(func(r *Report) { r.Offered++ })
		group.Go(func(ctx context.Context) { l.followJob(ctx, l.journals[i%len(l.journals)], of, began+of.at) })
	}
	group.Wait()
	l.count(func(r *Report) {
		r.Seconds = (l.clock.Now() - began).Seconds()
		r.Rate = float64(r.Offered) / l.opt.Duration.Seconds()
	})
}

// job is one job on its way.
type job struct {
	*generator
	arrival
	writer *journal.Writer
	rng    *rand.Rand
	node   int // tried last
}

// followJob sees a job through: yes, perhaps once more, perhaps a cancel, polls to the end.
func (l *generator) followJob(ctx context.Context, writer *journal.Writer, of arrival, due time.Duration) {
	j := &job{generator: l, arrival: of, writer: writer, rng: rand.New(rand.NewPCG(of.seed, 2))}
	j.node = j.rng.IntN(len(l.nodes))
	j.record(Entry{Event: Submit, Node: j.nodes[j.node].Name, Team: j.spec.Team, Queue: j.spec.Queue})
	reply, reason := j.callUntilAnswered(ctx, http.MethodPost, "/v1/jobs", j.spec)
	if reason != "" {
		j.record(Entry{Event: Refused, Node: j.nodes[j.node].Name, Reason: reason, Status: reply.Status})
		l.count(func(r *Report) { r.Refused[reason]++ })
		return
	}
	acceptedAt := j.record(Entry{Event: Accepted, Node: j.nodes[j.node].Name, Team: j.spec.Team, Queue: j.spec.Queue,
		State: stateOf(reply), Status: reply.Status, Steps: stepsOf(j.spec)})
	took := l.clock.Now() - due
	l.count(func(r *Report) {
		r.Accepted++
		l.accept.record(took)
		l.acceptedAt[j.spec.Key] = acceptedAt
	})
	if j.dup {
		j.resubmit(ctx)
	}
	cancelAt := time.Duration(-1)
	if j.cancel >= 0 {
		cancelAt = l.clock.Now() + j.cancel
	}
	j.pollToEnd(ctx, cancelAt)
}

// resubmit hands the job in once more at another node: it must be the same job.
func (j *job) resubmit(ctx context.Context) {
	j.switchNode()
	reply, reason := j.callUntilAnswered(ctx, http.MethodPost, "/v1/jobs", j.spec)
	j.record(Entry{Event: Again, Node: j.nodes[j.node].Name, Status: reply.Status, State: stateOf(reply), Reason: reason})
	j.count(func(r *Report) {
		if r.Dups++; reason != "" {
			r.DupsRefused++
		}
	})
}

// pollToEnd polls until the job is over; from cancelAt on (below 0: never) it cancels first.
func (j *job) pollToEnd(ctx context.Context, cancelAt time.Duration) {
	seen, missing := "", false
	for wait := firstPollInterval; ; wait = min(wait*3/2, maxPollInterval) {
		pause := wait
		if cancelAt >= 0 {
			pause = min(wait, cancelAt-j.clock.Now())
		}
		if j.sleep(ctx, pause) != nil || j.polls.Wait(ctx) != nil {
			break
		}
		if cancelAt >= 0 && j.clock.Now() >= cancelAt {
			cancelAt = -1
			j.record(Entry{Event: Cancel, Node: j.nodes[j.node].Name})
			if reply, reason := j.callUntilAnswered(ctx, http.MethodDelete, "/v1/jobs/"+j.spec.Key, nil); reason == "" {
				j.record(Entry{Event: Cancelled, Node: j.nodes[j.node].Name, State: stateOf(reply), Status: reply.Status})
				j.count(func(r *Report) { r.Cancels++ })
			}
		}
		j.node = j.rng.IntN(len(j.nodes))
		reply, err := j.caller.Call(ctx, http.MethodGet, j.nodes[j.node].Addr, "/v1/jobs/"+j.spec.Key, nil, callTimeout)
		j.count(func(r *Report) { r.Polls++ })
		is := Missing
		switch {
		case err == nil && reply.IsSuccess():
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
		j.record(Entry{Event: Poll, Node: j.nodes[j.node].Name, State: is, Status: reply.Status})
		if phase := state.JobPhase(is); phase.IsTerminal() {
			j.count(func(r *Report) { r.end(phase, missing) })
			return
		}
	}
	j.count(func(r *Report) { r.end("", missing) })
}

// callUntilAnswered sends a call that may be repeated to one node after another until it is answered for good or the time
// to give up has come; why is the kind of the last refusal, "" after a yes.
func (j *job) callUntilAnswered(ctx context.Context, method, path string, in any) (reply fleet.Reply, reason string) {
	end := j.clock.Now() + j.opt.SubmitTimeout
	for back := minBackoff; ; back = min(back*2, maxBackoff) {
		got, err := j.caller.Call(ctx, method, j.nodes[j.node].Addr, path, in, callTimeout)
		switch {
		case err != nil:
			reason = "lost" // it may have been accepted all the same
		case got.IsSuccess():
			return got, ""
		default:
			if reply, reason = got, got.ErrorKind(); !isTransient(got.Status) {
				return reply, reason
			}
		}
		j.count(func(r *Report) { r.Overloaded[reason]++ })
		wait := time.Duration((0.5 + j.rng.Float64()) * float64(back))
		if err == nil && got.RetryAfter > 0 {
			wait = min(got.RetryAfter, maxBackoff)
		}
		if j.clock.Now()+wait > end || j.sleep(ctx, wait) != nil {
			return reply, reason
		}
		j.switchNode()
		j.count(func(r *Report) { r.Retries++ })
	}
}

// isTransient reports whether the same call may well be answered otherwise at another time or node.
func isTransient(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway,
		http.StatusGatewayTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// switchNode goes on to another node, if there is one.
func (j *job) switchNode() {
	if n := len(j.nodes); n > 1 {
		j.node = (j.node + 1 + j.rng.IntN(n-1)) % n
	}
}

// record journals e and gives its time.
func (j *job) record(e Entry) int64 {
	e.At, e.Job = j.clock.Wall().UnixNano(), j.spec.Key
	if err := j.writer.Append(e); err != nil {
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.err == nil {
			j.err = errs.Pass(err, "client's journal")
		}
	}
	return e.At
}

func (l *generator) count(do func(r *Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(&l.counts)
}

// sleep waits for d on the clock; a fault if ctx ends first.
func (l *generator) sleep(ctx context.Context, d time.Duration) error {
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
