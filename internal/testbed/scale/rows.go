package scale

import "crosstide/internal/errs"

// Step is the load under which a fleet was measured, and what the whole fleet did under it.
type Step struct {
	Workers    int     // known to the fleet
	Offered    float64 // task starts a second that the load asked for
	Starts     float64 // run IDs a second that were assigned
	Running    float64 // run IDs in use at the end
	P50        float64 // from a job's acceptance to its first start, ms; 0 without a load
	P99        float64
	Unfinished int     // jobs of the load that were not accepted or not seen to end
	Cores      float64 // busy on the whole machine, whatever ran on it
	LoopKB     float64 // KB a second over the loopback, whatever used it
	LoopPk     float64 // packets a second over the loopback
	Note       string
}

// Row is the cost of one role at a step: the mean of its processes. For SharedWorker it is that of one worker.
type Row struct {
	Step
	Role  string
	Procs float64 // processes of the role, or workers
	CPU   float64 // of one core, in %
	MB    float64 // resident
	Msgs  float64 // a second
	KB    float64 // bodies in and out, a second
	Net   float64 // KB a second through its sockets, headers too, by read(2) and write(2)
	Syncs float64 // of the log, a second
	LogKB float64 // to the log and snapshots, a second
}

// IsIdle reports whether the fleet had nothing to do at the row's step.
func (r Row) IsIdle() bool { return r.Offered == 0 && r.Running == 0 }

// Rows returns the cost of each role between two snapshots. A process that changed its role between them counts for
// the newer one. Failure: Unknown: a process was restarted, its counters went back.
func Rows(from, to Snapshot, step Step) ([]Row, error) {
	seconds := (to.At - from.At).Seconds()
	step.Cores, step.LoopKB = (to.Busy-from.Busy)/seconds, (to.Loop-from.Loop)/seconds/1000
	step.LoopPk = (to.Packets - from.Packets) / seconds
	sums := map[string]*Row{} // by role
	for name, after := range to.Procs {
		before, ok := from.Procs[name]
		if !ok || after.CPU < before.CPU {
			return nil, errs.New(errs.Unknown, "%s was started anew meanwhile", name)
		}
		row := sums[after.Role]
		if row == nil {
			row = &Row{Role: after.Role}
			sums[after.Role] = row
		}
		row.add(before, after, seconds)
		step.Starts += (after.RunIDs - before.RunIDs) / seconds
		step.Running = max(step.Running, after.Handles)
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

// add adds the resources that one process has used between two readings.
func (r *Row) add(before, after Reading, seconds float64) {
	r.Procs += after.Count
	r.CPU += 100 * (after.CPU - before.CPU).Seconds() / seconds
	r.MB += after.RSS / 1e6
	r.Msgs += (after.Msgs - before.Msgs) / seconds
	r.KB += (after.Bytes - before.Bytes - before.AnswerBytes) / seconds / 1000
	r.Net += (after.Stream - before.StreamAfter) / seconds / 1000
	r.Syncs += (after.Syncs - before.Syncs) / seconds
	r.LogKB += (after.Log - before.Log) / seconds / 1000
}

// divide replaces the sums by their means.
func (r *Row) divide() {
	for _, sum := range []*float64{&r.CPU, &r.MB, &r.Msgs, &r.KB, &r.Net, &r.Syncs, &r.LogKB} {
		*sum /= r.Procs
	}
}

// fitLine fits y = base + slope*x by least squares; more than two points and two values of x are needed, else ok is
// false.
func fitLine(x, y []float64) (base, slope float64, ok bool) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	d := n*sxx - sx*sx
	if n < 3 || d == 0 {
		return 0, 0, false
	}
	slope = (n*sxy - sx*sy) / d
	return (sy - slope*sx) / n, slope, true
}
