// Package netproxy is the faulty links of a rehearsal: TCP proxies on the way between any two nodes that lose bytes
// in silence, hold them back or slow them down while a cut lasts.
package netproxy

import (
	"slices"
	"sync"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// Link is one link: From dials Listen to reach To at Dial.
type Link struct {
	From     string `json:"from"`
	FromZone string `json:"from_zone"`
	To       string `json:"to"`
	ToZone   string `json:"to_zone"`
	Listen   string `json:"listen"`
	Dial     string `json:"dial"`
}

// Kind a cut works.
const (
	Blackhole       = "silent" // what comes is swallowed; a connection that lost something is reset at the end of the cut
	OneWayBlackhole = "oneway" // what the node or zone sends is swallowed, it still hears the others
	AddLatency      = "slow"   // everything arrives Delay later
	Stall           = "late"   // everything is held back and arrives, in order, at the end of the cut; what was sent by one
	// that has closed its connection since arrives too
)

// Fault is an order to the links between a node, or a zone, and all others. It heals by itself after For.
type Fault struct {
	Node  string        `json:"node,omitempty"`
	Zone  string        `json:"zone,omitempty"`
	Kind  string        `json:"how"`
	For   time.Duration `json:"for"`             // ns
	Delay time.Duration `json:"delay,omitempty"` // ns, of slow
}

// FaultAnswer reports how many links are touched.
type FaultAnswer struct {
	Links int `json:"links"`
}

// InjectFault is the call of the control port.
var InjectFault = rpc.Endpoint[Fault, FaultAnswer]{Path: "/v1/cut"}

// Check reports what is wrong with an order. Failure: Invalid.
func (c Fault) Check() error {
	switch {
	case (c.Node == "") == (c.Zone == ""):
		return errs.Field(errs.Invalid, "node", "either a node or a zone must be given")
	case c.For <= 0 || c.For > time.Hour:
		return errs.Field(errs.Invalid, "for", "must be up to 1h, is %s", c.For)
	case !slices.Contains([]string{Blackhole, OneWayBlackhole, AddLatency, Stall}, c.Kind):
		return errs.Field(errs.Invalid, "how", "is %q", c.Kind)
	case (c.Kind == AddLatency) != (c.Delay > 0):
		return errs.Field(errs.Invalid, "delay", "goes with slow, is %s", c.Delay)
	}
	return nil
}

func (c Fault) isInside(node, zone string) bool {
	return c.Node != "" && node == c.Node || c.Zone != "" && zone == c.Zone
}

// crosses reports whether a way leads over the cut; out: what From sends to To leaves the node or zone.
func (c Fault) crosses(w Link) (yes, out bool) {
	from, to := c.isInside(w.From, w.FromZone), c.isInside(w.To, w.ToZone)
	return from != to, from
}

// verdictFor is what becomes of bytes.
type verdict struct {
	due  time.Duration // when they may go on
	lost bool          // they may not
	end  time.Duration // lost: when the cut is over
}

// faultSet knows the cuts at work.
type faultSet struct {
	mu     sync.Mutex
	active []activeFault
}

type activeFault struct {
	Fault
	end time.Duration
}

// add puts a cut to work from now on.
func (g *faultSet) add(now time.Duration, c Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active = slices.DeleteFunc(g.active, func(l activeFault) bool { return l.end <= now })
	g.active = append(g.active, activeFault{c, now + c.For})
}

// verdictFor judges bytes that come in now on a way; forward: from the one that dialed. Cuts add up.
func (g *faultSet) verdictFor(now time.Duration, w Link, forward bool) verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := verdict{due: now}
	for _, c := range g.active {
		yes, out := c.crosses(w)
		switch {
		case !yes || c.end <= now:
		case c.Kind == Blackhole || c.Kind == OneWayBlackhole && out == forward:
			f.lost, f.end = true, max(f.end, c.end)
		case c.Kind == AddLatency:
			f.due = max(f.due, now+c.Delay)
		case c.Kind == Stall:
			f.due = max(f.due, c.end)
		}
	}
	return f
}
