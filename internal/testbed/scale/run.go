package scale

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/testbed/load"
)

const (
	fillNote         = "fill: " // begins the note of the burst that starts the long tasks: no steady step
	fillTasks        = 1000     // of a job, at most
	fillPollInterval = 500 * time.Millisecond
	submitTimeout    = 5 * time.Second
	endTimeout       = 6 * time.Second // of a load, beyond the length of a task
	pollsPerSecond   = 300             // of a load
)

// Plan is the loads under which a fleet is measured, step by step.
type Plan struct {
	Dir          string
	Running      int           // long tasks that are started first
	FillTimeout  time.Duration // for that
	Rates        []float64     // task starts a second, one step each; 0: no load
	StepDuration time.Duration
	WarmUp       time.Duration // left out at the start of a step
	Tasks        int           // of a job
	TaskDuration time.Duration
	MaxP99       time.Duration // a step whose 99th percentile to the first start is over it is the last; 0: none
}

// Run measures step after step and passes each step's rows to report. It ends early, with a note in that step's rows,
// when a step is over MaxP99 or leaves jobs unfinished. Failures: those of Probe.Read and report, Invalid, Unavailable.
func Run(ctx context.Context, plan Plan, probe *Probe, report func([]Row) error) error {
	if plan.Running > 0 {
		rows, err := probe.fill(ctx, plan)
		if err != nil {
			return errs.Pass(err, "fill")
		}
		if err := report(rows); err != nil {
			return errs.Pass(err, "fill")
		}
	}
	for i, rate := range plan.Rates {
		rows, isLast, err := probe.step(ctx, plan, i, rate)
		if err != nil {
			return errs.Pass(err, "%g starts a second", rate)
		}
		if err := report(rows); err != nil || isLast {
			return errs.Pass(err, "step")
		}
	}
	return nil
}

// fill submits jobs of long tasks until plan.Running of them run, and measures the burst.
func (p *Probe) fill(ctx context.Context, plan Plan) ([]Row, error) {
	from, err := p.Read(ctx)
	if err != nil {
		return nil, errs.Pass(err, "before")
	}
	if err := p.submitLongTasks(ctx, plan.Running); err != nil {
		return nil, errs.Pass(err, "long tasks")
	}
	began, now := p.clock.Now(), from
	for p.clock.Now() < began+plan.FillTimeout && runningTasks(now) < float64(plan.Running) {
		if err := p.sleep(ctx, fillPollInterval); err != nil {
			return nil, errs.Pass(err, "fill")
		}
		if now, err = p.Read(ctx); err != nil {
			return nil, errs.Pass(err, "fill")
		}
	}
	step := Step{Workers: p.Workers(), Offered: float64(plan.Running)}
	step.Note = fmt.Sprintf(fillNote+"%.0f of %d out after %.1f s", runningTasks(now), plan.Running,
		(now.At - from.At).Seconds())
	rows, err := Rows(from, now, step)
	return rows, errs.Pass(err, "fill")
}

// submitLongTasks submits jobs of so many tasks of an hour, over all data planes in turn.
func (p *Probe) submitLongTasks(ctx context.Context, tasks int) error {
	for n := 0; tasks > 0; n++ {
		spec := state.Spec{Key: fmt.Sprintf("fill-%d-%d", p.clock.Wall().UnixMilli(), n),
			Team: fmt.Sprintf("t%d", n%20), Queue: "default",
			Steps: []state.StepSpec{{Name: "s1", Type: "fill", Tasks: min(tasks, fillTasks), Cores: 1,
				Run: []byte(`{"ms":3600000}`)}}}
		tasks -= fillTasks
		node := p.nodes.DataPlanes[n%len(p.nodes.DataPlanes)]
		reply, err := p.caller.Call(ctx, http.MethodPost, node.Addr, "/v1/jobs", spec, submitTimeout)
		if err != nil || !reply.IsSuccess() {
			return errs.New(errs.Unavailable, "job %d is not taken: %s %v", n, reply.Body, err)
		}
	}
	return nil
}

// runningTasks returns the number of run IDs in use, as the leader of the scheduler reports it.
func runningTasks(s Snapshot) float64 {
	for _, r := range s.Procs {
		if r.Role == SchedulerLeader {
			return r.Handles
		}
	}
	return 0
}

// step measures the fleet under the load of the nth step. isLast reports that the fleet does not keep up with it.
func (p *Probe) step(ctx context.Context, plan Plan, nth int, rate float64) (rows []Row, isLast bool, err error) {
	var report load.Report
	var loadErr error
	group := routine.New(ctx)
	defer group.Stop()
	if rate > 0 {
		options := load.Options{Dir: plan.Dir, Rate: rate / float64(plan.Tasks), Duration: plan.StepDuration,
			Seed: uint64(nth + 1), Tasks: plan.Tasks, TaskDuration: plan.TaskDuration, SubmitTimeout: submitTimeout,
			EndTimeout: endTimeout + plan.TaskDuration, MaxPollsPerSecond: pollsPerSecond}
		group.Go(func(ctx context.Context) { report, loadErr = load.Run(ctx, options) })
	}
	from, to, err := p.measure(ctx, plan)
	if err != nil {
		return nil, true, errs.Pass(err, "measure")
	}
	group.Wait()
	if loadErr != nil {
		return nil, true, errs.Pass(loadErr, "load")
	}
	step := Step{Workers: p.Workers(), Offered: rate, P50: report.ToStart.P50, P99: report.ToStart.P99,
		Unfinished: report.Unfinished + report.Offered - report.Accepted}
	step.Note = plan.reasonToStop(step, report.Offered)
	rows, err = Rows(from, to, step)
	return rows, step.Note != "", errs.Pass(err, "step")
}

// measure takes a snapshot at the end of a step's warm-up, and one at the end of the step.
func (p *Probe) measure(ctx context.Context, plan Plan) (from, to Snapshot, err error) {
	if err := p.sleep(ctx, plan.WarmUp); err != nil {
		return from, to, errs.Pass(err, "warm-up")
	}
	if from, err = p.Read(ctx); err != nil {
		return from, to, errs.Pass(err, "from")
	}
	if err := p.sleep(ctx, plan.StepDuration-plan.WarmUp); err != nil {
		return from, to, errs.Pass(err, "step")
	}
	to, err = p.Read(ctx)
	return from, to, errs.Pass(err, "to")
}

// reasonToStop returns why a step that offered so many jobs is the last one, and "" if it is not.
func (plan Plan) reasonToStop(step Step, offered int) string {
	switch {
	case step.Unfinished > 0:
		return fmt.Sprintf("stopped here: %d of %d jobs not accepted or not over in time", step.Unfinished, offered)
	case plan.MaxP99 > 0 && step.P99 > float64(plan.MaxP99.Milliseconds()):
		return fmt.Sprintf("stopped here: p99 to the first start over %s", plan.MaxP99)
	}
	return ""
}

// sleep waits for d. Failure: Stopped, if ctx ends first.
func (p *Probe) sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx.Done(), p.clock, d) {
		return errs.Wrap(ctx.Err(), errs.Stopped, "stopped")
	}
	return nil
}
