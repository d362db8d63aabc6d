package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
)

// idleReadInterval is the interval at which a node without reads confirms its replica, for readiness.
const idleReadInterval = time.Second

// readIndexer asks the leader for its read index on behalf of all waiting reads, one call at a time. A read joins the
// next call that begins after it, so that every commit before the read is at or below the index.
type readIndexer struct {
	node    *Node
	wakeups chan struct{} // capacity 1; filled when a read waits for a call

	mu   sync.Mutex
	next *readIndexCall // the call that reads join; nil until a read needs it
}

// readIndexCall is one call that reads wait for. index and err are set before done is closed.
type readIndexCall struct {
	done  chan struct{}
	index uint64
	err   error
}

// join returns the next call and wakes run, which makes it.
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

// readIndex returns an index such that every commit acknowledged before the call is at or below it. It fails with
// errs.Timeout if ctx ends first.
func (x *readIndexer) readIndex(ctx context.Context) (uint64, error) {
	call := x.join()
	select {
	case <-call.done:
		return call.index, errs.Pass(call.err, "confirm")
	case <-ctx.Done():
		return 0, errs.Wrap(ctx.Err(), errs.Timeout, "wait for the read index")
	}
}

// run makes the calls that reads join, and one call per idleReadInterval while there are no reads, until ctx ends.
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
			x.complete(ctx, call)
		}
	}
}

// complete makes the call and gives its result to the reads that joined it. They wait for the replica themselves. Once
// the replica has reached the index, complete sets Node.confirmedAt, which decides readiness.
func (x *readIndexer) complete(ctx context.Context, call *readIndexCall) {
	n := x.node
	ctx, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	answer, err := callLeader(ctx, n.controlPlane, internalapi.ReadIndex, internalapi.ReadIndexCall{},
		n.opt.CallTimeout/2, retryIdempotent)
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
