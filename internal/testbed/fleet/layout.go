package fleet

import (
	"slices"
	"strconv"

	"crosstide/internal/testbed/netproxy"
)

// workersPerRack is how many workers of a zone share a rack.
const workersPerRack = 8

// layout assigns names, zones and ports to the nodes of a shape.
type layout struct {
	shape Shape
	ports []int // not assigned yet
}

// planNodes returns the nodes of a shape. It assigns zones round-robin, racks of workersPerRack within each zone, and
// one port per process. Workers that share a process share its zone, rack and port, and are named after it, as h1-0
// and h1-1 after h1.
func planNodes(s Shape, ports []int) Nodes {
	l := &layout{shape: s, ports: ports}
	var n Nodes
	for i := range s.ControlPlanes {
		n.ControlPlanes = append(n.ControlPlanes, l.node("c", i))
	}
	for i := range s.DataPlanes {
		n.DataPlanes = append(n.DataPlanes, l.node("d", i))
	}
	for i := range s.Workers {
		n.Workers = append(n.Workers, l.worker("m", i, i/s.Zones/workersPerRack))
	}
	if s.SharedWorkers > 0 {
		for i := range s.SharedProcesses {
			n.Workers = append(n.Workers, l.sharedWorkers(i)...)
		}
	}
	return n
}

func (l *layout) node(prefix string, i int) Node {
	port := l.ports[0]
	l.ports = l.ports[1:]
	return Node{Name: prefix + strconv.Itoa(i+1), Zone: "z" + strconv.Itoa(i%l.shape.Zones+1), Addr: loopback(port)}
}

func (l *layout) worker(prefix string, i, rack int) Node {
	w := l.node(prefix, i)
	w.Rack, w.Kind = "r"+strconv.Itoa(rack+1), l.shape.kindOf(i)
	l.shape.setResources(i, &w)
	return w
}

// sharedWorkers returns the workers of shared process i, which are all in one rack. Each shared process of a zone
// has another rack, counted from r1. Workers with their own process may be in the same rack.
func (l *layout) sharedWorkers(i int) []Node {
	process := l.worker("h", i, i/l.shape.Zones)
	process.Host = process.Name
	var workers []Node
	for k := range l.shape.workersIn(i) {
		w := process
		w.Name += "-" + strconv.Itoa(k)
		workers = append(workers, w)
	}
	return workers
}

// planLinks returns a link, with a port of its own, for each pair of nodes of which the first dials the second.
// overrides holds by node name the address to dial for each address to reach.
func planLinks(n Nodes, ports []int) (links []netproxy.Link, overrides map[string]map[string]string) {
	overrides = map[string]map[string]string{}
	addBetween := func(from, to []Node) {
		for _, a := range from {
			for _, b := range to {
				if a.Name == b.Name {
					continue
				}
				link := netproxy.Link{From: a.Name, FromZone: a.Zone, To: b.Name, ToZone: b.Zone, Dial: b.Addr,
					Listen: loopback(ports[len(links)])}
				links = append(links, link)
				if overrides[a.Name] == nil {
					overrides[a.Name] = map[string]string{}
				}
				overrides[a.Name][b.Addr] = link.Listen
			}
		}
	}
	daemons := slices.Concat(n.ControlPlanes, n.DataPlanes) // gossip goes between all of them
	addBetween(daemons, daemons)
	addBetween(n.DataPlanes, n.Workers)
	addBetween(n.Workers, n.DataPlanes)
	return links, overrides
}
