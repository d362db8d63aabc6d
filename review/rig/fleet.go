package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// Settings of the deployment, as in the site file that claim.txt names.
const (
	serviceName         = "trackcore"
	maxHoldMs           = 10_000
	heartbeatIntervalMs = 1500
	workerCPU           = 16_000
	workerMemory        = 65_536
)

// zoneNames are the zones; machine i is in zone i modulo their number.
var zoneNames = []string{"dub-north", "dub-south", "kildare"}

const (
	clientPort, readyPort, controlPort = 0, 1, 2 // added to the first port of the case
	internalPort, internalPorts        = 3, 6
	workerPort                         = 10
)

// process is one process of the system.
type process struct {
	name, address string
	cmd           *exec.Cmd
	exited        chan struct{}
}

// fleet is the running deployment.
type fleet struct {
	log     *record
	group   *routine.Group // everything that runs in the background
	folder  string         // temporary
	root    string         // of the repository
	net     string         // first three numbers of all addresses
	port    int            // first port
	cores   []*process
	fronts  []*process
	minions []*minion
	client  *http.Client

	mu     sync.Mutex
	starts []taskStart
	needs  map[string]int // thousandths of a core by job
	inUse  map[string]int // thousandths of a core by minion
}

// taskStart is the start of a run at a minion.
type taskStart struct {
	at     time.Duration
	task   string
	zone   string
	number int
}

// startFleet starts the processes and the minions, takes a configuration into force and waits until all are ready.
func startFleet(ctx context.Context, log *record, root string, s scenario) (*fleet, error) {
	folder, err := os.MkdirTemp("", "crosstide-review-")
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "temporary folder")
	}
	f := &fleet{log: log, group: routine.New(context.Background()), folder: folder, root: root, needs: map[string]int{},
		inUse: map[string]int{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := f.startAll(ctx, s); err != nil {
		f.stop()
		return nil, errs.Pass(err, "fleet")
	}
	return f, nil
}

func (f *fleet) startAll(ctx context.Context, s scenario) error {
	f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	f.port = f.freePort()
	commands, err := deployedCommands(f.root)
	if err != nil {
		return errs.Pass(err, "deploy file")
	}
	for i := range s.cores {
		f.cores = append(f.cores, &process{name: fmt.Sprint("core-", i+1), address: f.address(10 + i)})
	}
	for i := range s.fronts {
		f.fronts = append(f.fronts, &process{name: fmt.Sprint("front-", i+1), address: f.address(30 + i)})
	}
	for i, p := range f.cores {
		if err := f.launch(p, commands["core"], f.coreSettings(p, i)); err != nil {
			return errs.Pass(err, "%s", p.name)
		}
	}
	for i, p := range f.fronts {
		if err := f.launch(p, commands["frontend"], f.frontSettings(p, i)); err != nil {
			return errs.Pass(err, "%s", p.name)
		}
	}
	for i := range s.minions {
		if err := f.startMinion(i); err != nil {
			return errs.Pass(err, "minion")
		}
	}
	return errs.Pass(f.waitReady(ctx), "wait")
}

func (f *fleet) address(host int) string { return fmt.Sprintf("%s.%d", f.net, host) }

// freePort returns a port from which on the case may use a few. It tries some that nothing listens at.
func (f *fleet) freePort() int {
	for {
		first := 21_000 + 20*rand.IntN(400)
		isFree := true
		for port := first; port <= first+workerPort; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.address(10), port))
			if err != nil {
				isFree = false
				break
			}
			_ = l.Close()
		}
		if isFree {
			return first
		}
	}
}

// runLine matches the lines of deploy/system.toml that say which program runs on which class of machines.
var runLine = regexp.MustCompile(`(?m)^(run|on) = "(.*)"$`)

// deployedCommands returns the commands of deploy/system.toml by class of machine.
func deployedCommands(root string) (map[string][]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "read")
	}
	commands, command := map[string][]string{}, []string(nil)
	for _, match := range runLine.FindAllStringSubmatch(string(text), -1) {
		if match[1] == "run" {
			command = strings.Fields(match[2])
		} else {
			commands[match[2]] = command
		}
	}
	if len(commands["core"]) == 0 || len(commands["frontend"]) == 0 {
		return nil, errs.New(errs.Settings, "no role on core or frontend")
	}
	return commands, nil
}

// settings returns the fields that the settings of all processes share.
func (f *fleet) settings(p *process, i int) map[string]any {
	zones := map[string]string{}
	for _, zone := range zoneNames {
		zones[zone] = "ie-east"
	}
	var seeds []string
	for _, core := range f.cores[:3] {
		seeds = append(seeds, f.at(core.address, controlPort))
	}
	return map[string]any{
		"nodeName": p.name, "ipAddress": p.address, "zone": zoneNames[i%len(zoneNames)], "region": "ie-east",
		"zones": zones, "seedNodes": seeds, "bootstrap": true, "discovery": "registry", "entryPoint": "virtual_ip",
		"internalPortRange":   [2]int{f.port + internalPort, f.port + internalPorts},
		"heartbeatIntervalMs": heartbeatIntervalMs, "orders": "call",
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "places"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]float64{"seedLagS": 3, "reuseAfterS": 2, "contactTimeoutMs": 3000,
			"ackTimeoutMs": 4000, "catchUpS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 6,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
			"coldOverage": 1.5, "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 12, "maxHoldMs": maxHoldMs,
			"stopMs": 400, "gangTimeoutMs": 3000, "cancelMs": 3000, "visibleMs": 3000, "earlyMs": 250,
			"finishS": 14, "statusS": 120, "spreadFactor": 1.5, "checkpointIntervalS": 2, "restoreMs": 100},
	}
}

