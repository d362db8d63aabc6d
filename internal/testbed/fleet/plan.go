package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/testbed/netproxy"
)

// settings is a daemon's settings file.
type settings struct {
	Name          string            `json:"name"`
	Zone          string            `json:"zone"`
	Region        string            `json:"region"`
	Addr          string            `json:"addr"`
	Seeds         []string          `json:"seeds"`
	Data          string            `json:"data,omitempty"`
	Members       []member          `json:"members,omitempty"`
	Core          []string          `json:"core,omitempty"`
	Operators     []operator        `json:"operator_keys,omitempty"`
	DialOverrides map[string]string `json:"via,omitempty"`
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

// Plan writes DIR/nodes.json, DIR/settings/NAME.json, DIR/keys and DIR/start (lines `name program args...`). Failures:
// Invalid, Conflict (the folder already holds a fleet), Disk, Unavailable (too few free ports). Example:
//
//	nodes, err := fleet.Plan(dir, fleet.Shape{ControlPlanes: 5, DataPlanes: 3, Workers: 12, Zones: 3, Cores: 16,
//		Kind: "check", Bin: "bin"})
func Plan(dir string, s Shape) (Nodes, error) {
	dir, err := checkFolder(dir, s)
	if err != nil {
		return Nodes{}, errs.Pass(err, "plan")
	}
	processes := s.processCount()
	ports, err := FreePorts(processes + s.linkCount() + 1)
	if err != nil {
		return Nodes{}, errs.Pass(err, "plan")
	}
	keys, err := createKeys(dir)
	if err != nil {
		return Nodes{}, errs.Pass(err, "plan")
	}
	p := &plan{dir: dir, shape: s, nodes: planNodes(s, ports), files: map[string]any{}}
	if s.Proxied {
		p.addProxy(ports[processes:])
	}
	p.files["nodes.json"] = p.nodes
	p.addDaemons(keys)
	p.addWorkers()
	return p.nodes, errs.Pass(p.write(), "plan")
}

// checkFolder checks the shape and the folder, and returns the folder's absolute path.
func checkFolder(dir string, s Shape) (string, error) {
	if err := s.Check(); err != nil {
		return "", errs.Pass(err, "shape")
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return "", errs.Wrap(err, errs.Disk, "folder of the fleet")
	}
	if strings.ContainsAny(dir+s.Bin, " \t\n") {
		return "", errs.Field(errs.Invalid, "dir", "folders must not contain blanks: %q, %q", dir, s.Bin)
	}
	if _, err := os.Stat(filepath.Join(dir, "nodes.json")); err == nil {
		return "", errs.New(errs.Conflict, "%s already holds a fleet", dir)
	}
	return dir, nil
}

// plan collects the files of a fleet before they are written.
type plan struct {
	dir           string
	shape         Shape
	nodes         Nodes
	files         map[string]any               // by path below dir, encoded as JSON
	commands      strings.Builder              // text of DIR/start
	dialOverrides map[string]map[string]string // by node: address to dial by address to reach; nil without proxy
}

// addProxy plans the process of the network proxy. ports holds its control port, followed by those of the links.
func (p *plan) addProxy(ports []int) {
	proxy := netproxy.Settings{Control: loopback(ports[0]), Journal: p.dir + "/journal/drill-cut.jsonl"}
	proxy.Links, p.dialOverrides = planLinks(p.nodes, ports[1:])
	p.nodes.ProxyAddr, p.files["settings/link.json"] = proxy.Control, proxy
	fmt.Fprintf(&p.commands, "link %s/crosstide-testbed link --settings %s/settings/link.json\n", p.shape.Bin, p.dir)
}

// addDaemons plans the control and the data planes.
func (p *plan) addDaemons(operators []operator) {
	var members []member
	var core []string
	for _, c := range p.nodes.ControlPlanes {
		members, core = append(members, member{c.Name, c.Addr, c.Zone}), append(core, c.Addr)
	}
	for _, c := range p.nodes.ControlPlanes {
		daemon := p.settingsOf(c, core)
		daemon.Data, daemon.Members, daemon.Operators = filepath.Join(p.dir, "data", c.Name), members, operators
		p.addDaemon("crosstide-controlplane", daemon)
	}
	for _, d := range p.nodes.DataPlanes {
		daemon := p.settingsOf(d, core)
		daemon.Core = core
		p.addDaemon("crosstide-dataplane", daemon)
	}
}

// settingsOf returns those settings of a node that control and data planes have in common.
func (p *plan) settingsOf(n Node, core []string) settings {
	return settings{Name: n.Name, Zone: n.Zone, Region: "local", Addr: n.Addr, Seeds: seeds(n, core),
		DialOverrides: p.dialOverrides[n.Name]}
}

// addDaemon plans the settings file and the process of one daemon.
func (p *plan) addDaemon(program string, daemon settings) {
	p.files["settings/"+daemon.Name+".json"] = daemon
	fmt.Fprintf(&p.commands, "%s %s/%s run --settings %s/settings/%s.json\n", daemon.Name, p.shape.Bin, program, p.dir,
		daemon.Name)
}

// addWorkers plans the processes of the workers: one command line for all workers that share a process.
func (p *plan) addWorkers() {
	workersByHost := map[string]int{}
	for _, w := range p.nodes.Workers {
		workersByHost[w.Host]++
	}
	host := ""
	for i, w := range p.nodes.Workers {
		if w.Host != "" && w.Host == host {
			continue
		}
		host = w.Host
		w.Name = w.Process()
		p.addWorker(w, i < p.shape.FailingWorkers, workersByHost[host])
	}
}

// addWorker plans the process of a worker. If the worker has a Host, count workers share the process.
func (p *plan) addWorker(w Node, isFailing bool, count int) {
	var dataPlanes []string
	for _, d := range p.nodes.DataPlanes {
		dataPlanes = append(dataPlanes, d.Addr)
	}
	fmt.Fprintf(&p.commands, "%s %s/crosstide-testbed minion --name %s --addr %s --kind %s --zone %s --rack %s"+
		" --cores %d --dplanes %s --journal %s/journal/%s.jsonl", w.Name, p.shape.Bin, w.Name, w.Addr, w.Kind, w.Zone,
		w.Rack, w.Cores, strings.Join(dataPlanes, ","), p.dir, w.Name)
	if w.GPUs > 0 {
		fmt.Fprintf(&p.commands, " --gpus %d", w.GPUs)
	}
	for _, key := range slices.Sorted(maps.Keys(w.Labels)) {
		fmt.Fprintf(&p.commands, " --label %s=%s", key, w.Labels[key])
	}
	for _, addr := range dataPlanes {
		if override := p.dialOverrides[w.Name][addr]; override != "" {
			fmt.Fprintf(&p.commands, " --via %s=%s", addr, override)
		}
	}
	if isFailing {
		p.commands.WriteString(" --fail 1")
	}
	if w.Host != "" {
		fmt.Fprintf(&p.commands, " --count %d", count)
	}
	p.commands.WriteString("\n")
}

// write creates the folders and writes the files.
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

// maxSeeds is how many members a daemon contacts when it starts.
const maxSeeds = 3

// seeds returns up to maxSeeds addresses of other nodes. They begin after the node's own position in addrs, so that the
// nodes have different seeds.
func seeds(self Node, addrs []string) []string {
	from := 0
	for i, a := range addrs {
		if a == self.Addr {
			from = i + 1
		}
	}
	var others []string
	for i := range addrs {
		if a := addrs[(from+i)%len(addrs)]; a != self.Addr && len(others) < maxSeeds {
			others = append(others, a)
		}
	}
	if len(others) == 0 { // a fleet of one control plane has no other seed
		others = addrs[:1]
	}
	return others
}

// createKeys writes the operators' keys to DIR/keys and returns their public parts.
func createKeys(dir string) ([]operator, error) {
	if err := os.MkdirAll(filepath.Join(dir, "keys"), 0o700); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "folder keys")
	}
	var public []operator
	for _, name := range operators {
		key, err := signature.New(name)
		if err != nil {
			return nil, errs.Pass(err, "operator %s", name)
		}
		if err := key.Save(filepath.Join(dir, "keys", name+".json")); err != nil {
			return nil, errs.Pass(err, "operator %s", name)
		}
		public = append(public, operator{name, key.Public()})
	}
	return public, nil
}
