package scale

import (
	"encoding/csv"
	"errors"
	"io"
	"io/fs"
	"os"
	"slices"
	"strconv"

	"crosstide/internal/errs"
)

// Step is what a fleet was under while it was measured.
type Step struct {
	Workers    int     // known to the fleet
	Offered    float64 // task starts a second that the load asked for
	Starts     float64 // run IDs a second that were given
	Running    float64 // run IDs out at the end
	P50        float64 // from a job's yes to its first start, ms; 0 without a load
	P99        float64
	Unfinished int     // accepted jobs that were not seen over, of the load
	Cores      float64 // busy on the whole machine, whatever ran on it
	LoopKB     float64 // KB a second over the loopback, whatever used it
	LoopPk     float64 // packets a second over the loopback
	Note       string
}

// Row is the cost of one role at a step: the mean of its processes. For Minion it is that of one minion.
type Row struct {
	Step
	Role  string
	Procs float64 // processes of the role, or minions
	CPU   float64 // of one core, in %
	MB    float64 // resident
	Msgs  float64 // a second
	KB    float64 // bodies in and out, a second
	Net   float64 // KB a second through its sockets, heads and all, by read(2) and write(2)
	Syncs float64 // of the log, a second
	LogKB float64 // to the log and slots, a second
}

var columns = []string{"minions", "offered_per_s", "starts_per_s", "running", "start_p50_ms", "start_p99_ms", "left",
	"machine_cores", "loop_kb_s", "loop_packets_s", "role", "procs", "cpu_pct", "mb", "msgs_s", "body_kb_s", "net_kb_s",
	"syncs_s", "log_kb_s", "note"}

// Roles is the order of rows.
var Roles = []string{Leader, Follower, SchedulerLeader, DataPlane, SharedWorker, DedicatedWorker}

// Rows returns the cost of each role between two readings. A process that changed its role between them counts for
// the newer one; counters that went back (a process that was started anew) are a fault. Failure: Unknown.
func Rows(from, to Snapshot, step Step) ([]Row, error) {
	s := (to.At - from.At).Seconds()
	step.Cores, step.LoopKB, step.LoopPk = (to.Busy-from.Busy)/s, (to.Loop-from.Loop)/s/1000, (to.Packets-from.Packets)/s
	sums := map[string]*Row{}
	for name, b := range to.Procs {
		a, ok := from.Procs[name]
		if !ok || b.CPU < a.CPU {
			return nil, errs.New(errs.Unknown, "%s was started anew meanwhile", name)
		}
		r := sums[b.Role]
		if r == nil {
			r = &Row{Role: b.Role}
			sums[b.Role] = r
		}
		step.Starts += (b.RunIDs - a.RunIDs) / s
		step.Running = max(step.Running, b.Handles)
		r.Procs += b.Count
		r.CPU += 100 * (b.CPU - a.CPU).Seconds() / s
		r.MB += b.RSS / 1e6
		r.Msgs += (b.Msgs - a.Msgs) / s
		r.KB += (b.Bytes - a.Bytes - a.AnswerBytes) / s / 1000
		r.Net += (b.Stream - a.StreamAfter) / s / 1000
		r.Syncs += (b.Syncs - a.Syncs) / s
		r.LogKB += (b.Log - a.Log) / s / 1000
	}
	var out []Row
	for _, role := range Roles {
		if r := sums[role]; r != nil {
			r.Step = step
			for _, v := range []*float64{&r.CPU, &r.MB, &r.Msgs, &r.KB, &r.Net, &r.Syncs, &r.LogKB} {
				*v /= r.Procs
			}
			out = append(out, *r)
		}
	}
	return out, nil
}

// AppendRows adds rows to a CSV file, with a head if it is new. Failure: Disk.
func AppendRows(path string, rows []Row) error {
	_, err := os.Stat(path)
	fresh := errors.Is(err, fs.ErrNotExist)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "open %s", path)
	}
	w := csv.NewWriter(file)
	if fresh {
		_ = w.Write(columns) // Error tells
	}
	for _, r := range rows {
		f := func(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
		_ = w.Write([]string{strconv.Itoa(r.Workers), f(r.Offered), f(r.Starts), f(r.Running), f(r.P50), f(r.P99), strconv.Itoa(r.Unfinished),
			f(r.Cores), f(r.LoopKB), f(r.LoopPk), r.Role, f(r.Procs), f(r.CPU), f(r.MB), f(r.Msgs), f(r.KB), f(r.Net),
			f(r.Syncs), f(r.LogKB), r.Note})
	}
	w.Flush()
	return errs.Wrap(errors.Join(w.Error(), file.Close()), errs.Disk, "write %s", path)
}

// ReadRows reads what Append wrote. Faults: Disk, Malformed.
func ReadRows(path string) ([]Row, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open %s", path)
	}
	defer file.Close()
	var out []Row
	for r, n := csv.NewReader(file), 0; ; n++ {
		cell, err := r.Read()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, errs.Wrap(err, errs.Malformed, "%s", path)
		}
		if n == 0 {
			if !slices.Equal(cell, columns) {
				return nil, errs.New(errs.Malformed, "%s has other columns", path)
			}
			continue
		}
		var row Row
		var v [20]float64
		for i := range v {
			if i == 10 || i == 19 {
				continue
			}
			if v[i], err = strconv.ParseFloat(cell[i], 64); err != nil {
				return nil, errs.Wrap(err, errs.Malformed, "%s, row %d, %s", path, n, columns[i])
			}
		}
		row.Step = Step{int(v[0]), v[1], v[2], v[3], v[4], v[5], int(v[6]), v[7], v[8], v[9], cell[19]}
		row.Role, row.Procs, row.CPU, row.MB, row.Msgs = cell[10], v[11], v[12], v[13], v[14]
		row.KB, row.Net, row.Syncs, row.LogKB = v[15], v[16], v[17], v[18]
		out = append(out, row)
	}
}

// FitLine fits y = base + slope*x by least squares over points; more than two values of x are needed (else ok is false).
func FitLine(x, y []float64) (base, slope float64, ok bool) {
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
