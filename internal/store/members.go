package store

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/config"
	"crosstide/internal/raft"
)

// What the leader of an open fleet keeps to when it removes members that are silent.
const (
	minVoters            = 3                // it never leaves fewer
	silentLearnerTimeout = 10 * time.Second // a learner unheard of for it is dropped
	maxKnownAddresses    = 64               // addresses of other nodes that are remembered
)

// membership is what this node knows of the fleet besides the member set, which the core has. A Store owns it; guarded
// by Store.mu.
type membership struct {
	// bootstrapped has the incarnations, by ID, of the other members that were found fresh when this very process
	// bootstrapped the fleet: each may be told that it is a bootstrap member. nil: nobody is vouched for.
	bootstrapped map[string]string
	// known has the addresses of nodes that others told of; in an open fleet only.
	known map[string]bool
}

// Members gives the address of the leader, "" if none is known, and the addresses of all members, voters first.
func (s *Store) Members() (leader string, addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.LeaderAddr, addressesOf(s.status.Members)
}

// Reached gives the addresses of the voters that this leader has heard of within an election time, its own among them; none
// on a node that does not lead.
func (s *Store) ReachableVoters() (addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil {
		return nil
	}
	now := s.clock.Now()
	for _, m := range s.status.Members {
		if heard, ok := s.core.LastContact(now, m.ID); !m.Learner && ok && now-heard < s.settings.Election {
			addresses = append(addresses, m.Addr)
		}
	}
	return addresses
}

// addressesOf gives the addresses of members, voters first.
func addressesOf(members []raft.Member) (out []string) {
	for _, learner := range []bool{false, true} {
		for _, m := range members {
			if m.Learner == learner {
				out = append(out, m.Addr)
			}
		}
	}
	return out
}

// seedsOf gives members in the form of the settings.
func seedsOf(members []raft.Member) []config.Member {
	out := make([]config.Member, len(members))
	for i, m := range members {
		out[i] = config.Member{ID: m.ID, Addr: m.Addr, Zone: m.Zone}
	}
	return out
}

// without gives a copy of members that leaves out the one with the ID.
func without(members []raft.Member, id string) []raft.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m raft.Member) bool { return m.ID == id })
}

// LearnAddresses tells an open fleet's node of more nodes to ask for the fleet, such as new seeds. It never changes
// with whom the node founds.
func (s *Store) LearnAddresses(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rememberAddresses(addresses...)
}

// rememberAddresses remembers the address of another node of an open fleet; called under the lock.
func (s *Store) rememberAddresses(addresses ...string) {
	if !s.settings.OpenMembership {
		return
	}
	for _, a := range addresses {
		if a != "" && a != s.settings.Addr && len(s.membership.known) < maxKnownAddresses {
			s.membership.known[a] = true
		}
	}
}

// addresses are those of all nodes that may know the fleet: seeds, members, and those that others told of.
func (s *Store) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := maps.Clone(s.membership.known)
	for _, m := range s.settings.Members {
		all[m.Addr] = true
	}
	for _, m := range s.status.Members {
		all[m.Addr] = true
	}
	delete(all, s.settings.Addr)
	return slices.Sorted(maps.Keys(all))
}

// removeSilent lets the leader of an open fleet remove a silent voter of an even set, which bears no more losses
// than the odd set below it, or a silent learner. One change goes at a time. Called under the lock, at each tick.
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
		_ = level.Debug(s.logger).Log("msg", "remove a silent member", "id", gone, "err", err)
		return
	}
	_ = level.Warn(s.logger).Log("msg", "removing a silent member", "id", gone, "silent", silent)
}

// silentVoter is longestSilentVoter at this moment.
func (s *Store) silentVoter(members []raft.Member) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil || !s.settings.OpenMembership {
		return ""
	}
	return s.longestSilentVoter(s.clock.Now(), members)
}

// longestSilentVoter gives the voter that has been silent for longest, RemoveAfter at least, if the others can do without it.
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

func voterCount(members []raft.Member) (n int) {
	for _, m := range members {
		if !m.Learner {
			n++
		}
	}
	return n
}
