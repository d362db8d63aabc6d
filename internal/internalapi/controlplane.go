package internalapi

import (
	"encoding/json"
	"time"

	"crosstide/internal/jobs"
	"crosstide/internal/raft"
	"crosstide/internal/rpc"
)

// Raft carries consensus messages between control-plane nodes. The answer only confirms their arrival.
var Raft = rpc.Endpoint[RaftCall, RaftAnswer]{Path: "/x/quorum"}

// RaftCall is an ordered batch of messages.
type RaftCall struct {
	From     string         `json:"from"`
	Messages []raft.Message `json:"m"`
	Schema   jobs.Schema    `json:"schema,omitempty"` // the newest that the sender supports
}

// RaftAnswer is empty.
type RaftAnswer struct{}

// Propose commits one command. Only the leader accepts it; other nodes answer errs.NotLeader, with the leader's address
// as hint if they know it. The leader answers once the command has been applied. If the command itself fails, its error
// is the answer.
var Propose = rpc.Endpoint[ProposeCall, ProposeAnswer]{Path: "/x/propose"}

// ProposeCall is a command of package command: its operation and its JSON.
type ProposeCall struct {
	Op   string          `json:"op"`
	Body json.RawMessage `json:"c"`
}

// ProposeAnswer is the index of the command's entry and the command's answer.
type ProposeAnswer struct {
	Index  uint64          `json:"index"`
	Answer json.RawMessage `json:"answer,omitempty"`
}

// ReadIndex asks the leader for its read index. Every commit acknowledged before the call is at or below this index, so
// a state that has reached it is at least as new as the call.
var ReadIndex = rpc.Endpoint[ReadIndexCall, ReadIndexAnswer]{Path: "/x/confirm"}

// ReadIndexCall is empty.
type ReadIndexCall struct{}

// ReadIndexAnswer holds the read index.
type ReadIndexAnswer struct {
	Index uint64 `json:"index"`
}

// Follow returns committed changes that the caller does not have yet. Any control-plane node answers it; the answer
// waits up to Wait for the first change.
var Follow = rpc.Endpoint[FollowCall, FollowAnswer]{Path: "/x/follow"}

// FollowCall names, for each source, the version that the caller has. The only source is "store"; its version is the
// log index.
type FollowCall struct {
	Node   string            `json:"node"`
	Vector map[string]uint64 `json:"vector"` // source to version
	Wait   time.Duration     `json:"wait"`
	Max    int               `json:"max"` // approximate limit of the changes in bytes
	// Bundle is the version of the policy bundle that the caller uses, 0 before its first pull. Age is how long the
	// caller has had that version.
	Bundle uint64        `json:"bundle,omitempty"`
	Age    time.Duration `json:"age,omitempty"`
}

// FollowAnswer carries, for each source, the changes that the caller does not have.
type FollowAnswer struct {
	Updates map[string]SourceUpdate `json:"lacks,omitempty"`
}

// SourceUpdate is a sequence of changes. If the log no longer has them, it names a snapshot to start from.
type SourceUpdate struct {
	Snapshot *Snapshot    `json:"snapshot,omitempty"`
	Changes  []raft.Entry `json:"changes,omitempty"`
}

// Snapshot describes a snapshot, which is fetched in chunks.
type Snapshot struct {
	Number uint64 `json:"number"` // of the snapshot
	Index  uint64 `json:"index"`
	Term   uint64 `json:"term"`
	Size   int64  `json:"size"`
}

// Chunk fetches a part of a snapshot, so that only that part is sent again after a lost connection.
var Chunk = rpc.Endpoint[ChunkCall, ChunkAnswer]{Path: "/x/chunk"}

// ChunkCall asks for up to Max bytes of snapshot Number (0: the newest), beginning at offset From.
type ChunkCall struct {
	Number uint64 `json:"number"`
	From   int64  `json:"from"`
	Max    int    `json:"max"`
}

// ChunkAnswer is a part of a snapshot. Sum is the xxhash64 of the whole snapshot's body.
type ChunkAnswer struct {
	Snapshot
	Meta json.RawMessage `json:"meta"` // raft.Meta of the snapshot
	Data []byte          `json:"data"`
	Sum  uint64          `json:"sum"`
}

// ClaimRole claims a singleton role, renews its lease, or releases it. Only the leader answers.
var ClaimRole = rpc.Endpoint[ClaimRoleCall, RoleLease]{Path: "/x/duty"}

// ClaimRoleCall is sent repeatedly by every candidate. Epoch is that of the caller's own grant, 0 if it has none.
type ClaimRoleCall struct {
	Role        string `json:"duty"`
	Holder      string `json:"holder"`
	Addr        string `json:"addr"`
	Incarnation string `json:"boot"`
	Epoch       uint64 `json:"epoch"`
	Release     bool   `json:"give_up,omitempty"`
}

// RoleLease names the node that has the role. If Mine is set, that node is the caller, and its lease ends TTL after the
// call was sent.
type RoleLease struct {
	Mine   bool          `json:"mine"`
	Epoch  uint64        `json:"epoch"`
	Holder string        `json:"holder"`
	Addr   string        `json:"addr"`
	TTL    time.Duration `json:"lease"`
}

// Status asks a control-plane node for its state.
var Status = rpc.Endpoint[StatusCall, StatusAnswer]{Path: "/x/status"}

// StatusCall is empty.
type StatusCall struct{}

// StatusAnswer is the node's state: `who` prints it, and the testbed waits for conditions on it.
type StatusAnswer struct {
	Raft    raft.Status          `json:"quorum"`
	Applied uint64               `json:"applied"`
	Ready   bool                 `json:"ready"`
	Roles   map[string]RoleLease `json:"duties"`
}
