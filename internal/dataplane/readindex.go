package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
)

// readIndexer asks the leader for a fresh index on behalf of all reads that wait, one call at a time: a read joins
// the next call that begins after it.
type readIndexer struct {
	node    *Node
	mu      sync.Mutex
	next    *readIndexCall
	wakeups chan struct{}
}

// readIndexCall is one call that reads wait for.
type readIndexCall struct {
	done  chan struct{}
	index uint64
	err   error
}

func (c *readIndexer) join() *readIndexCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &readIndexCall{done: make(chan struct{})}
	}
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
	return c.next
}

// readIndex returns an index that every commit answered before the call is at or below.
func (c *readIndexer) readIndex(ctx context.Context) (uint64, error) {
	r := c.join()
	select {
	case <-r.done:
		return r.index, errs.Pass(r.err, "confirm")
	case <-ctx.Done():
		return 0, errs.Wrap(ctx.Err(), errs.Timeout, "waiting for a confirmation")
	}
}

// run makes the calls; without reads it makes one a second, for readiness.
func (c *readIndexer) run(ctx context.Context) {
	for ctx.Err() == nil {
		idle := c.node.opt.Clock.Set(time.Second, func() { c.join() })
		select {
		case <-c.wakeups:
		case <-ctx.Done():
		}
		idle.Stop()
		c.mu.Lock()
		r := c.next
		c.next = nil
		c.mu.Unlock()
		if r != nil {
			c.ask(ctx, r)
		}
	}
}

// ask makes the call of a round. Reads go on as soon as the index is known; readiness wants it reached too.
func (c *readIndexer) ask(ctx context.Context, r *readIndexCall) {
	n := c.node
	ctx, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	a, err := askLeader(ctx, n.controlPlane, n, internalapi.ReadIndex, internalapi.ReadIndexCall{}, n.opt.CallTimeout/2, true)
	r.index, r.err = a.Index, err
	close(r.done)
	if err == nil {
		err = n.replica.WaitForIndex(ctx, a.Index)
	}
	if err != nil {
		_ = level.Debug(n.opt.Logger).Log("msg", "confirming failed", "err", err)
		return
	}
	n.mu.Lock()
	n.confirmedAt = n.opt.Clock.Now()
	n.mu.Unlock()
}
