package controller

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// hedgeDelay is how long a read waits for the first node's answer before it is sent to another one too.
const hedgeDelay = 400 * time.Millisecond

// sendHedged sends req to the node at addr and, if that has not answered within hedgeDelay, concurrently to another
// node. It returns the first successful reply, or the first node's reply if neither succeeds.
func (c *Client) sendHedged(ctx context.Context, addr string, req request, timeout time.Duration) reply {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	secondCtx, cancelSecond := context.WithCancel(ctx)
	defer cancelFirst()
	defer cancelSecond()
	var second reply // written before secondDone is closed
	secondDone := make(chan struct{})
	timer := c.opt.Clock.Set(hedgeDelay, func() {
		routine.New(secondCtx).Go(func(ctx context.Context) {
			defer close(secondDone)
			if second = c.sendToOther(ctx, addr, req, timeout-hedgeDelay); second.err == nil {
				cancelFirst()
			}
		})
	})
	first := c.sendOnce(firstCtx, addr, req, timeout)
	if timer.Stop() || first.outcome() <= refused {
		c.recordReply(ctx, addr, timeout, first)
		return first
	}
	<-secondDone
	if second.err == nil {
		c.directory.clearLeader(addr) // not backed off: it may just be slow. sendToOther has recorded the new leader.
		return second
	}
	c.recordReply(ctx, addr, timeout, first)
	return first
}

// sendToOther sends req to a node other than the one at except, and then to the leader that it names if it is not the
// leader itself.
func (c *Client) sendToOther(ctx context.Context, except string, req request, timeout time.Duration) reply {
	addr := c.directory.pickOther(c.opt.Clock.Now(), except)
	if addr == "" {
		return reply{err: errs.New(errs.Unavailable, "no other control-plane node known")}
	}
	begin := c.opt.Clock.Now()
	r := c.sendOnce(ctx, addr, req, timeout)
	c.recordReply(ctx, addr, timeout, r)
	left := timeout - (c.opt.Clock.Now() - begin)
	if r.outcome() != redirected || left <= 0 {
		return r
	}
	hint := errs.Of(r.err).Hint
	if hint == "" || hint == except || hint == addr {
		return r
	}
	r = c.sendOnce(ctx, hint, req, left)
	c.recordReply(ctx, hint, left, r)
	return r
}
