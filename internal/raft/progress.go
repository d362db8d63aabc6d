package raft

import "time"

// maxSilentHeartbeats is the number of heartbeat intervals without a reply after which a leader probes a member: its
// pipelined appends may be lost.
const maxSilentHeartbeats = 5

// progressState is how a leader sends to a member.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time, until an index is found at which the logs agree
	stateReplicate                      // pipelined appends, up to MaxInflightAppends unanswered ones
	stateSnapshot                       // nothing but offers of the snapshot, which the member fetches
)

// progress is what the leader knows of another member; its owner is leaderState. Invariant: match < next.
type progress struct {
	state         progressState
	match         uint64        // the member has the entries up to it, durable; never decreases
	next          uint64        // index of the first entry to send
	inflight      []uint64      // stateReplicate: last index of each unanswered append with entries, ascending
	sentCommit    uint64        // commit index last sent
	lastContact   time.Duration // time of the last reply; before the first one, when tracking began
	ackedSendTime time.Duration // send time of the newest message that it has answered; never: none
	paused        bool          // stateProbe, stateSnapshot: sent; awaits the reply or the next heartbeat
	heartbeatDue  bool          // the next Ready sends something, an empty append if there is nothing else
	blank         bool          // HardState.Blank in its last reply; true before the first one
}

// startProbe ends pipelining: the next append begins at next, but after match, and the one after it awaits its reply.
func (p *progress) startProbe(next uint64) {
	p.state, p.next, p.inflight, p.paused = stateProbe, max(next, p.match+1), nil, false
}
