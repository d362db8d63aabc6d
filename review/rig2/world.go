package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/routine"
)

// Sizes of the fleet.
const (
	coreCount  = 3
	frontCount = 2
)

// world is the machines, the processes and the stand-ins of one scenario.
type world struct {
	folder  string // of the case
	trouble bool   // whether the disruption takes place
	scratch string // temporary folder
	clock   clock.Clock
	begin   time.Duration
	group   *routine.Group
	subnet  string // the first three bytes of all addresses
	base    int    // the first port
	orders  string // the settings' value of orders

	beats atomic.Int64 // heartbeats of hollow minions that were answered

	mu        sync.Mutex // guards the fields below
	record    *os.File
	processes []*exec.Cmd
	minions   []*minion
	accepted  []string // paths of jobs
}

// newWorld chooses free addresses and opens the record.
func newWorld(folder string, trouble bool) *world {
	w := &world{folder: folder, trouble: trouble, clock: clock.Real{}, orders: "call",
		group: routine.New(context.Background())}
	w.begin = w.clock.Now()
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err, "record")
	w.record = record
	w.scratch, err = os.MkdirTemp("", "review-rig2-")
	check(err, "temporary folder")
	for range 50 {
		w.subnet = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		w.base = 20000 + 50*rand.IntN(200)
		if w.isFree() {
			return w
		}
	}
	fail("no free ports")
	return nil
}

// isFree reports whether the ports are free on all addresses of the fleet.
func (w *world) isFree() bool {
	for host := 1; host <= 40; host++ {
		for _, port := range []int{portControl, portInternal, portClients, portReady, portMinion} {
			listener, err := net.Listen("tcp", w.addr(host, port))
			if err != nil {
				return false
			}
			if listener.Close() != nil {
				return false
			}
		}
	}
	return true
}

// check ends the scenario if err is not nil.
func check(err error, what string) {
	if err != nil {
		fail("%s: %s", what, err)
	}
}

// Offsets of the ports from world.base; each machine has an address of its own.
const (
	portControl = iota
	portClients
	portReady
	portMinion
	portInternal
	portLast = portInternal + 15
)

// Hosts: the last byte of each machine's address.
const (
	hostCore   = 1
	hostFront  = 11
	hostMinion = 21
)

func (w *world) ip(host int) string { return w.subnet + "." + strconv.Itoa(host) }

func (w *world) addr(host, port int) string {
	return net.JoinHostPort(w.ip(host), strconv.Itoa(w.base+port))
}

// now returns the time since the scenario began.
func (w *world) now() time.Duration { return w.clock.Now() - w.begin }

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%9.3f s  %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// startFleet starts the processes and waits until the core takes the operator's calls.
func (w *world) startFleet() {
	for i := range coreCount {
		w.startProcess(hostCore+i, "core")
	}
	for i := range frontCount {
		w.startProcess(hostFront+i, "front")
	}
}

// settings returns the settings file of a process, with the figures of usajili-crosstide.
func (w *world) settings(host int, role string) map[string]any {
	s := map[string]any{
		"nodeName": role + "-" + strconv.Itoa(host), "role": role, "ipAddress": w.ip(host),
		"zone": "zone-a", "region": "region-a", "zones": map[string]string{"zone-a": "region-a"},
		"internalPortRange": []int{w.base + portInternal, w.base + portLast},
		"bootstrap":         true, "discovery": "registry", "entryPoint": "virtual_ip",
		"heartbeatIntervalMs": 1500,
		"contracts":           []string{"base", "drain", "config", "cost", "recover", "sched", "places"},
		"faultTolerance":      map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactTimeoutMs": 3000,
			"ackTimeoutMs": 4000, "catchUpS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 6,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
			"coldOverage": 1.5, "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 12, "maxHoldMs": 10000,
			"stopMs": 900, "gangTimeoutMs": 3000, "cancelMs": 3000, "visibleMs": 3000, "earlyMs": 250,
			"finishS": 14, "statusS": 120, "spreadFactor": 2, "checkpointIntervalS": 1, "restoreMs": 250},
		"orders": w.orders,
	}
	var seeds []string
	for i := range coreCount {
		seeds = append(seeds, w.addr(hostCore+i, portControl))
	}
	s["seedNodes"] = seeds
	limits := map[string]any{"cpuShare": 0.8, "cpuCores": 1, "memoryMb": 280, "fileDescriptors": 4096,
		"linkMbps": 1000.0, "diskMb": 128}
	if role == "core" {
		s["machineClass"], s["serves"], s["countTowardTolerance"] = "core", []string{toWire("controlPlane")}, true
		s["listenAddresses"] = map[string]string{"controlPlane": w.addr(host, portControl)}
		s["dataDirectory"] = filepath.Join(w.scratch, "data-"+strconv.Itoa(host))
	} else {
		s["machineClass"], s["serves"], s["countTowardTolerance"] = "frontend", []string{"frontend"}, false
		s["listenAddresses"] = map[string]string{"frontend": w.addr(host, portClients),
			"ready": w.addr(host, portReady)}
		s["dataDirectory"] = nil
		limits["diskMb"] = 0
	}
	s["limits"] = limits
	return s
}

