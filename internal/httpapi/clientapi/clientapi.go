// Package clientapi is the clients' API of every dplane: submit a job, read one, list jobs, cancel one.
// What a node cannot confirm it answers with 503, never with 404.
package clientapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// MaxBody bounds the body of a job, in bytes.
const MaxBody = 1 << 20

// Bounds of a list.
const (
	DefaultList = 200
	MaxList     = 1000
)

// Store is what the API needs of its node: confirmed reads and commits. Propose and Read must return at once
// when ctx ends.
type Store interface {
	// Propose commits c at the leader and returns the command's answer. A command sent again after an error must
	// do no harm: it may have been committed.
	Propose(ctx context.Context, c command.Command) (json.RawMessage, error)
	// Read runs do, before it returns, on a state at least as new as the call began. do must not keep the state.
	// errs.Unavailable when that cannot be confirmed; do has not run then.
	Read(ctx context.Context, do func(s *state.State) error) error
	// QueueLimit is the most jobs that may be open.
	QueueLimit() int
}

// Router is what the API needs of its server (*rpc.Server).
type Router interface {
	Route(pattern string, h func(w http.ResponseWriter, r *http.Request))
}

// Options are the settings of the API; the zero value takes the defaults.
type Options struct {
	Timeout    time.Duration // a call that takes longer is abandoned, default 2s
	MaxSubmits int           // submits worked on at once, default 2000; one more is errs.Overloaded
	Seed       uint64        // of the spread of Retry-After
	Clock      clock.Clock   // default clock.Real
}

// Accepted answers POST /v1/jobs and DELETE /v1/jobs/{key}.
type Accepted struct {
	Key    string         `json:"key"`
	State  state.JobPhase `json:"state"`
	Reason string         `json:"reason,omitempty"`
}

// Listing answers GET /v1/jobs. Next, if there is one, is the `after` of the next page.
type Listing struct {
	Jobs []query.JobView `json:"jobs"`
	Next string          `json:"next,omitempty"`
}

type api struct {
	store       Store
	opt         Options
	submitting  atomic.Int64
	mu          sync.Mutex
	retryJitter *rand.Rand
}

// Register puts the API's routes on s:
//
//	POST   /v1/jobs        202 {"key","state"} when fresh, 200 when the same job was there before
//	GET    /v1/jobs/{key}  200 query.JobView
//	DELETE /v1/jobs/{key}  202 {"key","state"} while runs are being stopped, 200 when the job is over
//	GET    /v1/jobs        200 Listing; ?team= &state= &after= &limit= (1..1000, 200 if not given)
//
// Failures are answered by the table of package errs; 429 and 503 carry a Retry-After of 1 to 3 seconds. Example:
//
//	clientapi.Register(server, node, clientapi.Options{Seed: seed})
func Register(s Router, b Store, opt Options) {
	if opt.Timeout <= 0 {
		opt.Timeout = 2 * time.Second
	}
	if opt.MaxSubmits <= 0 {
		opt.MaxSubmits = 2000
	}
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	a := &api{store: b, opt: opt, retryJitter: rand.New(rand.NewPCG(opt.Seed, 0))}
	for pattern, h := range map[string]func(context.Context, *http.Request) (int, any, error){
		"POST /v1/jobs":         a.submit,
		"GET /v1/jobs":          a.listJobs,
		"GET /v1/jobs/{key}":    a.getJob,
		"DELETE /v1/jobs/{key}": a.cancelJob,
		"POST /v1/jobs/cancel":  a.cancelJobs,
	} {
		s.Route(pattern, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			defer opt.Clock.Set(opt.Timeout, cancel).Stop()
			status, answer, err := h(ctx, r)
			if err != nil {
				rpc.WriteError(w, a.clientError(err))
				return
			}
			rpc.WriteJSON(w, status, answer)
		})
	}
}

func (a *api) submit(ctx context.Context, r *http.Request) (int, any, error) {
	defer a.submitting.Add(-1)
	if n := a.submitting.Add(1); n > int64(a.opt.MaxSubmits) {
		return 0, nil, errs.New(errs.Overloaded, "%d jobs are being handed in here, the bound", a.opt.MaxSubmits)
	}
	data, err := rpc.ReadBody(r, MaxBody)
	if err != nil {
		return 0, nil, errs.Pass(err, "submit")
	}
	spec, digest, err := Parse(data)
	if err != nil {
		return 0, nil, errs.Pass(err, "submit")
	}
	var got command.Submitted
	if err := a.propose(ctx, &command.Submit{Spec: spec, Digest: digest, Bound: a.store.QueueLimit()}, &got); err != nil {
		return 0, nil, errs.Pass(err, "submit %s", spec.Key)
	}
	status := http.StatusOK
	if got.Fresh {
		status = http.StatusAccepted
	}
	return status, Accepted{got.Key, got.Phase, got.Reason}, nil
}

func (a *api) cancelJob(ctx context.Context, r *http.Request) (int, any, error) {
	key, err := jobKey(r)
	if err != nil {
		return 0, nil, errs.Pass(err, "cancel")
	}
	var got command.Cancelled
	if err := a.propose(ctx, &command.Cancel{Key: key}, &got); err != nil {
		return 0, nil, errs.Pass(err, "cancel %s", key)
	}
	status := http.StatusAccepted
	if got.Phase.IsTerminal() {
		status = http.StatusOK
	}
	return status, Accepted{Key: got.Key, State: got.Phase}, nil
}

