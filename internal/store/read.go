package store

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// readIndexTimeout bounds the wait for a valid leader lease: over a slow network the lease is valid only briefly after
// each response from a majority.
const readIndexTimeout = 600 * time.Millisecond

// View calls read with this node's live state, which may be behind the leader's. read runs with the store locked: it
// must be short, must not call the store, and must not keep references into the state.
func (s *Store) View(read func(*state.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.live)
}

// Read is a linearizable View at any member: the state includes every entry committed before the call. A follower asks
// the leader for the read index, over one hop at most. Failures: Unavailable, Timeout.
func (s *Store) Read(ctx context.Context, read func(*state.State)) error {
	index, err := s.ReadIndex()
	if errs.Is(err, errs.NotLeader) && errs.Of(err).Hint != "" {
		var a internalapi.ReadIndexAnswer
		a, err = s.opt.Net.ReadIndex(ctx, errs.Of(err).Hint)
		index = a.Index
	}
	if err == nil {
		err = s.WaitApplied(ctx, index)
	}
	if err != nil {
		return errs.Pass(hideNotLeader(err), "read")
	}
	s.View(read)
	return nil
}

// ReadIndex returns an index at or above that of every entry committed before the call. Failures: NotLeader (Hint),
// Unavailable, Stopped.
func (s *Store) ReadIndex() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, err := s.readIndexLocked()
	return index, errs.Pass(err, "read index")
}

// readIndexLocked is ReadIndex with s.mu held. It releases s.mu while it waits for the lease, so fields that the caller
// read before the call may have changed.
func (s *Store) readIndexLocked() (uint64, error) {
	deadline := s.clock.Now() + readIndexTimeout
	for {
		if err := s.checkLeader(); err != nil {
			return 0, errs.Pass(err, "check the leader")
		}
		now := s.clock.Now()
		commit, ok := s.core.LeaseReadIndex(now)
		if ok {
			return commit, nil
		}
		if now >= deadline || s.manual != nil || s.group.Context().Err() != nil {
			return 0, errs.New(errs.Unavailable, "leadership cannot be confirmed now")
		}
		s.mu.Unlock()
		s.sleep(s.group.Context(), pollInterval)
		s.mu.Lock()
	}
}

// WaitApplied waits until the entry at index is applied to the live state, at most proposeTimeout. Failure: Timeout.
func (s *Store) WaitApplied(ctx context.Context, index uint64) error {
	expired := make(chan struct{})
	defer s.clock.Set(proposeTimeout, func() { close(expired) }).Stop()
	for {
		s.mu.Lock()
		applied, changed := s.live.Index, s.changed
		s.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-expired:
			return errs.New(errs.Timeout, "applied index is %d, timed out waiting for %d", applied, index)
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Timeout, "applied index is %d, stopped waiting for %d", applied, index)
		}
	}
}

// Changed returns a channel that is closed at the next change of the live state. Call it before reading the state:
// otherwise a change between the two calls is missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
