package store

import (
	"context"

	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
)

const (
	maxPeerMessages  = 4096     // a peer's queue; the oldest fall
	maxPeerBytes     = 32 << 20 // likewise
	maxCallBytes     = 8 << 20  // of one call, about
	maxInFlightCalls = 8        // calls to a peer that may be under way at once, over a slow way
)

// peer is the way to another member: its pending messages go as one call, one call after the other, see post.
type peer struct {
	addr  string
	queue []raft.Message
	bytes int
	wake  chan struct{}
	stop  context.CancelFunc
}

func messageSize(m raft.Message) int {
	n := 256
	for _, e := range m.Entries {
		n += len(e.Data) + entryOverhead
	}
	return n
}

// enqueueMessages puts messages into the queues of those they are for; called under the lock.
func (s *Store) enqueueMessages(messages []raft.Message) {
	if s.halted {
		return
	}
	for _, m := range messages {
		p := s.peers[m.To]
		if p == nil {
			if p = s.startPeer(m.To, s.learnedAddrs[m.To]); p == nil {
				continue
			}
		}
		p.queue = append(p.queue, m)
		p.bytes += messageSize(m)
		for len(p.queue) > maxPeerMessages || p.bytes > maxPeerBytes && len(p.queue) > 1 {
			p.bytes -= messageSize(p.queue[0])
			p.queue = p.queue[1:]
			s.metrics.dropped.Inc()
		}
		signal(p.wake)
	}
}

// updatePeers makes the peers follow the member set; called under the lock.
func (s *Store) updatePeers() {
	known := make(map[string]bool, len(s.status.Members))
	for _, m := range s.status.Members {
		known[m.ID] = true
		if m.ID == s.id {
			continue
		}
		if p := s.peers[m.ID]; p == nil || p.addr != m.Addr {
			s.startPeer(m.ID, m.Addr)
		}
	}
	for id, p := range s.peers {
		if !known[id] && (s.learnedAddrs[id] == "" || len(s.status.Members) > 0 && s.status.Leader != id) {
			p.stop()
			delete(s.peers, id)
			delete(s.learnedAddrs, id)
		}
	}
}

// startPeer starts the sender to a member; nil if there is no address.
func (s *Store) startPeer(id, addr string) *peer {
	if addr == "" || s.group.Context().Err() != nil {
		return nil
	}
	if old := s.peers[id]; old != nil {
		old.stop()
	}
	ctx, stop := context.WithCancel(s.group.Context())
	p := &peer{addr: addr, wake: make(chan struct{}, 1), stop: stop}
	s.peers[id] = p
	if s.manual == nil {
		s.group.Go(func(context.Context) { s.runSender(ctx, p) })
	}
	return p
}

// takeBatch gives the messages of the next call.
func (p *peer) takeBatch() []raft.Message {
	n, bytes := 0, 0
	for n < len(p.queue) && (n == 0 || bytes+messageSize(p.queue[n]) <= maxCallBytes) {
		bytes += messageSize(p.queue[n])
		n++
	}
	batch := p.queue[:n:n]
	p.queue, p.bytes = p.queue[n:], p.bytes-bytes
	return batch
}

func (s *Store) runSender(ctx context.Context, p *peer) {
	inFlight := make(chan struct{}, maxInFlightCalls)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		s.mu.Lock()
		batch := p.takeBatch()
		more := len(p.queue) > 0
		broken := s.halted
		s.mu.Unlock()
		if len(batch) == 0 || broken {
			continue
		}
		if !s.sendBatch(ctx, p, batch, inFlight) {
			return
		}
		if more {
			signal(p.wake)
		}
	}
}

// sendBatch sends one call and waits until it is answered, or a heartbeat long: over a way that takes longer than that,
// calls follow one another without waiting, up to the number of slots, so that the leader's lease does not hang
// on a whole turn for each. The core bears messages that overtake one another. false: ctx has ended.
func (s *Store) sendBatch(ctx context.Context, p *peer, batch []raft.Message, inFlight chan struct{}) bool {
	select {
	case inFlight <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	done, timedOut := make(chan struct{}), make(chan struct{})
	s.group.Go(func(context.Context) {
		defer func() { <-inFlight; close(done) }()
		// A failure costs these messages only; the core makes up for what is lost.
		if err := s.opt.Net.SendMessages(ctx, p.addr, internalapi.RaftCall{From: s.settings.Addr, Messages: batch}); err != nil {
			s.metrics.dropped.Add(float64(len(batch)))
		}
	})
	defer s.clock.Set(s.settings.Heartbeat, func() { close(timedOut) }).Stop()
	select {
	case <-done:
	case <-timedOut:
	case <-ctx.Done():
		return false
	}
	return true
}

// Step takes in messages of another member. From of the call is the sender's address, by which a node that has
// no members yet can answer.
func (s *Store) Step(call internalapi.RaftCall) {
	s.mu.Lock()
	s.rememberAddresses(call.From)
	if s.core == nil || s.frozen || s.halted {
		s.mu.Unlock()
		return // messages may be lost
	}
	now := s.clock.Now()
	for _, m := range call.Messages {
		if s.peers[m.From] == nil && call.From != "" && len(s.learnedAddrs) < 64 {
			s.learnedAddrs[m.From] = call.From
		}
		s.core.Step(now, m)
		if m.Kind == raft.Append && m.To == s.id && m.Term >= s.status.Term {
			s.leaderCommit, s.leaderHeardAt = m.Commit, now
		}
	}
	s.mu.Unlock()
	signal(s.wakeLoop)
}
