// Package clientapi is the clients' API of the policy deployment, served by every data-plane node: submit a job, read
// one, list jobs, cancel jobs. A node that cannot confirm that its state is current answers 503, never 404.
//
// Entry point: Register, which registers the routes; jobs.go and list.go have their handlers. parse.go parses and
// validates a job. The package keeps no state of jobs: it reads and commits through Store.
package clientapi

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// Defaults of Options.
const (
	defaultTimeout    = 2 * time.Second
	defaultMaxSubmits = 2000
)

// maxRetryAfter is the maximum Retry-After of a response, in seconds.
const maxRetryAfter = 3

// Store is the part of the node that the API uses: confirmed reads, and commits. Propose and Read must return at once
// when ctx ends.
type Store interface {
	// Propose commits c at the leader and returns the command's answer. c may have been committed even if Propose
	// fails, so every command that is proposed must be idempotent.
	Propose(ctx context.Context, c command.Command) (json.RawMessage, error)
	// Read runs do on a state that includes every command committed before the call, and returns the error of do. do
	// must not keep the state. If Read cannot confirm such a state, it fails with errs.Unavailable without running do.
	Read(ctx context.Context, do func(s *state.State) error) error
	// QueueLimit returns the maximum number of open jobs.
	QueueLimit() int
}

// Router is the part of *rpc.Server that the API uses.
type Router interface {
	Route(pattern string, h func(w http.ResponseWriter, r *http.Request))
}

// Options configures the API. Zero fields get their defaults.
type Options struct {
	Timeout    time.Duration // of a call; default 2s
	MaxSubmits int           // in flight, default 2000; one more fails with errs.Overloaded
	Seed       uint64        // of the jitter of Retry-After
	Clock      clock.Clock   // default clock.Real
}

// handler handles a request. It returns the status and the body of the response, or an error.
type handler func(ctx context.Context, r *http.Request) (status int, answer any, err error)

// api has the handlers. It is safe for concurrent use.
type api struct {
	store   Store
	opt     Options
	submits atomic.Int64 // in flight

	mu          sync.Mutex // guards retryJitter
	retryJitter *rand.Rand
}

// Register registers the API's routes:
//
//	POST   /v1/jobs        202 {"key","state"} for a new job, 200 if the same job was submitted before
//	GET    /v1/jobs/{key}  200 query.JobView
//	DELETE /v1/jobs/{key}  202 {"key","state"} while runs are being stopped, 200 once the job has ended
//	POST   /v1/jobs/cancel 202 command.CancelledMany; body {"keys":[…]}, or {"team":…,"queue":…} with one or both
//	GET    /v1/jobs        200 Listing; ?team= &state= &after= &limit= (1..1000, 200 if not given)
//
// Each kind of error has the status that package errs maps it to; 429 and 503 have a Retry-After of 1 to 3 seconds.
// Example:
//
//	clientapi.Register(server, node, clientapi.Options{Seed: seed})
func Register(srv Router, store Store, opt Options) {
	if opt.Timeout <= 0 {
		opt.Timeout = defaultTimeout
	}
	if opt.MaxSubmits <= 0 {
		opt.MaxSubmits = defaultMaxSubmits
	}
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	a := &api{store: store, opt: opt, retryJitter: rand.New(rand.NewPCG(opt.Seed, 0))}
	a.route(srv, "POST /v1/jobs", a.submit)
	a.route(srv, "GET /v1/jobs", a.listJobs)
	a.route(srv, "GET /v1/jobs/{key}", a.getJob)
	a.route(srv, "DELETE /v1/jobs/{key}", a.cancelJob)
	a.route(srv, "POST /v1/jobs/cancel", a.cancelJobs)
}

// route registers handle for a pattern. The context of handle ends after Options.Timeout.
func (a *api) route(srv Router, pattern string, handle handler) {
	srv.Route(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer a.opt.Clock.Set(a.opt.Timeout, cancel).Stop()
		status, answer, err := handle(ctx, r)
		if err != nil {
			rpc.WriteError(w, a.clientError(err))
			return
		}
		rpc.WriteJSON(w, status, answer)
	})
}

// propose commits a command and decodes the command's answer into answer, which is a pointer.
func (a *api) propose(ctx context.Context, c command.Command, answer any) error {
	raw, err := a.store.Propose(ctx, c)
	if err != nil {
		return errs.Pass(err, "propose %s", c.Op())
	}
	return errs.Wrap(json.Unmarshal(raw, answer), errs.Internal, "decode the answer of %s", c.Op())
}

// read runs do on a confirmed state. errs.Unknown from the store, or a Read that did not run do, becomes
// errs.Unavailable: neither confirms that something does not exist, and a client must not get 404 for it.
func (a *api) read(ctx context.Context, do func(s *state.State)) error {
	ran := false
	err := a.store.Read(ctx, func(s *state.State) error {
		ran = true
		do(s)
		return nil
	})
	switch {
	case errs.Is(err, errs.Unknown), err == nil && !ran:
		return errs.New(errs.Unavailable, "the state could not be confirmed")
	case err != nil:
		return errs.Pass(err, "read")
	}
	return nil
}

// clientError maps an error to the one that the client gets. Kinds that concern only this node and leave the outcome
// unconfirmed become Unavailable. The Retry-After of Unavailable and Overloaded is random, so that clients do not all
// retry at the same time.
func (a *api) clientError(err error) error {
	failure := *errs.Of(err)
	ended := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	switch {
	case failure.Kind == errs.Timeout, failure.Kind == errs.NotLeader, failure.Kind == errs.Stopped,
		failure.Kind == errs.Internal && ended:
		failure = errs.Error{Kind: errs.Unavailable,
			Message: "the outcome cannot be confirmed; send the same request again, to this node or another"}
	}
	if failure.Kind == errs.Unavailable || failure.Kind == errs.Overloaded {
		a.mu.Lock()
		failure.RetryAfter = time.Duration(1+a.retryJitter.IntN(maxRetryAfter)) * time.Second
		a.mu.Unlock()
	}
	return errs.Pass(&failure, "client")
}
