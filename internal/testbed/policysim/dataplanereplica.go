package policysim

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
)

// receivedAnswer is a source for replica.Replica.Pull. It returns an answer that has already arrived.
type receivedAnswer struct {
	dataPlane *dataPlane
	answer    internalapi.FollowAnswer
	from      *controlPlane // the node that sent the answer
}

// Follow returns the answer.
func (r receivedAnswer) Follow(context.Context, internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	return r.answer, nil
}

// Chunk returns a chunk of the snapshot of the control-plane node that sent the answer.
func (r receivedAnswer) Chunk(_ context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	if r.from.driver == nil || !r.from.alive || r.dataPlane.sim.blocked(r.dataPlane.process, r.from.process) {
		return internalapi.ChunkAnswer{}, errs.New(errs.Unknown, "gone")
	}
	answer, err := r.from.store.Chunk(call)
	return answer, errs.Pass(err, "chunk")
}

// pull is one iteration of Replica.Run: it asks the source for the changes after the replica's index, applies them and
// schedules the next pull.
func (d *dataPlane) pull() {
	s := d.sim
	if s.now < d.lagUntil {
		d.after(pollInterval, func() {
			d.releaseIndexWaiters()
			d.pull()
		})
		return
	}
	if d.source == "" {
		d.source = s.controlPlanes[s.rng.IntN(5)].addr
	}
	from := s.controlPlaneAt(s.byAddr[d.source])
	version := d.replica.Index()
	s.request(request{from: d.process, addr: d.source, timeout: time.Second + callTimeout, resendFor: callTimeout,
		mayRepeat: true,
		serve: func(to *process, reply func(any, error)) {
			s.controlPlaneAt(to).follow(version, time.Second, reply)
		},
		onAnswer: func(a any, err error, _ bool) {
			if err == nil {
				answer := receivedAnswer{d, a.(internalapi.FollowAnswer), from}
				err = d.replica.Pull(context.Background(), answer, d.addr, time.Second)
			}
			d.releaseIndexWaiters()
			if err != nil {
				d.source = ""
				d.after(100*time.Millisecond, d.pull)
				return
			}
			d.after(0, d.pull)
		}})
}

// indexWaiter is a call of waitForIndex that is still waiting.
type indexWaiter struct {
	index    uint64
	deadline time.Duration // by the process's clock
	done     func(error)
}

// waitForIndex calls done when the replica has reached index, or with an error after the timeout.
func (d *dataPlane) waitForIndex(index uint64, timeout time.Duration, done func(error)) {
	d.indexWaiters = append(d.indexWaiters, &indexWaiter{index, d.Now() + timeout, done})
	d.after(timeout, d.releaseIndexWaiters)
	d.releaseIndexWaiters()
}

// releaseIndexWaiters calls done of the waiters whose index is reached or whose deadline has passed. The list is
// updated before the first call, which may add to it.
func (d *dataPlane) releaseIndexWaiters() {
	var released []func()
	waiting := d.indexWaiters[:0:0]
	for _, w := range d.indexWaiters {
		switch {
		case d.replica.Index() >= w.index:
			released = append(released, func() { w.done(nil) })
		case d.Now() >= w.deadline:
			released = append(released, func() {
				w.done(errs.New(errs.Unavailable, "replica has not reached index %d in time", w.index))
			})
		default:
			waiting = append(waiting, w)
		}
	}
	d.indexWaiters = waiting
	for _, release := range released {
		release()
	}
}
