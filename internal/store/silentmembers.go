package store

import (
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/raft"
)

// Bounds on the removal of silent members by the leader of an open fleet.
const (
	minVoters            = 3                // no removal of a voter leaves fewer than this
	silentLearnerTimeout = 10 * time.Second // a learner that is silent for this long is removed
)

// removeSilent proposes to remove one silent member, on the leader of an open fleet. It removes a voter only if the
// number of voters is even, as a set with one voter fewer then tolerates as many failures. If there is no voter to
// remove, it removes a learner. It is called at each tick. s.mu must be held.
func (s *Store) removeSilent(now time.Duration) {
	if !s.settings.OpenMembership || s.status.Role != raft.Leader {
		return
	}
	members := s.status.Members
	candidate := ""
	if voterCount(members)%2 == 0 {
		candidate = s.longestSilentVoter(now, members)
	}
	for _, m := range members {
		if candidate == "" && m.Learner && s.silentFor(now, m.ID) >= silentLearnerTimeout {
			candidate = m.ID
		}
	}
	if candidate == "" {
		return
	}
	silent := s.silentFor(now, candidate)
	if err := s.proposeMembers(now, members, withoutMember(members, candidate)); err != nil {
		_ = level.Debug(s.logger).Log("msg", "silent member not removed", "id", candidate, "err", err)
		return
	}
	_ = level.Warn(s.logger).Log("msg", "removal of silent member proposed", "id", candidate, "silent", silent)
}

// silentVoter is longestSilentVoter for callers without s.mu. It returns "" in a fixed fleet.
func (s *Store) silentVoter(members []raft.Member) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil || !s.settings.OpenMembership {
		return ""
	}
	return s.longestSilentVoter(s.clock.Now(), members)
}

// longestSilentVoter returns the voter that has been silent for the longest time, and at least for RemoveAfter. It
// returns "" if no voter has been, or if the voters without it would have no live majority. s.mu must be held.
func (s *Store) longestSilentVoter(now time.Duration, members []raft.Member) (id string) {
	longest := s.settings.RemoveAfter
	for _, m := range members {
		if d := s.silentFor(now, m.ID); !m.Learner && d >= longest {
			id, longest = m.ID, d
		}
	}
	if id == "" || !s.hasLiveMajority(now, withoutMember(members, id)) {
		return ""
	}
	return id
}

// silentFor returns how long this leader has not heard from a member, or 0 if this node does not lead. s.mu must be
// held.
func (s *Store) silentFor(now time.Duration, id string) time.Duration {
	heard, ok := s.core.LastContact(now, id)
	if !ok {
		return 0
	}
	return now - heard
}

// hasLiveMajority reports whether a member set has at least minVoters voters and this leader has heard from a majority
// of them within an election timeout. s.mu must be held.
func (s *Store) hasLiveMajority(now time.Duration, members []raft.Member) bool {
	heard := 0
	for _, m := range members {
		if !m.Learner && s.silentFor(now, m.ID) < s.settings.ElectionTimeout {
			heard++
		}
	}
	voters := voterCount(members)
	return voters >= minVoters && heard > voters/2
}
