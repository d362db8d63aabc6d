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

const removalCheckInterval = 500 * time.Millisecond // between checks of a node without a leader

// watchRemoval is the goroutine that finds out whether this node of an open fleet was removed while it was down or
// partitioned. If so it discards the folder, and the node rejoins as a new incarnation.
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

// isLeaderless reports whether this node does not lead and has not heard from a leader for two Elections.
func (s *Store) isLeaderless() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Role != raft.Leader && s.clock.Now()-s.followerProgress.leaderHeardAt > 2*s.settings.Election
}

// provesRemoval reports whether an answer proves that this node is no longer a member: a member set without it was
// committed after the oldest set here that has it. That oldest set need not be committed: if it never was, the node did
// not become a member by it. A removed ID never returns, see checkNotRemoved.
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
	_ = level.Warn(s.logger).Log("msg", "removed from the members while away: joining anew", "id", s.id,
		"reported_by", address)
	if err := Discard(s.opt.Disk, s.addresses()...); err != nil {
		s.fatal(errs.Pass(err, "discard the folder of a removed member"))
		return
	}
	if s.halt() {
		s.opt.Removed()
	}
}
