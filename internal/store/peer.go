package store

import (
	"context"

	"crosstide/internal/internalapi"
	"crosstide/internal/jobs"
	"crosstide/internal/raft"
)

const (
	maxPeerMessages  = 4096     // in a peer's queue; the oldest are dropped first
	maxPeerBytes     = 32 << 20 // in a peer's queue, likewise
	maxCallBytes     = 8 << 20  // approximate size of one call
	maxInFlightCalls = 8        // to one peer at once
	maxLearnedAddrs  = 64       // addresses of senders outside the member set
)

// peers are the other members and the queues of messages to them. A Store owns them; guarded by Store.mu.
type peers struct {
	byID map[string]*peer
	// learned has the addresses of senders that are not in this node's member set, by ID. Without them a node that has
	// no member set yet could not reply to its leader.
	learned map[string]string
}

func newPeers() peers { return peers{byID: map[string]*peer{}, learned: map[string]string{}} }

// learn keeps the address of a sender that is not a peer, up to maxLearnedAddrs of them.
func (p *peers) learn(id, addr string) {
	if p.byID[id] == nil && addr != "" && len(p.learned) < maxLearnedAddrs {
		p.learned[id] = addr
	}
}

// peer is the queue of messages to one member. Its goroutine runSender sends them, many in one call. Guarded by
// Store.mu; addr, wake and stop do not change.
type peer struct {
	addr   string
	schema jobs.Schema // the newest that the member supports, according to its newest call
	queue  []raft.Message
	bytes  int           // approximate size of queue
	wake   chan struct{} // capacity 1; a signal asks runSender to empty the queue
	stop   context.CancelFunc
}

// enqueue appends a message and drops the oldest beyond the bounds, which raft tolerates. It returns how many were
// dropped.
func (p *peer) enqueue(m raft.Message) (dropped int) {
	p.queue = append(p.queue, m)
	p.bytes += messageSize(m)
	for len(p.queue) > maxPeerMessages || p.bytes > maxPeerBytes && len(p.queue) > 1 {
		p.bytes -= messageSize(p.queue[0])
		p.queue = p.queue[1:]
		dropped++
	}
	signal(p.wake)
	return dropped
}

// takeBatch removes the messages of the next call from the queue and returns them.
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

// raftCall returns the call that carries messages to a peer.
func (s *Store) raftCall(messages []raft.Message) internalapi.RaftCall {
	return internalapi.RaftCall{From: s.settings.Addr, Messages: messages, Schema: jobs.NewestSchema}
}

// messageSize returns the approximate size of a message in a call, in bytes.
func messageSize(m raft.Message) int {
	n := 256
	for _, e := range m.Entries {
		n += len(e.Data) + entryOverhead
	}
	return n
}

// enqueueMessages queues messages for their receivers. It drops messages to a receiver whose address is unknown, and
// all messages if the store is halted. s.mu must be held.
func (s *Store) enqueueMessages(messages []raft.Message) {
	if s.halted {
		return
	}
	for _, m := range messages {
		p := s.peers.byID[m.To]
		if p == nil {
			if p = s.startPeer(m.To, s.peers.learned[m.To]); p == nil {
				continue
			}
		}
		s.metrics.dropped.Add(float64(p.enqueue(m)))
	}
}

// updatePeers starts and stops senders so that the peers are the other members. A peer outside the member set is kept
// only if its address was learned, and it is the leader or this node has no member set yet. s.mu must be held.
func (s *Store) updatePeers() {
	members := make(map[string]bool, len(s.status.Members))
	for _, m := range s.status.Members {
		members[m.ID] = true
		if m.ID == s.id {
			continue
		}
		if p := s.peers.byID[m.ID]; p == nil || p.addr != m.Addr {
			s.startPeer(m.ID, m.Addr)
		}
	}
	for id, p := range s.peers.byID {
		if !members[id] && (s.peers.learned[id] == "" || len(s.status.Members) > 0 && s.status.Leader != id) {
			p.stop()
			delete(s.peers.byID, id)
			delete(s.peers.learned, id)
		}
	}
}

// startPeer starts the sender to a member, replacing one to an older address. It returns nil without an address, or
// while the store is stopping. s.mu must be held.
func (s *Store) startPeer(id, addr string) *peer {
	if addr == "" || s.group.Context().Err() != nil {
		return nil
	}
	if old := s.peers.byID[id]; old != nil {
		old.stop()
	}
	ctx, stop := context.WithCancel(s.group.Context())
	p := &peer{addr: addr, wake: make(chan struct{}, 1), stop: stop}
	s.peers.byID[id] = p
	if s.manual == nil {
		s.group.Go(func(context.Context) { s.runSender(ctx, p) })
	}
	return p
}

// runSender is the goroutine of one peer: it sends the queued messages until ctx ends.
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
		hasMore := len(p.queue) > 0
		isHalted := s.halted
		s.mu.Unlock()
		if len(batch) == 0 || isHalted {
			continue
		}
		if !s.sendBatch(ctx, p, batch, inFlight) {
			return
		}
		if hasMore {
			signal(p.wake)
		}
	}
}

// sendBatch makes one call and waits until it is answered, but no longer than a heartbeat interval. If a round trip
// takes longer, calls overlap, up to the capacity of inFlight: otherwise the leader's lease would wait for a whole
// round trip per batch. Raft tolerates the reordering. It returns false once ctx has ended.
func (s *Store) sendBatch(ctx context.Context, p *peer, batch []raft.Message, inFlight chan struct{}) bool {
	select {
	case inFlight <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	done, timedOut := make(chan struct{}), make(chan struct{})
	s.group.Go(func(context.Context) {
		defer func() { <-inFlight; close(done) }()
		// Only these messages are lost by a failure; the core resends them if they are still needed.
		call := s.raftCall(batch)
		if err := s.opt.Net.SendMessages(ctx, p.addr, call); err != nil {
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
