package store

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/routine"
)

// Intervals of an open fleet; each is spread by a quarter, so that nodes started together do not ask in step.
const (
	surveyInterval       = 100 * time.Millisecond // of asking what an empty folder means
	joinInterval         = 50 * time.Millisecond  // of asking to be taken in
	removalCheckInterval = 500 * time.Millisecond // of asking, without a leader, whether this node was removed
)

// jitter gives d, longer or shorter by up to a quarter.
func jitter(d time.Duration) time.Duration { return d - d/4 + rand.N(d/2) }

// resolveEmptyFolderOpen is settle where members are only seeds: a seed may found with the others, all other nodes wait until
// somebody tells them that the fleet exists.
func (s *Store) resolveEmptyFolderOpen(ctx context.Context) bool {
	founder := slices.ContainsFunc(s.settings.Members, func(m config.Member) bool { return m.ID == s.settings.Name })
	var incarnations map[string]string
	for round := 0; ; round++ {
		// A founder waits for all answers: one that names it among the founders weighs most.
		answers := s.surveyNodes(ctx, func(a internalapi.DiscoverAnswer) bool { return !founder && a.Commit > 1 })
		v, bootstrapMembers := s.decideOpenBootstrap(answers, incarnations)
		incarnations = bootstrapMembers
		var err error
		switch {
		case v == mayBootstrap && founder:
			err = s.bootstrap(bootstrapMembers)
		case v == fleetExists:
			if err = s.startNewIncarnation(); err == nil {
				_ = level.Info(s.logger).Log("msg", "the fleet exists and this folder is empty: joining", "id", s.id)
			}
		case v == settingsDiffer:
			_ = level.Error(s.logger).Log("msg", "founding members in the settings differ between nodes")
		}
		if err != nil {
			s.fatal(errs.Pass(err, "settle"))
			return false
		}
		if s.core != nil {
			return true
		}
		if round%50 == 0 {
			_ = level.Info(s.logger).Log("msg", "empty folder: asking other nodes", "answers", len(answers))
		}
		if !s.sleep(ctx, jitter(surveyInterval)) {
			return false
		}
	}
}

// decideOpenBootstrap is judge where settings may differ between nodes: only those who may found together must have the same
// founders. answers are by address.
func (s *Store) decideOpenBootstrap(answers map[string]internalapi.DiscoverAnswer, before map[string]string) (bootstrapDecision, map[string]string) {
	digest := s.digest()
	bootstrapMembers := map[string]internalapi.DiscoverAnswer{}
	for _, m := range s.settings.Members {
		a, ok := answers[m.Addr]
		if !ok {
			continue
		}
		if a.Digest == digest && a.BootstrapIncarnations[s.settings.Name] == s.incarnation {
			return mayBootstrap, nil // nobody else is vouched for
		}
		bootstrapMembers[m.ID] = a
	}
	for _, a := range answers {
		if a.Commit > 1 {
			return fleetExists, nil
		}
	}
	for id, a := range bootstrapMembers {
		if !a.Fresh {
			a.Digest = digest // it only keeps the others from founding
			bootstrapMembers[id] = a
		}
	}
	v, incarnations := decideBootstrap(s.settings.Name, s.incarnation, digest, len(s.settings.Members), bootstrapMembers, before)
	return v, incarnations
}

