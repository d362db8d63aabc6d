package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
)

const (
	callTimeout       = 5 * time.Second        // for one call
	firstPollInterval = 200 * time.Millisecond // before the first poll; grows by half with every poll
	maxPollInterval   = 3 * time.Second
	minBackoff        = 50 * time.Millisecond // before a retry without a Retry-After; doubles with every attempt
	maxBackoff        = 3 * time.Second       // also limits a Retry-After
)

// reasonLost is the reason of a call without an answer: the node may still have carried it out.
const reasonLost = "lost"

// job is the client's view of one job. Only the goroutine that follows the job uses it.
type job struct {
	*generator
	arrival
	writer *journal.Writer
	rng    *rand.Rand
	node   int // index of the node of the current or last call
}

// follow submits a job, submits it a second time if it isRepeated, polls it until it ends, and cancels it after its
// cancelAfter. due is the time of its arrival on the generator's clock.
func (g *generator) follow(ctx context.Context, writer *journal.Writer, next arrival, due time.Duration) {
	j := &job{generator: g, arrival: next, writer: writer, rng: rand.New(rand.NewPCG(next.seed, 2))}
	j.node = j.rng.IntN(len(g.nodes))
	if !j.submit(ctx, due) {
		return
	}
	if j.isRepeated {
		j.resubmit(ctx)
	}
	cancelAt := time.Duration(-1)
	if j.cancelAfter >= 0 {
		cancelAt = g.clock.Now() + j.cancelAfter
	}
	j.pollToEnd(ctx, cancelAt)
}

// submit submits the job to one node after another until one accepts it. It returns false if the job was given up.
func (j *job) submit(ctx context.Context, due time.Duration) bool {
	j.record(Entry{Event: Submit, Node: j.nodeName(), Team: j.spec.Team, Queue: j.spec.Queue})
	reply, reason := j.callUntilAnswered(ctx, http.MethodPost, "/v1/jobs", j.spec)
	if reason != "" {
		j.record(Entry{Event: Refused, Node: j.nodeName(), Reason: reason, Status: reply.Status})
		j.count(func(r *Report) { r.Refused[reason]++ })
		return false
	}
	acceptedAt := j.record(Entry{Event: Accepted, Node: j.nodeName(), Team: j.spec.Team, Queue: j.spec.Queue,
		State: stateOf(reply), Status: reply.Status, Steps: stepsOf(j.spec)})
	took := j.clock.Now() - due
	j.count(func(r *Report) {
		r.Accepted++
		j.accept.Record(max(took, time.Microsecond))
		j.acceptedAt[j.spec.Key] = acceptedAt
	})
	return true
}

// resubmit submits the accepted job a second time, at another node, which must answer for the same job.
func (j *job) resubmit(ctx context.Context) {
	j.switchNode()
	reply, reason := j.callUntilAnswered(ctx, http.MethodPost, "/v1/jobs", j.spec)
	j.record(Entry{Event: Again, Node: j.nodeName(), Status: reply.Status, State: stateOf(reply), Reason: reason})
	j.count(func(r *Report) {
		r.Duplicates++
		if reason != "" {
			r.DuplicatesRefused++
		}
	})
}

// pollToEnd polls until the job has ended, and cancels it at cancelAt (negative: never). It journals a poll only if the
// state differs from the last one, or if the answer was a 404.
func (j *job) pollToEnd(ctx context.Context, cancelAt time.Duration) {
	lastState, wasMissing := "", false
	for interval := firstPollInterval; ; interval = min(interval*3/2, maxPollInterval) {
		wait := interval
		if cancelAt >= 0 {
			wait = min(interval, cancelAt-j.clock.Now())
		}
		if !j.sleep(ctx, wait) || j.polls.Wait(ctx) != nil {
			j.count(func(r *Report) { r.addEnd("", wasMissing) })
			return
		}
		cancelAt = j.cancelWhenDue(ctx, cancelAt)
		jobState, status, isAnswered := j.poll(ctx)
		if !isAnswered {
			continue
		}
		wasMissing = wasMissing || jobState == Missing
		if jobState == lastState && jobState != Missing {
			continue
		}
		lastState = jobState
		j.record(Entry{Event: Poll, Node: j.nodeName(), State: jobState, Status: status})
		if phase := state.JobPhase(jobState); phase.IsTerminal() {
			j.count(func(r *Report) { r.addEnd(phase, wasMissing) })
			return
		}
	}
}