// deployedCommand returns the words of a role's run line in deploy/system.toml.
func deployedCommand(role string) []string {
	text, err := os.ReadFile("deploy/system.toml")
	check(err, "deploy file")
	_, section, found := strings.Cut(string(text), "[roles."+role+"]")
	_, line, hasRun := strings.Cut(section, "run = \"")
	command, _, isClosed := strings.Cut(line, "\"")
	if !found || !hasRun || !isClosed {
		fail("deploy/system.toml has no run line for %s", role)
	}
	return strings.Fields(command)
}

// startProcess starts the program of a role, as the deploy file says.
func (w *world) startProcess(host int, role string) {
	name := filepath.Join(w.scratch, role+"-"+strconv.Itoa(host))
	settings := w.settings(host, role)
	if folder, isText := settings["dataDirectory"].(string); isText {
		check(os.MkdirAll(folder, 0o755), "data folder")
	}
	check(os.WriteFile(name+".json", encode(settings), 0o600), "settings")
	output, err := os.Create(name + ".log")
	check(err, "log")
	program := deployedCommand(role)
	command := exec.Command(program[0], program[1:]...)
	command.Env = []string{words["settings"] + "=" + name + ".json", "PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	check(command.Start(), program[0])
	w.mu.Lock()
	w.processes = append(w.processes, command)
	w.mu.Unlock()
	w.note("started %s at %s: %s", role, w.ip(host), strings.Join(program, " "))
}

// keepStacks adds to the record the functions of ended core processes that wait for a lock and hold another.
func (w *world) keepStacks() {
	for i := range coreCount {
		text, err := os.ReadFile(filepath.Join(w.scratch, "core-"+strconv.Itoa(hostCore+i)+".log"))
		check(err, "log")
		kept := map[string]bool{}
		for _, stack := range strings.Split(string(text), "\n\n") {
			names := lockStack(stack)
			if names != "" && !kept[names] {
				kept[names] = true
				w.note("%s waits for a lock in\n%s", w.ip(hostCore+i), indent(names))
			}
		}
	}
}

// lockStack returns the project's functions of a goroutine that waits for a lock in the mailboxes, innermost first, or
// nothing for any other goroutine.
func lockStack(stack string) string {
	isPair := strings.Contains(stack, "Mailboxes).ForgetWorker") || strings.Contains(stack, "Mailboxes).Exchange")
	if !isPair || !strings.Contains(stack, "sync.Mutex.Lock") {
		return ""
	}
	var names []string
	for _, line := range strings.Split(stack, "\n") {
		if name, isOurs := strings.CutPrefix(line, "crosstide/internal/"); isOurs && len(names) < 6 {
			name, _, _ = strings.Cut(name, "(0x")
			names = append(names, name)
		}
	}
	return strings.Join(names, "\n")
}

// close ends all processes that this rig started, and the stand-ins.
func (w *world) close() {
	w.group.Cancel()
	w.mu.Lock()
	processes, minions := w.processes, w.minions
	w.processes, w.minions = nil, nil
	w.mu.Unlock()
	for _, command := range processes {
		_ = command.Process.Kill()
		_ = command.Wait() // it was killed
	}
	for _, m := range minions {
		m.stop()
	}
	w.group.Wait()
	if w.scratch != "" {
		_ = os.RemoveAll(w.scratch)
	}
}
