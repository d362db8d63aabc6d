// Package membership discovers the fleet's nodes by gossip over partial views: each node knows a few others, its
// neighbours, and exchanges a sample of them (a shuffle) with the neighbour whose version is the oldest. In addition,
// every node knows all control-plane nodes, in its directory.
//
// The package only discovers nodes and the age of its information about each. It never decides whether a node may work:
// raft manages the members of the store, the controller manages workers. Nothing is stored on disk: a node that
// restarts begins with its seeds, under a new incarnation.
//
// Core is a deterministic state machine. Its owner calls Tick when NextTick is due, sends the calls that Tick returns,
// and passes the outcome of each to HandleAnswer or HandleFailure; it passes a message from another node to
// HandleShuffle, which returns the answer. Node is that owner: it has the clock, the goroutines and the mutex, and
// sends through Options.Send.
//
// Entry points: core.go and shuffle.go; merge.go has the rules by which a newer version replaces an older one.
package membership

import "cmp"

// Roles of a node, as encoded on the wire.
const (
	RoleControlPlane = "cplane"
	RoleDataPlane    = "dplane"
)

// Member describes a node at one version, which is the pair of Incarnation and Heartbeat. Only the node itself creates
// new versions, and passing one on does not reset its age: the versions of a dead node expire on every node within
// Config.MemberTTL.
type Member struct {
	Name        string `json:"n"` // unique in the fleet, the same in every incarnation
	Addr        string `json:"a"` // host:port at which it serves shuffles
	Zone        string `json:"z"`
	Role        string `json:"r"`           // RoleControlPlane or RoleDataPlane
	Incarnation uint64 `json:"b"`           // increases with each restart of the node
	Heartbeat   uint64 `json:"v"`           // counts the messages of the incarnation
	Age         int64  `json:"t,omitempty"` // milliseconds since the node itself sent this version
}

// Message is both the call and the answer of a shuffle. Config bounds its size, independently of the fleet's size.
type Message struct {
	From      Member   `json:"from"`           // the sender, Age 0
	Leaving   bool     `json:"left,omitempty"` // the sender is shutting down: its incarnation has ended
	Sample    []Member `json:"some,omitempty"` // random neighbours; in an answer also the Suspects of the call
	Directory []Member `json:"core,omitempty"` // the control-plane nodes that the sender knows
	Departed  []Member `json:"gone,omitempty"` // incarnations that announced their departure
	Suspects  []string `json:"ask,omitempty"`  // names of suspects, of which the sender requests newer versions
}

// compareVersions compares two versions of one node. The result is negative if a is older than b.
func compareVersions(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Heartbeat, b.Heartbeat))
}

// maxStringBytes limits each string of a received member, because nodes store it and pass it on.
const maxStringBytes = 200

// isValid reports whether a received member may be stored.
func (m Member) isValid() bool {
	return m.Name != "" && m.Addr != "" &&
		max(len(m.Name), len(m.Addr), len(m.Zone), len(m.Role)) <= maxStringBytes
}
