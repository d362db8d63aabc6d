package internalapi

import (
	"time"

	"crosstide/internal/jobs"
	"crosstide/internal/raft"
	"crosstide/internal/rpc"
)

// Discover asks a control-plane node which cluster it knows. A node with an empty data folder makes this call first, to
// find out whether a cluster exists already.
var Discover = rpc.Endpoint[DiscoverCall, DiscoverAnswer]{Path: "/x/found"}

// DiscoverCall names the caller. Incarnation is a random value, different for each process.
type DiscoverCall struct {
	Name        string `json:"name"`
	Incarnation string `json:"boot"`
}

// DiscoverAnswer is the state of the node that answers.
type DiscoverAnswer struct {
	ID          string `json:"id"` // member ID; "" while it has none
	Incarnation string `json:"boot"`
	Fresh       bool   `json:"fresh"` // its folder is empty, or bootstrapped without a vote or further entry
	// Commit is the highest index that it knows to be committed; 1 is the bootstrap entry.
	Commit uint64 `json:"commit"`
	// BootstrapIncarnations has, by name, the incarnations of the other nodes that reported to this node that they were
	// fresh, before it bootstrapped the cluster. A process that finds its own incarnation here had no earlier one in
	// the cluster.
	BootstrapIncarnations map[string]string `json:"founders,omitempty"`
	Digest                string            `json:"digest"` // of the members in its settings
	// Leader is the address of the leader that it knows in Term, if any. Members is the newest member set that it knows
	// to be committed; MembersAt is the index of its entry.
	Leader    string        `json:"leader,omitempty"`
	Term      uint64        `json:"term,omitempty"`
	Members   []raft.Member `json:"members,omitempty"`
	MembersAt uint64        `json:"members_at,omitempty"`
}

// Join asks the leader to add a node with an empty folder: first as a learner, then, once it has caught up, as a voter
// that replaces the older member of its name. Each call advances the join by at most one step, so the node repeats it
// until the answer has Voter set.
var Join = rpc.Endpoint[JoinCall, JoinAnswer]{Path: "/x/join"}

// JoinCall names the node that joins. ID is Name, "~" and the incarnation of its folder.
type JoinCall struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	// Since is the lowest index at which the folder has the node in the member set; 0 for an empty folder.
	Since uint64 `json:"since,omitempty"`
	// Schema is the newest schema that the node supports. A node that doesn't support the one in force can't join.
	Schema jobs.Schema `json:"schema,omitempty"`
}

// JoinAnswer reports the progress of the join.
type JoinAnswer struct {
	Learner    bool          `json:"learner"`
	Voter      bool          `json:"voter"`
	RetryAfter time.Duration `json:"again"`             // interval until the next call
	Members    []string      `json:"members,omitempty"` // addresses of the current members
}
