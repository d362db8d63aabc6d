// Package raft implements the consensus core of the control store: Raft with pre-vote, check-quorum, a leader lease,
// learners, membership changes of one voter at a time, snapshots, leadership transfer and pipelined appends.
//
// Core is a deterministic state machine: its input is the time, messages and reports from the runtime, and its output
// (Ready) lists the data that the runtime must store, send and apply. Core never reads a clock, opens a socket, writes
// to a disk or starts a goroutine, and it is not safe for concurrent use. The data of an entry is opaque to it, except
// for member sets.
//
// The runtime (internal/store) drives it in one loop:
//
//	core.Tick(now)             // four times per heartbeat interval; or Step, Propose, Synced ...
//	r := core.Ready()          // after each burst of calls: appends are made here, so a burst is one append
//	send(r.Messages)
//	disk.Queue(r.ResetLog, r.HardState, r.Entries) // in the order of the Readys; ResetLog first
//	onSync: send(r.MessagesAfterSync); core.Synced(now, last.Index, last.Term) // last of r.Entries, if any
//	apply(r.CommittedEntries); fetch(r.Fetch)
//
// Safety depends on the runtime:
//   - now is monotonic within a process and includes time spent suspended; each process has its own zero;
//   - Readys are written to the disk in order: a later one is never durable without the earlier ones;
//   - a compaction of the stored log (up to a durable snapshot) is written in that same order, after all Readys that
//     were returned before it;
//   - a new data folder gets a new member ID, and starts with the zero InitialState.
//
// The only exception is the first start of a cluster, when every bootstrap member passes Bootstrap(members) to New
// instead. This must happen only at the explicit request of an operator.
//
// Entry points: Core (core.go) and Step (step.go). The rules of each role are in election.go, leader.go,
// replication.go and follower.go; the operations on a leader in propose.go, membership.go and transfer.go; the output
// in ready.go.
package raft

import "encoding/json"

// Role is the role of a node in its term.
type Role string

// The roles of a node. A PreCandidate asks whether it would win an election before it increments its term.
const (
	Follower     Role = "follower"
	PreCandidate Role = "precandidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Member is one node of the store, voter or learner.
type Member struct {
	// ID belongs to one incarnation of a data folder: a wiped machine gets a new one.
	ID          string `json:"id"`
	Addr        string `json:"addr"` // host:port of its internal calls
	Zone        string `json:"zone,omitempty"`
	Incarnation string `json:"incarnation,omitempty"` // of the data folder; fixed for an ID
	Learner     bool   `json:"learner,omitempty"`     // receives entries but has no vote
}

// EntryKind is the kind of an entry's Data.
type EntryKind uint8

// The kinds of entries.
const (
	Normal  EntryKind = iota // a command of the store
	Noop                     // the first entry of a leader's term; no data
	Members                  // JSON []Member: the complete new member set, which applies once it is in the log
)

// Entry is one entry of the log. Indexes are consecutive; terms never decrease.
type Entry struct {
	Term  uint64          `json:"t"`
	Index uint64          `json:"i"`
	Kind  EntryKind       `json:"k,omitempty"`
	Data  json.RawMessage `json:"d,omitempty"`
}

// size returns the number of bytes that the entry counts against a limit: its data and an estimate for the other
// fields.
func (e Entry) size() int { return len(e.Data) + 32 }

// HardState is the state that a node must not lose. It is durable before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"t"`           // highest term that this node has seen
	Vote string `json:"v,omitempty"` // the candidate this node voted for in Term; empty: none
	// Leader is the leader of Term, set once this node has become it or followed it; empty: unknown.
	Leader string `json:"l,omitempty"`
	// VotesUnknown is set while this node may have forgotten votes that it cast under its ID: it started with an empty
	// folder, and no committed member set has it as a learner yet. Such a node is blank: it neither votes nor
	// campaigns.
	VotesUnknown bool `json:"b,omitempty"`
	// Commit is a lower bound of the commit index. It is stored along with entries, so that a restarted node can apply
	// them before it receives a message from a leader.
	Commit uint64 `json:"c,omitempty"`
}

// Meta describes a snapshot of the state after the entry with the given Index and Term. Members is the member set at
// that index.
type Meta struct {
	Index   uint64   `json:"i"`
	Term    uint64   `json:"t"`
	Members []Member `json:"m"`
}
