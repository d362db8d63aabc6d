// Package raft is the replication core of the control store: Raft with pre-vote, check-quorum, a leader lease,
// learners, member changes one at a time, snapshots and pipelined appends. It is a pure step function: its
// input is the time and messages, its output what is to be stored, sent and applied. It has no clock, socket, disk or
// goroutine of its own and is not safe for concurrent use.
//
// The runtime loops:
//
//	core.Tick(now)             // four times a heartbeat; or Step, Propose, Synced ...
//	r := core.Ready()          // after each burst of calls: appends are made here, so a burst is one append
//	send(r.Messages)
//	disk.Queue(r.ResetLog, r.HardState, r.Entries)     // in the order of the Readys; Reset first
//	onSync: send(r.MessagesAfterSync); core.Synced(now, last.Index, last.Term) // last of r.Entries, if any
//	apply(r.CommittedEntries); fetch(r.Fetch)
//
// The runtime must ensure, for safety:
//   - now never runs backwards within a process and counts suspension; each process has its own zero;
//   - Readys reach the disk in their order; a later one is never durable without the earlier ones;
//   - the stored log is cut at its front (up to a durable snapshot) only in that same order, behind the Readys
//     handed out before;
//   - a new data folder gets a new ID. An empty one is booted empty, never with Founding.
//
// The first boot of a fleet passes Founding(members) on every founder; only an explicit order to found may do so.
package raft

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

// Role is the role of a node in its term.
type Role string

// The roles of a node. A pre-candidate asks whether it would win before it raises its term.
const (
	Follower     Role = "follower"
	PreCandidate Role = "precandidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Member is one node of the store. ID belongs to one life of a data folder: a wiped machine takes a new one.
type Member struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Learner     bool   `json:"learner,omitempty"` // gets entries, does not count
}

// EntryKind says what an entry's Data is.
type EntryKind uint8

const (
	Normal  EntryKind = iota // a command of the store
	Noop                     // the first entry of a leader; no data
	Members                  // JSON []Member: the whole new set, in force as soon as it is in the log
)

// Entry is one place of the log. Indexes are dense.
type Entry struct {
	Term  uint64          `json:"t"`
	Index uint64          `json:"i"`
	Kind  EntryKind       `json:"k,omitempty"`
	Data  json.RawMessage `json:"d,omitempty"`
}

// size is what the entry takes of a byte limit.
func (e Entry) size() int { return len(e.Data) + 32 }

// HardState is what must be synced before any answer that depends on it.
type HardState struct {
	Term uint64 `json:"t"`
	Vote string `json:"v,omitempty"`
	// Leader is the leader of Term that this node has led or followed; empty if none.
	Leader string `json:"l,omitempty"`
	// Blank: the folder began empty and no committed set has named it a learner yet; it may have forgotten
	// votes given under its ID, so it neither votes nor campaigns.
	Blank bool `json:"b,omitempty"`
	// Commit is an index up to which the stored log is known to be committed; there may be more. It is stored along with
	// entries, so that a node that starts can apply them before it hears of a leader.
	Commit uint64 `json:"c,omitempty"`
}

// Meta describes a snapshot: the state after the entry Index of Term, and the members in force there.
type Meta struct {
	Index   uint64   `json:"i"`
	Term    uint64   `json:"t"`
	Members []Member `json:"m"`
}

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
	TimeoutNow    Kind = "handover" // campaign at once, the leader gave up its lease
)

// Message goes between two cores. It may be lost, doubled, delayed or reordered.
type Message struct {
	Kind      Kind          `json:"k"`
	From      string        `json:"f"`
	To        string        `json:"o"`
	Term      uint64        `json:"t"`           // prevote: the term it would campaign in
	PrevIndex uint64        `json:"i,omitempty"` // (pre)vote: last of the log; append: before Entries; reply to it: echoed
	PrevTerm  uint64        `json:"p,omitempty"` // the term of PrevIndex
	Entries   []Entry       `json:"e,omitempty"`
	Commit    uint64        `json:"c,omitempty"`
	Sent      time.Duration `json:"s,omitempty"` // clock of the leader at the send; echoed
	Match     uint64        `json:"m,omitempty"` // the log equals the leader's up to here, synced
	Hint      uint64        `json:"h,omitempty"` // rejected append: the newest index that may be equal
	Reject    bool          `json:"r,omitempty"`
	Force     bool          `json:"w,omitempty"` // vote after a handover: do not mind the old leader's lease
	Blank     bool          `json:"b,omitempty"` // reply: see Hard.Blank
	Meta      *Meta         `json:"n,omitempty"` // snapshot
	Addr      string        `json:"a,omitempty"` // snapshot: where to fetch the body
}

// Config is fixed for the life of a Core.
type Config struct {
	ID                 string
	ElectionTimeout    time.Duration // least silence before a campaign; the time-out is Election..2*Election; default 1s
	HeartbeatInterval  time.Duration // default Election/10
	LeaseDuration      time.Duration // below Election by more than clocks drift apart; default 7/10 of Election
	MaxAppendBytes     int           // of one append; default 1 MiB; one entry always fits
	MaxInflightAppends int           // appends under way to one follower; default 64
	Seed               uint64        // of the random part of the election time-out
}

// InitialState is what the disk had.
type InitialState struct {
	HardState HardState
	Snapshot  Meta
	Entries   []Entry
}

// Bootstrap returns the Boot of every founder at the first boot of a fleet: the snapshot of the empty state at
// index 1, term 1, with the members in order of ID; the log begins at index 2. All founders must pass the same
// set; the runtime stores it as its first durable snapshot (the body is the empty state), so a later node can
// fetch it. Example:
//
//	core, err := raft.New(cfg, raft.Bootstrap(settings.Members), now)
func Bootstrap(members []Member) InitialState {
	ms := slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return InitialState{HardState: HardState{Term: 1}, Snapshot: Meta{Index: 1, Term: 1, Members: ms}}
}

// Ready is the output since the last Ready.
type Ready struct {
	HardState         *HardState // store, if not nil
	ResetLog          bool       // every stored entry is void (a snapshot took its place); do it before Append
	Entries           []Entry    // store; replaces stored entries at and after Append[0].Index
	Messages          []Message  // may leave before the sync
	MessagesAfterSync []Message  // must leave only after Hard, Reset and Append are synced
	Commit            uint64
	CommittedEntries  []Entry // newly committed, in order, each once; after boot from the snapshot on. They may not be synced here yet
	Fetch             *FetchSnapshot
}

// FetchSnapshot asks the runtime to fetch a snapshot body at the address From, at or after Meta, to sync and apply
// it and to call Installed with the Meta of what it got. It is asked anew from time to time: while a fetch runs, leave it.
type FetchSnapshot struct {
	Meta Meta
	From string
}

// Status is a view for people and the runtime.
type Status struct {
	ID         string            `json:"id"`
	Role       Role              `json:"role"`
	Term       uint64            `json:"term"`
	Leader     string            `json:"leader,omitempty"`
	LeaderAddr string            `json:"leader_addr,omitempty"`
	Commit     uint64            `json:"commit"`
	Last       uint64            `json:"last"`
	First      uint64            `json:"first"` // first entry in memory
	Members    []Member          `json:"members"`
	Match      map[string]uint64 `json:"match,omitempty"` // leader: synced entries by member
	LeaseUntil time.Duration     `json:"lease_until"`     // leader; 0 without a lease
	Voter      bool              `json:"voter"`           // counted here, and not blank
	Refused    uint64            `json:"refused"`         // messages that contradict what is committed here; must stay 0
}
