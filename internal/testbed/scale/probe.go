// Package scale measures what a fleet costs at a size: for each role, processor time, memory, messages, bytes and
// syncs a second, from /proc of the fleet's own processes and from their /metrics.
package scale

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/fleet"
)

// Roles of a process.
const (
	Leader          = "cplane leader"
	Follower        = "cplane follower"
	SchedulerLeader = "sched holder"
	DataPlane       = "dplane"
	SharedWorker    = "minion" // hollow ones: figures are per minion, the process's divided by how many share it
	DedicatedWorker = "agent"  // a minion with a process of its own
)

// Reading is what one process has used since its start, and what it holds now.
type Reading struct {
	Name        string
	Role        string
	Count       float64       // minions that share the process; 1 for a daemon
	CPU         time.Duration // user and system
	RSS         float64       // bytes resident
	Bytes       float64       // bodies in and out, by its wire counters
	Msgs        float64       // calls asked and answered
	Stream      float64       // bytes through read(2) and write(2) but for those of its log or journal: sockets, heads and all
	AnswerBytes float64       // bytes of the reading's own answer, counted by the wire counters of the next one
	StreamAfter float64       // Stream after the reading itself, whose answer is large
	Syncs       float64       // of the log
	Log         float64       // bytes to the log and slots
	RunIDs      float64       // given by this holder of sched
	Handles     float64       // run IDs out, as this dplane's replica has them
	State       float64       // bytes of the newest slot's body; 0 before the first
}

// Snapshot is a reading of the whole fleet.
type Snapshot struct {
	At      time.Duration
	Procs   map[string]Reading
	Busy    float64 // processor seconds of the whole machine, all that run on it
	Loop    float64 // bytes over the loopback, all that run on the machine
	Packets float64
}

// Probe reads a fleet.
type Probe struct {
	dir    string
	nodes  fleet.Nodes
	caller *fleet.Caller
	clock  clock.Clock
}

// Open makes a probe of the fleet in dir. Faults: Disk, Malformed. Example:
//
//	probe, err := scale.Open(dir, clock.Real{})
//	snap, err := probe.Read(ctx)
func Open(dir string, clock clock.Clock) (*Probe, error) {
	nodes, err := fleet.Read(dir)
	return &Probe{dir: dir, nodes: nodes, caller: fleet.NewCaller(2), clock: clock}, errs.Pass(err, "probe")
}

// Workers is how many minions the fleet has.
func (p *Probe) Workers() int { return len(p.nodes.Workers) }

// Read reads every process of DIR/pids once. Faults: Disk, Malformed, Unknown (a process is gone), Unavailable.
func (p *Probe) Read(ctx context.Context) (Snapshot, error) {
	pids, err := fleet.PIDs(p.dir)
	if err != nil {
		return Snapshot{}, errs.Pass(err, "probe")
	}
	addrs, count := map[string]string{}, map[string]float64{}
	for _, n := range p.nodes.All() {
		addrs[n.Process()] = n.Addr
		count[n.Process()]++
	}
	names := make([]string, 0, len(pids))
	for name := range pids {
		names = append(names, name)
	}
	out := Snapshot{Procs: map[string]Reading{}}
	got, failures := make([]Reading, len(names)), make([]error, len(names))
	routine.Each(len(names), 8, func(i int) {
		got[i], failures[i] = p.readProcess(ctx, names[i], pids[names[i]], addrs[names[i]], count[names[i]])
	})
	for i, r := range got {
		if failures[i] != nil {
			return out, errs.Pass(failures[i], "%s", names[i])
		}
		out.Procs[r.Name] = r
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
	c := stat.CPUTotal
	s.Busy = c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
	net, err := proc.NetDev()
	if err != nil {
		return errs.Wrap(err, errs.Disk, "loopback")
	}
	s.Loop, s.Packets = float64(net["lo"].RxBytes), float64(net["lo"].RxPackets)
	return nil
}

func (p *Probe) readProcess(ctx context.Context, name string, pid int, addr string, count float64) (Reading, error) {
	r := Reading{Name: name, Count: count}
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return r, errs.Wrap(err, errs.Unknown, "pid %d", pid)
	}
	stat, err := proc.Stat()
	if err != nil {
		return r, errs.Wrap(err, errs.Unknown, "pid %d", pid)
	}
	r.CPU, r.RSS = time.Duration(stat.CPUTime()*float64(time.Second)), float64(stat.ResidentMemory())
	io, err := proc.IO()
	if err != nil {
		return r, errs.Wrap(err, errs.Unknown, "pid %d", pid)
	}
	reply, err := p.caller.Call(ctx, http.MethodGet, addr, "/metrics", nil, 5*time.Second)
	if err != nil {
		return r, errs.Pass(err, "metrics")
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	all, err := parser.TextToMetricFamilies(bytes.NewReader(reply.Body))
	if err != nil {
		return r, errs.Wrap(err, errs.Malformed, "metrics")
	}
	m := families(all)
	r.Bytes, r.Msgs, r.AnswerBytes = m.sum("crosstide_rpc_bytes_total"), m.sum("crosstide_rpc_calls_total"), float64(len(reply.Body))
	r.Syncs, r.Log = m.sum("crosstide_store_sync_seconds"), m.sum("crosstide_store_log_bytes_total")
	r.RunIDs, r.Handles = m.sum("crosstide_sched_run_ids_total"), m.sum("crosstide_state_handles")
	r.Role = m.role(name)
	own := r.Log
	if r.Role == SharedWorker && count == 1 {
		r.Role = DedicatedWorker
	}
	if r.Role == SharedWorker || r.Role == DedicatedWorker {
		if info, err := os.Stat(filepath.Join(p.dir, "journal", name+".jsonl")); err == nil {
			own = float64(info.Size())
		}
	}
	after, err := proc.IO()
	if err != nil {
		return r, errs.Wrap(err, errs.Unknown, "pid %d", pid)
	}
	r.Stream, r.StreamAfter = max(0, float64(io.RChar+io.WChar)-own), max(0, float64(after.RChar+after.WChar)-own)
	return r, nil
}

type families map[string]*dto.MetricFamily

// sum adds up a family over its labels; of a histogram its count.
func (f families) sum(name string) float64 {
	sum := 0.0
	for _, m := range f[name].GetMetric() {
		if slices.ContainsFunc(m.GetLabel(), func(l *dto.LabelPair) bool { return l.GetValue() == "GET /metrics" }) {
			continue // our own reading
		}
		sum += m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
	}
	return sum
}

// role reports a process's role by what it shows of itself.
func (f families) role(name string) string {
	for _, m := range f["crosstide_store_role"].GetMetric() {
		if m.GetGauge().GetValue() == 1 && m.GetLabel()[0].GetValue() == "leader" {
			return Leader
		}
	}
	switch {
	case len(f["crosstide_store_role"].GetMetric()) > 0:
		return Follower
	case f.sum("crosstide_sched_holder") == 1:
		return SchedulerLeader
	case len(f["crosstide_sched_holder"].GetMetric()) > 0:
		return DataPlane
	case strings.HasPrefix(name, "link"):
		return "link"
	}
	return SharedWorker
}
