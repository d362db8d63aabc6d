package raft

import "time"

// silentHeartbeats is how many heartbeats without an answer end pipelining.
const silentHeartbeats = 5

type phase uint8

const (
	probe    phase = iota // one append at a time until the logs meet
	pipeline              // appends follow each other without awaiting replies
	fetch                 // the peer fetches a snapshot
)

// peer is what the leader knows of another member.
type peer struct {
	phase        phase
	match, next  uint64
	inflight     []uint64 // last index of each append under way
	sentCommit   uint64   // commit index last sent
	heardAt      time.Duration
	ackedSentAt  time.Duration // newest send time it answered
	awaiting     bool          // probe or fetch: sent, awaiting the answer or the next heartbeat
	heartbeatDue bool          // a heartbeat is due
	blank        bool
}

func (p *peer) startProbe(next uint64) {
	p.phase, p.next, p.inflight, p.awaiting = probe, max(next, p.match+1), nil, false
}
