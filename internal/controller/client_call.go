package controller

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

const (
	maxCallDuration    = 10 * time.Second      // bound of a call whose ctx has no deadline
	answerMargin       = 30 * time.Millisecond // a call ends so long before its ctx, for the answer to get out
	initialBackoff     = 20 * time.Millisecond // between attempts; it doubles
	maxBackoff         = 200 * time.Millisecond
	maxHops            = 3                       // hints that are followed in a row without a pause
	largeFactor        = 3                       // attempts of calls with large bodies take so many times as long
	unreachableTimeout = 1200 * time.Millisecond // without any node's answer, when surely nothing was carried out
)

// query is one call of any pair, and how it is treated.
type query struct {
	path      string
	call      any
	newAnswer func() any // a pointer to a new answer
	mutates   bool       // an attempt without an answer may have been carried out
	hedge     bool       // another node is asked too when the first one is slow
	large     bool       // its bodies may be large
	topology  bool       // only the leader's own answer will do
	bound     time.Duration
}

// reply is what came of one attempt.
type reply struct {
	answer   any
	err      error
	answered bool // the peer answered, with the answer or a failure
	unsent   bool // no byte left
}

// callPair makes a call of the pair p.
func callPair[C, A any](ctx context.Context, c *Client, p rpc.Endpoint[C, A], call C, q query) (A, error) {
	q.path, q.call, q.newAnswer = p.Path, call, func() any { return new(A) }
	answer, err := c.run(ctx, q)
	if err != nil {
		var none A
		return none, errs.Pass(err, "%s", p.Path)
	}
	return *answer.(*A), nil
}

// outcome is what an attempt means for its call.
type outcome int

const (
	succeeded  outcome = iota
	refused            // a failure that ends the call
	redirected         // the node does not lead; it did nothing
	declined           // the attempt surely did nothing; another may
	uncertain          // the attempt may have been carried out
)

func (r reply) outcome() outcome {
	switch {
	case r.err == nil:
		return succeeded
	case r.unsent:
		return declined
	case !r.answered:
		return uncertain
	}
	switch errs.KindOf(r.err) {
	case errs.Unknown, errs.Invalid, errs.Malformed, errs.TooLarge, errs.Conflict, errs.Stale, errs.Forbidden, errs.Overloaded:
		return refused
	case errs.NotLeader:
		return redirected
	case errs.Unavailable:
		return declined
	}
	// Stopped too: a server that stops refuses what it has not begun, but a handler may say it of what it has.
	return uncertain
}

// attempts is the course of one call.
type attempts struct {
	begin, end time.Duration
	backoff    time.Duration
	hops       int
	uncertain  bool // an attempt may have been carried out
	last       error
}

// run makes attempts until one ends the call or time is up.
func (c *Client) run(ctx context.Context, q query) (any, error) {
	begin := c.opt.Clock.Now()
	a := &attempts{begin: begin, end: begin + c.callTimeout(ctx, q), backoff: initialBackoff}
	for {
		now := c.opt.Clock.Now()
		if ctx.Err() != nil || now >= a.end {
			return nil, errs.Pass(a.exhausted("time is up"), "call")
		}
		if !a.uncertain && now-c.unreachedSince(begin) >= unreachableTimeout {
			return nil, errs.Pass(a.exhausted("the core cannot be reached"), "call")
		}
		addr := c.directory.pick(now)
		if addr == "" {
			return nil, errs.Pass(a.exhausted("no address of the core is known"), "call")
		}
		r := c.attempt(ctx, addr, q, min(c.attemptBound(q), a.end-now))
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

func (c *Client) attemptBound(q query) time.Duration {
	if q.large {
		return largeFactor * c.opt.Attempt
	}
	return c.opt.Attempt
}

// callTimeout is how long a call may take.
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

// exhausted is the error of a call that ends without an answer.
func (a *attempts) exhausted(why string) error {
	kind := errs.Unavailable
	if a.uncertain {
		kind = errs.Timeout
	}
	if a.last != nil {
		why += ", last: " + string(errs.KindOf(a.last)) // no more: clients see it
	}
	return &errs.Error{Kind: kind, Message: why, After: retryAfter}
}

// refusal is the error of a call that the leader refused. A node that takes nothing at the moment says nothing of an
// earlier attempt.
func (a *attempts) refusal(err error) error {
	if a.uncertain && errs.Is(err, errs.Overloaded) {
		return errs.Wrap(err, errs.Timeout, "an earlier attempt may have been carried out")
	}
	return errs.Pass(err, "refused")
}

// attempt asks the node at addr, and another one too when q may be hedged.
func (c *Client) attempt(ctx context.Context, addr string, q query, timeout time.Duration) reply {
	if q.hedge && timeout > hedgeDelay {
		return c.hedged(ctx, addr, q, timeout)
	}
	r := c.askOnce(ctx, addr, q, timeout)
	c.recordReply(ctx, addr, timeout, r)
	return r
}

// askOnce asks the node at addr. Of a query of the topology only the leader's own answer is a success.
func (c *Client) askOnce(ctx context.Context, addr string, q query, timeout time.Duration) reply {
	answer := q.newAnswer()
	r := c.ask(ctx, addr, q, answer, timeout)
	if r.err != nil {
		return r
	}
	r.answer = answer
	if t, ok := answer.(*TopologyAnswer); ok && q.topology {
		c.directory.updateMembers(t.Members, t.Leader == addr)
		if t.Leader != addr {
			r.err = &errs.Error{Kind: errs.NotLeader, Message: "it does not lead", Hint: t.Leader}
			return r
		}
		c.recordNow(&c.lastMembersAt)
	}
	return r
}

// change remembers what a reply tells of the node at addr, which had the time within for it.
func (c *Client) recordReply(ctx context.Context, addr string, timeout time.Duration, r reply) {
	if r.answered {
		c.recordNow(&c.lastReachedAt)
	}
	now := c.opt.Clock.Now()
	switch o := r.outcome(); {
	case o == succeeded || o == refused:
		c.directory.recordLeader(addr)
		c.recordNow(&c.lastLeaderAt)
	case o == redirected:
		c.directory.followHint(addr, errs.Of(r.err).Hint, now)
	case r.answered:
		c.directory.clearLeader(addr)
	case errs.Is(r.err, errs.Timeout) && (ctx.Err() != nil || timeout < c.opt.Attempt):
		// the call's time was short: that says nothing of the node
	default:
		c.directory.recordFailure(addr, now)
	}
}

// askRPC is ask over the client's Caller.
func (c *Client) askRPC(ctx context.Context, addr string, q query, answer any, timeout time.Duration) reply {
	err := c.opt.Caller.CallInto(ctx, addr, q.path, q.call, answer, timeout)
	return reply{err: err, answered: err == nil || rpc.IsRemote(err), unsent: rpc.IsUnsent(err)}
}
