package store

import (
	"context"
	"encoding/json"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// outcome of a proposal.
type outcome struct {
	index  uint64
	answer any
	err    error
}

// waiter is a proposal under way.
type waiter struct {
	data     json.RawMessage
	onlyTerm uint64 // the leader's term it may be proposed in; 0: any
	term     uint64 // of its entry; 0 while it is pending
	index    uint64
	since    time.Duration
	done     chan outcome // has room for one
	finished bool
}

// finish answers w, once; called under the lock.
func (w *waiter) finish(s *Store, o outcome) {
	if w.finished {
		return
	}
	w.finished = true
	s.proposalCount--
	s.proposalBytes -= len(w.data)
	if o.err == nil {
		s.metrics.commits.Observe((s.clock.Now() - w.since).Seconds())
	}
	w.done <- o
}

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

// ProposeIn is Propose by what was decided in one term of this node's lead, such as LeadTerm gave: the command
// enters the log in that term or not at all. Failure, besides those of Propose: Stale if this node leads in
// another term by then; nothing happened.
func (s *Store) ProposeIn(ctx context.Context, term uint64, c command.Command) (index uint64, answer any, err error) {
	if term == 0 {
		return 0, nil, errs.Field(errs.Stale, "term", "no leader has term 0")
	}
	index, answer, err = s.proposeAndWait(ctx, c, term)
	return index, answer, errs.Pass(err, "term %d", term)
}

// proposeAndWait proposes c, in the term only if that is not 0, and waits for the outcome.
func (s *Store) proposeAndWait(ctx context.Context, c command.Command, term uint64) (index uint64, answer any, err error) {
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

// enqueueProposal lets a proposal wait for its turn, within the bounds.
func (s *Store) enqueueProposal(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil {
		return errs.Pass(err, "enter")
	}
	if s.proposalCount >= maxProposals || s.proposalBytes+len(w.data) > maxBytes || s.unsnapshottedBytes > maxUnsnapshottedBytes {
		return errs.New(errs.Overloaded, "%d proposals wait, %d bytes; %d bytes of log since the last slot", s.proposalCount, s.proposalBytes, s.unsnapshottedBytes)
	}
	s.proposalCount++
	s.proposalBytes += len(w.data)
	w.since = s.clock.Now()
	s.pending = append(s.pending, w)
	return nil
}

// checkLeader is nil if this node is the leader, as far as it knows.
func (s *Store) checkLeader() error {
	switch {
	case s.core == nil:
		return errs.New(errs.Unavailable, "not part of a fleet yet")
	case s.halted:
		return errs.New(errs.Stopped, "the disk failed")
	case s.status.Role != raft.Leader:
		err := errs.New(errs.NotLeader, "%s is %s in term %d", s.id, s.status.Role, s.status.Term)
		errs.Of(err).Hint = s.leaderAddr()
		return err
	}
	return nil
}

func (s *Store) leaderAddr() string { return s.status.LeaderAddr }

// abandonProposal ends the wait for w.
func (s *Store) abandonProposal(w *waiter) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.finished {
		return <-w.done
	}
	err := errs.New(errs.Timeout, "not committed in time; it may or may not be yet")
	if w.term == 0 {
		err = errs.New(errs.Unavailable, "the proposal found no way into the log in time")
	} else {
		delete(s.waiters, w.index)
	}
	w.finish(s, outcome{err: err})
	return <-w.done
}

// proposePending puts all that is pending into the log, as one batch.
func (s *Store) proposePending(now time.Duration) {
	if len(s.pending) == 0 {
		return
	}
	batch := s.pending[:0]
	lead, _ := s.core.LeaderTerm()
	for _, w := range s.pending {
		if w.onlyTerm != 0 && w.onlyTerm != lead {
			w.finish(s, outcome{err: errs.New(errs.Stale, "decided in term %d, it is %d now", w.onlyTerm, lead)})
		}
		if !w.finished {
			batch = append(batch, w)
		}
	}
	s.pending = nil
	if len(batch) == 0 {
		return
	}
	data := make([]json.RawMessage, len(batch))
	for i, w := range batch {
		data[i] = w.data
	}
	first, term, err := s.core.Propose(now, data...)
	s.metrics.proposals.Add(float64(len(batch)))
	for i, w := range batch {
		if err != nil {
			w.finish(s, outcome{err: err})
			continue
		}
		w.index, w.term = first+uint64(i), term
		s.waiters[w.index] = w
	}
}

// failProposals answers all proposals whose fate this node cannot follow any more.
func (s *Store) failProposals(why error) {
	for index, w := range s.waiters {
		delete(s.waiters, index)
		w.finish(s, outcome{err: why})
	}
	for _, w := range s.pending {
		w.finish(s, outcome{err: errs.New(errs.Unavailable, "the leader changed before the proposal was in the log")})
	}
	s.pending = nil
}

// readIndexTimeout is how long a call waits for the lead to be confirmed: over a slow way to the others the lease holds
// only for a moment after each of their answers.
const readIndexTimeout = 600 * time.Millisecond

// ReadIndex gives an index that every earlier commit is at or below. Failures: NotLeader (Hint), Unavailable.
func (s *Store) ReadIndex() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, err := s.readIndexLocked()
	return index, errs.Pass(err, "index")
}

