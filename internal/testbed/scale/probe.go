// Package scale measures the resources that a running fleet uses: for each role, processor time, memory, and messages,
// bytes and syncs per second, from /proc and /metrics of the fleet's processes. It does not start fleets and sets no
// limits.
//
// A Probe takes a Snapshot of all processes (probe.go, process.go). Rows computes the cost of each role from two
// snapshots (rows.go), AppendRows stores it as CSV (csv.go), Plot plots it (plot.go) and IdleSlopes fits its growth
// with the number of workers (slopes.go). Run applies a series of loads to a fleet and measures each (run.go).
package scale

import (
	"context"
	"time"

	"github.com/prometheus/procfs"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/fleet"
)

const (
	connsPerNode       = 2
	concurrentReadings = 8 // processes read at the same time
)

// Snapshot holds the readings of all processes of a fleet, and counters of the machine since its start.
type Snapshot struct {
	At      time.Duration
	Procs   map[string]Reading // by name in DIR/pids
	Busy    float64            // processor seconds used by all processes of the machine
	Loop    float64            // bytes received over the loopback by all processes of the machine
	Packets float64            // packets received over the loopback
}

// Probe takes snapshots of a fleet.
type Probe struct {
	dir    string
	nodes  fleet.Nodes
	caller *fleet.Caller
	clock  clock.Clock
}

// Open returns a probe of the fleet in dir. Errors are of kind Disk or Malformed. Example:
//
//	probe, err := scale.Open(dir, clock.Real{})
//	snapshot, err := probe.Read(ctx)
func Open(dir string, clock clock.Clock) (*Probe, error) {
	nodes, err := fleet.Read(dir)
	return &Probe{dir: dir, nodes: nodes, caller: fleet.NewCaller(connsPerNode), clock: clock}, errs.Pass(err, "probe")
}

// Workers returns the number of workers of the fleet.
func (p *Probe) Workers() int { return len(p.nodes.Workers) }

// Read takes a snapshot of the processes in DIR/pids. Errors are of kind Disk, Malformed, Timeout, or Unknown if a
// process no longer exists.
func (p *Probe) Read(ctx context.Context) (Snapshot, error) {
	pids, err := fleet.PIDs(p.dir)
	if err != nil {
		return Snapshot{}, errs.Pass(err, "probe")
	}
	processes := map[string]process{}
	for _, n := range p.nodes.All() {
		shared := processes[n.Process()]
		shared.addr = n.Addr
		shared.nodes++
		processes[n.Process()] = shared
	}
	var running []process
	for name, pid := range pids {
		proc := processes[name]
		proc.name, proc.pid = name, pid
		running = append(running, proc)
	}
	readings, failures := make([]Reading, len(running)), make([]error, len(running))
	routine.Each(len(running), concurrentReadings, func(i int) {
		readings[i], failures[i] = p.readProcess(ctx, running[i])
	})
	snapshot := Snapshot{Procs: map[string]Reading{}}
	for i, proc := range running {
		if failures[i] != nil {
			return snapshot, errs.Pass(failures[i], "%s", proc.name)
		}
		snapshot.Procs[proc.name] = readings[i]
	}
	snapshot.At = p.clock.Now()
	return snapshot, errs.Pass(snapshot.readMachine(), "probe")
}

// readMachine sets the counters of the machine.
func (s *Snapshot) readMachine() error {
	proc, err := procfs.NewDefaultFS()
	if err != nil {
		return errs.Wrap(err, errs.Disk, "proc")
	}
	stat, err := proc.Stat()
	if err != nil {
		return errs.Wrap(err, errs.Disk, "read processor time")
	}
	cpu := stat.CPUTotal
	s.Busy = cpu.User + cpu.Nice + cpu.System + cpu.IRQ + cpu.SoftIRQ + cpu.Steal
	net, err := proc.NetDev()
	if err != nil {
		return errs.Wrap(err, errs.Disk, "loopback")
	}
	s.Loop, s.Packets = float64(net["lo"].RxBytes), float64(net["lo"].RxPackets)
	return nil
}
