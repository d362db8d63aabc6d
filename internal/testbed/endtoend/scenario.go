package endtoend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

const (
	timedDelay      = 3 * time.Second // the timed job is due so long after it is handed in
	failoverJobs    = 10              // handed in while the core has no leader
	scenarioTimeout = 2 * time.Minute
	waitTimeout     = 30 * time.Second
	evacuatedZone   = "z2"
	evacuationJobs  = 20 // handed in while a zone is closed
)

// Result is what a drill measured.
type Result struct {
	Report
	Accepted   int           // jobs
	AcceptedIn time.Duration // from the kill of the leader to the first job accepted after it
}

// Run plays the drill on processes that have just been started: a mix of jobs, one worker told to leave, the leader
// killed with jobs handed in meanwhile, a zone evacuated; then it waits for every job's state and ends the processes.
// What it does it tells on out.
func Run(ctx context.Context, plan Plan, processes *Processes, out io.Writer) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	caller := rpc.NewClient(rpc.ClientOptions{})
	defer caller.Close()
	d := &scenario{plan: plan, processes: processes, out: out, clock: clock.Real{},
		client: NewClient(caller, clock.Real{}, plan.FrontAddrs, plan.ControlAddrs)}
	d.begin = d.clock.Now()
	for _, phase := range []func(context.Context) error{d.prepare, d.submitJobs, d.drainWorker, d.killLeader, d.evacuate, d.awaitEnds} {
		if err := phase(ctx); err != nil {
			return d.result, errs.Pass(err, "drill")
		}
	}
	processes.Stop()
	events, err := Events(plan.Dir)
	if err != nil {
		return d.result, errs.Pass(err, "drill")
	}
	d.result.Report, err = Audit(d.accepted, d.evacuations, events)
	d.result.Accepted = len(d.accepted)
	return d.result, errs.Pass(err, "drill")
}

// scenario is a drill under way.
type scenario struct {
	plan        Plan
	processes   *Processes
	client      *Client
	clock       clock.Clock
	out         io.Writer
	begin       time.Duration
	accepted    []Job
	evacuations []Evacuation
	result      Result
}

func (d *scenario) logf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", (d.clock.Now() - d.begin).Seconds(), fmt.Sprintf(format, args...))
}

// until asks again and again until is tells yes.
func (d *scenario) until(ctx context.Context, what string, is func(ctx context.Context) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		yes, err := is(ctx)
		if err != nil {
			return errs.Pass(err, "%s", what)
		}
		if yes {
			d.logf("%s", what)
			return nil
		}
		if !d.client.sleep(ctx) {
			return errs.New(errs.Timeout, "not in %s: %s", waitTimeout, what)
		}
	}
}

// prepare waits for the leader and the workers and puts the configuration in force.
func (d *scenario) prepare(ctx context.Context) error {
	if err := d.client.Configure(ctx, http.MethodPut, Configuration(0)); err != nil {
		return errs.Pass(err, "settle")
	}
	d.logf("the configuration is in force")
	return errs.Pass(d.until(ctx, "all workers are known", func(ctx context.Context) (bool, error) {
		workers, err := d.client.Workers(ctx)
		return len(workers.Workers) == len(d.plan.Shapes), errs.Pass(err, "workers")
	}), "settle")
}

func (d *scenario) submit(ctx context.Context, list ...Job) error {
	for _, job := range list {
		if err := d.client.Submit(ctx, job); err != nil {
			return errs.Pass(err, "hand in %s", job.ID)
		}
		d.accepted = append(d.accepted, job)
	}
	return nil
}

// submitJobs fills the workers with work of low priority and hands the mix in.
func (d *scenario) submitJobs(ctx context.Context) error {
	if err := d.submit(ctx, BulkJob(len(d.plan.Shapes))); err != nil {
		return errs.Pass(err, "bulk")
	}
	err := d.until(ctx, "low-priority work runs", func(ctx context.Context) (bool, error) {
		view, err := d.client.Show(ctx, "bulk")
		return len(view.Steps) > 0 && view.Steps[0].Running > 0, errs.Pass(err, "bulk")
	})
	if err != nil {
		return errs.Pass(err, "bulk")
	}
	if err := d.submit(ctx, append(MixedJobs(d.clock.Wall().Add(timedDelay)), LongRunning())...); err != nil {
		return errs.Pass(err, "mix")
	}
	d.logf("%d jobs are accepted", len(d.accepted))
	return nil
}

