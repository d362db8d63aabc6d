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
	answered bool // the node responded, with an answer or an error
	unsent   bool // the call failed before any byte of it was sent
}

// outcome classifies the reply to an attempt by its consequence for the call.
type outcome int

const (
	succeeded  outcome = iota
	refused            // the leader rejected the call, which ends it
	redirected         // the node is not the leader and has not executed the call
	declined           // the attempt was not executed; another one may succeed
	uncertain          // the attempt may have been executed
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
	// errs.Stopped is uncertain too: a stopping server returns it for calls that it has not started, but a handler may
	// return it for a call that it has started.
	return uncertain
}

// attempt sends req once to the node at addr, and to another node too if req may be hedged and the node is slow.
func (c *Client) attempt(ctx context.Context, addr string, req request, timeout time.Duration) reply {
	if req.canHedge && timeout > hedgeDelay {
		return c.sendHedged(ctx, addr, req, timeout)
	}
	r := c.sendOnce(ctx, addr, req, timeout)
	c.recordReply(ctx, addr, timeout, r)
	return r
}

// sendOnce sends req to the node at addr. If req is leaderOnly, an answer of any other node is a redirect.
func (c *Client) sendOnce(ctx context.Context, addr string, req request, timeout time.Duration) reply {
	answer := req.newAnswer()
	r := c.send(ctx, addr, req, answer, timeout)
	if r.err != nil {
		return r
	}
	r.answer = answer
	if t, ok := answer.(*TopologyAnswer); ok && req.leaderOnly {
		c.directory.updateMembers(t.Members, t.Leader == addr)
		if t.Leader != addr {
			r.err = &errs.Error{Kind: errs.NotLeader, Message: "the node is not the leader", Hint: t.Leader}
			return r
		}
		c.contacts.record(contactMembers)
		c.opt.OnLimits(t.Limits)
	}
	return r
}

// recordReply updates the directory and the contacts with the reply of the node at addr, which had timeout to answer.
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
	case errs.Is(r.err, errs.Timeout) && (ctx.Err() != nil || timeout < c.opt.AttemptTimeout):
		// The node had less than a full attempt to answer, so the timeout does not prove that it failed.
	default:
		c.directory.recordFailure(addr, now)
	}
}

// sendRPC makes one attempt through the client's Caller.
func (c *Client) sendRPC(ctx context.Context, addr string, req request, answer any, timeout time.Duration) reply {
	err := c.opt.Caller.CallInto(ctx, addr, req.path, req.call, answer, timeout)
	return reply{err: err, answered: err == nil || rpc.IsRemote(err), unsent: rpc.IsUnsent(err)}
}
