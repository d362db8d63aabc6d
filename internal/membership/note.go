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
	Cplane = "cplane"
	Dplane = "dplane"
)

// Note describes a node. Only the node itself makes a new version of it: Boot rises with each of its processes, Beat
// with each message of a process. So the age of a version only grows, and the notes of a dead node expire everywhere
// within Config.Fade, however often they are passed on.
type Note struct {
	Name string `json:"n"`
	Addr string `json:"a"`
	Zone string `json:"z"`
	Role string `json:"r"`
	Boot uint64 `json:"b"`           // incarnation
	Beat uint64 `json:"v"`           // version within the incarnation
	Age  int64  `json:"t,omitempty"` // milliseconds since the node itself sent this version
}

// Message is both the call and the answer of a shuffle. Its size has a bound that does not depend on the fleet's.
type Message struct {
	From Note     `json:"from"`           // the sender, Age 0
	Left bool     `json:"left,omitempty"` // the sender leaves
	Some []Note   `json:"some,omitempty"` // a random part of its view, and what it was asked for
	Core []Note   `json:"core,omitempty"` // cplanes it knows
	Gone []Note   `json:"gone,omitempty"` // incarnations that left
	Ask  []string `json:"ask,omitempty"`  // names it suspects: the receiver answers with newer versions
}

// compareVersions orders versions of one node: below 0 if a is older than b.
func compareVersions(a, b Note) int {
	return cmp.Or(cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.Beat, b.Beat))
}

// valid reports whether a note that came in can be kept.
func (n Note) valid() bool {
	const most = 200
	return n.Name != "" && n.Addr != "" && len(n.Name) <= most && len(n.Addr) <= most && len(n.Zone) <= most && len(n.Role) <= most
}

// Seen is a node as this one knows it.
type Seen struct {
	Name    string        `json:"name"`
	Role    string        `json:"role"`
	Zone    string        `json:"zone"`
	Addr    string        `json:"addr"`
	Boot    uint64        `json:"boot"`
	Age     time.Duration `json:"age"` // since it sent the newest version known here, in nanoseconds
	Suspect bool          `json:"suspect,omitempty"`
}

// Kinds of change in the directory of cplanes.
const (
	Came  = "came"
	Again = "again" // under a new incarnation
	Moved = "moved" // to another address
	Left  = "left"  // announced by the node itself
	Lost  = "lost"  // no newer version for Config.CoreFade
)

// Change is a change in the directory of cplanes.
type Change struct {
	What string
	Note Note
}

// Config has the bounds. All times are real time; see Defaults.
type Config struct {
	Every    time.Duration // between two shuffles of a node, a tenth more or less
	View     int           // neighbours at most
	Part     int           // notes of a shuffle, the sender's own counted
	Core     int           // cplanes kept, and sent, at most
	Gone     int           // departures sent at most, and suspects asked for at most
	Tombs    int           // tombstones kept at most
	Suspect  time.Duration // a suspect is dropped after it
	Fade     time.Duration // a version older than it is forgotten everywhere
	CoreFade time.Duration // the same for the directory of cplanes, whose entries are refreshed within some shuffles
	SeedTick int           // shuffles between two visits of a cplane (or of a node that knows none) to a seed
}

// Defaults are the values of the daemons.
func Defaults() Config {
	return Config{Every: time.Second, View: 16, Part: 6, Core: 16, Gone: 4, Tombs: 64,
		Suspect: 5 * time.Second, Fade: time.Minute, CoreFade: 30 * time.Second, SeedTick: 10}
}
