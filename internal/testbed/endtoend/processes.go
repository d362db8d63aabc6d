package endtoend

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/fleet"
)

// Size is how many processes a drill has.
type Size struct{ ControlPlanes, DataPlanes, Workers int }

// Plan is the processes of a drill and their addresses.
type Plan struct {
	Dir          string
	FrontAddrs   []string          // addresses of the front nodes
	ControlAddrs []string          // control addresses of the core nodes
	NamesByAddr  map[string]string // internal address of a core node to its name
	CommandLines []CommandLine
	Shapes       []Shape
}

// CommandLine is the command line of one process.
type CommandLine struct {
	Name string
	Args []string // with the program first
}

// zones is how many zones the processes are spread over.
const zones = 2

// NewPlan writes the settings of a drill's processes into dir, which must have none; bin is the folder of the programs.
// Failures: Invalid, Conflict, Disk, Unavailable.
func NewPlan(dir, bin string, size Size) (Plan, error) {
	if size.ControlPlanes < 1 || size.DataPlanes < 1 || size.Workers < 4 {
		return Plan{}, errs.Field(errs.Invalid, "size", "one cplane, one dplane and four workers are needed at least")
	}
	if _, err := os.Stat(filepath.Join(dir, "settings")); err == nil {
		return Plan{}, errs.New(errs.Conflict, "%s holds a drill already", dir)
	}
	ports, err := fleet.FreePorts(2*size.ControlPlanes + size.DataPlanes + size.Workers)
	if err != nil {
		return Plan{}, errs.Pass(err, "plan")
	}
	for _, folder := range []string{"settings", "log", "journal", "data"} {
		if err := os.MkdirAll(filepath.Join(dir, folder), 0o755); err != nil {
			return Plan{}, errs.Wrap(err, errs.Disk, "folder %s", folder)
		}
	}
	p := &planner{plan: Plan{Dir: dir, NamesByAddr: map[string]string{}, Shapes: Shapes(size.Workers)}, bin: bin, ports: ports}
	p.addControlPlanes(size.ControlPlanes)
	p.addDataPlanes(size.DataPlanes)
	p.addWorkers()
	return p.plan, errs.Pass(p.err, "plan")
}

// planner makes a plan; err is the first failure.
type planner struct {
	plan      Plan
	bin       string
	ports     []int
	coreAddrs []string // internal addresses of the core nodes
	err       error
}

// nextAddr takes the next free port.
func (p *planner) nextAddr() string {
	port := p.ports[0]
	p.ports = p.ports[1:]
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func zone(i int) string { return fmt.Sprintf("z%d", i%zones+1) }

// nodeSettings is a settings file as JSON.
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

// writeSettings writes a settings file and gives its path.
func (p *planner) writeSettings(set nodeSettings) string {
	path := filepath.Join(p.plan.Dir, "settings", set.Name+".json")
	data, err := json.MarshalIndent(set, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), 0o644)
	}
	if p.err == nil {
		p.err = errs.Wrap(err, errs.Disk, "settings of %s", set.Name)
	}
	return path
}

func (p *planner) addProcess(name, program string, args ...string) {
	p.plan.CommandLines = append(p.plan.CommandLines, CommandLine{Name: name, Args: append([]string{filepath.Join(p.bin, program)}, args...)})
}

func (p *planner) addControlPlanes(count int) {
	var members []config.Member
	for i := range count {
		m := config.Member{ID: fmt.Sprintf("c%d", i+1), Addr: p.nextAddr(), Zone: zone(i)}
		members = append(members, m)
		p.coreAddrs = append(p.coreAddrs, m.Addr)
		p.plan.NamesByAddr[m.Addr] = m.ID
	}
	for _, m := range members {
		control := p.nextAddr()
		p.plan.ControlAddrs = append(p.plan.ControlAddrs, control)
		set := nodeSettings{Name: m.ID, Zone: m.Zone, Region: "local", Addr: m.Addr, Seeds: p.coreAddrs[:min(len(p.coreAddrs), 3)],
			Data: filepath.Join(p.plan.Dir, "data", m.ID), Jobs: &jobsCoreJSON{Control: control}}
		for _, other := range members {
			set.Members = append(set.Members, memberJSON(other))
		}
		p.addProcess(m.ID, "crosstide-controlplane", "jobs", "run", "--settings", p.writeSettings(set))
	}
}

func (p *planner) addDataPlanes(count int) {
	for i := range count {
		set := nodeSettings{Name: fmt.Sprintf("d%d", i+1), Zone: zone(i), Region: "local", Addr: p.nextAddr(), CoreAddrs: p.coreAddrs, Grace: "1s"}
		p.plan.FrontAddrs = append(p.plan.FrontAddrs, set.Addr)
		p.addProcess(set.Name, "crosstide-dataplane", "jobs", "run", "--settings", p.writeSettings(set))
	}
}

