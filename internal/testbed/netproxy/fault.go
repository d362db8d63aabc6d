package netproxy

import (
	"slices"
	"sync"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// Kinds of faults.
const (
	// Blackhole drops all bytes. A connection that lost bytes is reset at the end of the fault.
	Blackhole = "silent"
	// OneWayBlackhole drops the bytes that the node or zone sends; it still receives.
	OneWayBlackhole = "oneway"
	// AddLatency delivers all bytes Fault.Delay later.
	AddLatency = "slow"
	// Stall holds all bytes until the end of the fault and then delivers them in order, even if the sender has closed
	// the connection before.
	Stall = "late"
)

// Fault disturbs the links between a node, or a zone, and all other nodes. It ends after For.
type Fault struct {
	Node  string        `json:"node,omitempty"`
	Zone  string        `json:"zone,omitempty"`
	Kind  string        `json:"how"`
	For   time.Duration `json:"for"`             // ns
	Delay time.Duration `json:"delay,omitempty"` // ns, of AddLatency
}

// FaultAnswer is the answer to an injected fault: the number of links that the fault affects.
type FaultAnswer struct {
	Links int `json:"links"`
}

// InjectFault is the endpoint of the control port that injects a fault.
var InjectFault = rpc.Endpoint[Fault, FaultAnswer]{Path: "/v1/cut"}

// Check validates a fault. Failure: Invalid.
func (f Fault) Check() error {
	switch {
	case (f.Node == "") == (f.Zone == ""):
		return errs.Field(errs.Invalid, "node", "exactly one of node and zone must be set")
	case f.For <= 0 || f.For > time.Hour:
		return errs.Field(errs.Invalid, "for", "is %s, must be above 0 and at most 1h", f.For)
	case !slices.Contains([]string{Blackhole, OneWayBlackhole, AddLatency, Stall}, f.Kind):
		return errs.Field(errs.Invalid, "how", "is %q, must be silent, oneway, slow or late", f.Kind)
	case (f.Kind == AddLatency) != (f.Delay > 0):
		return errs.Field(errs.Invalid, "delay", "is %s, must be above 0 for slow and 0 for the others", f.Delay)
	}
	return nil
}

// isInside reports whether a node is the one, or in the zone, that the fault isolates.
func (f Fault) isInside(node, zone string) bool {
	return f.Node != "" && node == f.Node || f.Zone != "" && zone == f.Zone
}

// affects reports whether a link leads into or out of the node or zone, and whether its From is inside (isOutbound).
func (f Fault) affects(link Link) (isAffected, isOutbound bool) {
	from, to := f.isInside(link.From, link.FromZone), f.isInside(link.To, link.ToZone)
	return from != to, from
}

// effect is what the active faults do to bytes that arrive.
type effect struct {
	due    time.Duration // when to deliver the bytes
	isLost bool          // the bytes are dropped
	end    time.Duration // if isLost: when the last of the faults ends
}

// faultSet holds the active faults. The zero value is empty.
type faultSet struct {
	mu     sync.Mutex
	active []activeFault
}

type activeFault struct {
	Fault
	end time.Duration
}

// add makes a fault active from now on, and removes those that have ended.
func (s *faultSet) add(now time.Duration, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = slices.DeleteFunc(s.active, func(old activeFault) bool { return old.end <= now })
	s.active = append(s.active, activeFault{f, now + f.For})
}

// effectOn returns the effect of all active faults on bytes that arrive now on a link. isForward is true for bytes that
// link.From, which dialed, has sent.
func (s *faultSet) effectOn(now time.Duration, link Link, isForward bool) effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := effect{due: now}
	for _, f := range s.active {
		isAffected, isOutbound := f.affects(link)
		switch {
		case !isAffected || f.end <= now:
		case f.Kind == Blackhole || f.Kind == OneWayBlackhole && isOutbound == isForward:
			e.isLost, e.end = true, max(e.end, f.end)
		case f.Kind == AddLatency:
			e.due = max(e.due, now+f.Delay)
		case f.Kind == Stall:
			e.due = max(e.due, f.end)
		}
	}
	return e
}
