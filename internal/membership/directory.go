package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// newest returns the newest version known of a node, nil if there is none.
func (c *Core) newest(name string) *neighbour {
	e, d := findByName(c.neighbours, name), findByName(c.directory, name)
	if e == nil || d != nil && compareVersions(e.Member, d.Member) < 0 {
		return d
	}
	return e
}

// Changes returns the changes of the directory of cplanes since the last call.
func (c *Core) Changes() []Change {
	out := c.changes
	c.changes = nil
	return out
}

// OnControlPlanes returns the addresses of all cplanes known, in order of their names, this node not counted.
func (c *Core) ControlPlanes() []string {
	list := slices.Clone(c.directory)
	slices.SortFunc(list, byName)
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = e.Addr
	}
	return out
}

// Nodes returns all nodes known at now, in order of their names: this one, its neighbours and the directory of cplanes.
func (c *Core) Nodes(now time.Duration) []MemberStatus {
	list := []*neighbour{{Member: c.self, sentAt: now}}
	for _, e := range append(slices.Clone(c.neighbours), c.directory...) {
		if findByName(list, e.Name) == nil && now-e.sentAt < c.cfg.MemberTTL {
			list = append(list, c.newest(e.Name))
		}
	}
	slices.SortFunc(list, byName)
	out := make([]MemberStatus, len(list))
	for i, e := range list {
		v := findByName(c.neighbours, e.Name)
		out[i] = MemberStatus{e.Name, e.Role, e.Zone, e.Addr, e.Incarnation, now - e.sentAt, v != nil && v.suspected}
	}
	return out
}

// Size returns the number of neighbours and of cplanes in the directory.
func (c *Core) Size() (view, core int) { return len(c.neighbours), len(c.directory) }

func byName(a, b *neighbour) int { return strings.Compare(a.Name, b.Name) }

func findByName(list []*neighbour, name string) *neighbour {
	for _, e := range list {
		if e.Name == name {
			return e
		}
	}
	return nil
}

func sortedNames(m map[string]*tombstone) []string { return slices.Sorted(maps.Keys(m)) }
