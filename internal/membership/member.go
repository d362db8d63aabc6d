// Package membership finds the fleet's nodes by gossip over partial views: each node knows a few others, its
// neighbours, and exchanges a sample of them (a shuffle) with the neighbour whose version is the oldest. Besides, every
// node knows all control-plane nodes, in its directory.
//
// The package only finds nodes and tells how recent what it knows is. It never decides whether a node may work: members
// of the store are raft's, workers are the controller's. Nothing is stored; a node that restarts begins with its seeds
// under a new incarnation.
//
// Core is a pure step function. Its owner calls Tick when NextTick is due, sends the Call that it returns, and passes
// the outcome to HandleAnswer or HandleFailure; messages that come in go to HandleShuffle. Node does that on a clock,
// the network and a mutex.
//
// Begin to read at core.go and shuffle.go; merge.go has the rules by which a newer version replaces an older one.
package membership

import "cmp"

// Roles of a node.
const (
	RoleControlPlane = "cplane"
	RoleDataPlane    = "dplane"
)

// Member describes a node at one version. Only the node itself makes a new version: Incarnation rises with each of its
// processes, Heartbeat with each message of a process. So the age of a version only grows, and the versions of a dead
// node expire everywhere within Config.MemberTTL, however often they are passed on.
type Member struct {
	Name        string `json:"n"`
	Addr        string `json:"a"`
	Zone        string `json:"z"`
	Role        string `json:"r"`
	Incarnation uint64 `json:"b"`           // of the node's process
	Heartbeat   uint64 `json:"v"`           // counts versions within the incarnation
	Age         int64  `json:"t,omitempty"` // milliseconds since the node itself sent this version
}

// Message is both the call and the answer of a shuffle. Its size has a bound that does not depend on the fleet's.
type Message struct {
	From      Member   `json:"from"`           // the sender, Age 0
	Leaving   bool     `json:"left,omitempty"` // the sender leaves
	Sample    []Member `json:"some,omitempty"` // a random part of its view, and newer versions of Suspects
	Directory []Member `json:"core,omitempty"` // control-plane nodes that it knows
	Departed  []Member `json:"gone,omitempty"` // incarnations that left
	Suspects  []string `json:"ask,omitempty"`  // names it suspects: the receiver answers with newer versions
}

// compareVersions orders versions of one node: below 0 if a is older than b.
func compareVersions(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Heartbeat, b.Heartbeat))
}

// maxStringBytes bounds each string of a member that is received.
const maxStringBytes = 200

// isValid reports whether a member that was received can be kept.
func (m Member) isValid() bool {
	return m.Name != "" && m.Addr != "" &&
		max(len(m.Name), len(m.Addr), len(m.Zone), len(m.Role)) <= maxStringBytes
}
