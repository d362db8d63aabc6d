package controller

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// hedgeAfter is how long a read waits for the first node before another one is asked too.
const hedgeAfter = 400 * time.Millisecond

// hedged asks the node at addr and, when it has not answered after hedgeAfter, another one at the same time. The first
// success counts; else the first node's reply.
func (c *Client) hedged(ctx context.Context, addr string, q query, within time.Duration) reply {
	firstCtx, endFirst := context.WithCancel(ctx)
	secondCtx, endSecond := context.WithCancel(ctx)
	defer endFirst()
	defer endSecond()
	var second reply
	over := make(chan struct{})
	ring := c.opt.Clock.Set(hedgeAfter, func() {
		routine.New(secondCtx).Go(func(ctx context.Context) {
			defer close(over)
			if second = c.askOthers(ctx, addr, q, within-hedgeAfter); second.err == nil {
				endFirst()
			}
		})
	})
	first := c.askOnce(firstCtx, addr, q, within)
	if ring.Stop() || first.outcome() <= refused {
		c.note(ctx, addr, within, first)
		return first
	}
	<-over
	if second.err == nil {
		c.directory.doubt(addr) // it may be slow only; askOthers has noted who answered
		return second
	}
	c.note(ctx, addr, within, first)
	return first
}

// askOthers asks another node than the one at except, and the leader that it names.
func (c *Client) askOthers(ctx context.Context, except string, q query, within time.Duration) reply {
	addr := c.directory.other(c.opt.Clock.Now(), except)
	if addr == "" {
		return reply{err: errs.New(errs.Unavailable, "there is no other node")}
	}
	begin := c.opt.Clock.Now()
	r := c.askOnce(ctx, addr, q, within)
	c.note(ctx, addr, within, r)
	left := within - (c.opt.Clock.Now() - begin)
	if r.outcome() != redirected || left <= 0 {
		return r
	}
	hint := errs.Of(r.err).Hint
	if hint == "" || hint == except || hint == addr {
		return r
	}
	r = c.askOnce(ctx, hint, q, left)
	c.note(ctx, hint, left, r)
	return r
}