// drainWorker tells the last worker to leave.
func (d *scenario) drainWorker(ctx context.Context) error {
	name := d.plan.Shapes[len(d.plan.Shapes)-1].Name
	if err := d.processes.Signal(name, syscall.SIGTERM); err != nil {
		return errs.Pass(err, "leave")
	}
	return errs.Pass(d.until(ctx, name+" drains", func(ctx context.Context) (bool, error) {
		workers, err := d.client.Workers(ctx)
		draining := 0
		for _, w := range workers.Workers {
			if w.State != "ready" {
				draining++
			}
		}
		return draining > 0 || len(workers.Workers) < len(d.plan.Shapes), errs.Pass(err, "workers")
	}), "leave")
}

// killLeader kills the leader, hands jobs in at once, and starts the node again.
func (d *scenario) killLeader(ctx context.Context) error {
	topology, err := d.client.Topology(ctx)
	if err != nil {
		return errs.Pass(err, "leader")
	}
	leader := d.plan.NamesByAddr[topology.Leader]
	if leader == "" {
		return errs.New(errs.Unavailable, "no leader is told, %q", topology.Leader)
	}
	killed := d.clock.Now()
	if err := d.processes.Signal(leader, syscall.SIGKILL); err != nil {
		return errs.Pass(err, "leader")
	}
	d.logf("%s, which led, is killed", leader)
	for i, job := range NumberedJobs("later", failoverJobs) {
		if err := d.submit(ctx, job); err != nil {
			return errs.Pass(err, "after the kill")
		}
		if i == 0 {
			d.result.AcceptedIn = d.clock.Now() - killed
		}
	}
	d.logf("%d jobs more are accepted, the first %s after the kill", failoverJobs, d.result.AcceptedIn.Round(time.Millisecond))
	if !d.processes.Wait(ctx, leader) {
		return errs.New(errs.Timeout, "%s does not end", leader)
	}
	return errs.Pass(d.processes.Launch(leader), "start %s again", leader)
}

// evacuate closes a zone, lets jobs run elsewhere meanwhile, and gives it back. What runs in the zone ends there.
func (d *scenario) evacuate(ctx context.Context) error {
	if err := d.client.Zone(ctx, evacuatedZone, "evacuate"); err != nil {
		return errs.Pass(err, "evacuate")
	}
	evacuation := Evacuation{Zone: evacuatedZone, From: d.clock.Wall()}
	meanwhile := NumberedJobs("closed", evacuationJobs)
	if err := d.submit(ctx, meanwhile...); err != nil {
		return errs.Pass(err, "evacuate")
	}
	for _, job := range meanwhile {
		if err := d.client.AwaitState(ctx, job.ID, job.WantState); err != nil {
			return errs.Pass(err, "evacuate")
		}
	}
	evacuation.To = d.clock.Wall()
	d.evacuations = append(d.evacuations, evacuation)
	d.logf("%d jobs ran while %s was closed", evacuationJobs, evacuatedZone)
	return errs.Pass(d.client.Zone(ctx, evacuatedZone, "restore"), "restore")
}

// awaitEnds waits for every job's state.
func (d *scenario) awaitEnds(ctx context.Context) error {
	for _, job := range d.accepted {
		if job.WantState == jobs.Cancelled {
			if err := d.client.AwaitState(ctx, job.ID, jobs.Running); err != nil {
				return errs.Pass(err, "finish")
			}
			if err := d.client.Cancel(ctx, job.ID); err != nil {
				return errs.Pass(err, "finish")
			}
		}
		if err := d.client.AwaitState(ctx, job.ID, job.WantState); err != nil {
			return errs.Pass(err, "finish")
		}
	}
	d.logf("all %d jobs have come to their states", len(d.accepted))
	return nil
}
