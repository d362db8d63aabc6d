package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/testbed/netproxy"
)

// rackSize is how many minions share a rack.
const rackSize = 8

// Shape is what a fleet is made of.
type Shape struct {
	ControlPlanes, DataPlanes, Workers, Zones, Cores int
	Kind                                             string // obey, check or mixed
	Bin                                              string // folder of the programs
	Proxied                                          bool   // a faulty link between any two nodes that talk
	SharedWorkers, SharedProcesses                   int    // hollow minions, and the processes that share them
	Profile                                          string // lubra or mamlaka, see WithProfile
	FailingWorkers                                   int    // of the minions: the first ones end every run in a fault
}

// Check reports what is wrong with a shape. Failure: Invalid.
func (s Shape) Check() error {
	switch {
	case s.ControlPlanes < 1 || s.DataPlanes < 1 || s.Workers < 0:
		return errs.Field(errs.Invalid, "nodes", "at least one cplane and one dplane are needed")
	case s.Zones < 1 || s.Cores < 1:
		return errs.Field(errs.Invalid, "zones", "zones and cores must be at least 1")
	case s.SharedWorkers < 0 || s.SharedWorkers > 0 && (s.SharedProcesses < 1 || s.SharedWorkers < 2*s.SharedProcesses):
		return errs.Field(errs.Invalid, "hollow", "%d hollow minions cannot share %d processes", s.SharedWorkers, s.SharedProcesses)
	case s.SharedWorkers > 0 && s.Proxied:
		return errs.Field(errs.Invalid, "hollow", "hollow minions take no links")
	case s.Kind != "obey" && s.Kind != "check" && s.Kind != "mixed":
		return errs.Field(errs.Invalid, "kind", "is %q, must be obey, check or mixed", s.Kind)
	}
	return nil
}

// linkCount counts the links of a shape: among the daemons, and between dplanes and minions.
func (s Shape) linkCount() int {
	if !s.Proxied {
		return 0
	}
	daemons := s.ControlPlanes + s.DataPlanes
	return daemons*(daemons-1) + 2*s.DataPlanes*s.Workers
}

// PlanLinks returns a link for each way that some node dials another, one port each, and for each node by name the
// address to dial by the address to reach.
func PlanLinks(n Nodes, ports []int) ([]netproxy.Link, map[string]map[string]string) {
	var out []netproxy.Link
	via := map[string]map[string]string{}
	addLinksBetween := func(from, to []Node) {
		for _, a := range from {
			for _, b := range to {
				if a.Name == b.Name {
					continue
				}
				w := netproxy.Link{From: a.Name, FromZone: a.Zone, To: b.Name, ToZone: b.Zone, Dial: b.Addr,
					Listen: "127.0.0.1:" + strconv.Itoa(ports[len(out)])}
				if out = append(out, w); via[a.Name] == nil {
					via[a.Name] = map[string]string{}
				}
				via[a.Name][b.Addr] = w.Listen
			}
		}
	}
	daemons := slices.Concat(n.ControlPlanes, n.DataPlanes) // the members' views are shuffled between all of them
	addLinksBetween(daemons, daemons)
	addLinksBetween(n.DataPlanes, n.Workers)
	addLinksBetween(n.Workers, n.DataPlanes)
	return out, via
}

// processes counts the processes with a port of their own, links aside.
func (s Shape) processes() int {
	n := s.ControlPlanes + s.DataPlanes + s.Workers
	if s.SharedWorkers > 0 {
		n += s.SharedProcesses
	}
	return n
}

// workersIn is how many of the hollow minions process i has.
func (s Shape) workersIn(i int) int {
	n := s.SharedWorkers / s.SharedProcesses
	if i < s.SharedWorkers%s.SharedProcesses {
		n++
	}
	return n
}

