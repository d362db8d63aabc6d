// Package scale measures what a fleet costs at a size: for each role, processor time, memory, messages, bytes and
// syncs a second, from /proc of the fleet's own processes and from their /metrics.
//
// A Probe takes a Snapshot of all processes (probe.go, process.go); Rows is the cost of each role between two of them
// (rows.go), which AppendRows keeps as CSV (csv.go) and Plot draws (plot.go). Run puts a fleet under load step by step
// and measures each (run.go).
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
	connsPerNode  = 2
	readingsAtOne = 8 // processes that are read at once
)

// Snapshot is a reading of the whole fleet.
type Snapshot struct {
	At      time.Duration
	Procs   map[string]Reading // by name in DIR/pids
	Busy    float64            // processor seconds of the whole machine, all that run on it
	Loop    float64            // bytes over the loopback, all that run on the machine
	Packets float64            // over the loopback
}

// Probe reads a fleet.
type Probe struct {
	dir    string
	nodes  fleet.Nodes
	caller *fleet.Caller
	clock  clock.Clock
}

// Open makes a probe of the fleet in dir. Failures: Disk, Malformed. Example:
//
//	probe, err := scale.Open(dir, clock.Real{})
//	snapshot, err := probe.Read(ctx)
func Open(dir string, clock clock.Clock) (*Probe, error) {
	nodes, err := fleet.Read(dir)
	return &Probe{dir: dir, nodes: nodes, caller: fleet.NewCaller(connsPerNode), clock: clock}, errs.Pass(err, "probe")
}

// Workers is how many workers the fleet has.
func (p *Probe) Workers() int { return len(p.nodes.Workers) }

// Read reads every process of DIR/pids once. Failures: Disk, Malformed, Unknown (a process is gone), Timeout.
func (p *Probe) Read(ctx context.Context) (Snapshot, error) {
	pids, err := fleet.PIDs(p.dir)
	if err != nil {
		return Snapshot{}, errs.Pass(err, "probe")
	}
	processes := map[string]process{}
	for _, n := range p.nodes.All() {
		one := processes[n.Process()]
		one.addr = n.Addr
		one.nodes++
		processes[n.Process()] = one
	}
	var all []process
	for name, pid := range pids {
		one := processes[name]
		one.name, one.pid = name, pid
		all = append(all, one)
	}
	readings, failures := make([]Reading, len(all)), make([]error, len(all))
	routine.Each(len(all), readingsAtOne, func(i int) {
		readings[i], failures[i] = p.readProcess(ctx, all[i])
	})
	out := Snapshot{Procs: map[string]Reading{}}
	for i, one := range all {
		if failures[i] != nil {
			return out, errs.Pass(failures[i], "%s", one.name)
		}
		out.Procs[one.name] = readings[i]
	}
	out.At = p.clock.Now()
	return out, errs.Pass(out.readMachine(), "probe")
}

func (s *Snapshot) readMachine() error {
	proc, err := procfs.NewDefaultFS()
	if err != nil {
		return errs.Wrap(err, errs.Disk, "proc")
	}
	stat, err := proc.Stat()
	if err != nil {
		return errs.Wrap(err, errs.Disk, "processor time")
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
