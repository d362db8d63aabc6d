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

// Way is one link: From dials Listen to reach To at Dial.
type Way struct {
	From     string `json:"from"`
	FromZone string `json:"from_zone"`
	To       string `json:"to"`
	ToZone   string `json:"to_zone"`
	Listen   string `json:"listen"`
	Dial     string `json:"dial"`
}

// How a cut works.
const (
	Silent = "silent" // what comes is swallowed; a connection that lost something is reset at the end of the cut
	Oneway = "oneway" // what the node or zone sends is swallowed, it still hears the others
	Slow   = "slow"   // everything arrives Delay later
	Late   = "late"   // everything is held back and arrives, in order, at the end of the cut; what was sent by one
	// that has closed its connection since arrives too
)

// Cut is an order to the links between a node, or a zone, and all others. It heals by itself after For.
type Cut struct {
	Node  string        `json:"node,omitempty"`
	Zone  string        `json:"zone,omitempty"`
	How   string        `json:"how"`
	For   time.Duration `json:"for"`             // ns
	Delay time.Duration `json:"delay,omitempty"` // ns, of slow
}

// CutAnswer reports how many links are touched.
type CutAnswer struct {
	Links int `json:"links"`
}

// Order is the call of the control port.
var Order = rpc.Endpoint[Cut, CutAnswer]{Path: "/v1/cut"}

// Check reports what is wrong with an order. Failure: Invalid.
func (c Cut) Check() error {
	switch {
	case (c.Node == "") == (c.Zone == ""):
		return errs.Field(errs.Invalid, "node", "either a node or a zone must be given")
	case c.For <= 0 || c.For > time.Hour:
		return errs.Field(errs.Invalid, "for", "must be up to 1h, is %s", c.For)
	case !slices.Contains([]string{Silent, Oneway, Slow, Late}, c.How):
		return errs.Field(errs.Invalid, "how", "is %q", c.How)
	case (c.How == Slow) != (c.Delay > 0):
		return errs.Field(errs.Invalid, "delay", "goes with slow, is %s", c.Delay)
	}
	return nil
}

func (c Cut) inside(node, zone string) bool {
	return c.Node != "" && node == c.Node || c.Zone != "" && zone == c.Zone
}

// crosses reports whether a way leads over the cut; out: what From sends to To leaves the node or zone.
func (c Cut) crosses(w Way) (yes, out bool) {
	from, to := c.inside(w.From, w.FromZone), c.inside(w.To, w.ToZone)
	return from != to, from
}

// fate is what becomes of bytes.
type fate struct {
	due  time.Duration // when they may go on
	lost bool          // they may not
	end  time.Duration // lost: when the cut is over
}

// gate knows the cuts at work.
type gate struct {
	mu   sync.Mutex
	cuts []lasting
}

type lasting struct {
	Cut
	end time.Duration
}

// add puts a cut to work from now on.
func (g *gate) add(now time.Duration, c Cut) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts = slices.DeleteFunc(g.cuts, func(l lasting) bool { return l.end <= now })
	g.cuts = append(g.cuts, lasting{c, now + c.For})
}

// fate judges bytes that come in now on a way; forward: from the one that dialed. Cuts add up.
func (g *gate) fate(now time.Duration, w Way, forward bool) fate {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := fate{due: now}
	for _, c := range g.cuts {
		yes, out := c.crosses(w)
		switch {
		case !yes || c.end <= now:
		case c.How == Silent || c.How == Oneway && out == forward:
			f.lost, f.end = true, max(f.end, c.end)
		case c.How == Slow:
			f.due = max(f.due, now+c.Delay)
		case c.How == Late:
			f.due = max(f.due, c.end)
		}
	}
	return f
}
