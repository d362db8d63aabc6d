package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

const (
	maxCallDuration    = 10 * time.Second       // timeout of a call whose ctx has no deadline
	answerMargin       = 30 * time.Millisecond  // a call ends so long before its ctx, for the answer to get out
	initialBackoff     = 20 * time.Millisecond  // between attempts; it doubles
	maxBackoff         = 200 * time.Millisecond // between attempts
	maxHops            = 3                      // hints that are followed in a row without a pause
	largeFactor        = 3                      // multiplies the timeout of an attempt of a call with large bodies
	unreachableTimeout = 1200 * time.Millisecond
	retryAfter         = time.Second // advised to the caller of a call that was given up
)

// query is one call of any endpoint and the policy for its attempts.
type query struct {
	path      string
	call      any
	newAnswer func() any    // a pointer to a new answer
	mutates   bool          // an attempt without an answer may have been carried out
	hedge     bool          // another node is asked too when the first one is slow
	large     bool          // its bodies may be large
	topology  bool          // only the leader's own answer counts
	bound     time.Duration // of the whole call; 0: maxCallDuration
}

// callEndpoint makes a call under a policy, which leaves path, call and newAnswer of the query unset.
func callEndpoint[C, A any](ctx context.Context, c *Client, endpoint rpc.Endpoint[C, A], call C,
	policy query) (A, error) {
	policy.path, policy.call, policy.newAnswer = endpoint.Path, call, func() any { return new(A) }
	answer, err := c.run(ctx, policy)
	if err != nil {
		var none A
		return none, errs.Pass(err, "%s", endpoint.Path)
	}
	return *answer.(*A), nil
}

// attempts is the state of one call between its attempts.
type attempts struct {
	end       time.Duration // of the call's time
	backoff   time.Duration // before the next attempt, jitter apart
	hops      int           // hints followed since the last pause
	uncertain bool          // an attempt may have been carried out
	last      error         // of the last attempt that was not a hint followed; nil: none yet
}

// run makes attempts until one ends the call or its time is up. It ends sooner when the core cannot be reached, but
// only while no attempt may have been carried out: its caller can then try elsewhere without risk.
func (c *Client) run(ctx context.Context, q query) (any, error) {
	begin := c.opt.Clock.Now()
	a := &attempts{end: begin + c.callTimeout(ctx, q), backoff: initialBackoff}
	for {
		now := c.opt.Clock.Now()
		if ctx.Err() != nil || now >= a.end {
			return nil, errs.Pass(a.exhausted("time is up"), "call")
		}
		if !a.uncertain && now-c.contacts.since(contactAny, begin) >= unreachableTimeout {
			return nil, errs.Pass(a.exhausted("the core cannot be reached"), "call")
		}
		addr := c.directory.pick(now)
		if addr == "" {
			return nil, errs.Pass(a.exhausted("no address of the core is known"), "call")
		}
		r := c.attempt(ctx, addr, q, min(c.attemptTimeout(q), a.end-now))
		switch r.outcome() {
		case succeeded:
			return r.answer, nil
		case refused:
			return nil, errs.Pass(a.refusal(r.err), "answer of %s", addr)
		case redirected:
			if a.hops++; a.hops <= maxHops && c.directory.isLeader(errs.Of(r.err).Hint, c.opt.Clock.Now()) {
				continue
			}
		case uncertain:
			a.uncertain = a.uncertain || q.mutates
		}
		a.hops, a.last = 0, r.err
		c.sleep(ctx, min(jitter(a.backoff), max(a.end-c.opt.Clock.Now(), 0)))
		a.backoff = min(2*a.backoff, maxBackoff)
	}
}

// attemptTimeout returns how long one attempt may take.
func (c *Client) attemptTimeout(q query) time.Duration {
	if q.large {
		return largeFactor * c.opt.Attempt
	}
	return c.opt.Attempt
}

// callTimeout returns how long a call may take: until answerMargin before the deadline of ctx, with an upper bound.
func (c *Client) callTimeout(ctx context.Context, q query) time.Duration {
	longest := maxCallDuration
	if q.bound > 0 {
		longest = q.bound
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return longest
	}
	left := deadline.Sub(c.opt.Clock.Wall())
	return min(longest, left-min(answerMargin, left/10))
}

// exhausted returns the error of a call that ends without an answer. It names no more than the kind of the last
// failure: clients see it.
func (a *attempts) exhausted(why string) error {
	kind := errs.Unavailable
	if a.uncertain {
		kind = errs.Timeout
	}
	if a.last != nil {
		why += ", last: " + string(errs.KindOf(a.last))
	}
	return &errs.Error{Kind: kind, Message: why, After: retryAfter}
}

// refusal returns the error of a call that the leader refused. That the leader is overloaded now proves nothing about
// an earlier attempt, which may have been carried out.
func (a *attempts) refusal(err error) error {
	if a.uncertain && errs.Is(err, errs.Overloaded) {
		return errs.Wrap(err, errs.Timeout, "an earlier attempt may have been carried out")
	}
	return errs.Pass(err, "refused")
}

// jitter returns a random time from half of d to d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
