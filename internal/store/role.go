package store

import (
	"context"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// ClaimRole claims, renews or releases a singleton role. It succeeds only on the leader, while the leader's own lease
// is valid. roleLeases explains why a role never has two holders. Failures: NotLeader (Hint), Unavailable, Timeout,
// Invalid.
func (s *Store) ClaimRole(ctx context.Context, call internalapi.ClaimRoleCall) (internalapi.RoleLease, error) {
	if call.Role == "" || call.Holder == "" || call.Incarnation == "" {
		return internalapi.RoleLease{}, errs.Field(errs.Invalid, "holder", "duty, holder and boot must not be empty")
	}
	answer, current, c, err := s.evaluateRoleCall(call)
	if err != nil || c == nil {
		return answer, errs.Pass(err, "role %s", call.Role)
	}
	index, _, err := s.Propose(ctx, c)
	answer, err = s.finishRoleCall(call, current, index, err)
	return answer, errs.Pass(err, "role %s", call.Role)
}

// evaluateRoleCall returns the answer to a call, or the command that must be committed before the call is answered. In
// the latter case the caller passes the command's outcome to finishRoleCall, with current, the role before the command.
func (s *Store) evaluateRoleCall(call internalapi.ClaimRoleCall) (
	answer internalapi.RoleLease, current state.Role, c command.Command, err error,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, result, err := s.checkRoleCall(call)
	switch {
	case err != nil:
		return answer, current, nil, errs.Pass(err, "check the call")
	case result == claimRenewed || result == claimDenied:
		return s.roleAnswer(current, result == claimRenewed), current, nil, nil
	case call.Release:
		return answer, current, &command.ReleaseRole{Role: call.Role, Epoch: current.Epoch}, nil
	}
	return answer, current, &command.GrantRole{Role: call.Role, Holder: call.Holder, Addr: call.Addr,
		Incarnation: call.Incarnation, After: current.Epoch}, nil
}

// checkRoleCall checks a call against the role leases, and returns the role as it is in the live state. On
// claimGrantable the grant, or the release if the call is one, must be proposed, and the role is reserved until
// finishRoleCall. s.mu must be held; it is released while waiting for a valid leader lease.
func (s *Store) checkRoleCall(call internalapi.ClaimRoleCall) (current state.Role, result claimResult, err error) {
	if _, err := s.readIndexLocked(); err != nil {
		return current, result, errs.Pass(err, "confirm the lease")
	}
	now, leases := s.clock.Now(), s.leadership.leases
	if !leases.Active() {
		return current, result, errs.New(errs.Unavailable, "entries committed by earlier leaders are not applied yet")
	}
	if r := s.live.Roles[call.Role]; r != nil {
		current = *r
	}
	if !call.Release {
		return current, leases.Claim(now, current, call), nil
	}
	if leases.Release(now, current, call) {
		return current, claimGrantable, nil
	}
	return current, claimDenied, nil
}

// finishRoleCall ends the reservation made by evaluateRoleCall and returns the answer to the call. before is the role
// that evaluateRoleCall returned; index and err are the outcome of the command. A Stale command found the role in
// another epoch: the caller was not granted the role, and the answer names its current holder, if any.
func (s *Store) finishRoleCall(call internalapi.ClaimRoleCall, before state.Role, index uint64, err error) (
	internalapi.RoleLease, error,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leadership.leases.ProposalDone(call.Role, before.Epoch)
	current := s.live.Roles[call.Role]
	switch {
	case err != nil && !errs.Is(err, errs.Stale):
		return internalapi.RoleLease{}, errs.Pass(err, "role %s", call.Role)
	case current == nil:
		return internalapi.RoleLease{}, nil
	}
	granted := err == nil && !call.Release && current.Epoch == index
	if granted {
		_ = level.Info(s.logger).Log("msg", "role granted", "role", call.Role, "holder", call.Holder, "epoch", index)
	}
	return s.roleAnswer(*current, granted), nil
}

// roleAnswer returns the answer to a call on role r; hasLease tells whether the caller holds the lease.
func (s *Store) roleAnswer(r state.Role, hasLease bool) internalapi.RoleLease {
	answer := internalapi.RoleLease{Mine: hasLease, Epoch: r.Epoch, Holder: r.Holder, Addr: r.Addr}
	if hasLease {
		answer.TTL = s.settings.RoleLease
	}
	return answer
}
