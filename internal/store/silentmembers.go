package store

import (
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/raft"
)

// Bounds of the leader of an open fleet when it removes silent members.
const (
	minVoters            = 3                // no removal leaves fewer
	silentLearnerTimeout = 10 * time.Second // a learner that is silent this long is removed
)

// removeSilent proposes, on the leader of an open fleet, to remove a silent voter of an even set, which bears no more
// losses than the odd set below it, or a silent learner. One change at a time. Called under the lock, at each tick.
func (s *Store) removeSilent(now time.Duration) {
	if !s.settings.OpenMembership || s.status.Role != raft.Leader {
		return
	}
	members := s.status.Members
	gone := ""
	if voterCount(members)%2 == 0 {
		gone = s.longestSilentVoter(now, members)
	}
	for _, m := range members {
		if gone == "" && m.Learner && s.silentFor(now, m.ID) >= silentLearnerTimeout {
			gone = m.ID
		}
	}
	if gone == "" {
		return
	}
	silent := s.silentFor(now, gone)
	if err := s.proposeMembers(now, members, without(members, gone)); err != nil {
		_ = level.Debug(s.logger).Log("msg", "silent member not removed", "id", gone, "err", err)
		return
	}
	_ = level.Warn(s.logger).Log("msg", "removing a silent member", "id", gone, "silent", silent)
}

// silentVoter is longestSilentVoter now, in an open fleet only.
func (s *Store) silentVoter(members []raft.Member) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil || !s.settings.OpenMembership {
		return ""
	}
	return s.longestSilentVoter(s.clock.Now(), members)
}

// longestSilentVoter returns the voter that has been silent for longest, RemoveAfter at least, if the others have a
// live majority without it; else "". Called under the lock.
func (s *Store) longestSilentVoter(now time.Duration, members []raft.Member) (id string) {
	longest := s.settings.RemoveAfter
	for _, m := range members {
		if d := s.silentFor(now, m.ID); !m.Learner && d >= longest {
			id, longest = m.ID, d
		}
	}
	if id == "" || !s.hasLiveMajority(now, without(members, id)) {
		return ""
	}
	return id
}

// silentFor is how long this leader has not heard of a member; 0 if it does not lead.
func (s *Store) silentFor(now time.Duration, id string) time.Duration {
	heard, ok := s.core.LastContact(now, id)
	if !ok {
		return 0
	}
	return now - heard
}

// hasLiveMajority tells whether a member set has voters enough and a majority of them was heard of within an Election.
func (s *Store) hasLiveMajority(now time.Duration, members []raft.Member) bool {
	heard := 0
	for _, m := range members {
		if !m.Learner && s.silentFor(now, m.ID) < s.settings.Election {
			heard++
		}
	}
	voters := voterCount(members)
	return voters >= minVoters && heard > voters/2
}
