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
	"crosstide/internal/jobs"
	"crosstide/internal/raft"
)

const (
	joinInterval  = 50 * time.Millisecond // between calls to join an open fleet
	maxLearnerLag = 1000                  // entries; a learner at most this far behind the leader has caught up
)

// joinCall returns this node's request to join the fleet.
func (s *Store) joinCall() internalapi.JoinCall {
	return internalapi.JoinCall{
		ID: s.id, Name: s.settings.Name, Addr: s.settings.Addr, Zone: s.settings.Zone, Schema: jobs.NewestSchema,
	}
}

// joinFleet is the goroutine that asks the leader of a fixed fleet to add this node, until it is a voter. Any member's
// answer names the leader.
func (s *Store) joinFleet(ctx context.Context) {
	call := s.joinCall()
	for i := 0; ; i++ {
		s.mu.Lock()
		addr, isVoter := s.status.LeaderAddr, s.status.Voter
		s.mu.Unlock()
		if isVoter {
			_ = level.Info(s.logger).Log("msg", "joined as a voter", "id", s.id)
			return
		}
		if addr == "" {
			addr = s.settings.Members[i%len(s.settings.Members)].Addr
		}
		backoff := retryInterval
		if addr != s.settings.Addr {
			a, err := s.opt.Net.Join(ctx, addr, call)
			if errs.Is(err, errs.NotLeader) && errs.Of(err).Hint != "" {
				a, err = s.opt.Net.Join(ctx, errs.Of(err).Hint, call)
			}
			if err != nil {
				_ = level.Debug(s.logger).Log("msg", "join failed", "err", err)
			} else {
				backoff = max(a.RetryAfter, pollInterval)
			}
		}
		if !s.sleep(ctx, backoff) {
			return
		}
	}
}

