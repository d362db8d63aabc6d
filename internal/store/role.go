package store

import (
	"context"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// ClaimRole claims, renews or gives up a duty; only the confirmed leader answers. See Book for why no two hold one.
// Failures: NotLeader (Hint), Unavailable, Timeout, Invalid.
func (s *Store) ClaimRole(ctx context.Context, call internalapi.ClaimRoleCall) (internalapi.RoleLease, error) {
	if call.Role == "" || call.Holder == "" || call.Incarnation == "" {
		return internalapi.RoleLease{}, errs.Field(errs.Invalid, "holder", "duty, holder and boot are needed")
	}
	a, current, c, err := s.evaluateRoleCall(call)
	if err != nil || c == nil {
		return a, errs.Pass(err, "duty %s", call.Role)
	}
	index, _, err := s.Propose(ctx, c)
	a, err = s.finishRoleCall(call, current, index, err)
	return a, errs.Pass(err, "call")
}

// evaluateRoleCall judges a call: the answer, or the command on the duty that is to be committed first.
func (s *Store) evaluateRoleCall(call internalapi.ClaimRoleCall) (a internalapi.RoleLease, current state.Role, c command.Command, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, decision, err := s.checkRoleCall(call)
	switch {
	case err != nil:
		return a, current, nil, errs.Pass(err, "ask")
	case decision == claimRenewed || decision == claimDenied:
		return s.roleAnswer(current, decision == claimRenewed), current, nil, nil
	case call.Release:
		return a, current, &command.ReleaseRole{Role: call.Role, Epoch: current.Epoch}, nil
	}
	return a, current, &command.GrantRole{Role: call.Role, Holder: call.Holder, Addr: call.Addr, Incarnation: call.Incarnation, After: current.Epoch}, nil
}

// finishRoleCall takes in how the command of ask ended, and answers.
func (s *Store) finishRoleCall(call internalapi.ClaimRoleCall, current state.Role, index uint64, err error) (internalapi.RoleLease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roleLeases.ProposalDone(call.Role, current.Epoch)
	now := s.live.Roles[call.Role]
	switch {
	case err != nil && !errs.Is(err, errs.Stale):
		return internalapi.RoleLease{}, errs.Pass(err, "duty %s", call.Role)
	case now == nil:
		return internalapi.RoleLease{}, nil
	}
	mine := err == nil && !call.Release && now.Epoch == index
	if mine {
		_ = level.Info(s.logger).Log("msg", "duty granted", "duty", call.Role, "holder", call.Holder, "epoch", index)
	}
	return s.roleAnswer(*now, mine), nil
}

// decideBootstrap asks the book; called under the lock. On Free a proposal is to follow.
func (s *Store) checkRoleCall(call internalapi.ClaimRoleCall) (current state.Role, v claimResult, err error) {
	if _, err := s.readIndexLocked(); err != nil {
		return current, v, errs.Pass(err, "judge")
	}
	now := s.clock.Now()
	if !s.roleLeases.Active() {
		return current, v, errs.New(errs.Unavailable, "what earlier leaders committed is not applied here yet")
	}
	if d := s.live.Roles[call.Role]; d != nil {
		current = *d
	}
	if call.Release {
		if s.roleLeases.Release(now, current, call) {
			return current, claimGrantable, nil
		}
		return current, claimDenied, nil
	}
	return current, s.roleLeases.Claim(now, current, call), nil
}

func (s *Store) roleAnswer(d state.Role, mine bool) internalapi.RoleLease {
	a := internalapi.RoleLease{Mine: mine, Epoch: d.Epoch, Holder: d.Holder, Addr: d.Addr}
	if mine {
		a.TTL = s.settings.RoleLease
	}
	return a
}