func (f *fleet) coreSettings(p *process, i int) map[string]any {
	settings := f.settings(p, i)
	settings["role"], settings["machineClass"], settings["serves"] = "core", "core", []string{words["control"]}
	settings["countTowardTolerance"] = true
	settings["dataDirectory"] = filepath.Join(f.folder, p.name)
	settings["listenAddresses"] = map[string]string{words["control"]: f.at(p.address, controlPort)}
	settings["limits"] = map[string]any{"cpuShare": 0.8, "cpuCores": 1, "memoryMb": 280, "fileDescriptors": 4096,
		"linkMbps": 1000.0, "diskMb": 128}
	return settings
}

func (f *fleet) frontSettings(p *process, i int) map[string]any {
	settings := f.settings(p, i)
	settings["role"], settings["machineClass"], settings["serves"] = "front", "frontend", []string{"frontend"}
	settings["countTowardTolerance"], settings["dataDirectory"] = false, nil
	settings["listenAddresses"] = map[string]string{"frontend": f.at(p.address, clientPort),
		"ready": f.at(p.address, readyPort)}
	settings["limits"] = map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "fileDescriptors": 4100,
		"linkMbps": 1000.0, "diskMb": 0}
	return settings
}

// at returns an address with a port of the case.
func (f *fleet) at(address string, port int) string {
	return fmt.Sprintf("%s:%d", address, f.port+port)
}

// launch writes the settings of a process and starts it at the root of the repository. It dies with the rig.
func (f *fleet) launch(p *process, command []string, settings map[string]any) error {
	body, err := encode(settings)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the settings")
	}
	path := filepath.Join(f.folder, p.name+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return errs.Wrap(err, errs.Disk, "write the settings")
	}
	if folder, isText := settings["dataDirectory"].(string); isText {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return errs.Wrap(err, errs.Disk, "data folder")
		}
	}
	output, err := os.Create(filepath.Join(f.folder, p.name+".log"))
	if err != nil {
		return errs.Wrap(err, errs.Disk, "create the log")
	}
	p.cmd = exec.Command(filepath.Join(f.root, command[0]), command[1:]...)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = f.root, output, output
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C", words["settings"] + "=" + path}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errs.Wrap(err, errs.Settings, "start")
	}
	p.exited = make(chan struct{})
	f.group.Go(func(context.Context) {
		_ = p.cmd.Wait()
		_ = output.Close()
		f.log.add("%s has exited: %v", p.name, p.cmd.ProcessState)
		close(p.exited)
	})
	f.log.add("%s started at %s", p.name, p.address)
	return nil
}

// signal sends a signal to a process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.log.add("%s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (f *fleet) startMinion(i int) error {
	m := &minion{id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zoneNames[i%len(zoneNames)],
		address: f.at(f.address(60+i), workerPort), log: f.log, group: f.group, cpu: workerCPU, memory: workerMemory,
		onStart: f.taskStarted, onEnd: f.taskEnded}
	if err := m.start(); err != nil {
		return errs.Pass(err, "start")
	}
	f.minions = append(f.minions, m)
	var control []string
	for _, core := range f.cores {
		control = append(control, f.at(core.address, controlPort))
	}
	f.group.Go(func(ctx context.Context) { m.live(ctx, control, i) })
	return nil
}

// jobOf returns the ID of the job of a task.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func (f *fleet) taskStarted(m *minion, task string, number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, taskStart{at: f.log.now(), task: task, zone: m.zone, number: number})
	f.inUse[m.id] += f.needs[jobOf(task)]
}

func (f *fleet) taskEnded(m *minion, task string, _ int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inUse[m.id] -= f.needs[jobOf(task)]
}

// startsOf returns the starts of a job's tasks, of all jobs if job is empty, that came after a time.
func (f *fleet) startsOf(job string, after time.Duration) []taskStart {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []taskStart
	for _, s := range f.starts {
		if s.at > after && (job == "" || jobOf(s.task) == job) {
			found = append(found, s)
		}
	}
	return found
}

// usage returns the part of the service's processors that running tasks use, and how many tasks of a size, in
// thousandths of a core, would find room beside them.
func (f *fleet) usage(size int) (share float64, room int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	used := 0
	for _, m := range f.minions {
		used += f.inUse[m.id]
		room += (m.cpu - f.inUse[m.id]) / size
	}
	return float64(used) / float64(workerCPU*len(f.minions)), room
}

// stop ends all processes that the rig has started, by their IDs, and removes the temporary folder.
func (f *fleet) stop() {
	for _, p := range append(append([]*process(nil), f.cores...), f.fronts...) {
		if p.exited != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	for _, m := range f.minions {
		_ = m.server.Stop(0)
	}
	f.group.Stop()
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}
