package store

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/raft"
)

// takeoverPeriod is how long a new leader postpones snapshots.
const takeoverPeriod = 2 * time.Second

// leadership is this node's state as the leader, reset when it gains or loses the leadership. A Store owns it; guarded
// by Store.mu.
type leadership struct {
	term      uint64        // the term in which this node leads; 0: it does not lead
	changedAt time.Duration // when this node began or ceased to lead
	leases    *roleLeases   // active once this node is the confirmed leader of term, see roleLeases
}

// onStatusChange handles the status of the core after each pass; before is the status as of the previous pass. When
// this node gains or loses the leadership it fails all proposals and drops the role leases; once this node is the
// confirmed leader it activates the role leases. It also starts and stops peers to match the member set. s.mu must be
// held.
func (s *Store) onStatusChange(before raft.Status, now time.Duration) {
	status := &s.status
	if before.Role != status.Role || before.Leader != status.Leader || before.Term != status.Term {
		_ = level.Info(s.logger).Log("msg", "raft role changed", "role", status.Role, "term", status.Term,
			"leader", status.Leader, "commit", status.Commit)
	}
	term := uint64(0)
	if status.Role == raft.Leader {
		term = status.Term
	}
	leadership := &s.leadership
	if term != leadership.term {
		s.proposals.failAll(errs.New(errs.Timeout, "the leader changed; the proposal may or may not be committed"))
		leadership.leases.StepDown()
		leadership.term, leadership.changedAt = term, now
	}
	if term != 0 && !leadership.leases.Active() {
		if commit, ok := s.core.LeaseReadIndex(now); ok && s.live.Index >= commit {
			leadership.leases.BecomeLeader(now, s.live.Roles)
		}
	}
	s.followerProgress.onApplied(s.live.Index)
	s.updatePeers()
}

// LeaderTerm returns the term in which this node leads, or 0 if it does not lead, is halted, or is not yet the
// confirmed leader of its term. hasLease reports whether no other node can lead at now, on the store's clock: the
// leader's lease is valid, and the live state has every entry that earlier leaders committed. Example:
//
//	if term, hasLease := s.LeaderTerm(clock.Now()); hasLease {
//		_, _, err = s.ProposeIn(ctx, term, decide())
//	}
func (s *Store) LeaderTerm(now time.Duration) (term uint64, hasLease bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil || s.halted || s.leadership.term == 0 || !s.leadership.leases.Active() {
		return 0, false
	}
	commit, hasLease := s.core.LeaseReadIndex(now)
	return s.leadership.term, hasLease && s.live.Index >= commit
}

// isInTakeover reports whether this node has led for less than takeoverPeriod.
func (s *Store) isInTakeover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leadership.term != 0 && s.clock.Now()-s.leadership.changedAt < takeoverPeriod
}

// TransferLeadership asks another voter to take over if this node leads, and waits until this node no longer leads, for
// one election timeout at most. It is called before the node stops. An error is only logged, and a timeout is ignored:
// after the stop, the other voters elect a leader.
func (s *Store) TransferLeadership(ctx context.Context) {
	s.mu.Lock()
	if s.core == nil || s.status.Role != raft.Leader {
		s.mu.Unlock()
		return
	}
	to := s.successor()
	err := s.core.TransferLeadership(s.clock.Now(), to)
	s.mu.Unlock()
	signal(s.wakeLoop)
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "leadership transfer failed", "err", err)
		return
	}
	for deadline := s.clock.Now() + s.settings.ElectionTimeout; s.clock.Now() < deadline &&
		s.sleep(ctx, pollInterval); {
		s.mu.Lock()
		isLeader := s.status.Role == raft.Leader
		s.mu.Unlock()
		if !isLeader {
			_ = level.Info(s.logger).Log("msg", "leadership transferred", "to", to)
			return
		}
	}
}

// stepDownIfDiskHangs transfers the leadership when this node's disk hangs. The other members can commit without it,
// but a node that cannot store entries must not remain the leader. It is called at each tick. s.mu must be held.
func (s *Store) stepDownIfDiskHangs(now time.Duration) {
	if s.status.Role != raft.Leader || !s.diskQueue.isHung(now, 2*s.settings.ElectionTimeout) {
		return
	}
	if to := s.successor(); to != "" && s.core.TransferLeadership(now, to) == nil {
		_ = level.Warn(s.logger).Log("msg", "disk hung, leadership transfer started", "to", to,
			"for", now-s.diskQueue.busySince)
	}
}

// successor returns the best voter to lead after this node: of those heard from within an election timeout the one with
// the longest log, and of equal ones the one heard from most recently. It returns "" if there is no such voter. s.mu
// must be held.
func (s *Store) successor() (to string) {
	now := s.clock.Now()
	var newestContact time.Duration
	for _, m := range s.status.Members {
		contact, ok := s.core.LastContact(now, m.ID)
		if m.ID == s.id || m.Learner || !ok || now-contact >= s.settings.ElectionTimeout {
			continue
		}
		hasLongerLog := s.status.Match[m.ID] > s.status.Match[to]
		if to == "" || hasLongerLog || s.status.Match[m.ID] == s.status.Match[to] && contact > newestContact {
			to, newestContact = m.ID, contact
		}
	}
	return to
}
