package raft

import "time"

// Kind is the kind of a message.
type Kind string

// The kinds of messages. A kind named Reply answers the kind before it.
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

// Message goes from one core to another. It may be lost, duplicated, delayed or reordered. The fields after Term
// belong to the kinds that their comments name.
type Message struct {
	Kind Kind   `json:"k"`
	From string `json:"f"` // ID of the sender
	To   string `json:"o"` // ID of the receiver
	Term uint64 `json:"t"` // of the sender; PreVote and a granted PreVoteReply: the term of the campaign to come

	// PrevIndex is the last index of the candidate's log (PreVote, Vote), the one before Entries (Append), or that of
	// the append that is answered (AppendReply).
	PrevIndex uint64        `json:"i,omitempty"`
	PrevTerm  uint64        `json:"p,omitempty"` // term of the entry at PrevIndex
	Entries   []Entry       `json:"e,omitempty"` // Append
	Commit    uint64        `json:"c,omitempty"` // Append: commit index of the leader
	Sent      time.Duration `json:"s,omitempty"` // Append, Snapshot: clock of the leader; a reply echoes it
	Match     uint64        `json:"m,omitempty"` // AppendReply, SnapshotReply: the logs are equal up to it, synced
	Hint      uint64        `json:"h,omitempty"` // rejecting AppendReply: newest index at which the logs may be equal
	Reject    bool          `json:"r,omitempty"` // replies
	Force     bool          `json:"w,omitempty"` // Vote after a transfer: the old leader has ended its lease
	Blank     bool          `json:"b,omitempty"` // replies: HardState.Blank of the sender
	Meta      *Meta         `json:"n,omitempty"` // Snapshot: the snapshot on offer
	Addr      string        `json:"a,omitempty"` // Snapshot: where its body is fetched
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
