package store

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
)

const (
	joinInterval  = 50 * time.Millisecond // of asking to be taken in, in an open fleet
	maxLearnerLag = 1000                  // entries; a learner within it of the leader's last entry has caught up
)

// joinCall is this node's request to be taken in.
func (s *Store) joinCall() internalapi.JoinCall {
	return internalapi.JoinCall{ID: s.id, Name: s.settings.Name, Addr: s.settings.Addr, Zone: s.settings.Zone}
}

// joinFleet is the goroutine that asks the leader, through any member, until this node is a voter.
func (s *Store) joinFleet(ctx context.Context) {
	call := s.joinCall()
	for i := 0; ; i++ {
		s.mu.Lock()
		addr, voter := s.status.LeaderAddr, s.status.Voter
		s.mu.Unlock()
		if voter {
			_ = level.Info(s.logger).Log("msg", "joined as a voter", "id", s.id)
			return
		}
		if addr == "" {
			addr = s.settings.Members[i%len(s.settings.Members)].Addr
		}
		pause := retryInterval
		if addr != s.settings.Addr {
			a, err := s.opt.Net.Join(ctx, addr, call)
			if errs.Is(err, errs.NotLeader) && errs.Of(err).Hint != "" {
				a, err = s.opt.Net.Join(ctx, errs.Of(err).Hint, call)
			}
			if err != nil {
				_ = level.Debug(s.logger).Log("msg", "join failed", "err", err)
			} else {
				pause = max(a.RetryAfter, pollInterval)
			}
		}
		if !s.sleep(ctx, pause) {
			return
		}
	}
}

// joinOpenFleet is joinFleet in an open fleet, where the leader is found by asking all nodes that are known.
func (s *Store) joinOpenFleet(ctx context.Context) {
	call := s.joinCall()
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
				_ = level.Debug(s.logger).Log("msg", "join failed", "leader", leader, "err", err)
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

// askToJoin moves this node one step towards being a voter. Failure Stale: it was removed, its folder must be
// discarded.
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

// Join moves a node with an empty folder one step towards being a voter: learner; then its older self out; then
// voter. The older self goes first, although promoting first would be allowed too: it is surely gone, so taking
// it out of 5 leaves 4 that are all there and need 3, while promoting first makes 6 of which one is dead and 4
// are needed. Both bear the loss of one more; the smaller set commits with fewer disks, and a newcomer that
// fails again in between leaves no second dead voter behind. The order of the checks is the protocol.
func (s *Store) Join(ctx context.Context, call internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	name, incarnation, ok := strings.Cut(call.ID, "~")
	if !ok || name != call.Name || name == "" || incarnation == "" || call.Addr == "" {
		return internalapi.JoinAnswer{}, errs.Field(errs.Invalid, "id", "%q is not of %q with an incarnation",
			call.ID, call.Name)
	}
	s.mu.Lock()
	err := s.checkLeader()
	st := s.status
	predecessor, isSuccessor := s.live.Successors[name]
	s.mu.Unlock()
	if err != nil {
		return internalapi.JoinAnswer{}, errs.Pass(err, "join")
	}
	if !isSuccessor {
		predecessor = name
		if err := s.checkNameKnown(name, st.Members); err != nil {
			return internalapi.JoinAnswer{}, errs.Pass(err, "join")
		}
	}
	out := internalapi.JoinAnswer{RetryAfter: retryInterval, Members: addressesOf(st.Members)}
	if s.settings.OpenMembership {
		out.RetryAfter = joinInterval
	}
	plan := planJoin(st.Members, call.ID, predecessor)
	if plan.at >= 0 && !plan.next[plan.at].Learner {
		return internalapi.JoinAnswer{Voter: true}, nil
	}
	if plan.at < 0 {
		if err := s.checkNotRemoved(call); err != nil {
			return internalapi.JoinAnswer{}, errs.Pass(err, "join")
		}
		learner := raft.Member{ID: call.ID, Addr: call.Addr, Zone: call.Zone, Incarnation: incarnation, Learner: true}
		return out, errs.Pass(s.changeMembers(st.Members, append(plan.next, learner)), "join as a learner")
	}
	out.Learner = true
	if match := st.Match[call.ID]; match == 0 || match+maxLearnerLag < st.Last {
		return out, nil
	}
	return out, errs.Pass(s.promoteLearner(ctx, plan), "promote")
}

// checkNameKnown refuses a node of a fixed fleet that no member set, no settings and no operator's order knows by name.
func (s *Store) checkNameKnown(name string, members []raft.Member) error {
	if s.settings.OpenMembership {
		return nil
	}
	isMember := func(m raft.Member) bool { return NameOf(m.ID) == name }
	isNamed := func(m config.Member) bool { return m.ID == name }
	if slices.ContainsFunc(members, isMember) || slices.ContainsFunc(s.settings.Members, isNamed) {
		return nil
	}
	return errs.Field(errs.Forbidden, "name",
		"no member is named %s; an operator says whom it replaces: crosstide-controlplane member replace OLD %s",
		name, name)
}

// joinPlan is the member set as it concerns a node that joins.
type joinPlan struct {
	from []raft.Member // the set in force
	next []raft.Member // the same without earlier folders of the node that never became a voter
	at   int           // the place of the node in next; -1: it is not in there
	old  *raft.Member  // the voter that it is to take the place of; nil: none
}

// planJoin sorts out the members for a node; predecessor is the name of the one it replaces, its own if no other.
func planJoin(members []raft.Member, id, predecessor string) joinPlan {
	name := NameOf(id)
	plan := joinPlan{from: members, next: make([]raft.Member, 0, len(members)+1), at: -1}
	for _, m := range members {
		switch {
		case m.ID == id:
			plan.at = len(plan.next)
		case NameOf(m.ID) == name && m.Learner:
			continue
		case NameOf(m.ID) == name || NameOf(m.ID) == predecessor:
			plan.old = &m
		}
		plan.next = append(plan.next, m)
	}
	return plan
}

// promoteLearner makes a learner that has caught up a voter, or takes out first whom it replaces: its older self or
// predecessor, unless that one is alive, or, in an open fleet, a voter that is silent.
func (s *Store) promoteLearner(ctx context.Context, plan joinPlan) error {
	if old := plan.old; old != nil {
		if a, err := s.opt.Net.BootstrapStatus(ctx, old.Addr, s.discoverCall()); err == nil && a.ID == old.ID {
			return errs.Field(errs.Conflict, "name", "%s is alive at %s", old.ID, old.Addr)
		}
		return errs.Pass(s.changeMembers(plan.from, without(plan.next, old.ID)), "take %s out", old.ID)
	}
	if silent := s.silentVoter(plan.from); silent != "" {
		return errs.Pass(s.changeMembers(plan.from, without(plan.next, silent)), "take %s out before a new voter",
			silent)
	}
	plan.next[plan.at].Learner = false
	return errs.Pass(s.changeMembers(plan.from, plan.next), "join as a voter")
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
