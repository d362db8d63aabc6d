package scale

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/testbed/load"
)

// fillNote begins the note of the burst that puts the long tasks out: no steady step.
const fillNote = "fill: "

// Plan is what a fleet is measured under.
type Plan struct {
	Dir          string
	Running      int           // long tasks that are put out first
	FillTimeout  time.Duration // bound on that
	Rates        []float64     // task starts a second, one step each; 0: no load
	StepDuration time.Duration // of a step
	WarmUp       time.Duration // left out at the start of a step
	Tasks        int           // of a job
	TaskDuration time.Duration // of a task
	MaxP99       time.Duration // a step whose 99th percentile to the first start is over it is the last; 0: none
}

// TaskDuration measures step after step and gives each step's rows to tell. It ends early, with a note in that step's rows,
// when a step fails its bound or leaves jobs unfinished. Faults: those of Probe.Read, Invalid, Unavailable.
func Run(ctx context.Context, p Plan, probe *Probe, report func([]Row) error) error {
	if p.Running > 0 {
		rows, err := probe.fill(ctx, p)
		if err != nil {
			return errs.Pass(err, "fill")
		}
		if err := report(rows); err != nil {
			return errs.Pass(err, "fill")
		}
	}
	for i, rate := range p.Rates {
		rows, stop, err := probe.step(ctx, p, i, rate)
		if err != nil {
			return errs.Pass(err, "%g starts a second", rate)
		}
		if err := report(rows); err != nil || stop {
			return errs.Pass(err, "step")
		}
	}
	return nil
}

// fill hands in jobs of long tasks until p.Running of them run, and measures the burst.
func (p *Probe) fill(ctx context.Context, plan Plan) ([]Row, error) {
	const most = 1000 // tasks of a job
	from, err := p.Read(ctx)
	if err != nil {
		return nil, errs.Pass(err, "before")
	}
	for left, n := plan.Running, 0; left > 0; n++ {
		spec := state.Spec{Key: fmt.Sprintf("fill-%d-%d", p.clock.Wall().UnixMilli(), n), Team: fmt.Sprintf("t%d", n%20), Queue: "default",
			Steps: []state.StepSpec{{Name: "s1", Type: "fill", Tasks: min(left, most), Cores: 1, Run: []byte(`{"ms":3600000}`)}}}
		left -= most
		reply, err := p.caller.Call(ctx, http.MethodPost, p.nodes.DataPlanes[n%len(p.nodes.DataPlanes)].Addr, "/v1/jobs", spec, 5*time.Second)
		if err != nil || !reply.IsSuccess() {
			return nil, errs.New(errs.Unavailable, "job %d is not taken: %s %v", n, reply.Body, err)
		}
	}
	step := Step{Workers: p.Workers(), Offered: float64(plan.Running)}
	began, snap := p.clock.Now(), from
	for p.clock.Now() < began+plan.FillTimeout && runningTasks(snap) < float64(plan.Running) {
		if err := p.sleep(ctx, 500*time.Millisecond); err != nil {
			return nil, errs.Pass(err, "fill")
		}
		if snap, err = p.Read(ctx); err != nil {
			return nil, errs.Pass(err, "fill")
		}
	}
	step.Note = fmt.Sprintf(fillNote+"%.0f of %d out after %.1f s", runningTasks(snap), plan.Running, (snap.At - from.At).Seconds())
	rows, err := Rows(from, snap, step)
	return rows, errs.Pass(err, "fill")
}

// runningTasks is how many run IDs are out as the holder of sched has them.
func runningTasks(s Snapshot) float64 {
	for _, r := range s.Procs {
		if r.Role == SchedulerLeader {
			return r.Handles
		}
	}
	return 0
}

func (p *Probe) step(ctx context.Context, plan Plan, nth int, rate float64) (rows []Row, stop bool, err error) {
	var report load.Report
	var loadErr error
	group := routine.New(ctx)
	defer group.Stop()
	if rate > 0 {
		group.Go(func(ctx context.Context) {
			report, loadErr = load.Run(ctx, load.Options{Dir: plan.Dir, Rate: rate / float64(plan.Tasks), Duration: plan.StepDuration, Seed: uint64(nth + 1),
				Tasks: plan.Tasks, TaskDuration: plan.TaskDuration, EndTimeout: 6*time.Second + plan.TaskDuration, SubmitTimeout: 5 * time.Second, MaxPollsPerSecond: 300})
		})
	}
	if err := p.sleep(ctx, plan.WarmUp); err != nil {
		return nil, true, errs.Pass(err, "settle")
	}
	from, err := p.Read(ctx)
	if err != nil {
		return nil, true, errs.Pass(err, "from")
	}
	if err := p.sleep(ctx, plan.StepDuration-plan.WarmUp); err != nil {
		return nil, true, errs.Pass(err, "step")
	}
	to, err := p.Read(ctx)
	if err != nil {
		return nil, true, errs.Pass(err, "to")
	}
	group.Wait()
	if loadErr != nil {
		return nil, true, errs.Pass(loadErr, "load")
	}
	step := Step{Workers: p.Workers(), Offered: rate, P50: report.ToStart.P50, P99: report.ToStart.P99,
		Unfinished: report.Unfinished + report.Offered - report.Accepted}
	switch {
	case step.Unfinished > 0:
		step.Note, stop = fmt.Sprintf("stopped here: %d of %d jobs not accepted or not over in time", step.Unfinished, report.Offered), true
	case plan.MaxP99 > 0 && step.P99 > float64(plan.MaxP99.Milliseconds()):
		step.Note, stop = fmt.Sprintf("stopped here: p99 to the first start over %s", plan.MaxP99), true
	}
	rows, err = Rows(from, to, step)
	return rows, stop, errs.Pass(err, "step")
}

func (p *Probe) sleep(ctx context.Context, d time.Duration) error {
	elapsed := make(chan struct{})
	defer p.clock.Set(d, func() { close(elapsed) }).Stop()
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Stopped, "stopped")
	}
}