// PlanNodes returns the nodes of a shape: zones round robin, racks of eight minions within each zone. One port per process;
// the hollow minions of a process share its zone, rack and port, and are named after it: h1-0, h1-1 and on.
func PlanNodes(s Shape, ports []int) Nodes {
	var n Nodes
	next := 0
	node := func(prefix string, i int) Node {
		next++
		return Node{Name: prefix + strconv.Itoa(i+1), Zone: "z" + strconv.Itoa(i%s.Zones+1),
			Addr: "127.0.0.1:" + strconv.Itoa(ports[next-1])}
	}
	for i := range s.ControlPlanes {
		n.ControlPlanes = append(n.ControlPlanes, node("c", i))
	}
	for i := range s.DataPlanes {
		n.DataPlanes = append(n.DataPlanes, node("d", i))
	}
	for i := range s.Workers {
		m := node("m", i)
		m.Rack = "r" + strconv.Itoa(i/s.Zones/rackSize+1)
		s.setResources(i, &m)
		m.Kind = s.Kind
		if s.Kind == "mixed" {
			m.Kind = []string{"check", "obey"}[i%2]
		}
		n.Workers = append(n.Workers, m)
	}
	for i := range s.SharedProcesses {
		if s.SharedWorkers == 0 {
			break
		}
		h := node("h", i)
		s.setResources(i, &h)
		h.Host, h.Rack, h.Kind = h.Name, "r"+strconv.Itoa(i/s.Zones+1), s.Kind
		if s.Kind == "mixed" {
			h.Kind = []string{"check", "obey"}[i%2]
		}
		for k := range s.workersIn(i) {
			m := h
			m.Name += "-" + strconv.Itoa(k)
			n.Workers = append(n.Workers, m)
		}
	}
	return n
}

type member struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

type operator struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Operators are the names of the two operators of a rehearsal; their keys are in DIR/keys/NAME.json.
var Operators = []string{"ada", "ben"}

// Keys reads the operators' keys of the fleet in dir. Faults: Disk, Malformed.
func Keys(dir string) ([]signature.Key, error) {
	var out []signature.Key
	for _, name := range Operators {
		key, err := signature.Load(filepath.Join(dir, "keys", name+".json"))
		if err != nil {
			return nil, errs.Pass(err, "operator %s", name)
		}
		out = append(out, key)
	}
	return out, nil
}

// createKeys writes the operators' keys to DIR/keys and gives their public part.
func createKeys(dir string) ([]operator, error) {
	if err := os.MkdirAll(filepath.Join(dir, "keys"), 0o700); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "folder keys")
	}
	var out []operator
	for _, name := range Operators {
		key, err := signature.New(name)
		if err != nil {
			return nil, errs.Pass(err, "operator %s", name)
		}
		if err := key.Save(filepath.Join(dir, "keys", name+".json")); err != nil {
			return nil, errs.Pass(err, "operator %s", name)
		}
		out = append(out, operator{name, key.Public()})
	}
	return out, nil
}

type settings struct {
	Name    string   `json:"name"`
	Zone    string   `json:"zone"`
	Region  string   `json:"region"`
	Addr    string   `json:"addr"`
	Seeds   []string `json:"seeds"`
	Data    string   `json:"data,omitempty"`
	Members []member `json:"members,omitempty"`
	Core    []string `json:"core,omitempty"`

	Operators []operator `json:"operator_keys,omitempty"`

	DialOverrides map[string]string `json:"via,omitempty"`
}