// cancelJobs stops many jobs: {"keys":[…]}, or {"team":…,"queue":…} with one of the two or both.
func (a *api) cancelJobs(ctx context.Context, r *http.Request) (int, any, error) {
	data, err := rpc.ReadBody(r, MaxBody)
	if err != nil {
		return 0, nil, errs.Pass(err, "cancels")
	}
	var c command.CancelMany
	in := json.NewDecoder(bytes.NewReader(data))
	in.DisallowUnknownFields()
	if err := in.Decode(&c); err != nil {
		return 0, nil, errs.Wrap(err, errs.Malformed, "the body is not {keys} or {team, queue}: %s", err)
	}
	var got command.CancelledMany
	if err := a.propose(ctx, &c, &got); err != nil {
		return 0, nil, errs.Pass(err, "cancels")
	}
	return http.StatusAccepted, got, nil
}

func (a *api) getJob(ctx context.Context, r *http.Request) (int, any, error) {
	key, err := jobKey(r)
	if err != nil {
		return 0, nil, errs.Pass(err, "job")
	}
	var view query.JobView
	var miss error // kept apart: only a confirmed state may say that a job is not there
	if err := a.read(ctx, func(s *state.State) { view, miss = query.Job(s, key) }); err != nil {
		return 0, nil, errs.Pass(err, "job %s", key)
	}
	if miss != nil {
		return 0, nil, errs.Pass(miss, "job %s", key)
	}
	return http.StatusOK, view, nil
}

func (a *api) listJobs(ctx context.Context, r *http.Request) (int, any, error) {
	q, err := parseFilter(r)
	if err != nil {
		return 0, nil, errs.Pass(err, "list")
	}
	out := Listing{Jobs: []query.JobView{}}
	err = a.read(ctx, func(s *state.State) {
		jobs, more := query.Jobs(s, q.team, q.phase, q.after, q.limit)
		out.Jobs = append(out.Jobs, jobs...)
		if more {
			out.Next = jobs[len(jobs)-1].Key
		}
	})
	if err != nil {
		return 0, nil, errs.Pass(err, "list")
	}
	return http.StatusOK, out, nil
}

func (a *api) propose(ctx context.Context, c command.Command, answer any) error {
	raw, err := a.store.Propose(ctx, c)
	if err != nil {
		return errs.Pass(err, "propose %s", c.Op())
	}
	return errs.Wrap(json.Unmarshal(raw, answer), errs.Internal, "answer of %s", c.Op())
}

func (a *api) read(ctx context.Context, do func(s *state.State)) error {
	ran := false
	err := a.store.Read(ctx, func(s *state.State) error {
		ran = true
		do(s)
		return nil
	})
	switch {
	case errs.Is(err, errs.Unknown), err == nil && !ran:
		return errs.New(errs.Unavailable, "nothing was read")
	case err != nil:
		return errs.Pass(err, "read")
	}
	return nil
}

// clientError turns kinds that concern the node alone, and mean "not confirmed", into Unavailable. Retry-After of
// Unavailable and Overloaded is spread at random.
func (a *api) clientError(err error) error {
	f := *errs.Of(err)
	ended := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	switch {
	case f.Kind == errs.Timeout, f.Kind == errs.NotLeader, f.Kind == errs.Stopped, f.Kind == errs.Internal && ended:
		f = errs.Error{Kind: errs.Unavailable, Message: "this cannot be confirmed now; send the same again, here or at another node"}
	}
	if f.Kind == errs.Unavailable || f.Kind == errs.Overloaded {
		a.mu.Lock()
		f.After = time.Duration(1+a.retryJitter.IntN(3)) * time.Second
		a.mu.Unlock()
	}
	return errs.Pass(&f, "client")
}

func jobKey(r *http.Request) (string, error) {
	key := r.PathValue("key")
	if !nameForm.MatchString(key) {
		return "", errs.Field(errs.Invalid, "key", nameRule)
	}
	return key, nil
}

type filter struct {
	team, after string
	phase       state.JobPhase
	limit       int
}

var phases = map[state.JobPhase]bool{
	state.JobAccepted: true, state.JobRunning: true, state.JobStopping: true,
	state.JobDone: true, state.JobFailed: true, state.JobCancelled: true,
}

func parseFilter(r *http.Request) (filter, error) {
	out := filter{limit: DefaultList}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return out, errs.Wrap(err, errs.Malformed, "the query")
	}
	for name, list := range values {
		value := list[0]
		switch {
		case len(list) > 1:
			return out, errs.Field(errs.Invalid, name, "is given twice")
		case name == "team" && nameForm.MatchString(value):
			out.team = value
		case name == "after" && nameForm.MatchString(value):
			out.after = value
		case name == "team", name == "after":
			return out, errs.Field(errs.Invalid, name, nameRule)
		case name == "state":
			if out.phase = state.JobPhase(value); !phases[out.phase] {
				return out, errs.Field(errs.Invalid, name, "is no state of a job")
			}
		case name == "limit":
			if out.limit, err = strconv.Atoi(value); err != nil || out.limit < 1 || out.limit > MaxList {
				return out, errs.Field(errs.Invalid, name, "must be a whole number of 1 to %d", MaxList)
			}
		default:
			return out, errs.Field(errs.Invalid, join("", name), "there is no such parameter")
		}
	}
	return out, nil
}
