package store

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
)

const (
	vectorSource   = "store" // names this store in the version vector of a call
	maxFollowBytes = 8 << 20
	maxFollowWait  = 30 * time.Second
)

// Follow returns the changes after the version that a data-plane node has, or a snapshot if the log no longer has all
// of them. If there are no changes it waits for the first, up to call.Wait, and returns an empty answer if none comes
// or ctx ends. Any member can answer, from the entries that it has applied. Failures: Unavailable, Stopped.
func (s *Store) Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	s.recordFollowerBundle(call)
	version, ok := call.Vector[vectorSource]
	if !ok && len(call.Vector) > 0 { // the caller has versions of other sources only; without any, it starts from 0
		return internalapi.FollowAnswer{}, nil
	}
	limit := min(max(call.Max, 64<<10), maxFollowBytes)
	expired := make(chan struct{})
	defer s.clock.Set(min(call.Wait, maxFollowWait), func() { close(expired) }).Stop()
	for {
		update, changed, err := s.changesAfter(version, limit)
		if err != nil {
			return internalapi.FollowAnswer{}, errs.Pass(err, "follow")
		}
		if update != nil {
			updates := map[string]internalapi.SourceUpdate{vectorSource: *update}
			return internalapi.FollowAnswer{Updates: updates}, nil
		}
		select {
		case <-changed:
		case <-expired:
			return internalapi.FollowAnswer{}, nil
		case <-ctx.Done():
			return internalapi.FollowAnswer{}, nil
		case <-s.group.Context().Done():
			return internalapi.FollowAnswer{}, errs.New(errs.Stopped, "the store is stopping")
		}
	}
}

// changesAfter returns the applied entries after version, or the newest snapshot if the log no longer reaches back to
// version. If no entry after version is applied it returns a channel that is closed at the next change.
func (s *Store) changesAfter(version uint64, limit int) (*internalapi.SourceUpdate, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil {
		return nil, nil, errs.New(errs.Unavailable, "not part of a fleet yet")
	}
	if version >= s.live.Index {
		return nil, s.changed, nil
	}
	entries, err := s.core.Entries(version+1, limit)
	if errs.Is(err, errs.Unknown) {
		newest := s.snapshots.newest
		return &internalapi.SourceUpdate{Snapshot: &newest}, nil, nil
	}
	if err != nil {
		return nil, nil, errs.Pass(err, "entries after %d", version)
	}
	applied := 0
	for applied < len(entries) && entries[applied].Index <= s.live.Index {
		applied++
	}
	if applied == 0 {
		return nil, s.changed, nil
	}
	return &internalapi.SourceUpdate{Changes: entries[:applied:applied]}, nil, nil
}
