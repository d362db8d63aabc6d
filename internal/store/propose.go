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

// Propose commits c and applies it to this node's live state; index is the index of its entry. It waits at most
// proposeTimeout. The error is the command's own, or one of:
//
//   - NotLeader (its Hint is the leader's address), Overloaded, TooLarge, Unavailable: c will not be committed
//   - Stopped: c will not be committed, unless the message says otherwise
//   - Timeout: c may or may not be committed; propose the same content again
//
// Example:
//
//	index, answer, err := s.Propose(ctx, &command.Cancel{Key: "k-1"})
func (s *Store) Propose(ctx context.Context, c command.Command) (index uint64, answer any, err error) {
	index, answer, err = s.proposeAndWait(ctx, c, 0)
	return index, answer, errs.Pass(err, "propose")
}

// ProposeIn is Propose for a command that this node decided as the leader in the given term (see LeaderTerm): the
// command enters the log in that term or not at all. Failures: those of Propose; Unavailable also if this node now
// leads in another term. That says nothing about c, so it is not Stale, which callers take for a refusal of c.
func (s *Store) ProposeIn(ctx context.Context, term uint64, c command.Command) (index uint64, answer any, err error) {
	if term == 0 {
		return 0, nil, errs.Field(errs.Stale, "term", "must not be 0")
	}
	index, answer, err = s.proposeAndWait(ctx, c, term)
	return index, answer, errs.Pass(err, "propose in term %d", term)
}

// ProposeOrForward is Propose at any node: a follower forwards the command to the leader, over one hop at most. It
// returns the answer as JSON. Failures: those of Propose, with Unavailable in place of NotLeader.
func (s *Store) ProposeOrForward(ctx context.Context, c command.Command) (json.RawMessage, error) {
	_, answer, err := s.Propose(ctx, c)
	if errs.Is(err, errs.NotLeader) && errs.Of(err).Hint != "" {
		body, encodeErr := json.Marshal(c)
		if encodeErr != nil {
			return nil, errs.Wrap(encodeErr, errs.Malformed, "encode %s", c.Op())
		}
		a, err := s.opt.Net.Propose(ctx, errs.Of(err).Hint, internalapi.ProposeCall{Op: c.Op(), Body: body})
		return a.Answer, errs.Pass(hideNotLeader(err), "propose %s", c.Op())
	}
	if err != nil {
		return nil, errs.Pass(hideNotLeader(err), "propose %s", c.Op())
	}
	raw, err := json.Marshal(answer)
	return raw, errs.Wrap(err, errs.Internal, "encode the answer to %s", c.Op())
}

// hideNotLeader turns NotLeader into Unavailable: callers outside the store have no use for the leader's address.
func hideNotLeader(err error) error {
	if errs.Is(err, errs.NotLeader) {
		return errs.Wrap(err, errs.Unavailable, "no leader is known, or it has just changed; retry")
	}
	return err
}

// handlePropose answers internalapi.Propose, by which another node forwards a command.
func (s *Store) handlePropose(ctx context.Context, call internalapi.ProposeCall) (internalapi.ProposeAnswer, error) {
	s.mu.Lock()
	err := s.checkLeader() // first, as decoding is costly
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
		return internalapi.ProposeAnswer{}, errs.Pass(err, "propose %s", call.Op)
	}
	reply := internalapi.ProposeAnswer{Index: index}
	if answer != nil {
		if reply.Answer, err = json.Marshal(answer); err != nil {
			return reply, errs.Wrap(err, errs.Internal, "encode the answer to %s", call.Op)
		}
	}
	return reply, nil
}

// proposeAndWait proposes c, only in the given term unless that is 0, and waits for the outcome.
func (s *Store) proposeAndWait(ctx context.Context, c command.Command, term uint64) (
	index uint64, answer any, err error,
) {
	data, err := command.Encode(s.clock.Wall(), c)
	if err != nil {
		return 0, nil, errs.Pass(err, "encode %s", c.Op())
	}
	if len(data) > maxCommandBytes {
		return 0, nil, errs.New(errs.TooLarge, "command has %d bytes, the maximum is %d", len(data), maxCommandBytes)
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

// enqueueProposal adds w to the proposals of the loop's next pass. It rejects w as Overloaded if too many proposals
// have no outcome, or if the snapshotter is so far behind that the log would grow without bound.
func (s *Store) enqueueProposal(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil {
		return errs.Pass(err, "enqueue")
	}
	if s.proposals.isFull(len(w.data)) || s.snapshots.unsnapshottedBytes > maxUnsnapshottedBytes {
		return errs.New(errs.Overloaded,
			"%d proposals of %d bytes wait, %d bytes of log are in no snapshot; retry later",
			s.proposals.count, s.proposals.bytes, s.snapshots.unsnapshottedBytes)
	}
	s.proposals.add(w)
	return nil
}

// abandonProposal is proposals.abandon for callers without s.mu.
func (s *Store) abandonProposal(w *waiter) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proposals.abandon(w)
}

// proposePending proposes all pending proposals to the core, as one batch. s.mu must be held.
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
	s.proposals.onProposed(batch, first, term, err)
}

// checkLeader returns nil if this node's role is Leader; its lease may have expired. Failures: NotLeader (Hint),
// Unavailable, Stopped. s.mu must be held.
func (s *Store) checkLeader() error {
	switch {
	case s.core == nil:
		return errs.New(errs.Unavailable, "not part of a fleet yet")
	case s.halted:
		return errs.New(errs.Stopped, "the store is halted")
	case s.status.Role != raft.Leader:
		err := errs.New(errs.NotLeader, "%s is %s in term %d", s.id, s.status.Role, s.status.Term)
		errs.Of(err).Hint = s.status.LeaderAddr
		return err
	}
	return nil
}
