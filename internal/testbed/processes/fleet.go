package processes

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// Numbers of the hosts in the fleet's network, by class.
const (
	firstCoreHost, firstFrontHost, firstWorkerHost = 10, 30, 170
)

// Ports of the fleet, counted from its first one.
const (
	ClientPort       = 0
	ReadyPort        = 1
	ControlPort      = 2
	InternalPort     = 3
	lastInternalPort = 9
	WorkerPort       = 10
)

// Options describe a fleet.
type Options struct {
	Folder string // of settings, data and logs
	Bin    string // folder of the programs
	// EarlierBin is the folder of the programs of an earlier release, which the control planes run until they are
	// restarted; empty: none.
	EarlierBin string
	Template   string // path of the template of the settings files; see the type settings for its values
	Variable   string // environment variable that holds the path of the settings file
	// Network chooses the addresses; fleets that run side by side differ in it.
	Network       uint64
	Zones         []string // machine i is in zone i modulo their number
	Cores, Fronts int
	CoreLimits    Limits
	FrontLimits   Limits
	Grace         time.Duration // from SIGTERM to SIGKILL
	// Log receives a line for each event.
	Log func(format string, args ...any)
	// BeginDisruption is called when a node's process is disturbed, and the function that it returns when that ends.
	BeginDisruption func(n *Node, what string) (end func())
}

// Fleet is a set of running processes of the system.
type Fleet struct {
	Cores  []*Node // control planes
	Fronts []*Node // data planes

	opt     Options
	group   *routine.Group
	network string // first three numbers of the addresses
	port    int    // first port
}

// BuildPrograms builds the programs from the module's root, given relative to the test's folder, and returns a folder
// of the test that holds them.
func BuildPrograms(t *testing.T, root string) string {
	t.Helper()
	bin := t.TempDir()
	Build(t, root, bin)
	return bin
}

// Build is BuildPrograms for a folder of the caller.
func Build(t *testing.T, root, bin string) {
	t.Helper()
	build := exec.Command("go", "build", "-o", bin, "./cmd/crosstide-controlplane", "./cmd/crosstide-dataplane")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
}

// Start starts control planes and data planes with new data.
func Start(opt Options) (*Fleet, error) {
	f := &Fleet{opt: opt, group: routine.New(context.Background())}
	f.network = fmt.Sprintf("127.%d.%d", 20+opt.Network%200, 1+os.Getpid()%250)
	if err := f.findPorts(); err != nil {
		return nil, errs.Pass(err, "ports")
	}
	for i := range opt.Cores {
		f.Cores = append(f.Cores, &Node{Name: fmt.Sprint("core-", i+1), Host: f.host(firstCoreHost + i), IsCore: true,
			Zone: opt.Zones[i%len(opt.Zones)], program: "crosstide-controlplane", limits: opt.CoreLimits})
	}
	for i := range opt.Fronts {
		f.Fronts = append(f.Fronts, &Node{Name: fmt.Sprint("front-", i+1), Host: f.host(firstFrontHost + i),
			Zone: opt.Zones[i%len(opt.Zones)], program: "crosstide-dataplane", limits: opt.FrontLimits})
	}
	for _, n := range f.nodes() {
		if err := f.launch(n); err != nil {
			f.Stop()
			return nil, errs.Pass(err, "%s", n.Name)
		}
	}
	return f, nil
}

func (f *Fleet) nodes() []*Node { return append(append([]*Node(nil), f.Cores...), f.Fronts...) }

func (f *Fleet) host(number int) string { return fmt.Sprintf("%s.%d", f.network, number) }

// WorkerAddress returns the address of the worker with a number.
func (f *Fleet) WorkerAddress(number int) string {
	return f.Address(f.host(firstWorkerHost+number), WorkerPort)
}

// LogFile returns the path of a node's log.
func (f *Fleet) LogFile(n *Node) string { return filepath.Join(f.opt.Folder, n.Name+".log") }

// findPorts chooses ports at which nothing listens.
func (f *Fleet) findPorts() error {
	const lowest, step, attempts = 21_000, 20, 400
	for i := range attempts {
		f.port = lowest + step*i
		if f.arePortsFree() {
			return nil
		}
	}
	return errs.New(errs.Settings, "no free ports")
}

func (f *Fleet) arePortsFree() bool {
	for port := range WorkerPort + 1 {
		listener, err := net.Listen("tcp", f.Address(f.host(firstCoreHost), port))
		if err != nil {
			return false
		}
		_ = listener.Close() // it was only opened to see whether the port is free
	}
	return true
}

// Stop kills all processes and waits for them.
func (f *Fleet) Stop() {
	for _, n := range f.nodes() {
		n.kill()
	}
	f.group.Stop()
}
