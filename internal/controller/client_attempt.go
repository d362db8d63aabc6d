package controller

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// reply is the result of one attempt.
type reply struct {
	answer   any
	err      error
	answered bool // the node answered, with the answer or a failure
	unsent   bool // no byte of the call left this node
}

// outcome is what an attempt means for its call.
type outcome int

const (
	succeeded  outcome = iota
	refused            // a failure that ends the call
	redirected         // the node does not lead; it did nothing
	declined           // the attempt surely did nothing; another may succeed
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
	case errs.Unknown, errs.Invalid, errs.Malformed, errs.TooLarge, errs.Conflict, errs.Stale, errs.Forbidden,
		errs.Overloaded:
		return refused
	case errs.NotLeader:
		return redirected
	case errs.Unavailable:
		return declined
	}
	// Stopped too: a server that stops refuses what it has not begun, but a handler may say it of what it has.
	return uncertain
}

// attempt makes one attempt at the node at addr, hedged by another node if q allows it.
func (c *Client) attempt(ctx context.Context, addr string, q query, timeout time.Duration) reply {
	if q.hedge && timeout > hedgeDelay {
		return c.hedged(ctx, addr, q, timeout)
	}
	r := c.askOnce(ctx, addr, q, timeout)
	c.recordReply(ctx, addr, timeout, r)
	return r
}

// askOnce asks the node at addr. For a query of the topology only the leader's own answer is a success.
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
		c.contacts.record(contactMembers)
	}
	return r
}

// recordReply updates the directory and the contacts by a reply of the node at addr, which had timeout to answer.
func (c *Client) recordReply(ctx context.Context, addr string, timeout time.Duration, r reply) {
	if r.answered {
		c.contacts.record(contactAny)
	}
	now := c.opt.Clock.Now()
	switch o := r.outcome(); {
	case o == succeeded || o == refused:
		c.directory.recordLeader(addr)
		c.contacts.record(contactLeader)
	case o == redirected:
		c.directory.followHint(addr, errs.Of(r.err).Hint, now)
	case r.answered:
		c.directory.clearLeader(addr)
	case errs.Is(r.err, errs.Timeout) && (ctx.Err() != nil || timeout < c.opt.Attempt):
		// Too little time was left for the call: the timeout proves nothing about the node.
	default:
		c.directory.recordFailure(addr, now)
	}
}

// askRPC makes one attempt over the client's Caller.
func (c *Client) askRPC(ctx context.Context, addr string, q query, answer any, timeout time.Duration) reply {
	err := c.opt.Caller.CallInto(ctx, addr, q.path, q.call, answer, timeout)
	return reply{err: err, answered: err == nil || rpc.IsRemote(err), unsent: rpc.IsUnsent(err)}
}
