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
	// Blackhole drops all bytes. A connection that lost something is reset at the end of the fault.
	Blackhole = "silent"
	// OneWayBlackhole drops what the node or zone sends; it still receives.
	OneWayBlackhole = "oneway"
	// AddLatency delivers everything Fault.Delay later.
	AddLatency = "slow"
	// Stall delays everything until the end of the fault and delivers it then, in order, even if the sender has closed
	// the connection since.
	Stall = "late"
)

// Fault disturbs the links between a node, or a zone, and all others. It ends by itself after For.
type Fault struct {
	Node  string        `json:"node,omitempty"`
	Zone  string        `json:"zone,omitempty"`
	Kind  string        `json:"how"`
	For   time.Duration `json:"for"`             // ns
	Delay time.Duration `json:"delay,omitempty"` // ns, of AddLatency
}

// FaultAnswer is the answer to an injected fault: the number of links that it affects.
type FaultAnswer struct {
	Links int `json:"links"`
}

// InjectFault is the endpoint of the control port.
var InjectFault = rpc.Endpoint[Fault, FaultAnswer]{Path: "/v1/cut"}

// Check validates a fault. Failure: Invalid.
func (f Fault) Check() error {
	switch {
	case (f.Node == "") == (f.Zone == ""):
		return errs.Field(errs.Invalid, "node", "either a node or a zone must be given")
	case f.For <= 0 || f.For > time.Hour:
		return errs.Field(errs.Invalid, "for", "must be up to 1h, is %s", f.For)
	case !slices.Contains([]string{Blackhole, OneWayBlackhole, AddLatency, Stall}, f.Kind):
		return errs.Field(errs.Invalid, "how", "is %q", f.Kind)
	case (f.Kind == AddLatency) != (f.Delay > 0):
		return errs.Field(errs.Invalid, "delay", "goes with slow, is %s", f.Delay)
	}
	return nil
}

func (f Fault) isInside(node, zone string) bool {
	return f.Node != "" && node == f.Node || f.Zone != "" && zone == f.Zone
}

// affects reports whether a link leads into or out of the node or zone, and whether what From sends to To leaves it
// (isOutbound).
func (f Fault) affects(link Link) (isAffected, isOutbound bool) {
	from, to := f.isInside(link.From, link.FromZone), f.isInside(link.To, link.ToZone)
	return from != to, from
}

// verdict is the effect of the active faults on bytes that arrive.
type verdict struct {
	due    time.Duration // when they are delivered
	isLost bool          // they never are
	end    time.Duration // isLost: when the fault is over
}

// faultSet is the faults that are active. The zero value has none.
type faultSet struct {
	mu     sync.Mutex
	active []activeFault
}

type activeFault struct {
	Fault
	end time.Duration
}

// add makes a fault active from now on.
func (s *faultSet) add(now time.Duration, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = slices.DeleteFunc(s.active, func(old activeFault) bool { return old.end <= now })
	s.active = append(s.active, activeFault{f, now + f.For})
}

// verdictFor returns the effect of all active faults on bytes that arrive now on a link. isForward reports whether the
// end that dialed has sent them.
func (s *faultSet) verdictFor(now time.Duration, link Link, isForward bool) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := verdict{due: now}
	for _, f := range s.active {
		isAffected, isOutbound := f.affects(link)
		switch {
		case !isAffected || f.end <= now:
		case f.Kind == Blackhole || f.Kind == OneWayBlackhole && isOutbound == isForward:
			v.isLost, v.end = true, max(v.end, f.end)
		case f.Kind == AddLatency:
			v.due = max(v.due, now+f.Delay)
		case f.Kind == Stall:
			v.due = max(v.due, f.end)
		}
	}
	return v
}
