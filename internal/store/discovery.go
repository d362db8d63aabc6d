package store

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
)

const maxKnownAddresses = 64 // of nodes that other nodes named

// jitter returns d, longer or shorter by up to a quarter: nodes of an open fleet that were started together must not
// ask in step.
func jitter(d time.Duration) time.Duration { return d - d/4 + rand.N(d/2) }

// LearnAddresses adds nodes that an open fleet's node may ask for the fleet, such as new seeds. It never changes with
// whom the node bootstraps.
func (s *Store) LearnAddresses(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rememberAddresses(addresses...)
}

// rememberAddresses adds addresses of other nodes of an open fleet, within a bound. Called under the lock.
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

// addresses are those of all nodes that may know the fleet: seeds, members, and those that other nodes named.
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

// discoverCall is this node's question to others about the fleet.
func (s *Store) discoverCall() internalapi.DiscoverCall {
	return internalapi.DiscoverCall{Name: s.settings.Name, Incarnation: s.incarnation}
}

// askMembers asks all other members in the settings, at once, and returns the answers by ID.
func (s *Store) askMembers(ctx context.Context) map[string]internalapi.DiscoverAnswer {
	members := s.settings.Members
	got := make([]*internalapi.DiscoverAnswer, len(members))
	routine.Each(len(got), len(got), func(i int) {
		if m := members[i]; m.ID != s.settings.Name {
			if a, err := s.opt.Net.BootstrapStatus(ctx, m.Addr, s.discoverCall()); err == nil {
				got[i] = &a
			}
		}
	})
	answers := map[string]internalapi.DiscoverAnswer{}
	for i, a := range got {
		if a != nil {
			answers[members[i].ID] = *a
		}
	}
	return answers
}

// askKnownNodes asks all nodes whose address is known, at once, until one answer is enough or all have answered or
// failed. It returns the answers by address, and learns the addresses in them.
func (s *Store) askKnownNodes(ctx context.Context, isEnough func(internalapi.DiscoverAnswer) bool) (
	answers map[string]internalapi.DiscoverAnswer,
) {
	addresses := s.addresses()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	answers = map[string]internalapi.DiscoverAnswer{}
	routine.Each(len(addresses), len(addresses), func(i int) {
		a, err := s.opt.Net.BootstrapStatus(ctx, addresses[i], s.discoverCall())
		if err != nil {
			return
		}
		if isEnough(a) {
			cancel()
		}
		mu.Lock()
		defer mu.Unlock()
		answers[addresses[i]] = a
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range answers {
		s.rememberAddresses(a.Leader)
		s.rememberAddresses(addressesOf(a.Members)...)
	}
	return answers
}

// findLeader asks other nodes for the leader's address; "" if nobody knows one. Of two the newer term counts.
func (s *Store) findLeader(ctx context.Context) (leader string) {
	newest := uint64(0)
	knows := func(a internalapi.DiscoverAnswer) bool { return a.Leader != "" && a.Leader != s.settings.Addr }
	for _, a := range s.askKnownNodes(ctx, knows) {
		if knows(a) && (leader == "" || a.Term > newest) {
			leader, newest = a.Leader, a.Term
		}
	}
	return leader
}