// Plan writes DIR/nodes.json, DIR/settings/NAME.json, DIR/keys and DIR/start (lines `name program args...`). The folder
// must not hold a fleet yet. Failures: Invalid, Conflict, Disk. Example:
//
//	nodes, err := fleet.Plan(dir, fleet.Shape{ControlPlanes: 5, DataPlanes: 3, Minions: 12, Zones: 3, Cores: 16, Kind: "check", Bin: "bin"})
func Plan(dir string, s Shape) (Nodes, error) {
	dir, err := prepareFolder(dir, s)
	if err != nil {
		return Nodes{}, errs.Pass(err, "plan")
	}
	processes := s.processes()
	ports, err := FreePorts(processes + s.linkCount() + 1)
	if err != nil {
		return Nodes{}, errs.Pass(err, "plan")
	}
	operators, err := createKeys(dir)
	if err != nil {
		return Nodes{}, errs.Pass(err, "plan")
	}
	p := &plan{dir: dir, shape: s, nodes: PlanNodes(s, ports), files: map[string]any{}}
	if s.Proxied {
		p.addLinks(ports[processes:])
	}
	p.files["nodes.json"] = p.nodes
	p.addNodes(operators)
	p.addWorkers()
	return p.nodes, errs.Pass(p.write(), "plan")
}

// prepareFolder checks the shape and the folder, and returns the folder's absolute path.
func prepareFolder(dir string, s Shape) (string, error) {
	if err := s.Check(); err != nil {
		return "", errs.Pass(err, "shape")
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return "", errs.Wrap(err, errs.Disk, "folder of the fleet")
	}
	if strings.ContainsAny(dir+s.Bin, " \t\n") {
		return "", errs.Field(errs.Invalid, "dir", "must hold no blanks: %q, %q", dir, s.Bin)
	}
	if _, err := os.Stat(filepath.Join(dir, "nodes.json")); err == nil {
		return "", errs.New(errs.Conflict, "%s holds a fleet already", dir)
	}
	return dir, nil
}

// plan is a fleet whose files are being made.
type plan struct {
	dir           string
	shape         Shape
	nodes         Nodes
	files         map[string]any               // by path below dir, encoded as JSON
	commands      strings.Builder              // the file start
	dialOverrides map[string]map[string]string // by node: the address to dial in place of another; nil without links
}

// addLinks plans the process that runs the faulty links. ports are its own one and those of the links.
func (p *plan) addLinks(ports []int) {
	set := netproxy.Settings{Control: "127.0.0.1:" + strconv.Itoa(ports[0]), Journal: p.dir + "/journal/drill-cut.jsonl"}
	set.Links, p.dialOverrides = PlanLinks(p.nodes, ports[1:])
	p.nodes.ProxyAddr, p.files["settings/link.json"] = set.Control, set
	fmt.Fprintf(&p.commands, "link %s/crosstide-testbed link --settings %s/settings/link.json\n", p.shape.Bin, p.dir)
}

// addNodes plans the cplanes and the dplanes.
func (p *plan) addNodes(operators []operator) {
	var members []member
	var core []string
	for _, c := range p.nodes.ControlPlanes {
		members, core = append(members, member{c.Name, c.Addr, c.Zone}), append(core, c.Addr)
	}
	for _, c := range p.nodes.ControlPlanes {
		p.addDaemon("crosstide-controlplane", settings{Name: c.Name, Zone: c.Zone, Region: "local", Addr: c.Addr, Seeds: seeds(c, core),
			Data: filepath.Join(p.dir, "data", c.Name), Members: members, Operators: operators, DialOverrides: p.dialOverrides[c.Name]})
	}
	for _, d := range p.nodes.DataPlanes {
		p.addDaemon("crosstide-dataplane", settings{Name: d.Name, Zone: d.Zone, Region: "local", Addr: d.Addr, Seeds: seeds(d, core),
			Core: core, DialOverrides: p.dialOverrides[d.Name]})
	}
}

// addDaemon plans one daemon with its settings.
func (p *plan) addDaemon(program string, set settings) {
	p.files["settings/"+set.Name+".json"] = set
	fmt.Fprintf(&p.commands, "%s %s/%s run --settings %s/settings/%s.json\n", set.Name, p.shape.Bin, program, p.dir, set.Name)
}

