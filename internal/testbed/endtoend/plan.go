package endtoend

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

// Size is the number of processes of each kind in a scenario.
type Size struct{ ControlPlanes, DataPlanes, Workers int }

// Plan lists the processes of a scenario and their addresses.
type Plan struct {
	Dir          string
	FrontAddrs   []string          // of the data planes, for clients
	ControlAddrs []string          // of the control planes, for operators
	NamesByAddr  map[string]string // of the control planes, by internal address
	CommandLines []CommandLine
	Shapes       []Shape
}

// CommandLine is the command line of one process.
type CommandLine struct {
	Name string
	Args []string // the program first
}

// zones is the number of zones that the processes are spread over.
const zones = 2

// minWorkers is the smallest number of workers that can run the jobs of a scenario.
const minWorkers = 4

// NewPlan returns the plan of a scenario and writes the settings of its processes into dir, which must not contain
// settings yet. bin is the directory of the programs. Failures: Invalid, Conflict, Disk, Unavailable.
func NewPlan(dir, bin string, size Size) (Plan, error) {
	if size.ControlPlanes < 1 || size.DataPlanes < 1 || size.Workers < minWorkers {
		return Plan{}, errs.Field(errs.Invalid, "size", "must be at least one cplane, one dplane and four workers")
	}
	if _, err := os.Stat(filepath.Join(dir, "settings")); err == nil {
		return Plan{}, errs.New(errs.Conflict, "%s already contains the settings of a scenario", dir)
	}
	ports, err := fleet.FreePorts(2*size.ControlPlanes + size.DataPlanes + size.Workers)
	if err != nil {
		return Plan{}, errs.Pass(err, "plan")
	}
	for _, folder := range []string{"settings", "log", "journal", "data"} {
		if err := os.MkdirAll(filepath.Join(dir, folder), 0o755); err != nil {
			return Plan{}, errs.Wrap(err, errs.Disk, "create directory %s", folder)
		}
	}
	plan := Plan{Dir: dir, NamesByAddr: map[string]string{}, Shapes: newShapes(size.Workers)}
	p := &planner{plan: plan, bin: bin, ports: ports}
	p.addControlPlanes(size.ControlPlanes)
	p.addDataPlanes(size.DataPlanes)
	p.addWorkers()
	return p.plan, errs.Pass(p.err, "plan")
}

// planner builds a Plan.
type planner struct {
	plan      Plan
	bin       string
	ports     []int
	coreAddrs []string // internal addresses of the control planes
	err       error    // the first error
}

// nextAddr returns a loopback address with the next free port.
func (p *planner) nextAddr() string {
	port := p.ports[0]
	p.ports = p.ports[1:]
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func zone(i int) string { return fmt.Sprintf("z%d", i%zones+1) }

// nodeSettings is the settings file of a control plane or a data plane.
type nodeSettings struct {
	Name      string        `json:"name"`
	Zone      string        `json:"zone"`
	Region    string        `json:"region"`
	Addr      string        `json:"addr"`
	Seeds     []string      `json:"seeds,omitempty"`
	CoreAddrs []string      `json:"core,omitempty"`
	Data      string        `json:"data,omitempty"`
	Members   []memberJSON  `json:"members,omitempty"`
	Jobs      *jobsCoreJSON `json:"jobs,omitempty"`
	Grace     string        `json:"grace,omitempty"`
}

type memberJSON struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

type jobsCoreJSON struct {
	Control string `json:"control"`
}

// writeSettings writes a settings file and returns its path. It keeps the first error in p.err.
func (p *planner) writeSettings(settings nodeSettings) string {
	path := filepath.Join(p.plan.Dir, "settings", settings.Name+".json")
	data, err := json.MarshalIndent(settings, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), 0o644)
	}
	if p.err == nil {
		p.err = errs.Wrap(err, errs.Disk, "write settings of %s", settings.Name)
	}
	return path
}

func (p *planner) addProcess(name, program string, args ...string) {
	line := CommandLine{Name: name, Args: append([]string{filepath.Join(p.bin, program)}, args...)}
	p.plan.CommandLines = append(p.plan.CommandLines, line)
}

// maxSeeds limits the seeds of a control plane: the members that it contacts when it starts.
const maxSeeds = 3

func (p *planner) addControlPlanes(count int) {
	var members []memberJSON
	for i := range count {
		m := memberJSON{ID: fmt.Sprintf("c%d", i+1), Addr: p.nextAddr(), Zone: zone(i)}
		members = append(members, m)
		p.coreAddrs = append(p.coreAddrs, m.Addr)
		p.plan.NamesByAddr[m.Addr] = m.ID
	}
	for _, m := range members {
		control := p.nextAddr()
		p.plan.ControlAddrs = append(p.plan.ControlAddrs, control)
		path := p.writeSettings(nodeSettings{Name: m.ID, Zone: m.Zone, Region: "local", Addr: m.Addr,
			Seeds: p.coreAddrs[:min(len(p.coreAddrs), maxSeeds)], Data: filepath.Join(p.plan.Dir, "data", m.ID),
			Members: members, Jobs: &jobsCoreJSON{Control: control}})
		p.addProcess(m.ID, "crosstide-controlplane", "jobs", "run", "--settings", path)
	}
}

func (p *planner) addDataPlanes(count int) {
	for i := range count {
		set := nodeSettings{Name: fmt.Sprintf("d%d", i+1), Zone: zone(i), Region: "local", Addr: p.nextAddr(),
			CoreAddrs: p.coreAddrs, Grace: "1s"}
		p.plan.FrontAddrs = append(p.plan.FrontAddrs, set.Addr)
		p.addProcess(set.Name, "crosstide-dataplane", "jobs", "run", "--settings", p.writeSettings(set))
	}
}

func (p *planner) addWorkers() {
	for _, s := range p.plan.Shapes {
		args := []string{workerCommand, "--name", s.Name, "--addr", p.nextAddr(), "--service", Service,
			"--zone", s.Zone, "--rack", s.Rack, "--milli-cpu", strconv.Itoa(s.Capacity.MilliCPU),
			"--memory-mb", strconv.Itoa(s.Capacity.MemoryMB), "--gpus", strconv.Itoa(s.Capacity.GPUs), "--grace", "1s",
			"--core", strings.Join(p.plan.ControlAddrs, ","),
			"--journal", filepath.Join(p.plan.Dir, "journal", s.Name+".jsonl")}
		for _, label := range s.Labels {
			args = append(args, "--label", label)
		}
		p.addProcess(s.Name, "crosstide-testbed", args...)
	}
}
