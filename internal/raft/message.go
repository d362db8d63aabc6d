package raft

import "time"

// Kind is the kind of a message.
type Kind string

// The kinds of messages. A kind named ...Reply is the reply to the kind without that suffix.
const (
	PreVote       Kind = "prevote"
	PreVoteReply  Kind = "prevote_reply"
	Vote          Kind = "vote"
	VoteReply     Kind = "vote_reply"
	Append        Kind = "append"
	AppendReply   Kind = "append_reply"
	Snapshot      Kind = "snapshot"
	SnapshotReply Kind = "snapshot_reply"
	TimeoutNow    Kind = "handover" // leadership transfer: the leader has ended its lease, campaign at once
)

// Message is sent from one Core to another. It may be lost, duplicated, delayed or reordered. Each field after Term is
// used only by the kinds that its comment names.
type Message struct {
	Kind Kind   `json:"k"`
	From string `json:"f"` // ID of the sender
	To   string `json:"o"` // ID of the receiver
	Term uint64 `json:"t"` // of the sender; PreVote and a granted PreVoteReply: the term of the prospective campaign

	// PrevIndex is the last index of the candidate's log (PreVote, Vote), the index before Entries (Append), or the
	// PrevIndex of the append that is answered (AppendReply).
	PrevIndex    uint64        `json:"i,omitempty"`
	PrevTerm     uint64        `json:"p,omitempty"` // PreVote, Vote, Append: term of the entry at PrevIndex
	Entries      []Entry       `json:"e,omitempty"` // Append
	Commit       uint64        `json:"c,omitempty"` // Append: commit index of the leader
	Sent         time.Duration `json:"s,omitempty"` // Append, Snapshot: send time, leader's clock; echoed by replies
	Match        uint64        `json:"m,omitempty"` // AppendReply, SnapshotReply: both logs match up to it, durably
	Hint         uint64        `json:"h,omitempty"` // rejecting AppendReply: highest index at which the logs may match
	Reject       bool          `json:"r,omitempty"` // replies: the request was rejected
	Force        bool          `json:"w,omitempty"` // Vote after a transfer: the old leader has ended its lease
	VotesUnknown bool          `json:"b,omitempty"` // replies: HardState.VotesUnknown of the sender
	Meta         *Meta         `json:"n,omitempty"` // Snapshot: the snapshot that is offered
	Addr         string        `json:"a,omitempty"` // Snapshot: the address to fetch its body from
}

// isWellFormed reports whether the entries of an append have consecutive indexes, and terms that never decrease and
// are at most the leader's.
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