// addWorkers plans the processes of the minions: one line for all minions that share a process.
func (p *plan) addWorkers() {
	sharing := map[string]int{} // minions by host
	for _, m := range p.nodes.Workers {
		sharing[m.Host]++
	}
	host := ""
	for i, m := range p.nodes.Workers {
		if m.Host != "" && m.Host == host {
			continue
		}
		host = m.Host
		m.Name = m.Process()
		p.addWorker(m, i < p.shape.FailingWorkers, sharing[host])
	}
}

// addWorker plans the process of a minion; sharing is the number of minions in it if it has a host.
func (p *plan) addWorker(m Node, failing bool, sharing int) {
	var front []string
	for _, d := range p.nodes.DataPlanes {
		front = append(front, d.Addr)
	}
	fmt.Fprintf(&p.commands, "%s %s/crosstide-testbed minion --name %s --addr %s --kind %s --zone %s --rack %s --cores %d"+
		" --dplanes %s --journal %s/journal/%s.jsonl", m.Name, p.shape.Bin, m.Name, m.Addr, m.Kind, m.Zone, m.Rack,
		m.Cores, strings.Join(front, ","), p.dir, m.Name)
	if m.GPUs > 0 {
		fmt.Fprintf(&p.commands, " --gpus %d", m.GPUs)
	}
	for _, k := range slices.Sorted(maps.Keys(m.Labels)) {
		fmt.Fprintf(&p.commands, " --label %s=%s", k, m.Labels[k])
	}
	for _, addr := range front {
		if by := p.dialOverrides[m.Name][addr]; by != "" {
			fmt.Fprintf(&p.commands, " --via %s=%s", addr, by)
		}
	}
	if failing {
		p.commands.WriteString(" --fail 1")
	}
	if m.Host != "" {
		fmt.Fprintf(&p.commands, " --count %d", sharing)
	}
	p.commands.WriteString("\n")
}

// write makes the folders and writes the files.
func (p *plan) write() error {
	for _, sub := range []string{"settings", "log", "journal", "data"} {
		if err := os.MkdirAll(filepath.Join(p.dir, sub), 0o755); err != nil {
			return errs.Wrap(err, errs.Disk, "folder %s", sub)
		}
	}
	for name, value := range p.files {
		data, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			return errs.Wrap(err, errs.Internal, "encode %s", name)
		}
		if err := os.WriteFile(filepath.Join(p.dir, name), append(data, '\n'), 0o644); err != nil {
			return errs.Wrap(err, errs.Disk, "write %s", name)
		}
	}
	start := []byte(p.commands.String())
	return errs.Wrap(os.WriteFile(filepath.Join(p.dir, "start"), start, 0o644), errs.Disk, "write start")
}

// seeds returns up to three addresses of others, beginning after the node's own place.
func seeds(self Node, addrs []string) []string {
	from := 0
	for i, a := range addrs {
		if a == self.Addr {
			from = i + 1
		}
	}
	var out []string
	for i := range addrs {
		if a := addrs[(from+i)%len(addrs)]; a != self.Addr && len(out) < 3 {
			out = append(out, a)
		}
	}
	if len(out) == 0 { // a fleet of one cplane has no other seed
		out = addrs[:1]
	}
	return out
}

// FreePorts finds n free loopback ports below the range that outgoing connections take theirs from, so that a port
// stays free for its node while that is down. Faults: Unavailable.
func FreePorts(n int) ([]int, error) {
	low := 32768
	if data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		if _, err := fmt.Sscan(string(data), &low); err != nil {
			low = 32768
		}
	}
	const floor = 10240
	span := low - floor
	if span < 4*n {
		return nil, errs.New(errs.Unavailable, "ports %d to %d are too few for %d nodes", floor, low, n)
	}
	from := rand.IntN(span)
	var out []int
	for i := 0; i < span && len(out) < n; i++ {
		port := floor + (from+i)%span
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		if err := l.Close(); err == nil {
			out = append(out, port)
		}
	}
	if len(out) < n {
		return nil, errs.New(errs.Unavailable, "only %d of %d ports are free", len(out), n)
	}
	return out, nil
}
