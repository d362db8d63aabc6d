package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
)

// idleReadInterval is how often a node without reads confirms its replica, for readiness.
const idleReadInterval = time.Second

// readIndexer asks the leader for its read index on behalf of all reads that wait, one call at a time: a read joins the
// next call that begins after it, so that what was committed before the read is below the index.
type readIndexer struct {
	node    *Node
	wakeups chan struct{} // holds one at most: a call is wanted

	mu   sync.Mutex
	next *readIndexCall // the call that reads join; nil until one wants it
}

// readIndexCall is one call that reads wait for. index and err are set before done is closed.
type readIndexCall struct {
	done  chan struct{}
	index uint64
	err   error
}

// join returns the next call, and asks for it.
func (x *readIndexer) join() *readIndexCall {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.next == nil {
		x.next = &readIndexCall{done: make(chan struct{})}
	}
	select {
	case x.wakeups <- struct{}{}:
	default:
	}
	return x.next
}

// readIndex returns an index that every commit answered before the call is at or below.
func (x *readIndexer) readIndex(ctx context.Context) (uint64, error) {
	call := x.join()
	select {
	case <-call.done:
		return call.index, errs.Pass(call.err, "confirm")
	case <-ctx.Done():
		return 0, errs.Wrap(ctx.Err(), errs.Timeout, "waiting for a confirmation")
	}
}

// run makes the calls, and one every idleReadInterval without reads.
func (x *readIndexer) run(ctx context.Context) {
	for ctx.Err() == nil {
		idle := x.node.opt.Clock.Set(idleReadInterval, func() { x.join() })
		select {
		case <-x.wakeups:
		case <-ctx.Done():
		}
		idle.Stop()
		x.mu.Lock()
		call := x.next
		x.next = nil
		x.mu.Unlock()
		if call != nil {
			x.do(ctx, call)
		}
	}
}

// do makes a call. Reads go on as soon as the index is known; readiness needs the replica to reach it too.
func (x *readIndexer) do(ctx context.Context, call *readIndexCall) {
	n := x.node
	ctx, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	answer, err := askLeader(ctx, n.controlPlane, internalapi.ReadIndex, internalapi.ReadIndexCall{},
		n.opt.CallTimeout/2, true)
	call.index, call.err = answer.Index, err
	close(call.done)
	if err == nil {
		err = n.replica.WaitForIndex(ctx, answer.Index)
	}
	if err != nil {
		_ = level.Debug(n.opt.Logger).Log("msg", "confirmation of the replica failed", "err", err)
		return
	}
	n.mu.Lock()
	n.confirmedAt = n.opt.Clock.Now()
	n.mu.Unlock()
}
