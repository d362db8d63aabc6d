package internalapi

import (
	"time"

	"crosstide/internal/raft"
	"crosstide/internal/rpc"
)

// Discover asks a control plane node for the cluster it knows. A node with an empty folder makes the call before
// anything else, to find out whether there is a cluster already.
var Discover = rpc.Endpoint[DiscoverCall, DiscoverAnswer]{Path: "/x/found"}

// DiscoverCall names the caller. Incarnation is a random value of its process.
type DiscoverCall struct {
	Name        string `json:"name"`
	Incarnation string `json:"boot"`
}

// DiscoverAnswer is the state of the node that answers.
type DiscoverAnswer struct {
	ID          string `json:"id"` // as a member; "" while it has none
	Incarnation string `json:"boot"`
	Fresh       bool   `json:"fresh"` // its folder is empty, or bootstrapped and without a vote or entry yet
	// Commit is the highest index it knows to be committed; 1 is the bootstrap itself.
	Commit uint64 `json:"commit"`
	// BootstrapIncarnations are those of the others, by name, that reported to it that they were fresh before it
	// bootstrapped the cluster. A process that finds its own here has no earlier incarnation in the cluster.
	BootstrapIncarnations map[string]string `json:"founders,omitempty"`
	Digest                string            `json:"digest"` // of the members in its settings
	// Leader is the address of the leader it knows in Term, if any. Members is the newest member set that it knows
	// to be committed, by the entry at MembersAt.
	Leader    string        `json:"leader,omitempty"`
	Term      uint64        `json:"term,omitempty"`
	Members   []raft.Member `json:"members,omitempty"`
	MembersAt uint64        `json:"members_at,omitempty"`
}

// Join asks the leader to add a node with an empty folder: as a learner, then, once it has caught up, as a voter in
// place of the older member of its name. Each call moves it one step at most; it is sent again and again until the
// answer says Voter.
var Join = rpc.Endpoint[JoinCall, JoinAnswer]{Path: "/x/join"}

// JoinCall names the node that joins. ID is Name, "~" and the incarnation of its folder.
type JoinCall struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	// Since is the oldest index at which the folder has the node in the member set; 0 for an empty folder.
	Since uint64 `json:"since,omitempty"`
}

// JoinAnswer reports the progress of the join.
type JoinAnswer struct {
	Learner    bool          `json:"learner"`
	Voter      bool          `json:"voter"`
	RetryAfter time.Duration `json:"again"`             // when to ask next
	Members    []string      `json:"members,omitempty"` // addresses of the present members
}