// joinOpenFleet is joinFleet for an open fleet, where the leader is found by asking all known nodes. While this node
// is a voter in its log, it makes no calls and waits until that member set is committed or overwritten.
func (s *Store) joinOpenFleet(ctx context.Context) {
	call := s.joinCall()
	leader := ""
	for {
		s.mu.Lock()
		isVoter, isVoterInLog := s.isCommittedVoter(), s.status.Voter
		call.Since = s.core.MemberSince()
		s.mu.Unlock()
		if isVoter {
			_ = level.Info(s.logger).Log("msg", "joined as a voter", "id", s.id)
			return
		}
		if leader == "" && !isVoterInLog {
			leader = s.findLeader(ctx)
		}
		if leader != "" && !isVoterInLog {
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

// isCommittedVoter reports whether this node is a voter in the committed member set. A newer set in its log does not
// count, as it may still be overwritten. s.mu must be held.
func (s *Store) isCommittedVoter() bool {
	_, members := s.core.CommittedMembers()
	return slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == s.id && !m.Learner })
}

// askToJoin asks the leader to bring this node one step closer to being a voter. Failures: those of the call; Stale if
// this node was removed and must discard its folder.
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

// Join brings a new node, or one that lost its folder, one step closer to being a voter. The steps are: it becomes a
// learner; its earlier incarnation is removed; it becomes a voter.
//
// The removal goes first, although promoting first would be allowed too. The earlier incarnation is certainly dead:
// removing it from 5 voters leaves 4 live ones with a majority of 3, while promoting first makes 6 voters, one of them
// dead, with a majority of 4. Both tolerate one more loss; but the smaller set commits with fewer disks, and a learner
// that fails again in between leaves no second dead voter. The order of the checks below is the protocol: do not change
// it.
//
// Failures: NotLeader (Hint), Invalid, Forbidden, Conflict, Unavailable, Stale.
func (s *Store) Join(ctx context.Context, call internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	name, incarnation, ok := strings.Cut(call.ID, "~")
	if !ok || name != call.Name || name == "" || incarnation == "" || call.Addr == "" {
		return internalapi.JoinAnswer{}, errs.Field(errs.Invalid, "id",
			"got %q, must be NAME~INCARNATION with the name %q, and addr must not be empty", call.ID, call.Name)
	}
	s.mu.Lock()
	err := s.checkLeader()
	if err == nil {
		err = s.checkJoinSchema(call)
	}
	status := s.status
	predecessor, isSuccessor := s.live.Successors[name]
	s.mu.Unlock()
	if err != nil {
		return internalapi.JoinAnswer{}, errs.Pass(err, "join")
	}
	if !isSuccessor {
		predecessor = name
		if err := s.checkNameKnown(name, status.Members); err != nil {
			return internalapi.JoinAnswer{}, errs.Pass(err, "join")
		}
	}
	answer := internalapi.JoinAnswer{RetryAfter: retryInterval, Members: addressesOf(status.Members)}
	if s.settings.OpenMembership {
		answer.RetryAfter = joinInterval
	}
	plan := planJoin(status.Members, call.ID, predecessor)
	if plan.position >= 0 && !plan.next[plan.position].Learner {
		return internalapi.JoinAnswer{Voter: true}, nil
	}
	if plan.position < 0 {
		if err := s.checkNotRemoved(call); err != nil {
			return internalapi.JoinAnswer{}, errs.Pass(err, "join")
		}
		learner := raft.Member{ID: call.ID, Addr: call.Addr, Zone: call.Zone, Incarnation: incarnation, Learner: true}
		return answer, errs.Pass(s.changeMembers(status.Members, append(plan.next, learner)), "join as a learner")
	}
	answer.Learner = true
	if match := status.Match[call.ID]; match == 0 || match+maxLearnerLag < status.Last {
		return answer, nil
	}
	return answer, errs.Pass(s.promoteLearner(ctx, plan), "promote")
}

// checkNameKnown rejects a node of a fixed fleet if no member and no entry of the settings has its name. Failure:
// Forbidden.
func (s *Store) checkNameKnown(name string, members []raft.Member) error {
	if s.settings.OpenMembership {
		return nil
	}
	isMember := func(m raft.Member) bool { return NameOf(m.ID) == name }
	isInSettings := func(m config.Member) bool { return m.ID == name }
	if slices.ContainsFunc(members, isMember) || slices.ContainsFunc(s.settings.Members, isInSettings) {
		return nil
	}
	return errs.Field(errs.Forbidden, "name",
		"no member is named %s; to let it replace member OLD, run: crosstide-controlplane member replace OLD %s",
		name, name)
}

// joinPlan describes the place of a node that joins in the member set. planJoin returns it.
type joinPlan struct {
	from     []raft.Member // the current member set
	next     []raft.Member // from without earlier incarnations of the node that are learners
	position int           // of the node in next; -1: it is not a member
	replaced *raft.Member  // the voter that the node replaces; nil: none
}

// planJoin returns the joinPlan of the node id. predecessor is the name of the node that it replaces: another node's if
// an operator named one, else its own.
func planJoin(members []raft.Member, id, predecessor string) joinPlan {
	name := NameOf(id)
	plan := joinPlan{from: members, next: make([]raft.Member, 0, len(members)+1), position: -1}
	for _, m := range members {
		switch {
		case m.ID == id:
			plan.position = len(plan.next)
		case NameOf(m.ID) == name && m.Learner:
			continue
		case NameOf(m.ID) == name || NameOf(m.ID) == predecessor:
			plan.replaced = &m
		}
		plan.next = append(plan.next, m)
	}
	return plan
}

// promoteLearner makes a learner that has caught up a voter. If a voter must be removed first it only removes that one:
// the voter that the learner replaces, which must not be alive, or a silent voter of an open fleet. Failures: Conflict,
// and those of changeMembers.
func (s *Store) promoteLearner(ctx context.Context, plan joinPlan) error {
	if old := plan.replaced; old != nil {
		if a, err := s.opt.Net.BootstrapStatus(ctx, old.Addr, s.discoverCall()); err == nil && a.ID == old.ID {
			return errs.Field(errs.Conflict, "name", "%s is still running at %s", old.ID, old.Addr)
		}
		return errs.Pass(s.changeMembers(plan.from, withoutMember(plan.next, old.ID)), "remove %s", old.ID)
	}
	if silent := s.silentVoter(plan.from); silent != "" {
		return errs.Pass(s.changeMembers(plan.from, withoutMember(plan.next, silent)), "remove %s before a new voter",
			silent)
	}
	plan.next[plan.position].Learner = false
	return errs.Pass(s.changeMembers(plan.from, plan.next), "join as a voter")
}

// checkNotRemoved rejects a node that is not a member, but was one in a set that the node has at index call.Since: the
// node was removed and must rejoin as a new incarnation. Failures: Stale; Unavailable while the removal is not
// committed.
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
		return errs.New(errs.Stale, "%s was a member at index %d and is not one at index %d", call.ID, call.Since, at)
	}
	return nil // the member set with the node was never committed
}
