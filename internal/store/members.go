package store

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/raft"
)

// membership has this node's knowledge of other nodes beyond the member set, which the core owns. A Store owns it;
// guarded by Store.mu.
type membership struct {
	// bootstrapped has the incarnations, by ID, of the other members that were fresh when this process bootstrapped the
	// fleet. A member that finds its own incarnation here may bootstrap too. nil if this process did not bootstrap, or
	// did so only because another member listed it.
	bootstrapped map[string]string
	// knownAddresses is the set of node addresses learned at runtime; empty in a fixed fleet.
	knownAddresses map[string]bool
}

// Members returns the address of the leader, "" if none is known, and the addresses of all members, voters first.
func (s *Store) Members() (leader string, addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.LeaderAddr, addressesOf(s.status.Members)
}

// ReachableVoters returns the addresses of the voters that this leader has heard from within an election timeout, its
// own included. It returns none on a node that does not lead.
func (s *Store) ReachableVoters() (addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil {
		return nil
	}
	now := s.clock.Now()
	for _, m := range s.status.Members {
		if heard, ok := s.core.LastContact(now, m.ID); !m.Learner && ok && now-heard < s.settings.ElectionTimeout {
			addresses = append(addresses, m.Addr)
		}
	}
	return addresses
}

// changeMembers proposes the member set next, which was derived from the set from, and does not wait for its commit.
// Failures: those of checkLeader; Unavailable if from is no longer the current set.
func (s *Store) changeMembers(from, next []raft.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil {
		return errs.Pass(err, "change members")
	}
	if err := s.proposeMembers(s.clock.Now(), from, next); err != nil {
		return errs.Pass(err, "change members")
	}
	signal(s.wakeLoop)
	return nil
}

// proposeMembers proposes the member set next to the core, unless from is no longer the current set: next would then
// undo another change. s.mu must be held.
func (s *Store) proposeMembers(now time.Duration, from, next []raft.Member) error {
	if !slices.Equal(from, s.core.Status().Members) {
		return errs.New(errs.Unavailable, "the member set has changed since it was read")
	}
	if _, _, err := s.core.ProposeMembers(now, next); err != nil {
		return errs.Pass(err, "propose")
	}
	_ = level.Info(s.logger).Log("msg", "member change proposed", "members", len(next))
	return nil
}

// addressesOf returns the addresses of members, voters before learners.
func addressesOf(members []raft.Member) (addresses []string) {
	for _, learner := range []bool{false, true} {
		for _, m := range members {
			if m.Learner == learner {
				addresses = append(addresses, m.Addr)
			}
		}
	}
	return addresses
}

// seedsOf converts members to the type used in settings.
func seedsOf(members []raft.Member) []config.Member {
	seeds := make([]config.Member, len(members))
	for i, m := range members {
		seeds[i] = config.Member{ID: m.ID, Addr: m.Addr, Zone: m.Zone}
	}
	return seeds
}

// withoutMember returns a copy of members without the member id.
func withoutMember(members []raft.Member, id string) []raft.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m raft.Member) bool { return m.ID == id })
}

// voterCount returns the number of voters among members.
func voterCount(members []raft.Member) (voters int) {
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	return voters
}
