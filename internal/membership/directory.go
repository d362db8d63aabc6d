package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// known is the newest that is known of a node, nil for nothing.
func (c *Core) known(name string) *entry {
	e, d := find(c.view, name), find(c.core, name)
	if e == nil || d != nil && older(e.Note, d.Note) < 0 {
		return d
	}
	return e
}

// Changes gives the changes of the directory of cplanes since the last time.
func (c *Core) Changes() []Change {
	out := c.change
	c.change = nil
	return out
}

// Cplanes gives the addresses of all cplanes known, in order of their names, this node not counted.
func (c *Core) Cplanes() []string {
	list := slices.Clone(c.core)
	slices.SortFunc(list, byName)
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = e.Addr
	}
	return out
}

// Nodes gives all nodes known at now, in order of their names: this one, its neighbours and the directory of cplanes.
func (c *Core) Nodes(now time.Duration) []Seen {
	list := []*entry{{Note: c.self, at: now}}
	for _, e := range append(slices.Clone(c.view), c.core...) {
		if find(list, e.Name) == nil && now-e.at < c.cfg.Fade {
			list = append(list, c.known(e.Name))
		}
	}
	slices.SortFunc(list, byName)
	out := make([]Seen, len(list))
	for i, e := range list {
		v := find(c.view, e.Name)
		out[i] = Seen{e.Name, e.Role, e.Zone, e.Addr, e.Boot, now - e.at, v != nil && v.doubt}
	}
	return out
}

// Size gives the number of neighbours and of cplanes in the directory.
func (c *Core) Size() (view, core int) { return len(c.view), len(c.core) }

func byName(a, b *entry) int { return strings.Compare(a.Name, b.Name) }

func find(list []*entry, name string) *entry {
	for _, e := range list {
		if e.Name == name {
			return e
		}
	}
	return nil
}

func sorted(m map[string]*tomb) []string { return slices.Sorted(maps.Keys(m)) }
