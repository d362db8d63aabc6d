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

// Plan writes DIR/nodes.json, DIR/settings/NAME.json, DIR/keys and DIR/start (lines `name program args...`). The folder
// must not have a fleet yet. Failures: Invalid, Conflict, Disk. Example:
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
		return "", errs.Field(errs.Invalid, "dir", "must hold no blanks: %q, %q", dir, s.Bin)
	}
	if _, err := os.Stat(filepath.Join(dir, "nodes.json")); err == nil {
		return "", errs.New(errs.Conflict, "%s holds a fleet already", dir)
	}
	return dir, nil
}

// plan is a fleet whose files are not written yet.
type plan struct {
	dir           string
	shape         Shape
	nodes         Nodes
	files         map[string]any               // by path below dir, encoded as JSON
	commands      strings.Builder              // the file start
	dialOverrides map[string]map[string]string // by node: the address to dial in place of another; nil without proxy
}

// addProxy plans the network proxy's process. ports are its control port and those of the links.
func (p *plan) addProxy(ports []int) {
	set := netproxy.Settings{Control: loopback(ports[0]), Journal: p.dir + "/journal/drill-cut.jsonl"}
	set.Links, p.dialOverrides = planLinks(p.nodes, ports[1:])
	p.nodes.ProxyAddr, p.files["settings/link.json"] = set.Control, set
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
		set := p.settingsOf(c, core)
		set.Data, set.Members, set.Operators = filepath.Join(p.dir, "data", c.Name), members, operators
		p.addDaemon("crosstide-controlplane", set)
	}
	for _, d := range p.nodes.DataPlanes {
		set := p.settingsOf(d, core)
		set.Core = core
		p.addDaemon("crosstide-dataplane", set)
	}
}

// settingsOf returns the settings that control and data planes have in common.
func (p *plan) settingsOf(n Node, core []string) settings {
	return settings{Name: n.Name, Zone: n.Zone, Region: "local", Addr: n.Addr, Seeds: seeds(n, core),
		DialOverrides: p.dialOverrides[n.Name]}
}

// addDaemon plans one daemon with its settings.
func (p *plan) addDaemon(program string, set settings) {
	p.files["settings/"+set.Name+".json"] = set
	fmt.Fprintf(&p.commands, "%s %s/%s run --settings %s/settings/%s.json\n", set.Name, p.shape.Bin, program, p.dir,
		set.Name)
}

// addWorkers plans the processes of the workers: one line for all workers that share a process.
func (p *plan) addWorkers() {
	sharing := map[string]int{} // workers by process
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

// addWorker plans the process of a worker; sharing is how many share it, if any do.
func (p *plan) addWorker(m Node, isFailing bool, sharing int) {
	var dataPlanes []string
	for _, d := range p.nodes.DataPlanes {
		dataPlanes = append(dataPlanes, d.Addr)
	}
	fmt.Fprintf(&p.commands, "%s %s/crosstide-testbed minion --name %s --addr %s --kind %s --zone %s --rack %s"+
		" --cores %d --dplanes %s --journal %s/journal/%s.jsonl", m.Name, p.shape.Bin, m.Name, m.Addr, m.Kind, m.Zone,
		m.Rack, m.Cores, strings.Join(dataPlanes, ","), p.dir, m.Name)
	if m.GPUs > 0 {
		fmt.Fprintf(&p.commands, " --gpus %d", m.GPUs)
	}
	for _, key := range slices.Sorted(maps.Keys(m.Labels)) {
		fmt.Fprintf(&p.commands, " --label %s=%s", key, m.Labels[key])
	}
	for _, addr := range dataPlanes {
		if override := p.dialOverrides[m.Name][addr]; override != "" {
			fmt.Fprintf(&p.commands, " --via %s=%s", addr, override)
		}
	}
	if isFailing {
		p.commands.WriteString(" --fail 1")
	}
	if m.Host != "" {
		fmt.Fprintf(&p.commands, " --count %d", sharing)
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

// maxSeeds is how many members a daemon asks at its start.
const maxSeeds = 3

// seeds returns up to maxSeeds addresses of other nodes, beginning after the node's own position in addrs, so that not
// all nodes ask the same ones.
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
