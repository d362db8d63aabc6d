package plane

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/fault"
	"crosstide/internal/pair"
)

// confirmer asks the leader for a fresh index on behalf of all reads that wait, one call at a time: a read joins
// the next call that begins after it.
type confirmer struct {
	node *Node
	mu   sync.Mutex
	next *round
	work chan struct{}
}

// round is one call that reads wait for.
type round struct {
	done  chan struct{}
	index uint64
	err   error
}

func (c *confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	select {
	case c.work <- struct{}{}:
	default:
	}
	return c.next
}

// index gives an index that every commit answered before the call is at or below.
func (c *confirmer) index(ctx context.Context) (uint64, error) {
	r := c.join()
	select {
	case <-r.done:
		return r.index, fault.Pass(r.err, "confirm")
	case <-ctx.Done():
		return 0, fault.Wrap(ctx.Err(), fault.Timeout, "waiting for a confirmation")
	}
}

// run makes the calls; without reads it makes one a second, for readiness.
func (c *confirmer) run(ctx context.Context) {
	n := c.node
	for {
		c.join()
		<-c.work
		c.mu.Lock()
		r := c.next
		c.next = nil
		c.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
		a, err := toLeader(call, n.core, n, pair.Confirm, pair.ConfirmCall{}, n.opt.CallTimeout/2, true)
		r.index, r.err = a.Index, err
		close(r.done)
		if err == nil {
			err = n.replica.Reach(call, a.Index)
		}
		cancel()
		if err == nil {
			n.mu.Lock()
			n.confirmed = n.opt.Clock.Now()
			n.mu.Unlock()
		} else {
			_ = level.Debug(n.opt.Logger).Log("msg", "confirming failed", "err", err)
		}
		woken := make(chan struct{})
		ring := n.opt.Clock.Set(time.Second, func() { close(woken) })
		select {
		case <-woken:
		case <-c.work:
			c.work <- struct{}{}
		case <-ctx.Done():
			ring.Stop()
			return
		}
		ring.Stop()
	}
}
