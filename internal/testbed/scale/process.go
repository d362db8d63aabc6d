package scale

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/prometheus/procfs"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

// Roles of a process.
const (
	Leader          = "cplane leader"
	Follower        = "cplane follower"
	SchedulerLeader = "sched holder"
	DataPlane       = "dplane"
	SharedWorker    = "minion" // figures are per worker: the process's divided by how many share it
	DedicatedWorker = "agent"  // a worker with a process of its own
)

// Roles is the order of rows.
var Roles = []string{Leader, Follower, SchedulerLeader, DataPlane, SharedWorker, DedicatedWorker}

// Reading is the resources that one process has used since its start, and those that it has now.
type Reading struct {
	Role        string
	Count       float64       // workers that share the process; 1 for a daemon
	CPU         time.Duration // user and system
	RSS         float64       // bytes resident
	Bytes       float64       // bodies in and out, by its wire counters
	Msgs        float64       // calls sent and answered
	Stream      float64       // bytes through read(2) and write(2) but for those of its log or journal: its sockets
	AnswerBytes float64       // of the reading's own answer, which the wire counters of the next one count
	StreamAfter float64       // Stream after the reading itself, whose answer is large
	Syncs       float64       // of the log
	Log         float64       // bytes to the log and snapshots
	RunIDs      float64       // assigned by this leader of the scheduler
	Handles     float64       // run IDs in use, as this data plane's replica has them
}

// process is a process of the fleet that is to be read.
type process struct {
	name  string
	pid   int
	addr  string
	nodes float64 // that share it
}

// readProcess reads a process's metrics, and its traffic in /proc both before and after: the answer with the metrics
// must not count as the fleet's traffic.
func (p *Probe) readProcess(ctx context.Context, target process) (Reading, error) {
	r := Reading{Count: target.nodes}
	proc, err := procfs.NewProc(target.pid)
	if err != nil {
		return r, errs.Wrap(err, errs.Unknown, "pid %d", target.pid)
	}
	stat, err := proc.Stat()
	if err != nil {
		return r, errs.Wrap(err, errs.Unknown, "pid %d", target.pid)
	}
	r.CPU, r.RSS = time.Duration(stat.CPUTime()*float64(time.Second)), float64(stat.ResidentMemory())
	before, err := proc.IO()
	if err != nil {
		return r, errs.Wrap(err, errs.Unknown, "pid %d", target.pid)
	}
	metrics, size, err := fleet.Scrape(ctx, p.caller, target.addr)
	if err != nil {
		return r, errs.Pass(err, "metrics")
	}
	r.addMetrics(metrics, size)
	ownBytes := p.ownBytes(target.name, &r)
	after, err := proc.IO()
	if err != nil {
		return r, errs.Wrap(err, errs.Unknown, "pid %d", target.pid)
	}
	r.Stream = max(0, float64(before.RChar+before.WChar)-ownBytes)
	r.StreamAfter = max(0, float64(after.RChar+after.WChar)-ownBytes)
	return r, nil
}

// addMetrics sets the counters that a process exports; size is that of the answer with its metrics.
func (r *Reading) addMetrics(m fleet.Metrics, size int) {
	r.Bytes, r.Msgs = sum(m, "crosstide_rpc_bytes_total"), sum(m, "crosstide_rpc_calls_total")
	r.AnswerBytes = float64(size)
	r.Syncs, r.Log = sum(m, "crosstide_store_sync_seconds_count"), sum(m, "crosstide_store_log_bytes_total")
	r.RunIDs, r.Handles = sum(m, "crosstide_sched_run_ids_total"), sum(m, "crosstide_state_handles")
	r.Role = roleOf(m)
	if r.Role == SharedWorker && r.Count == 1 {
		r.Role = DedicatedWorker
	}
}

// ownBytes returns the bytes that a process wrote to its log or journal, which are no traffic.
func (p *Probe) ownBytes(name string, r *Reading) float64 {
	if r.Role == SharedWorker || r.Role == DedicatedWorker {
		if info, err := os.Stat(filepath.Join(p.dir, "journal", name+".jsonl")); err == nil {
			return float64(info.Size())
		}
	}
	return r.Log
}

// sum returns the sum of all series of a name but those of the probe's own calls.
func sum(m fleet.Metrics, name string) float64 {
	total := 0.0
	for labels, value := range m.Series(name) {
		if !strings.Contains(labels, `="GET /metrics"`) {
			total += value
		}
	}
	return total
}

// roleOf returns a process's role, by the metrics that it has.
func roleOf(m fleet.Metrics) string {
	isStore, isScheduler := false, false
	for labels, value := range m.Series("crosstide_store_role") {
		isStore = true
		if value == 1 && strings.Contains(labels, `="leader"`) {
			return Leader
		}
	}
	for range m.Series("crosstide_sched_holder") {
		isScheduler = true
	}
	switch {
	case isStore:
		return Follower
	case sum(m, "crosstide_sched_holder") == 1:
		return SchedulerLeader
	case isScheduler:
		return DataPlane
	}
	return SharedWorker
}
