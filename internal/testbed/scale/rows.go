package scale

import "crosstide/internal/errs"

// Step describes the load of one measurement and its results for the whole fleet.
type Step struct {
	Workers     int     // in the fleet
	Offered     float64 // task starts per second that the load requested
	Starts      float64 // run IDs assigned per second
	Running     float64 // run IDs in use at the end of the step
	P50         float64 // ms from a job's acceptance to its first start, 50th percentile; 0 without a load
	P99         float64 // 99th percentile of the same
	Unfinished  int     // jobs of the load that were not accepted or did not end in time
	Cores       float64 // busy cores of the whole machine, including other processes
	LoopKB      float64 // KB per second over the loopback, including other processes
	LoopPackets float64 // packets per second over the loopback, including other processes
	Note        string  // result of the fill, or why Run ended after this step; else empty
}

// Row is the cost of one role at a step: the mean over its processes, or over its workers for SharedWorker.
type Row struct {
	Step
	Role     string
	Procs    float64 // number of processes, or of workers for SharedWorker
	CPU      float64 // % of one core
	MB       float64 // resident memory
	Msgs     float64 // calls sent and answered per second
	BodyKB   float64 // KB per second of bodies sent and received
	SocketKB float64 // KB per second through sockets including headers, from read(2) and write(2)
	Syncs    float64 // of the store's log per second
	LogKB    float64 // KB per second written to the log and snapshots
}

// IsIdle reports whether the fleet had no load and no running tasks at the row's step.
func (r Row) IsIdle() bool { return r.Offered == 0 && r.Running == 0 }

// Rows returns the cost of each role between two snapshots. A process that changed its role counts for the newer one.
// The error is of kind Unknown if a process was started or restarted in between, which resets its counters.
func Rows(from, to Snapshot, step Step) ([]Row, error) {
	seconds := (to.At - from.At).Seconds()
	step.Cores, step.LoopKB = (to.Busy-from.Busy)/seconds, (to.Loop-from.Loop)/seconds/1000
	step.LoopPackets = (to.Packets - from.Packets) / seconds
	sums := map[string]*Row{} // by role
	for name, after := range to.Procs {
		before, ok := from.Procs[name]
		if !ok || after.CPU < before.CPU {
			return nil, errs.New(errs.Unknown, "%s was started or restarted during the measurement", name)
		}
		row := sums[after.Role]
		if row == nil {
			row = &Row{Role: after.Role}
			sums[after.Role] = row
		}
		row.add(before, after, seconds)
		step.Starts += (after.RunIDs - before.RunIDs) / seconds
		step.Running = max(step.Running, after.RunIDsInUse)
	}
	var rows []Row
	for _, role := range Roles {
		if row := sums[role]; row != nil {
			row.Step = step
			row.divide()
			rows = append(rows, *row)
		}
	}
	return rows, nil
}

// add adds the cost of one process between two readings.
func (r *Row) add(before, after Reading, seconds float64) {
	r.Procs += after.Count
	r.CPU += 100 * (after.CPU - before.CPU).Seconds() / seconds
	r.MB += after.RSS / 1e6
	r.Msgs += (after.Msgs - before.Msgs) / seconds
	r.BodyKB += (after.Bytes - before.Bytes - before.AnswerBytes) / seconds / 1000
	r.SocketKB += (after.Stream - before.StreamAfter) / seconds / 1000
	r.Syncs += (after.Syncs - before.Syncs) / seconds
	r.LogKB += (after.Log - before.Log) / seconds / 1000
}

// divide replaces the sums over the processes of a role by means.
func (r *Row) divide() {
	for _, sum := range []*float64{&r.CPU, &r.MB, &r.Msgs, &r.BodyKB, &r.SocketKB, &r.Syncs, &r.LogKB} {
		*sum /= r.Procs
	}
}

// fitLine fits y = base + slope*x by least squares. ok is false unless there are at least three points with at least
// two different values of x.
func fitLine(x, y []float64) (base, slope float64, ok bool) {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX, sumY, sumXX, sumXY = sumX+x[i], sumY+y[i], sumXX+x[i]*x[i], sumXY+x[i]*y[i]
	}
	denominator := n*sumXX - sumX*sumX
	if n < 3 || denominator == 0 {
		return 0, 0, false
	}
	slope = (n*sumXY - sumX*sumY) / denominator
	return (sumY - slope*sumX) / n, slope, true
}
