// Package membership finds the fleet's nodes by gossip over partial views: each node knows a few others, its
// neighbours, and exchanges a sample of them (a shuffle) with the neighbour whose version is the oldest. Besides, every
// node knows all control-plane nodes, in its directory.
//
// The package only finds nodes, with the age of what it knows of each. It never decides whether a node may work: the
// members of the store are raft's, workers are the controller's. Nothing is stored: a node that restarts begins with
// its seeds, under a new incarnation.
//
// Core is a pure step function. Its owner calls Tick when NextTick is due, sends the calls that it returns, and passes
// the outcome of each to HandleAnswer or HandleFailure; a message of another node goes to HandleShuffle, whose result
// is the answer. Node is that owner: it has the clock, the goroutines and the mutex, and sends by Options.Send.
//
// Begin to read at core.go and shuffle.go; merge.go has the rules by which a newer version replaces an older one.
package membership

import "cmp"

// The roles of a node, as they stand on the wire.
const (
	RoleControlPlane = "cplane"
	RoleDataPlane    = "dplane"
)

// Member describes a node at one version, the pair of Incarnation and Heartbeat. Only the node itself makes a new
// version, so the age of a version only grows: the versions of a dead node expire everywhere within Config.MemberTTL,
// however often they are passed on.
type Member struct {
	Name        string `json:"n"` // unique in the fleet, the same in every incarnation
	Addr        string `json:"a"` // host:port at which it serves shuffles
	Zone        string `json:"z"`
	Role        string `json:"r"`           // RoleControlPlane or RoleDataPlane
	Incarnation uint64 `json:"b"`           // higher with each process of the node
	Heartbeat   uint64 `json:"v"`           // counts the messages of the incarnation
	Age         int64  `json:"t,omitempty"` // milliseconds since the node itself sent this version
}

// Message is both the call and the answer of a shuffle. Config bounds its size, whatever the size of the fleet.
type Message struct {
	From      Member   `json:"from"`           // the sender, Age 0
	Leaving   bool     `json:"left,omitempty"` // the sender shuts down: its incarnation has ended
	Sample    []Member `json:"some,omitempty"` // random neighbours; in an answer also the Suspects of the call
	Directory []Member `json:"core,omitempty"` // the control-plane nodes that the sender knows
	Departed  []Member `json:"gone,omitempty"` // incarnations that announced their departure
	Suspects  []string `json:"ask,omitempty"`  // names that the sender suspects: it asks for newer versions of them
}

// compareVersions compares two versions of one node; the result is negative if a is older than b.
func compareVersions(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Heartbeat, b.Heartbeat))
}

// maxStringBytes bounds each string of a received member, as every node stores it and passes it on.
const maxStringBytes = 200

// isValid reports whether a received member may be stored.
func (m Member) isValid() bool {
	return m.Name != "" && m.Addr != "" &&
		max(len(m.Name), len(m.Addr), len(m.Zone), len(m.Role)) <= maxStringBytes
}
