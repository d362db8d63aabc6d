package store

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
)

// maxReadyLag is how long ago a ready follower had all that its leader had committed, at most.
const maxReadyLag = 2 * time.Second

// followerProgress is how far this node is behind its leader, by the leader's appends. A Store owns it; guarded by
// Store.mu.
type followerProgress struct {
	leaderCommit  uint64        // the commit index in the newest append
	leaderHeardAt time.Duration // when that append came
	caughtUpAt    time.Duration // when the newest append came whose commit index is applied here
}

func newFollowerProgress() followerProgress { return followerProgress{caughtUpAt: -maxReadyLag * 2} } // not ready

// onAppend records a leader's append.
func (p *followerProgress) onAppend(commit uint64, now time.Duration) {
	p.leaderCommit, p.leaderHeardAt = commit, now
}

// onApplied records what is applied here.
func (p *followerProgress) onApplied(index uint64) {
	if p.leaderHeardAt > p.caughtUpAt && index >= p.leaderCommit {
		p.caughtUpAt = p.leaderHeardAt
	}
}

// Ready is nil when the node leads with a valid lease, or knows a leader and had all of its commits within the last
// 2 s. Failure: Unavailable.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return errs.Pass(s.checkReady(s.clock.Now()), "ready")
}

// checkReady is Ready under the lock.
func (s *Store) checkReady(now time.Duration) error {
	switch {
	case s.core == nil:
		return errs.New(errs.Unavailable, "not part of a fleet yet")
	case s.status.Leader == "":
		return errs.New(errs.Unavailable, "no leader is known")
	case s.status.Role == raft.Leader:
		if commit, ok := s.core.LeaseReadIndex(now); !ok || s.live.Index < commit {
			return errs.New(errs.Unavailable, "the lead is not confirmed")
		}
	case now-s.progress.caughtUpAt > maxReadyLag:
		return errs.New(errs.Unavailable, "behind the leader: at %d of %d", s.live.Index, s.progress.leaderCommit)
	}
	return nil
}

// Status is this node's view of itself, the member set and the holders of roles.
func (s *Store) Status() internalapi.StatusAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := internalapi.StatusAnswer{Applied: s.live.Index, Ready: s.checkReady(s.clock.Now()) == nil,
		Roles: map[string]internalapi.RoleLease{}}
	if s.core != nil {
		out.Raft = s.core.Status()
	}
	for name, r := range s.live.Roles {
		out.Roles[name] = internalapi.RoleLease{Epoch: r.Epoch, Holder: r.Holder, Addr: r.Addr}
	}
	return out
}
