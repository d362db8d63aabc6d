package raft

import "time"

// Kind names a message.
type Kind string

// The kinds of messages. Those named Reply answer the kind before them.
const (
	PreVote       Kind = "prevote"
	PreVoteReply  Kind = "prevote_reply"
	Vote          Kind = "vote"
	VoteReply     Kind = "vote_reply"
	Append        Kind = "append"
	AppendReply   Kind = "append_reply"
	Snapshot      Kind = "snapshot"
	SnapshotReply Kind = "snapshot_reply"
	TimeoutNow    Kind = "handover" // leadership transfer: campaign at once, the leader has ended its lease
)

// Message goes between two cores. It may be lost, duplicated, delayed or reordered.
type Message struct {
	Kind      Kind          `json:"k"`
	From      string        `json:"f"`
	To        string        `json:"o"`
	Term      uint64        `json:"t"`           // pre-vote: the term it would campaign in
	PrevIndex uint64        `json:"i,omitempty"` // (pre-)vote: last of the log; append: before Entries; reply: echoed
	PrevTerm  uint64        `json:"p,omitempty"` // the term of PrevIndex
	Entries   []Entry       `json:"e,omitempty"`
	Commit    uint64        `json:"c,omitempty"`
	Sent      time.Duration `json:"s,omitempty"` // clock of the leader at the send; echoed
	Match     uint64        `json:"m,omitempty"` // the log equals the leader's up to here, synced
	Hint      uint64        `json:"h,omitempty"` // rejected append: the newest index that may be equal
	Reject    bool          `json:"r,omitempty"`
	Force     bool          `json:"w,omitempty"` // vote after a transfer: ignore the old leader's lease
	Blank     bool          `json:"b,omitempty"` // reply: see HardState.Blank
	Meta      *Meta         `json:"n,omitempty"` // snapshot
	Addr      string        `json:"a,omitempty"` // snapshot: where to fetch the body
}

// isWellFormed reports whether the entries of an append follow each other without a gap, in terms that never decrease.
func (m Message) isWellFormed() bool {
	term := m.PrevTerm
	for n, e := range m.Entries {
		if e.Index != m.PrevIndex+1+uint64(n) || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
	}
	return true
}
