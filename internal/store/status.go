package store

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
)

// maxReadyLag is how long a follower stays ready after it last caught up with its leader's commit index.
const maxReadyLag = 2 * time.Second

// followerProgress tracks how far this node is behind its leader, by the commit index in the leader's appends. A Store
// owns it; guarded by Store.mu.
type followerProgress struct {
	leaderCommit  uint64        // commit index in the newest append
	leaderHeardAt time.Duration // when that append arrived
	caughtUpAt    time.Duration // arrival of the newest append whose commit index this node has applied
}

// newFollowerProgress returns the progress of a node that has not heard from a leader: not ready.
func newFollowerProgress() followerProgress { return followerProgress{caughtUpAt: -maxReadyLag * 2} }

// onAppend records an append received from the leader at now.
func (p *followerProgress) onAppend(commit uint64, now time.Duration) {
	p.leaderCommit, p.leaderHeardAt = commit, now
}

// onApplied records that the live state has reached index.
func (p *followerProgress) onApplied(index uint64) {
	if p.leaderHeardAt > p.caughtUpAt && index >= p.leaderCommit {
		p.caughtUpAt = p.leaderHeardAt
	}
}

// Ready returns nil if this node leads with a valid lease and has applied all commits, or if it follows a known leader
// and at most maxReadyLag has passed since it had applied all of the leader's commits. Failure: Unavailable.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return errs.Pass(s.checkReady(s.clock.Now()), "ready")
}

// checkReady is Ready with s.mu held.
func (s *Store) checkReady(now time.Duration) error {
	switch {
	case s.core == nil:
		return errs.New(errs.Unavailable, "not part of a fleet yet")
	case s.status.Leader == "":
		return errs.New(errs.Unavailable, "no leader is known")
	case s.status.Role == raft.Leader:
		if commit, ok := s.core.LeaseReadIndex(now); !ok || s.live.Index < commit {
			return errs.New(errs.Unavailable, "leadership is not confirmed, or commits are not applied yet")
		}
	case now-s.followerProgress.caughtUpAt > maxReadyLag:
		return errs.New(errs.Unavailable, "behind the leader: applied index %d, commit index %d", s.live.Index,
			s.followerProgress.leaderCommit)
	}
	return nil
}

// Status returns this node's view of itself, the member set and the holders of roles.
func (s *Store) Status() internalapi.StatusAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := internalapi.StatusAnswer{Applied: s.live.Index, Ready: s.checkReady(s.clock.Now()) == nil,
		Roles: map[string]internalapi.RoleLease{}}
	if s.core != nil {
		answer.Raft = s.core.Status()
	}
	for name, r := range s.live.Roles {
		answer.Roles[name] = internalapi.RoleLease{Epoch: r.Epoch, Holder: r.Holder, Addr: r.Addr}
	}
	return answer
}
