package quorum

import "time"

// silence is how many heartbeats without an answer end pipelining.
const silence = 5

type phase uint8

const (
	probe phase = iota // one append at a time until the logs meet
	pipe               // appends follow each other without awaiting replies
	fetch              // the peer fetches a snapshot
)

// peer is what the leader knows of another member.
type peer struct {
	phase       phase
	match, next uint64
	flying      []uint64 // last index of each append under way
	told        uint64   // commit index last sent
	heard       time.Duration
	acked       time.Duration // newest send time it answered
	wait        bool          // probe or fetch: sent, awaiting the answer or the next heartbeat
	beat        bool          // a heartbeat is due
	blank       bool
}

func (p *peer) toProbe(next uint64) {
	p.phase, p.next, p.flying, p.wait = probe, max(next, p.match+1), nil, false
}
