package store

import (
	"context"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
)

const (
	pollInterval      = 10 * time.Millisecond // for conditions that no channel signals
	ticksPerHeartbeat = 4                     // ticks of the core in one Settings.Heartbeat
)

// loop is the goroutine that drives the core: it runs a pass whenever it is woken or a tick is due.
func (s *Store) loop(ctx context.Context) {
	var timer clock.Stopper
	wake := func() { signal(s.wakeLoop) }
	for {
		untilNext := s.pass()
		if s.isCatchingUp() {
			s.sleep(ctx, catchUpPause)
		}
		if timer != nil {
			timer.Stop()
		}
		timer = s.clock.Set(untilNext, wake)
		select {
		case <-ctx.Done():
			timer.Stop()
			s.mu.Lock()
			s.proposals.failAll(errs.New(errs.Stopped,
				"the store is stopping; the proposal may or may not be committed"))
			s.mu.Unlock()
			return
		case <-s.wakeLoop:
		}
	}
}

// pass is one turn of the loop: it ticks the core if a tick is due, proposes the pending commands, and distributes the
// core's Ready to the peers' queues, the disk queue, the live state and the snapshot fetch. It returns the time until
// the next pass is due.
func (s *Store) pass() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	interval := s.tickInterval()
	if s.frozen || s.halted {
		return interval
	}
	if now-s.lastTick >= interval {
		s.core.Tick(now)
		s.lastTick = now
		s.stepDownIfDiskHangs(now)
		s.removeSilent(now)
	}
	s.proposePending(now)
	ready := s.core.Ready()
	before := s.status
	s.status = s.core.Status()
	s.enqueueMessages(ready.Messages)
	s.diskQueue.add(ready)
	s.apply(ready.CommittedEntries)
	s.onStatusChange(before, now)
	s.startFetch(ready.Fetch)
	return s.untilNextPass(now)
}

// untilNextPass returns the time until the core needs a tick; a node that does not lead needs none before it may
// campaign. s.mu must be held.
func (s *Store) untilNextPass(now time.Duration) time.Duration {
	next := s.lastTick + s.tickInterval()
	if s.status.Role != raft.Leader {
		next = max(next, s.core.ElectionDeadline())
	}
	return max(0, next-now)
}

// tickInterval returns the time between two ticks of the core; between them the loop runs only when it is woken.
func (s *Store) tickInterval() time.Duration { return s.settings.Heartbeat / ticksPerHeartbeat }

// Step passes raft messages of another member to the core, or drops them if this node has no core, is frozen or halted.
// call.From is the sender's address, to which a node that has no member set yet can reply.
func (s *Store) Step(call internalapi.RaftCall) {
	s.mu.Lock()
	s.rememberAddresses(call.From)
	if s.core == nil || s.frozen || s.halted {
		s.mu.Unlock()
		return
	}
	now := s.clock.Now()
	for _, m := range call.Messages {
		s.peers.learn(m.From, call.From)
		s.peers.setSchema(m.From, call.Schema)
		s.core.Step(now, m)
		if m.Kind == raft.Append && m.To == s.id && m.Term >= s.status.Term {
			s.followerProgress.onAppend(m.Commit, now)
		}
	}
	s.mu.Unlock()
	signal(s.wakeLoop)
}

// signal wakes the goroutine that waits on c, a channel of capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d, or until ctx ends, and reports whether d has passed.
func (s *Store) sleep(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx.Done(), s.clock, d)
}
