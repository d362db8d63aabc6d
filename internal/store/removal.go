package store

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
)

const removalCheckInterval = 500 * time.Millisecond // between two checks by watchRemoval

// watchRemoval is the goroutine that detects, in an open fleet, that this node was removed while it was down or
// partitioned. It then discards the folder, and the node rejoins as a new incarnation.
func (s *Store) watchRemoval(ctx context.Context) {
	for s.sleep(ctx, jitter(removalCheckInterval)) {
		if !s.isLeaderless() {
			continue
		}
		answers := s.askKnownNodes(ctx, s.provesRemoval)
		for _, address := range slices.Sorted(maps.Keys(answers)) {
			if s.provesRemoval(answers[address]) {
				s.discardAndRejoin(address)
				return
			}
		}
	}
}

// isLeaderless reports whether this node does not lead and has not heard from a leader for two election timeouts.
func (s *Store) isLeaderless() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Role != raft.Leader && s.clock.Now()-s.followerProgress.leaderHeardAt > 2*s.settings.ElectionTimeout
}

// provesRemoval reports whether an answer proves that this node is no longer a member: the answer's member set lacks
// this node, and was committed after the oldest local set that contains it. That local set may be uncommitted: if it
// was never committed, it did not make this node a member. A removed ID never becomes a member again, see
// checkNotRemoved.
func (s *Store) provesRemoval(a internalapi.DiscoverAnswer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.core.MemberSince()
	isThis := func(m raft.Member) bool { return m.ID == s.id }
	return since > 0 && a.MembersAt > since && !slices.ContainsFunc(a.Members, isThis)
}

// discardAndRejoin marks the folder as discarded, halts the store and calls Options.Removed, after the node at address
// reported that this one was removed.
func (s *Store) discardAndRejoin(address string) {
	_ = level.Warn(s.logger).Log("msg", "removed from the members, rejoining as a new incarnation", "id", s.id,
		"reported_by", address)
	if err := Discard(s.opt.Disk, s.addresses()...); err != nil {
		s.fatal(errs.Pass(err, "discard the folder of a removed member"))
		return
	}
	if s.halt() {
		s.opt.Removed()
	}
}