// cancelWhenDue cancels the job if cancelAt has passed. It returns the time at which the job still has to be cancelled,
// which is negative if it need not be, or no longer.
func (j *job) cancelWhenDue(ctx context.Context, cancelAt time.Duration) time.Duration {
	if cancelAt < 0 || j.clock.Now() < cancelAt {
		return cancelAt
	}
	j.record(Entry{Event: Cancel, Node: j.nodeName()})
	reply, reason := j.callUntilAnswered(ctx, http.MethodDelete, "/v1/jobs/"+j.spec.Key, nil)
	if reason == "" {
		j.record(Entry{Event: Cancelled, Node: j.nodeName(), State: stateOf(reply), Status: reply.Status})
		j.count(func(r *Report) { r.Cancels++ })
	}
	return -1
}

// poll asks a random node for the job's state, which is Missing if the answer is a 404. isAnswered is false after any
// other refusal and after a lost answer, because neither proves anything about the job.
func (j *job) poll(ctx context.Context) (jobState string, status int, isAnswered bool) {
	j.node = j.rng.IntN(len(j.nodes))
	addr, path := j.nodes[j.node].Addr, "/v1/jobs/"+j.spec.Key
	reply, err := j.caller.Call(ctx, http.MethodGet, addr, path, nil, callTimeout)
	j.count(func(r *Report) { r.Polls++ })
	switch {
	case err == nil && reply.IsSuccess():
		return stateOf(reply), reply.Status, true
	case err == nil && reply.Status == http.StatusNotFound:
		return Missing, reply.Status, true
	}
	return "", 0, false
}

// callUntilAnswered sends an idempotent call to one node after another until it gets a final answer or SubmitTimeout
// has passed. reason is the kind of the last refusal, or "" after a success.
func (j *job) callUntilAnswered(ctx context.Context, method, path string, in any) (reply fleet.Reply, reason string) {
	deadline := j.clock.Now() + j.options.SubmitTimeout
	for backoff := minBackoff; ; backoff = min(backoff*2, maxBackoff) {
		answer, err := j.caller.Call(ctx, method, j.nodes[j.node].Addr, path, in, callTimeout)
		switch {
		case err != nil:
			reason = reasonLost
		case answer.IsSuccess():
			return answer, ""
		default:
			reply, reason = answer, answer.ErrorKind()
			if !isTransient(answer.Status) {
				return reply, reason
			}
		}
		j.count(func(r *Report) { r.Overloaded[reason]++ })
		wait := time.Duration((0.5 + j.rng.Float64()) * float64(backoff))
		if err == nil && answer.RetryAfter > 0 {
			wait = min(answer.RetryAfter, maxBackoff)
		}
		if j.clock.Now()+wait > deadline || !j.sleep(ctx, wait) {
			return reply, reason
		}
		j.switchNode()
		j.count(func(r *Report) { r.Retries++ })
	}
}

// isTransient reports whether a retry, or another node, may give another answer to the same call.
func isTransient(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway,
		http.StatusGatewayTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (j *job) nodeName() string { return j.nodes[j.node].Name }

// switchNode picks another node at random for the next call, if there is one.
func (j *job) switchNode() {
	if n := len(j.nodes); n > 1 {
		j.node = (j.node + 1 + j.rng.IntN(n-1)) % n
	}
}

// record journals an event of the job and returns its time in Unix ns.
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

// stateOf returns the job's state in an answer, or "?" if the answer has none.
func stateOf(r fleet.Reply) string {
	var view struct{ State string }
	if json.Unmarshal(r.Body, &view) != nil || view.State == "" {
		return "?"
	}
	return view.State
}

// stepsOf returns what the audit needs of a job's steps.
func stepsOf(spec state.Spec) []Step {
	var steps []Step
	for _, s := range spec.Steps {
		steps = append(steps, Step{s.Name, s.Type, s.Tasks, s.Cores, s.Labels})
	}
	return steps
}