func (p *planner) addWorkers() {
	for _, s := range p.plan.Shapes {
		args := []string{"worker", "--name", s.Name, "--addr", p.nextAddr(), "--service", Service, "--zone", s.Zone, "--rack", s.Rack,
			"--milli-cpu", fmt.Sprint(s.Capacity.MilliCPU), "--memory-mb", fmt.Sprint(s.Capacity.MemoryMB), "--gpus", fmt.Sprint(s.Capacity.GPUs),
			"--grace", "1s", "--core", strings.Join(p.plan.ControlAddrs, ","), "--journal", filepath.Join(p.plan.Dir, "journal", s.Name+".jsonl")}
		for _, label := range s.Labels {
			args = append(args, "--label", label)
		}
		p.addProcess(s.Name, "crosstide-testbed", args...)
	}
}

// Processes are the processes of a plan that run.
type Processes struct {
	plan  Plan
	group *routine.Group

	mu      sync.Mutex
	running map[string]*process
}

type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts all processes of a plan. Stop them in the end.
func Start(plan Plan) (*Processes, error) {
	p := &Processes{plan: plan, group: routine.New(context.Background()), running: map[string]*process{}}
	for _, line := range plan.CommandLines {
		if err := p.Launch(line.Name); err != nil {
			p.Stop()
			return nil, errs.Pass(err, "start")
		}
	}
	return p, nil
}

// Launch starts the process of a name, which must not run. Failures: Unknown, Disk, Settings.
func (p *Processes) Launch(name string) error {
	for _, line := range p.plan.CommandLines {
		if line.Name == name {
			return errs.Pass(p.launch(line), "launch %s", name)
		}
	}
	return errs.New(errs.Unknown, "no process %s", name)
}

func (p *Processes) launch(line CommandLine) error {
	out, err := os.OpenFile(filepath.Join(p.plan.Dir, "log", line.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "log of %s", line.Name)
	}
	defer out.Close() // the process has its own descriptor
	proc := &process{cmd: exec.Command(line.Args[0], line.Args[1:]...), exited: make(chan struct{})}
	proc.cmd.Stdout, proc.cmd.Stderr = out, out
	if err := proc.cmd.Start(); err != nil {
		return errs.Wrap(err, errs.Settings, "start %s", line.Args[0])
	}
	p.mu.Lock()
	p.running[line.Name] = proc
	p.mu.Unlock()
	p.group.Go(func(context.Context) {
		_ = proc.cmd.Wait() // how it ended stands in its log
		close(proc.exited)
	})
	return nil
}

// Signal sends a signal to a process. Failure: Unknown: it does not run.
func (p *Processes) Signal(name string, signal syscall.Signal) error {
	p.mu.Lock()
	proc := p.running[name]
	p.mu.Unlock()
	if proc == nil {
		return errs.New(errs.Unknown, "%s does not run", name)
	}
	return errs.Wrap(proc.cmd.Process.Signal(signal), errs.Unknown, "signal %s", name)
}

// Wait waits until a process has ended; false when ctx ended first.
func (p *Processes) Wait(ctx context.Context, name string) bool {
	p.mu.Lock()
	proc := p.running[name]
	p.mu.Unlock()
	if proc == nil {
		return true
	}
	select {
	case <-proc.exited:
		return true
	case <-ctx.Done():
		return false
	}
}

// stopGrace is how long processes have to end in order.
const stopGrace = 15 * time.Second

// Stop ends the workers, then all others, in order where they do, by force else.
func (p *Processes) Stop() {
	p.mu.Lock()
	running := p.running
	p.running = map[string]*process{}
	p.mu.Unlock()
	for _, workers := range []bool{true, false} {
		for _, line := range p.plan.CommandLines {
			if proc := running[line.Name]; proc != nil && (line.Args[1] == "worker") == workers {
				_ = proc.cmd.Process.Signal(syscall.SIGTERM) // one that has ended already is well
			}
		}
		for _, line := range p.plan.CommandLines {
			if proc := running[line.Name]; proc != nil && (line.Args[1] == "worker") == workers {
				proc.waitOrKill()
			}
		}
	}
	p.group.Stop()
}

// waitOrKill waits for a process that was told to end, and kills it after the grace.
func (o *process) waitOrKill() {
	timer := clock.Real{}.Set(stopGrace, func() { _ = o.cmd.Process.Kill() }) // one that has ended already is well
	<-o.exited
	timer.Stop()
}
