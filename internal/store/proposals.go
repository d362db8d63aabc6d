package store

import (
	"encoding/json"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/raft"
)

const (
	maxCommandBytes  = 8 << 20  // bytes of one encoded command
	maxProposals     = 16384    // proposals without an outcome
	maxProposalBytes = 64 << 20 // total bytes of their commands
)

// outcome is the result of a proposal: the index and the answer of its entry, or an error.
type outcome struct {
	index  uint64
	answer any
	err    error
}

// waiter is one proposal and the channel on which its caller waits for the outcome. It belongs to proposals; Store.mu
// guards all its fields except done.
type waiter struct {
	data     json.RawMessage
	onlyTerm uint64        // the only term in which it may be proposed; 0 for any
	term     uint64        // of its log entry; 0 while it is pending
	index    uint64        // of its log entry; 0 while it is pending
	addedAt  time.Duration // when it was added, on the store's clock
	done     chan outcome  // receives the only outcome; capacity 1, so that finish never blocks
	finished bool          // whether the outcome was sent to done
}

// proposals holds the commands that callers proposed at this node and that have no outcome yet. A Store owns it;
// guarded by Store.mu.
type proposals struct {
	clock         clock.Clock
	commitSeconds prometheus.Observer

	pending []*waiter          // not in the log yet, in the order of arrival
	inLog   map[uint64]*waiter // in the log and not applied yet, by the index of the entry
	count   int                // unfinished proposals in pending and inLog
	bytes   int                // total size of their data
}

func newProposals(clk clock.Clock, commitSeconds prometheus.Observer) proposals {
	return proposals{clock: clk, commitSeconds: commitSeconds, inLog: map[uint64]*waiter{}}
}

// isFull reports whether another command of n bytes would exceed the bounds.
func (p *proposals) isFull(n int) bool {
	return p.count >= maxProposals || p.bytes+n > maxProposalBytes
}

// add appends w to the pending proposals.
func (p *proposals) add(w *waiter) {
	p.count++
	p.bytes += len(w.data)
	w.addedAt = p.clock.Now()
	p.pending = append(p.pending, w)
}

// finish sends w its outcome, unless it was sent before.
func (p *proposals) finish(w *waiter, o outcome) {
	if w.finished {
		return
	}
	w.finished = true
	p.count--
	p.bytes -= len(w.data)
	if o.err == nil {
		p.commitSeconds.Observe((p.clock.Now() - w.addedAt).Seconds())
	}
	w.done <- o
}

// abandon ends the wait for w and returns its outcome. If w has none yet, the outcome is Timeout for a proposal in the
// log, which may still be committed, and Unavailable for a pending one.
func (p *proposals) abandon(w *waiter) outcome {
	if w.finished {
		return <-w.done
	}
	err := errs.New(errs.Timeout, "not committed before the timeout; it may still be committed")
	if w.term == 0 {
		err = errs.New(errs.Unavailable, "the proposal was not in the log before the timeout")
	} else {
		delete(p.inLog, w.index)
	}
	p.finish(w, outcome{err: err})
	return <-w.done
}

// takePending removes all pending proposals and returns those that may be proposed in the leader's term. Proposals for
// another term fail as Unavailable; abandoned ones are dropped.
func (p *proposals) takePending(leaderTerm uint64) []*waiter {
	batch := p.pending[:0]
	for _, w := range p.pending {
		if w.onlyTerm != 0 && w.onlyTerm != leaderTerm {
			p.finish(w, outcome{err: errs.New(errs.Unavailable,
				"decided in term %d, the current term is %d", w.onlyTerm, leaderTerm)})
		}
		if !w.finished {
			batch = append(batch, w)
		}
	}
	p.pending = nil
	return batch
}

// onProposed records the result of proposing a batch: if err is nil, its entries are in the log from index first on,
// else none of them is.
func (p *proposals) onProposed(batch []*waiter, first, term uint64, err error) {
	for i, w := range batch {
		if err != nil {
			p.finish(w, outcome{err: err})
			continue
		}
		w.index, w.term = first+uint64(i), term
		p.inLog[w.index] = w
	}
}

// onApplied finishes the proposal whose entry was applied, if it was made at this node. An entry of another term at its
// index means that another leader overwrote the proposal.
func (p *proposals) onApplied(e raft.Entry, answer any, err error) {
	w := p.inLog[e.Index]
	if w == nil {
		return
	}
	delete(p.inLog, e.Index)
	if w.term != e.Term {
		p.finish(w, outcome{err: errs.New(errs.Unavailable,
			"the entry at index %d was overwritten by another leader", e.Index)})
		return
	}
	p.finish(w, outcome{index: e.Index, answer: answer, err: err})
}

// failAll finishes all proposals: those in the log with cause, as this node can no longer learn their outcome, and the
// pending ones with Unavailable, as they never entered the log.
func (p *proposals) failAll(cause error) {
	for index, w := range p.inLog {
		delete(p.inLog, index)
		p.finish(w, outcome{err: cause})
	}
	for _, w := range p.pending {
		p.finish(w, outcome{err: errs.New(errs.Unavailable,
			"the leader changed, or the store stopped, before the proposal was in the log")})
	}
	p.pending = nil
}
