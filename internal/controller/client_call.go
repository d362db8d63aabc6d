package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

const (
	maxCallDuration    = 10 * time.Second        // timeout of a call whose ctx has no deadline
	answerMargin       = 30 * time.Millisecond   // a call ends this long before its ctx, to leave time for the answer
	initialBackoff     = 20 * time.Millisecond   // between attempts; doubles up to maxBackoff
	maxBackoff         = 200 * time.Millisecond  // between attempts
	maxHops            = 3                       // hints followed in a row without a pause
	largeFactor        = 3                       // multiplies the attempt timeout of a call with large bodies
	unreachableTimeout = 1200 * time.Millisecond // a call fails early after this long without a reply of any node
	retryAfter         = time.Second             // retry hint in the error of a failed call
)

// request is a call of any endpoint and the policy for its attempts.
type request struct {
	path       string
	call       any
	newAnswer  func() any    // returns a pointer to a zero answer
	mutates    bool          // changes state, so an attempt without an answer may have taken effect
	canHedge   bool          // is sent to a second node if the first one is slow
	isLarge    bool          // may have large bodies
	leaderOnly bool          // only an answer of the leader itself is accepted
	timeout    time.Duration // of the whole call; 0: maxCallDuration
}

// callEndpoint calls an endpoint. policy holds the request's settings; its path, call and newAnswer are overwritten.
func callEndpoint[C, A any](ctx context.Context, c *Client, endpoint rpc.Endpoint[C, A], call C,
	policy request) (A, error) {
	policy.path, policy.call, policy.newAnswer = endpoint.Path, call, func() any { return new(A) }
	answer, err := c.run(ctx, policy)
	if err != nil {
		var none A
		return none, errs.Pass(err, "%s", endpoint.Path)
	}
	return *answer.(*A), nil
}

// callState is the state of one call between its attempts.
type callState struct {
	deadline      time.Duration
	backoff       time.Duration // before the next attempt, without jitter
	hops          int           // hints followed since the last pause
	maybeExecuted bool          // an attempt may have been executed
	lastErr       error         // of the last failed attempt, redirects that were followed excluded; nil: none yet
}

// run makes attempts until one succeeds or is refused, or until the call's deadline. It fails early if the control
// plane is unreachable and no attempt may have been executed: the caller can then safely retry elsewhere. A change is
// not attempted once the caller on whose behalf it is made no longer waits.
func (c *Client) run(ctx context.Context, req request) (any, error) {
	begin := c.opt.Clock.Now()
	call := &callState{deadline: begin + c.callTimeout(ctx, req), backoff: initialBackoff}
	for {
		now := c.opt.Clock.Now()
		if ctx.Err() != nil || now >= call.deadline {
			return nil, errs.Pass(call.failure("deadline exceeded or context canceled"), "call")
		}
		if req.mutates && rpc.CheckCaller(ctx) != nil {
			return nil, errs.Pass(call.failure("the caller no longer waits"), "call")
		}
		if !call.maybeExecuted && now-c.contacts.since(contactAny, begin) >= unreachableTimeout {
			return nil, errs.Pass(call.failure("control plane unreachable"), "call")
		}
		addr := c.directory.pick(now)
		if addr == "" {
			return nil, errs.Pass(call.failure("no control-plane address known"), "call")
		}
		r := c.attempt(ctx, addr, req, min(c.attemptTimeout(req), call.deadline-now))
		switch r.outcome() {
		case succeeded:
			return r.answer, nil
		case refused:
			return nil, errs.Pass(call.refusal(r.err), "answer of %s", addr)
		case redirected:
			if call.hops++; call.hops <= maxHops && c.directory.isLeader(errs.Of(r.err).Hint, c.opt.Clock.Now()) {
				continue
			}
		case uncertain:
			call.maybeExecuted = call.maybeExecuted || req.mutates
		}
		call.hops, call.lastErr = 0, r.err
		c.sleep(ctx, min(jitter(call.backoff), max(call.deadline-c.opt.Clock.Now(), 0)))
		call.backoff = min(2*call.backoff, maxBackoff)
	}
}

// attemptTimeout returns the maximum duration of one attempt.
func (c *Client) attemptTimeout(req request) time.Duration {
	if req.isLarge {
		return largeFactor * c.opt.AttemptTimeout
	}
	return c.opt.AttemptTimeout
}

// callTimeout returns the maximum duration of a call. With it the call ends before the deadline of ctx, by answerMargin
// or by a tenth of the remaining time, whichever is less.
func (c *Client) callTimeout(ctx context.Context, req request) time.Duration {
	longest := maxCallDuration
	if req.timeout > 0 {
		longest = req.timeout
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return longest
	}
	remaining := deadline.Sub(c.opt.Clock.Wall())
	return min(longest, remaining-min(answerMargin, remaining/10))
}

// failure returns the error of a call that ends without an answer. Clients see the message, so it includes only the
// kind of the last error.
func (s *callState) failure(reason string) error {
	kind := errs.Unavailable
	if s.maybeExecuted {
		kind = errs.Timeout
	}
	if s.lastErr != nil {
		reason += ", last error: " + string(errs.KindOf(s.lastErr))
	}
	return &errs.Error{Kind: kind, Message: reason, RetryAfter: retryAfter}
}

// refusal returns the error of a call that the leader refused. errs.Overloaded becomes errs.Timeout if an earlier
// attempt may have been executed, because the outcome of that attempt remains unknown.
func (s *callState) refusal(err error) error {
	if s.maybeExecuted && errs.Is(err, errs.Overloaded) {
		return errs.Wrap(err, errs.Timeout, "an earlier attempt may have been executed")
	}
	return errs.Pass(err, "refused")
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
