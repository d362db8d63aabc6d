package store

import (
	"context"
	"encoding/json"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state/command"
)

// proposeTimeout bounds the wait for the outcome of a proposal.
const proposeTimeout = 2 * time.Second

// Propose commits c and applies it here; index is its entry's. The error is the command's own, or: NotLeader
// (Hint: the leader's address), Overloaded (too many wait), Unavailable and Stopped (surely nothing happened but for
// a Stopped that says otherwise), Timeout (it may or may not be committed; ask again with the same content).
// It waits 2 s at most. Example:
//
//	index, answer, err := s.Propose(ctx, &command.Cancel{Key: "k-1"})
func (s *Store) Propose(ctx context.Context, c command.Command) (index uint64, answer any, err error) {
	index, answer, err = s.proposeAndWait(ctx, c, 0)
	return index, answer, errs.Pass(err, "any term")
}

// ProposeIn is Propose for what was decided in one term of this node as the leader, such as LeaderTerm returned: the
// command enters the log in that term or not at all. Failure, besides those of Propose: Stale if this node leads in
// another term by then; nothing happened.
func (s *Store) ProposeIn(ctx context.Context, term uint64, c command.Command) (index uint64, answer any, err error) {
	if term == 0 {
		return 0, nil, errs.Field(errs.Stale, "term", "no leader has term 0")
	}
	index, answer, err = s.proposeAndWait(ctx, c, term)
	return index, answer, errs.Pass(err, "term %d", term)
}

// ProposeOrForward is Propose at any node, one hop away at most; the answer is JSON. Failures as Propose, but for
// NotLeader, which is Unavailable here. A command that ended in Timeout may have been applied: send the same again.
func (s *Store) ProposeOrForward(ctx context.Context, c command.Command) (json.RawMessage, error) {
	_, answer, err := s.Propose(ctx, c)
	if errs.Is(err, errs.NotLeader) && errs.Of(err).Hint != "" {
		body, bad := json.Marshal(c)
		if bad != nil {
			return nil, errs.Wrap(bad, errs.Malformed, "encode %s", c.Op())
		}
		a, err := s.opt.Net.Propose(ctx, errs.Of(err).Hint, internalapi.ProposeCall{Op: c.Op(), Body: body})
		return a.Answer, errs.Pass(hideNotLeader(err), "order")
	}
	if err != nil {
		return nil, errs.Pass(hideNotLeader(err), "order")
	}
	raw, err := json.Marshal(answer)
	return raw, errs.Wrap(err, errs.Internal, "encode the answer to %s", c.Op())
}

// hideNotLeader makes NotLeader Unavailable: a caller from outside has no use for a leader's address.
func hideNotLeader(err error) error {
	if errs.Is(err, errs.NotLeader) {
		return errs.Wrap(err, errs.Unavailable, "no leader is known here at the moment")
	}
	return err
}

// handlePropose answers internalapi.Propose, by which another node forwards a command.
func (s *Store) handlePropose(ctx context.Context, call internalapi.ProposeCall) (internalapi.ProposeAnswer, error) {
	s.mu.Lock()
	err := s.checkLeader() // before the work of decoding
	s.mu.Unlock()
	if err != nil {
		return internalapi.ProposeAnswer{}, errs.Pass(err, "propose")
	}
	c, err := command.New(call.Op)
	if err != nil {
		return internalapi.ProposeAnswer{}, errs.Pass(err, "propose")
	}
	if err := json.Unmarshal(call.Body, c); err != nil {
		return internalapi.ProposeAnswer{}, errs.Wrap(err, errs.Malformed, "command %s", call.Op)
	}
	index, answer, err := s.Propose(ctx, c)
	if err != nil {
		return internalapi.ProposeAnswer{}, errs.Pass(err, "call")
	}
	out := internalapi.ProposeAnswer{Index: index}
	if answer != nil {
		if out.Answer, err = json.Marshal(answer); err != nil {
			return out, errs.Wrap(err, errs.Internal, "encode the answer to %s", call.Op)
		}
	}
	return out, nil
}

// proposeAndWait proposes c, in the term only if that is not 0, and waits for the outcome.
func (s *Store) proposeAndWait(ctx context.Context, c command.Command, term uint64) (
	index uint64, answer any, err error,
) {
	data, err := command.Encode(s.clock.Wall(), c)
	if err != nil {
		return 0, nil, errs.Pass(err, "propose")
	}
	if len(data) > maxCommand {
		return 0, nil, errs.New(errs.TooLarge, "the command has %d bytes, at most %d", len(data), maxCommand)
	}
	w := &waiter{data: data, onlyTerm: term, done: make(chan outcome, 1)}
	if err := s.enqueueProposal(w); err != nil {
		return 0, nil, errs.Pass(err, "propose %s", c.Op())
	}
	signal(s.wakeLoop)
	timedOut := make(chan struct{})
	defer s.clock.Set(proposeTimeout, func() { close(timedOut) }).Stop()
	var o outcome
	select {
	case o = <-w.done:
	case <-timedOut:
		o = s.abandonProposal(w)
	case <-ctx.Done():
		o = s.abandonProposal(w)
	}
	return o.index, o.answer, errs.Pass(o.err, "propose %s", c.Op())
}

// enqueueProposal adds w to what the loop proposes in its next pass. It refuses when too much waits for an outcome, or
// when the snapshotter is so far behind that the log would grow without bound.
func (s *Store) enqueueProposal(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil {
		return errs.Pass(err, "enter")
	}
	if s.proposals.isFull(len(w.data)) || s.snapshots.unsnapshottedBytes > maxUnsnapshottedBytes {
		return errs.New(errs.Overloaded, "%d proposals wait, %d bytes; %d bytes of log since the last slot",
			s.proposals.count, s.proposals.bytes, s.snapshots.unsnapshottedBytes)
	}
	s.proposals.add(w)
	return nil
}

func (s *Store) abandonProposal(w *waiter) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proposals.abandon(w)
}

// proposePending proposes all that is pending to the core, as one batch. Called under the lock.
func (s *Store) proposePending(now time.Duration) {
	if len(s.proposals.pending) == 0 {
		return
	}
	leaderTerm, _ := s.core.LeaderTerm()
	batch := s.proposals.takePending(leaderTerm)
	if len(batch) == 0 {
		return
	}
	data := make([]json.RawMessage, len(batch))
	for i, w := range batch {
		data[i] = w.data
	}
	first, term, err := s.core.Propose(now, data...)
	s.metrics.proposals.Add(float64(len(batch)))
	s.proposals.entered(batch, first, term, err)
}

// checkLeader is nil if this node is the leader, as far as it knows. Called under the lock.
func (s *Store) checkLeader() error {
	switch {
	case s.core == nil:
		return errs.New(errs.Unavailable, "not part of a fleet yet")
	case s.halted:
		return errs.New(errs.Stopped, "the disk failed")
	case s.status.Role != raft.Leader:
		err := errs.New(errs.NotLeader, "%s is %s in term %d", s.id, s.status.Role, s.status.Term)
		errs.Of(err).Hint = s.status.LeaderAddr
		return err
	}
	return nil
}
