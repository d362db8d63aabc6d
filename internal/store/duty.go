package store

import (
	"context"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// Duty claims, renews or gives up a duty; only the confirmed leader answers. See Book for why no two hold one.
// Failures: NotLeader (Hint), Unavailable, Timeout, Invalid.
func (s *Store) Duty(ctx context.Context, call internalapi.DutyCall) (internalapi.DutyAnswer, error) {
	if call.Duty == "" || call.Holder == "" || call.Boot == "" {
		return internalapi.DutyAnswer{}, errs.Field(errs.Invalid, "holder", "duty, holder and boot are needed")
	}
	a, held, c, err := s.ask(call)
	if err != nil || c == nil {
		return a, errs.Pass(err, "duty %s", call.Duty)
	}
	index, _, err := s.Propose(ctx, c)
	a, err = s.granted(call, held, index, err)
	return a, errs.Pass(err, "call")
}

// ask judges a call: the answer, or the command on the duty that is to be committed first.
func (s *Store) ask(call internalapi.DutyCall) (a internalapi.DutyAnswer, held state.Duty, c command.Command, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, verdict, err := s.judge(call)
	switch {
	case err != nil:
		return a, held, nil, errs.Pass(err, "ask")
	case verdict == Mine || verdict == Theirs:
		return s.tell(held, verdict == Mine), held, nil, nil
	case call.GiveUp:
		return a, held, &command.GiveUp{Duty: call.Duty, Epoch: held.Epoch}, nil
	}
	return a, held, &command.Grant{Duty: call.Duty, Holder: call.Holder, Addr: call.Addr, Boot: call.Boot, After: held.Epoch}, nil
}

// granted takes in how the command of ask ended, and answers.
func (s *Store) granted(call internalapi.DutyCall, held state.Duty, index uint64, err error) (internalapi.DutyAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Settled(call.Duty, held.Epoch)
	now := s.live.Duties[call.Duty]
	switch {
	case err != nil && !errs.Is(err, errs.Stale):
		return internalapi.DutyAnswer{}, errs.Pass(err, "duty %s", call.Duty)
	case now == nil:
		return internalapi.DutyAnswer{}, nil
	}
	mine := err == nil && !call.GiveUp && now.Epoch == index
	if mine {
		_ = level.Info(s.log).Log("msg", "duty granted", "duty", call.Duty, "holder", call.Holder, "epoch", index)
	}
	return s.tell(*now, mine), nil
}

// judge asks the book; called under the lock. On Free a proposal is to follow.
func (s *Store) judge(call internalapi.DutyCall) (held state.Duty, v Verdict, err error) {
	if _, err := s.confirm(); err != nil {
		return held, v, errs.Pass(err, "judge")
	}
	now := s.clock.Now()
	if !s.book.Open() {
		return held, v, errs.New(errs.Unavailable, "what earlier leaders committed is not applied here yet")
	}
	if d := s.live.Duties[call.Duty]; d != nil {
		held = *d
	}
	if call.GiveUp {
		if s.book.End(now, held, call) {
			return held, Free, nil
		}
		return held, Theirs, nil
	}
	return held, s.book.Ask(now, held, call), nil
}

func (s *Store) tell(d state.Duty, mine bool) internalapi.DutyAnswer {
	a := internalapi.DutyAnswer{Mine: mine, Epoch: d.Epoch, Holder: d.Holder, Addr: d.Addr}
	if mine {
		a.Lease = s.set.DutyLease
	}
	return a
}
