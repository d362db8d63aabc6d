package raft

import "time"

// maxSilentHeartbeats is how many heartbeats without an answer end pipelining.
const maxSilentHeartbeats = 5

// progressState is how a leader sends to a member.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time, until an index at which the logs agree is found
	stateReplicate                      // appends follow each other without awaiting replies
	stateSnapshot                       // the member fetches a snapshot
)

// progress is what the leader knows of another member; its owner is leaderState. Invariant: match < next.
type progress struct {
	state         progressState
	match         uint64        // the member has the entries up to it, durable; never decreases
	next          uint64        // first entry to send
	inflight      []uint64      // stateReplicate: last index of each unanswered append with entries, ascending
	sentCommit    uint64        // commit index last sent
	lastContact   time.Duration // of the last reply; when tracking began, before the first
	ackedSendTime time.Duration // newest send time that it answered; never: none
	paused        bool          // stateProbe, stateSnapshot: sent, awaiting the answer or the next heartbeat
	heartbeatDue  bool
	blank         bool // HardState.Blank of its last reply
}

// startProbe makes the member's next append, from next on but not before match, one that must be answered first.
func (p *progress) startProbe(next uint64) {
	p.state, p.next, p.inflight, p.paused = stateProbe, max(next, p.match+1), nil, false
}
