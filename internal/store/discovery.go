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

const maxKnownAddresses = 64 // learned from other nodes

// jitter returns d, randomly lengthened or shortened by up to a quarter, so that nodes of an open fleet that were
// started together do not all send their calls at the same moment.
func jitter(d time.Duration) time.Duration { return d - d/4 + rand.N(d/2) }

// LearnAddresses adds addresses, such as new seeds, at which a node of an open fleet may look for the fleet. They do
// not affect which members it bootstraps with.
func (s *Store) LearnAddresses(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rememberAddresses(addresses...)
}

// rememberAddresses adds addresses of other nodes, up to maxKnownAddresses. It has no effect in a fixed fleet. s.mu
// must be held.
func (s *Store) rememberAddresses(addresses ...string) {
	if !s.settings.OpenMembership {
		return
	}
	for _, a := range addresses {
		if a != "" && a != s.settings.Addr && len(s.membership.knownAddresses) < maxKnownAddresses {
			s.membership.knownAddresses[a] = true
		}
	}
}

// addresses returns the sorted addresses of all other known nodes: seeds, members and those learned from other nodes.
func (s *Store) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := maps.Clone(s.membership.knownAddresses)
	for _, m := range s.settings.Members {
		known[m.Addr] = true
	}
	for _, m := range s.status.Members {
		known[m.Addr] = true
	}
	delete(known, s.settings.Addr)
	return slices.Sorted(maps.Keys(known))
}

// discoverCall returns the call by which this node asks others about the fleet.
func (s *Store) discoverCall() internalapi.DiscoverCall {
	return internalapi.DiscoverCall{Name: s.settings.Name, Incarnation: s.incarnation}
}

// askMembers calls all other members in the settings concurrently and returns the answers by ID.
func (s *Store) askMembers(ctx context.Context) map[string]internalapi.DiscoverAnswer {
	members := s.settings.Members
	results := make([]*internalapi.DiscoverAnswer, len(members))
	routine.Each(len(results), len(results), func(i int) {
		if m := members[i]; m.ID != s.settings.Name {
			if a, err := s.opt.Net.BootstrapStatus(ctx, m.Addr, s.discoverCall()); err == nil {
				results[i] = &a
			}
		}
	})
	answers := map[string]internalapi.DiscoverAnswer{}
	for i, a := range results {
		if a != nil {
			answers[members[i].ID] = *a
		}
	}
	return answers
}

// askKnownNodes calls all nodes with a known address concurrently, until isEnough accepts one answer or all calls have
// ended. It returns the answers by address, and remembers the addresses in them. isEnough must be safe for concurrent
// use.
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

// findLeader asks other nodes for the leader's address and returns that of the newest term, or "" if none is known.
func (s *Store) findLeader(ctx context.Context) (leader string) {
	newestTerm := uint64(0)
	knowsLeader := func(a internalapi.DiscoverAnswer) bool { return a.Leader != "" && a.Leader != s.settings.Addr }
	for _, a := range s.askKnownNodes(ctx, knowsLeader) {
		if knowsLeader(a) && (leader == "" || a.Term > newestTerm) {
			leader, newestTerm = a.Leader, a.Term
		}
	}
	return leader
}
