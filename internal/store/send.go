package store

import (
	"context"

	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
)

const (
	peerMessages = 4096     // a peer's queue; the oldest fall
	peerBytes    = 32 << 20 // likewise
	callBytes    = 8 << 20  // of one call, about
	flights      = 8        // calls to a peer that may be under way at once, over a slow way
)

// peer is the way to another member: its pending messages go as one call, one call after the other, see post.
type peer struct {
	addr  string
	queue []raft.Message
	bytes int
	kick  chan struct{}
	stop  context.CancelFunc
}

func sizeOf(m raft.Message) int {
	n := 256
	for _, e := range m.Entries {
		n += len(e.Data) + entryRoom
	}
	return n
}

// route puts messages into the queues of those they are for; called under the lock.
func (s *Store) route(messages []raft.Message) {
	if s.broken {
		return
	}
	for _, m := range messages {
		p := s.peers[m.To]
		if p == nil {
			if p = s.reach(m.To, s.learnt[m.To]); p == nil {
				continue
			}
		}
		p.queue = append(p.queue, m)
		p.bytes += sizeOf(m)
		for len(p.queue) > peerMessages || p.bytes > peerBytes && len(p.queue) > 1 {
			p.bytes -= sizeOf(p.queue[0])
			p.queue = p.queue[1:]
			s.meter.dropped.Inc()
		}
		nudge(p.kick)
	}
}

// enlist makes the peers follow the member set; called under the lock.
func (s *Store) enlist() {
	known := make(map[string]bool, len(s.status.Members))
	for _, m := range s.status.Members {
		known[m.ID] = true
		if m.ID == s.id {
			continue
		}
		if p := s.peers[m.ID]; p == nil || p.addr != m.Addr {
			s.reach(m.ID, m.Addr)
		}
	}
	for id, p := range s.peers {
		if !known[id] && (s.learnt[id] == "" || len(s.status.Members) > 0 && s.status.Leader != id) {
			p.stop()
			delete(s.peers, id)
			delete(s.learnt, id)
		}
	}
}

// reach starts the sender to a member; nil if there is no address.
func (s *Store) reach(id, addr string) *peer {
	if addr == "" || s.group.Context().Err() != nil {
		return nil
	}
	if old := s.peers[id]; old != nil {
		old.stop()
	}
	ctx, stop := context.WithCancel(s.group.Context())
	p := &peer{addr: addr, kick: make(chan struct{}, 1), stop: stop}
	s.peers[id] = p
	if s.hand == nil {
		s.group.Go(func(context.Context) { s.sender(ctx, p) })
	}
	return p
}

// take gives the messages of the next call.
func (p *peer) take() []raft.Message {
	n, bytes := 0, 0
	for n < len(p.queue) && (n == 0 || bytes+sizeOf(p.queue[n]) <= callBytes) {
		bytes += sizeOf(p.queue[n])
		n++
	}
	batch := p.queue[:n:n]
	p.queue, p.bytes = p.queue[n:], p.bytes-bytes
	return batch
}

func (s *Store) sender(ctx context.Context, p *peer) {
	slots := make(chan struct{}, flights)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.kick:
		}
		s.mu.Lock()
		batch := p.take()
		more := len(p.queue) > 0
		broken := s.broken
		s.mu.Unlock()
		if len(batch) == 0 || broken {
			continue
		}
		if !s.post(ctx, p, batch, slots) {
			return
		}
		if more {
			nudge(p.kick)
		}
	}
}

// post sends one call and waits until it is answered, or a heartbeat long: over a way that takes longer than that,
// calls follow one another without waiting, up to the number of slots, so that the leader's lease does not hang
// on a whole turn for each. The core bears messages that overtake one another. false: ctx has ended.
func (s *Store) post(ctx context.Context, p *peer, batch []raft.Message, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	done, late := make(chan struct{}), make(chan struct{})
	s.group.Go(func(context.Context) {
		defer func() { <-slots; close(done) }()
		// A failure costs these messages only; the core makes up for what is lost.
		if err := s.opt.Net.Quorum(ctx, p.addr, internalapi.QuorumCall{From: s.set.Addr, Messages: batch}); err != nil {
			s.meter.dropped.Add(float64(len(batch)))
		}
	})
	defer s.clock.Set(s.set.Heartbeat, func() { close(late) }).Stop()
	select {
	case <-done:
	case <-late:
	case <-ctx.Done():
		return false
	}
	return true
}

// Step takes in messages of another member. From of the call is the sender's address, by which a node that has
// no members yet can answer.
func (s *Store) Step(call internalapi.QuorumCall) {
	s.mu.Lock()
	s.learn(call.From)
	if s.core == nil || s.frozen || s.broken {
		s.mu.Unlock()
		return // messages may be lost
	}
	now := s.clock.Now()
	for _, m := range call.Messages {
		if s.peers[m.From] == nil && call.From != "" && len(s.learnt) < 64 {
			s.learnt[m.From] = call.From
		}
		s.core.Step(now, m)
		if m.Kind == raft.Append && m.To == s.id && m.Term >= s.status.Term {
			s.told, s.toldAt = m.Commit, now
		}
	}
	s.mu.Unlock()
	nudge(s.kick)
}