// readIndexLocked is called under the lock, which it lets go while it waits.
func (s *Store) readIndexLocked() (uint64, error) {
	end := s.clock.Now() + readIndexTimeout
	for {
		if err := s.checkLeader(); err != nil {
			return 0, errs.Pass(err, "confirm")
		}
		now := s.clock.Now()
		commit, ok := s.core.LeaseReadIndex(now)
		if ok {
			return commit, nil
		}
		if now >= end || s.manual != nil || s.group.Context().Err() != nil {
			return 0, errs.New(errs.Unavailable, "the lead cannot be confirmed now")
		}
		s.mu.Unlock()
		s.sleep(s.group.Context(), pollInterval)
		s.mu.Lock()
	}
}

// WaitApplied waits until the live state is at index or past it. Failure: Timeout.
func (s *Store) WaitApplied(ctx context.Context, index uint64) error {
	expired := make(chan struct{})
	defer s.clock.Set(proposeTimeout, func() { close(expired) }).Stop()
	for {
		s.mu.Lock()
		at, changed := s.live.Index, s.changed
		s.mu.Unlock()
		if at >= index {
			return nil
		}
		select {
		case <-changed:
		case <-expired:
			return errs.New(errs.Timeout, "at %d, not at %d in time", at, index)
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Timeout, "at %d, not yet at %d", at, index)
		}
	}
}

// Read looks at a state that has all that was committed before the call, at any node: the leader, one hop away
// at most, confirms the index. Failures: Unavailable, Timeout.
func (s *Store) Read(ctx context.Context, read func(*state.State)) error {
	index, err := s.ReadIndex()
	if errs.Is(err, errs.NotLeader) && errs.Of(err).Hint != "" {
		var a internalapi.ReadIndexAnswer
		a, err = s.opt.Net.ReadIndex(ctx, errs.Of(err).Hint)
		index = a.Index
	}
	if err == nil {
		err = s.WaitApplied(ctx, index)
	}
	if err != nil {
		return errs.Pass(hideNotLeader(err), "read")
	}
	s.View(read)
	return nil
}

// Order is Propose at any node, one hop away at most; the answer is JSON. Failures as Propose, but for NotLeader,
// which is Unavailable here. An order that ended in Timeout may have been carried out: send the same again.
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

// hideNotLeader makes NotLeader, which is no answer for an outside caller, Unavailable.
func hideNotLeader(err error) error {
	if errs.Is(err, errs.NotLeader) {
		return errs.Wrap(err, errs.Unavailable, "no leader is known here at the moment")
	}
	return err
}

// handlePropose is the answer to internalapi.Propose.
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
