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

const removalCheckInterval = 500 * time.Millisecond // of asking, without a leader, whether this node was removed

// watchRemoval is the goroutine that finds out whether this node of an open fleet was removed while it was down or cut
// off. Its folder is discarded then: it begins anew as another incarnation.
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

// isLeaderless tells whether this node neither leads nor heard of a leader for two Elections.
func (s *Store) isLeaderless() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Role != raft.Leader && s.clock.Now()-s.progress.leaderHeardAt > 2*s.settings.Election
}

// provesRemoval tells whether an answer proves that this node is no member any more: a set that was committed after the
// oldest one here with this node in it is without it. That oldest one need not be committed: if it never was, the
// node did not become a member by it. Who was removed does not come back under its ID, see checkNotRemoved.
func (s *Store) provesRemoval(a internalapi.DiscoverAnswer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.core.MemberSince()
	isThis := func(m raft.Member) bool { return m.ID == s.id }
	return since > 0 && a.MembersAt > since && !slices.ContainsFunc(a.Members, isThis)
}

// discardAndRejoin discards the folder and halts the store, after the node at the address said that this one was
// removed. Options.Removed opens the folder anew.
func (s *Store) discardAndRejoin(address string) {
	_ = level.Warn(s.logger).Log("msg", "removed from the members while away: joining anew", "id", s.id,
		"reported_by", address)
	if err := Discard(s.opt.Disk, s.addresses()...); err != nil {
		s.fatal(errs.Pass(err, "removed"))
		return
	}
	if s.halt() {
		s.opt.Removed()
	}
}
