package raft

import "time"

// maxSilentHeartbeats is the number of heartbeat intervals without a reply after which a leader probes a member, as the
// pipelined appends to it may be lost.
const maxSilentHeartbeats = 5

// progressState is the mode in which a leader sends to a member.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time, until an index is found at which the logs match
	stateReplicate                      // pipelined appends, up to MaxInflightAppends unanswered ones
	stateSnapshot                       // only snapshot offers, until the member has fetched the snapshot
)

// progress is the replication state of another member, as known to the leader. It is owned by leaderState. Invariant:
// match < next.
type progress struct {
	state         progressState
	match         uint64        // the member has durably stored the entries up to it; never decreases
	next          uint64        // index of the first entry to send
	inflight      []uint64      // stateReplicate: last index of each unanswered append with entries, ascending
	sentCommit    uint64        // last commit index sent to the member
	lastContact   time.Duration // time of the last reply; before the first one, of the start of tracking
	ackedSendTime time.Duration // send time of the newest message that the member has answered; never: none
	paused        bool          // stateProbe, stateSnapshot: sent; waiting for the reply or the next heartbeat
	heartbeatDue  bool          // the next Ready sends a message, an empty append if nothing else is due
	votesUnknown  bool          // HardState.VotesUnknown in the last reply; true before the first one
}

// startProbe ends pipelining: the next append starts at next, or after match if that is higher, and no other append is
// sent before its reply or the next heartbeat.
func (p *progress) startProbe(next uint64) {
	p.state, p.next, p.inflight, p.paused = stateProbe, max(next, p.match+1), nil, false
}
