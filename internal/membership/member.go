// Package membership finds the fleet's nodes by gossip over partial views: each node knows a few others, its
// neighbours, and exchanges a part of them with the neighbour whose version is the oldest. Core is the pure step
// function, Node runs it on a clock and the network.
package membership

import (
	"cmp"
	"time"
)

// Roles.
const (
	RoleControlPlane = "cplane"
	RoleDataPlane    = "dplane"
)

// Member describes a node. Only the node itself makes a new version of it: Boot rises with each of its processes, Beat
// with each message of a process. So the age of a version only grows, and the notes of a dead node expire everywhere
// within Config.MemberTTL, however often they are passed on.
type Member struct {
	Name        string `json:"n"`
	Addr        string `json:"a"`
	Zone        string `json:"z"`
	Role        string `json:"r"`
	Incarnation uint64 `json:"b"`           // incarnation
	Heartbeat   uint64 `json:"v"`           // version within the incarnation
	Age         int64  `json:"t,omitempty"` // milliseconds since the node itself sent this version
}

// Message is both the call and the answer of a shuffle. Its size has a bound that does not depend on the fleet's.
type Message struct {
	From      Member   `json:"from"`           // the sender, Age 0
	Leaving   bool     `json:"left,omitempty"` // the sender leaves
	Sample    []Member `json:"some,omitempty"` // a random part of its view, and what it was asked for
	Directory []Member `json:"core,omitempty"` // cplanes it knows
	Departed  []Member `json:"gone,omitempty"` // incarnations that left
	Suspects  []string `json:"ask,omitempty"`  // names it suspects: the receiver answers with newer versions
}

// compareVersions orders versions of one node: below 0 if a is older than b.
func compareVersions(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Heartbeat, b.Heartbeat))
}

// valid reports whether a note that came in can be kept.
func (n Member) valid() bool {
	const most = 200
	return n.Name != "" && n.Addr != "" && len(n.Name) <= most && len(n.Addr) <= most && len(n.Zone) <= most && len(n.Role) <= most
}

// MemberStatus is a node as this one knows it.
type MemberStatus struct {
	Name        string        `json:"name"`
	Role        string        `json:"role"`
	Zone        string        `json:"zone"`
	Addr        string        `json:"addr"`
	Incarnation uint64        `json:"boot"`
	Age         time.Duration `json:"age"` // since it sent the newest version known here, in nanoseconds
	Suspect     bool          `json:"suspect,omitempty"`
}

// Kinds of change in the directory of cplanes.
const (
	Joined    = "came"
	Restarted = "again" // under a new incarnation
	Moved     = "moved" // to another address
	Left      = "left"  // announced by the node itself
	Expired   = "lost"  // no newer version for Config.DirectoryTTL
)

// Change is a change in the directory of cplanes.
type Change struct {
	Kind   string
	Member Member
}

// Config has the bounds. All times are real time; see Defaults.
type Config struct {
	ShuffleInterval      time.Duration // between two shuffles of a node, a tenth more or less
	ViewSize             int           // neighbours at most
	ShuffleLength        int           // notes of a shuffle, the sender's own counted
	DirectorySize        int           // cplanes kept, and sent, at most
	MaxDepartures        int           // departures sent at most, and suspects asked for at most
	MaxTombstones        int           // tombstones kept at most
	SuspectTimeout       time.Duration // a suspect is dropped after it
	MemberTTL            time.Duration // a version older than it is forgotten everywhere
	DirectoryTTL         time.Duration // the same for the directory of cplanes, whose entries are refreshed within some shuffles
	ShufflesPerSeedVisit int           // shuffles between two visits of a cplane (or of a node that knows none) to a seed
}

// Defaults are the values of the daemons.
func Defaults() Config {
	return Config{ShuffleInterval: time.Second, ViewSize: 16, ShuffleLength: 6, DirectorySize: 16, MaxDepartures: 4, MaxTombstones: 64,
		SuspectTimeout: 5 * time.Second, MemberTTL: time.Minute, DirectoryTTL: 30 * time.Second, ShufflesPerSeedVisit: 10}
}
