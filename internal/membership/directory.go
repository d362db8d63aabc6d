package membership

import (
	"slices"
	"strings"
	"time"
)

// Kinds of changes in the directory of control-plane nodes, as written to the log.
const (
	Joined    = "came"  // was not known before
	Restarted = "again" // has a new incarnation
	Moved     = "moved" // has another address
	Left      = "left"  // has announced its departure
	Expired   = "lost"  // no newer version received for Config.DirectoryTTL
)

// Change is a change in the directory of control-plane nodes.
type Change struct {
	Kind   string
	Member Member // after the change; for Left and Expired the last known version
}

// Changes returns the changes in the directory since the last call, in order.
func (c *Core) Changes() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// ControlPlanes returns the addresses of the control-plane nodes in the directory, sorted by node name. This node's own
// address is not included.
func (c *Core) ControlPlanes() []string {
	sorted := slices.Clone(c.directory)
	slices.SortFunc(sorted, byName)
	addrs := make([]string, len(sorted))
	for i, e := range sorted {
		addrs[i] = e.Addr
	}
	return addrs
}

// MemberStatus describes a known node, for operators.
type MemberStatus struct {
	Name        string        `json:"name"`
	Role        string        `json:"role"`
	Zone        string        `json:"zone"`
	Addr        string        `json:"addr"`
	Incarnation uint64        `json:"boot"`
	Age         time.Duration `json:"age"` // since the node sent the newest version known here, in nanoseconds
	Suspect     bool          `json:"suspect,omitempty"`
}

// Nodes returns all nodes known at now, sorted by name: this one, its neighbours and the directory. It leaves out
// versions older than MemberTTL that Tick has not removed yet.
func (c *Core) Nodes(now time.Duration) []MemberStatus {
	known := []*neighbour{{Member: c.self, sentAt: now}}
	for _, e := range append(slices.Clone(c.neighbours), c.directory...) {
		if findByName(known, e.Name) == nil && now-e.sentAt < c.cfg.MemberTTL {
			known = append(known, c.newest(e.Name))
		}
	}
	slices.SortFunc(known, byName)
	statuses := make([]MemberStatus, len(known))
	for i, e := range known {
		inView := findByName(c.neighbours, e.Name)
		statuses[i] = MemberStatus{
			Name: e.Name, Role: e.Role, Zone: e.Zone, Addr: e.Addr, Incarnation: e.Incarnation,
			Age: now - e.sentAt, Suspect: inView != nil && inView.suspected,
		}
	}
	return statuses
}

// Size returns the numbers of neighbours, of suspects among them, and of control-plane nodes in the directory.
func (c *Core) Size() (neighbours, suspects, directory int) {
	for _, e := range c.neighbours {
		if e.suspected {
			suspects++
		}
	}
	return len(c.neighbours), suspects, len(c.directory)
}

// newest returns the newest known version of a node, or nil.
func (c *Core) newest(name string) *neighbour {
	inView, inDirectory := findByName(c.neighbours, name), findByName(c.directory, name)
	if inView == nil || inDirectory != nil && compareVersions(inView.Member, inDirectory.Member) < 0 {
		return inDirectory
	}
	return inView
}

func byName(a, b *neighbour) int { return strings.Compare(a.Name, b.Name) }

// findByName returns the entry of list with the given name, or nil.
func findByName(list []*neighbour, name string) *neighbour {
	for _, e := range list {
		if e.Name == name {
			return e
		}
	}
	return nil
}