// surveyNodes asks all nodes whose address is known how they stand, at once, until enough holds for an answer or all
// have answered or failed. It gives the answers by address, and learns the addresses in them.
func (s *Store) surveyNodes(ctx context.Context, enough func(internalapi.DiscoverAnswer) bool) map[string]internalapi.DiscoverAnswer {
	addresses := s.addresses()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	answers := map[string]internalapi.DiscoverAnswer{}
	routine.Each(len(addresses), len(addresses), func(i int) {
		a, err := s.opt.Net.BootstrapStatus(ctx, addresses[i], internalapi.DiscoverCall{Name: s.settings.Name, Incarnation: s.incarnation})
		if err != nil {
			return
		}
		if enough(a) {
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

// joinOpenFleet asks the leader until this node is a voter.
func (s *Store) joinOpenFleet(ctx context.Context) {
	call := internalapi.JoinCall{ID: s.id, Name: s.settings.Name, Addr: s.settings.Addr, Zone: s.settings.Zone}
	leader := ""
	for {
		s.mu.Lock()
		voter, uncommitted := s.isCommittedVoter(), s.status.Voter
		call.Since = s.core.MemberSince()
		s.mu.Unlock()
		if voter {
			_ = level.Info(s.logger).Log("msg", "joined as a voter", "id", s.id)
			return
		}
		if leader == "" && !uncommitted {
			leader = s.findLeader(ctx)
		}
		if leader != "" && !uncommitted {
			err := s.askToJoin(ctx, leader, call)
			if errs.Is(err, errs.Stale) {
				s.discardAndRejoin(leader)
				return
			}
			if err != nil {
				_ = level.Debug(s.logger).Log("msg", "join", "leader", leader, "err", err)
				leader = ""
			}
		}
		if !s.sleep(ctx, jitter(joinInterval)) {
			return
		}
	}
}

// isCommittedVoter tells whether a committed set has this node as a voter; what its log says beyond that may be undone.
// Called under the lock.
func (s *Store) isCommittedVoter() bool {
	_, members := s.core.CommittedMembers()
	return slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == s.id && !m.Learner })
}

// askToJoin moves this node one step towards being a voter. Failure Stale: it was removed, its folder is void.
func (s *Store) askToJoin(ctx context.Context, leader string, call internalapi.JoinCall) error {
	a, err := s.opt.Net.Join(ctx, leader, call)
	if err != nil {
		return errs.Pass(err, "ask to join")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rememberAddresses(a.Members...)
	return nil
}

// checkNotRemoved refuses one that is no member although its folder says that it is one: it was removed since, and
// must come back as a new incarnation. Failure: Stale; Unavailable while that is not committed.
func (s *Store) checkNotRemoved(call internalapi.JoinCall) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, members := s.core.CommittedMembers()
	switch {
	case call.Since == 0:
		return nil
	case slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == call.ID }):
		return errs.New(errs.Unavailable, "%s is being removed", call.ID)
	case at > call.Since:
		return errs.New(errs.Stale, "%s was a member at %d and is none at %d", call.ID, call.Since, at)
	}
	return nil // the set that had it was never committed
}

// findLeader asks other nodes for the leader's address; "" if nobody knows one. Of two the newer term counts.
func (s *Store) findLeader(ctx context.Context) (leader string) {
	newest := uint64(0)
	knows := func(a internalapi.DiscoverAnswer) bool { return a.Leader != "" && a.Leader != s.settings.Addr }
	for _, a := range s.surveyNodes(ctx, knows) {
		if knows(a) && (leader == "" || a.Term > newest) {
			leader, newest = a.Leader, a.Term
		}
	}
	return leader
}

// watchRemoval finds out whether this node was removed while it was down or cut off. Its contents are void then:
// it begins anew as another incarnation.
func (s *Store) watchRemoval(ctx context.Context) {
	for s.sleep(ctx, jitter(removalCheckInterval)) {
		if !s.isLeaderless() {
			continue
		}
		answers := s.surveyNodes(ctx, s.provesRemoval)
		for _, address := range slices.Sorted(maps.Keys(answers)) {
			if s.provesRemoval(answers[address]) {
				s.discardAndRejoin(address)
				return
			}
		}
	}
}

// discardAndRejoin voids the folder and ends the use of the store, after the node at the address told that this one was
// removed.
func (s *Store) discardAndRejoin(address string) {
	_ = level.Warn(s.logger).Log("msg", "removed from the members while away: joining anew", "id", s.id, "told by", address)
	if err := Discard(s.opt.Disk, s.addresses()...); err != nil {
		s.fatal(errs.Pass(err, "removed"))
		return
	}
	if s.halt() {
		s.opt.Removed()
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
	is := func(m raft.Member) bool { return m.ID == s.id }
	return since > 0 && a.MembersAt > since && !slices.ContainsFunc(a.Members, is)
}
