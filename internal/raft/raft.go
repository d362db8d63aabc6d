// Package raft is the consensus core of the control store: Raft with pre-vote, check-quorum, a leader lease, learners,
// membership changes one voter at a time, snapshots, leadership transfer and pipelined appends.
//
// Core is a pure step function: its input is the time, messages and reports of the runtime, its output (Ready) is what
// the runtime must store, send and apply. It never reads a clock, opens a socket, writes to a disk or starts a
// goroutine, and it is not safe for concurrent use. The data of an entry is opaque to it, except for member sets.
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
//   - now never runs backwards within a process and counts suspension; each process has its own zero;
//   - Readys reach the disk in their order: a later one is never durable without the earlier ones;
//   - the stored log is cut at its front (up to a durable snapshot) only in that same order, behind the Readys
//     handed out before;
//   - a new data folder gets a new member ID. An empty one starts with an empty InitialState, never with Bootstrap.
//
// The first start of a fleet passes Bootstrap(members) on every bootstrap member; only an operator's explicit order
// may do so.
//
// Begin to read at Core (core.go) and Step (step.go). The rules of each role are in election.go, leader.go,
// replication.go and follower.go; propose.go, membership.go and transfer.go have the operations on a leader, ready.go
// the output.
package raft

import "encoding/json"

// Role is the role of a node in its term.
type Role string

// The roles of a node. A pre-candidate asks whether it would win an election before it raises its term.
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
	Members                  // JSON []Member: the whole new set, in force as soon as it is in the log
)

// Entry is one entry of the log. Indexes follow each other without a gap; terms never decrease.
type Entry struct {
	Term  uint64          `json:"t"`
	Index uint64          `json:"i"`
	Kind  EntryKind       `json:"k,omitempty"`
	Data  json.RawMessage `json:"d,omitempty"`
}

// size returns what the entry counts against a byte limit: its data and about what the rest takes.
func (e Entry) size() int { return len(e.Data) + 32 }

// HardState is what a node must not forget. It is durable before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"t"`           // newest term that this node knows
	Vote string `json:"v,omitempty"` // the candidate this node voted for in Term; empty: none
	// Leader is the leader of Term, once this node has led or followed it; empty: none.
	Leader string `json:"l,omitempty"`
	// Blank is set while this node may have forgotten votes that were cast under its ID: its folder began empty, and
	// no committed set has named it a learner yet. It neither votes nor campaigns.
	Blank bool `json:"b,omitempty"`
	// Commit is an index up to which the stored log is known to be committed; more of it may be. It is stored along
	// with entries, so that a node that starts can apply them before it hears from a leader.
	Commit uint64 `json:"c,omitempty"`
}

// Meta describes a snapshot: the state after the entry at Index, of Term, and the member set in force there.
type Meta struct {
	Index   uint64   `json:"i"`
	Term    uint64   `json:"t"`
	Members []Member `json:"m"`
}
