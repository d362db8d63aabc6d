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

// Roles of a process. The values are stored in CSV files.
const (
	Leader          = "cplane leader"
	Follower        = "cplane follower"
	SchedulerLeader = "sched holder"
	DataPlane       = "dplane"
	SharedWorker    = "minion" // a process with many workers; its costs are given per worker
	DedicatedWorker = "agent"  // a process with one worker
)

// Roles lists all roles in the order of rows.
var Roles = []string{Leader, Follower, SchedulerLeader, DataPlane, SharedWorker, DedicatedWorker}

// Reading holds the counters of one process since its start, and its current memory and run IDs.
type Reading struct {
	Role        string
	Count       float64       // workers in the process; 1 for a daemon
	CPU         time.Duration // user and system time
	RSS         float64       // resident bytes
	Bytes       float64       // of bodies sent and received, as the process counts them
	Msgs        float64       // calls sent and answered
	Stream      float64       // bytes through sockets: all of read(2) and write(2) except its log or journal
	AnswerBytes float64       // size of the answer to this reading, which Bytes of the next reading includes
	StreamAfter float64       // Stream after the answer to this reading, which is large
	Syncs       float64       // of the store's log
	Log         float64       // bytes written to the log and snapshots
	RunIDs      float64       // assigned by this process as the scheduler's leader
	RunIDsInUse float64       // run IDs in use according to this data plane's replica
}

// process identifies a process of the fleet.
type process struct {
	name  string
	pid   int
	addr  string
	nodes float64 // number of nodes in the process
}

// readProcess reads a process's metrics, and its traffic from /proc both before and after, so that the answer with the
// metrics can be excluded from the fleet's traffic.
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
	fileBytes := p.fileBytes(target.name, &r)
	after, err := proc.IO()
	if err != nil {
		return r, errs.Wrap(err, errs.Unknown, "pid %d", target.pid)
	}
	r.Stream = max(0, float64(before.RChar+before.WChar)-fileBytes)
	r.StreamAfter = max(0, float64(after.RChar+after.WChar)-fileBytes)
	return r, nil
}

// addMetrics sets the role and the counters from the metrics of a process. size is that of the answer with the metrics
// in bytes.
func (r *Reading) addMetrics(m fleet.Metrics, size int) {
	r.Bytes, r.Msgs = sum(m, "crosstide_rpc_bytes_total"), sum(m, "crosstide_rpc_calls_total")
	r.AnswerBytes = float64(size)
	r.Syncs, r.Log = sum(m, "crosstide_store_sync_seconds_count"), sum(m, "crosstide_store_log_bytes_total")
	r.RunIDs, r.RunIDsInUse = sum(m, "crosstide_sched_run_ids_total"), sum(m, "crosstide_state_handles")
	r.Role = roleOf(m)
	if r.Role == SharedWorker && r.Count == 1 {
		r.Role = DedicatedWorker
	}
}

// fileBytes returns the bytes that a process wrote to files: to its journal if it is a worker, or else to the store's
// log and snapshots. /proc counts them with the network traffic, from which they are subtracted.
func (p *Probe) fileBytes(name string, r *Reading) float64 {
	if r.Role == SharedWorker || r.Role == DedicatedWorker {
		if info, err := os.Stat(filepath.Join(p.dir, "journal", name+".jsonl")); err == nil {
			return float64(info.Size())
		}
	}
	return r.Log
}

// sum returns the sum of all series of a name, without those of calls for metrics, which the probe makes.
func sum(m fleet.Metrics, name string) float64 {
	total := 0.0
	for labels, value := range m.Series(name) {
		if !strings.Contains(labels, `="GET /metrics"`) {
			total += value
		}
	}
	return total
}

// roleOf derives a process's role from the metrics that it exports. It returns SharedWorker for all workers, because
// the metrics do not show how many share the process.
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
