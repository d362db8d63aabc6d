package raft

import "time"

// maxSilentHeartbeats is how many heartbeats without an answer end pipelining.
const maxSilentHeartbeats = 5

type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time until the logs meet
	stateReplicate                      // appends follow each other without awaiting replies
	stateSnapshot                       // the peer fetches a snapshot
)

// progress is what the leader knows of another member.
type progress struct {
	state         progressState
	match, next   uint64
	inflight      []uint64 // last index of each append under way
	sentCommit    uint64   // commit index last sent
	lastContact   time.Duration
	ackedSendTime time.Duration // newest send time it answered
	paused        bool          // probe or fetch: sent, awaiting the answer or the next heartbeat
	heartbeatDue  bool          // a heartbeat is due
	blank         bool
}

func (p *progress) startProbe(next uint64) {
	p.state, p.next, p.inflight, p.paused = stateProbe, max(next, p.match+1), nil, false
}
