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
	fillNote         = "fill: " // prefix of the note of the burst of long tasks, which is not a steady load
	fillTasks        = 1000     // maximum per job
	fillPollInterval = 500 * time.Millisecond
	submitTimeout    = 5 * time.Second
	endTimeout       = 6 * time.Second // for the jobs of a load to end, added to the duration of a task
	pollsPerSecond   = 300             // maximum of a load
)

// Plan describes the steps of a measurement: the loads that are applied to a fleet one after the other.
type Plan struct {
	Dir          string        // directory of the fleet
	Running      int           // long tasks to start before the first step
	FillTimeout  time.Duration // for starting them
	Rates        []float64     // task starts per second, one step each; 0: no load
	StepDuration time.Duration
	WarmUp       time.Duration // at the start of a step, not measured
	Tasks        int           // per job
	TaskDuration time.Duration
	MaxP99       time.Duration // of the time to first start; Run ends after a step that exceeds it; 0: no limit
}

// Run measures the steps one after the other and passes the rows of each to report. It ends early, with a note in that
// step's rows, if a step exceeds MaxP99 or leaves jobs unfinished. It returns the errors of Probe.Read, load.Run and
// report, and errors of kind Stopped, if ctx ends, and Unavailable, if a long task is not accepted.
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
			return errs.Pass(err, "%g starts per second", rate)
		}
		if err := report(rows); err != nil || isLast {
			return errs.Pass(err, "step")
		}
	}
	return nil
}

// fill submits plan.Running long tasks, waits until they run or FillTimeout has passed, and measures the burst.
func (p *Probe) fill(ctx context.Context, plan Plan) ([]Row, error) {
	from, err := p.Read(ctx)
	if err != nil {
		return nil, errs.Pass(err, "before")
	}
	if err := p.submitLongTasks(ctx, plan.Running); err != nil {
		return nil, errs.Pass(err, "submit long tasks")
	}
	startedAt, latest := p.clock.Now(), from
	for p.clock.Now() < startedAt+plan.FillTimeout && runningTasks(latest) < float64(plan.Running) {
		if err := p.sleep(ctx, fillPollInterval); err != nil {
			return nil, errs.Pass(err, "fill")
		}
		if latest, err = p.Read(ctx); err != nil {
			return nil, errs.Pass(err, "fill")
		}
	}
	step := Step{Workers: p.Workers(), Offered: float64(plan.Running)}
	step.Note = fmt.Sprintf(fillNote+"%.0f of %d running after %.1f s", runningTasks(latest), plan.Running,
		(latest.At - from.At).Seconds())
	rows, err := Rows(from, latest, step)
	return rows, errs.Pass(err, "fill")
}

// submitLongTasks submits jobs with the given total of one-hour tasks, round-robin over the data planes.
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
			return errs.New(errs.Unavailable, "job %d was not accepted: %s %v", n, reply.Body, err)
		}
	}
	return nil
}

// runningTasks returns the number of run IDs in use according to the scheduler's leader, or 0 without a leader.
func runningTasks(s Snapshot) float64 {
	for _, r := range s.Procs {
		if r.Role == SchedulerLeader {
			return r.RunIDsInUse
		}
	}
	return 0
}

// step measures the fleet under the load of one step; nth is its index. isLast is true if the fleet did not keep up
// with the load.
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

// measure takes one snapshot at the end of a step's warm-up and one at the end of the step.
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

// reasonToStop returns why the run ends after a step that offered the given number of jobs, or "" if it continues.
func (plan Plan) reasonToStop(step Step, offered int) string {
	switch {
	case step.Unfinished > 0:
		return fmt.Sprintf("stopped here: %d of %d jobs not accepted or not ended in time", step.Unfinished, offered)
	case plan.MaxP99 > 0 && step.P99 > float64(plan.MaxP99.Milliseconds()):
		return fmt.Sprintf("stopped here: p99 of the time to first start over %s", plan.MaxP99)
	}
	return ""
}

// sleep waits for d. It returns an error of kind Stopped if ctx ends first.
func (p *Probe) sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx.Done(), p.clock, d) {
		return errs.Wrap(ctx.Err(), errs.Stopped, "stopped")
	}
	return nil
}
