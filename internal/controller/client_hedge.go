package controller

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// hedgeDelay is how long a read waits for the first node's answer before it asks another one too.
const hedgeDelay = 400 * time.Millisecond

// hedged asks the node at addr and, if it has not answered after hedgeDelay, another one at the same time. It returns
// the first success, else the first node's reply.
func (c *Client) hedged(ctx context.Context, addr string, q query, timeout time.Duration) reply {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	secondCtx, cancelSecond := context.WithCancel(ctx)
	defer cancelFirst()
	defer cancelSecond()
	var second reply // written before secondDone is closed
	secondDone := make(chan struct{})
	timer := c.opt.Clock.Set(hedgeDelay, func() {
		routine.New(secondCtx).Go(func(ctx context.Context) {
			defer close(secondDone)
			if second = c.askAnother(ctx, addr, q, timeout-hedgeDelay); second.err == nil {
				cancelFirst()
			}
		})
	})
	first := c.askOnce(firstCtx, addr, q, timeout)
	if timer.Stop() || first.outcome() <= refused {
		c.recordReply(ctx, addr, timeout, first)
		return first
	}
	<-secondDone
	if second.err == nil {
		c.directory.clearLeader(addr) // not backed off, as it may only be slow; askAnother has recorded who answered
		return second
	}
	c.recordReply(ctx, addr, timeout, first)
	return first
}

// askAnother asks a node other than the one at except and, if that one does not lead, the leader that it names.
func (c *Client) askAnother(ctx context.Context, except string, q query, timeout time.Duration) reply {
	addr := c.directory.pickOther(c.opt.Clock.Now(), except)
	if addr == "" {
		return reply{err: errs.New(errs.Unavailable, "there is no other node")}
	}
	begin := c.opt.Clock.Now()
	r := c.askOnce(ctx, addr, q, timeout)
	c.recordReply(ctx, addr, timeout, r)
	left := timeout - (c.opt.Clock.Now() - begin)
	if r.outcome() != redirected || left <= 0 {
		return r
	}
	hint := errs.Of(r.err).Hint
	if hint == "" || hint == except || hint == addr {
		return r
	}
	r = c.askOnce(ctx, hint, q, left)
	c.recordReply(ctx, hint, left, r)
	return r
}
