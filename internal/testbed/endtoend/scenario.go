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
	scenarioTimeout = 2 * time.Minute
	awaitTimeout    = 30 * time.Second
	timedDelay      = 3 * time.Second // from the submission of the timed job until it is due
	failoverJobs    = 10              // submitted after the leader was killed
	failoverTime    = 5 * time.Second // after which the control plane counts as undisturbed
	evacuatedZone   = "z2"
	evacuationJobs  = 20 // submitted while the zone is evacuated
)

// Result is the outcome of a scenario.
type Result struct {
	Report
	Accepted   int           // accepted jobs
	AcceptedIn time.Duration // from the kill of the leader to the first job accepted after it
}

// Run runs the scenario on processes that have just been started: it submits a mix of jobs, drains one worker, kills
// the leader and submits jobs during the failover, and evacuates a zone. Then it waits until every job is in its
// expected state, stops the processes and audits their journals. It writes its progress to out.
func Run(ctx context.Context, plan Plan, processes *Processes, out io.Writer) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	caller := rpc.NewClient(rpc.ClientOptions{})
	defer caller.Close()
	s := &scenario{plan: plan, processes: processes, out: out, clock: clock.Real{},
		client: newClient(caller, clock.Real{}, plan.FrontAddrs, plan.ControlAddrs)}
	s.startedAt = s.clock.Now()
	for _, phase := range []func(context.Context) error{
		s.prepare, s.submitJobs, s.drainWorker, s.killLeader, s.evacuate, s.awaitEnds,
	} {
		if err := phase(ctx); err != nil {
			return s.result, errs.Pass(err, "drill")
		}
	}
	processes.Stop()
	events, err := readEvents(plan.Dir)
	if err != nil {
		return s.result, errs.Pass(err, "drill")
	}
	if s.result.Report, err = Audit(s.accepted, s.evacuations, events); err != nil {
		return s.result, errs.Pass(err, "drill")
	}
	idle, err := AuditIdle(s.accepted, s.evacuations, s.disturbances, events)
	s.result.Violations = append(s.result.Violations, idle...)
	s.result.Accepted = len(s.accepted)
	return s.result, errs.Pass(err, "drill")
}

// scenario is a scenario in progress. Its phases run one after the other.
type scenario struct {
	plan        Plan
	processes   *Processes
	client      *client
	clock       clock.Clock
	out         io.Writer
	startedAt   time.Duration
	accepted    []Job
	evacuations []Evacuation
	result      Result

	disturbances []Disturbance
}

// logf writes a line of progress.
func (s *scenario) logf(format string, args ...any) {
	elapsed := (s.clock.Now() - s.startedAt).Seconds()
	fmt.Fprintf(s.out, "%6.2fs  %s\n", elapsed, fmt.Sprintf(format, args...))
}

// await polls until condition returns true, then logs description. Failures: Timeout, those of condition.
func (s *scenario) await(ctx context.Context, description string,
	condition func(ctx context.Context) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		ok, err := condition(ctx)
		if err != nil {
			return errs.Pass(err, "%s", description)
		}
		if ok {
			s.logf("%s", description)
			return nil
		}
		if !s.client.sleep(ctx) {
			return errs.New(errs.Timeout, "condition not met within %s: %s", awaitTimeout, description)
		}
	}
}

// prepare applies the configuration, which requires a leader, and waits until all workers are registered.
func (s *scenario) prepare(ctx context.Context) error {
	if err := s.client.Configure(ctx, http.MethodPut, configuration(0)); err != nil {
		return errs.Pass(err, "settle")
	}
	s.logf("configuration applied")
	return errs.Pass(s.await(ctx, "all workers registered", func(ctx context.Context) (bool, error) {
		workers, err := s.client.Workers(ctx)
		return len(workers.Workers) == len(s.plan.Shapes), errs.Pass(err, "workers")
	}), "settle")
}

func (s *scenario) submit(ctx context.Context, list ...Job) error {
	for _, job := range list {
		if err := s.client.Submit(ctx, job); err != nil {
			return errs.Pass(err, "submit job %s", job.ID)
		}
		job.AcceptedAt = s.clock.Wall()
		s.accepted = append(s.accepted, job)
	}
	return nil
}

// submitJobs fills the workers with a low-priority job and submits a mix of jobs.
func (s *scenario) submitJobs(ctx context.Context) error {
	if err := s.submit(ctx, bulkJob(len(s.plan.Shapes))); err != nil {
		return errs.Pass(err, "bulk")
	}
	err := s.await(ctx, "low-priority job running", func(ctx context.Context) (bool, error) {
		view, err := s.client.Show(ctx, "bulk")
		return len(view.Steps) > 0 && view.Steps[0].Running > 0, errs.Pass(err, "bulk")
	})
	if err != nil {
		return errs.Pass(err, "bulk")
	}
	if err := s.submit(ctx, append(mixedJobs(s.clock.Wall().Add(timedDelay)), longRunningJob())...); err != nil {
		return errs.Pass(err, "mix")
	}
	s.logf("%d jobs accepted", len(s.accepted))
	return nil
}

// drainWorker signals the last worker to leave and waits until the leader reports a worker as draining or gone.
func (s *scenario) drainWorker(ctx context.Context) error {
	name := s.plan.Shapes[len(s.plan.Shapes)-1].Name
	s.disturbances = append(s.disturbances, Disturbance{Worker: name, From: s.clock.Wall()})
	if err := s.processes.Signal(name, syscall.SIGTERM); err != nil {
		return errs.Pass(err, "leave")
	}
	return errs.Pass(s.await(ctx, name+" draining", func(ctx context.Context) (bool, error) {
		workers, err := s.client.Workers(ctx)
		draining := 0
		for _, w := range workers.Workers {
			if w.State != "ready" {
				draining++
			}
		}
		return draining > 0 || len(workers.Workers) < len(s.plan.Shapes), errs.Pass(err, "workers")
	}), "leave")
}

// killLeader kills the leader, submits jobs at once, and restarts the node.
func (s *scenario) killLeader(ctx context.Context) error {
	topology, err := s.client.Topology(ctx)
	if err != nil {
		return errs.Pass(err, "leader")
	}
	leader := s.plan.NamesByAddr[topology.Leader]
	if leader == "" {
		return errs.New(errs.Unavailable, "leader address %q is not that of a control plane", topology.Leader)
	}
	killed := s.clock.Now()
	killedAt := s.clock.Wall()
	s.disturbances = append(s.disturbances, Disturbance{From: killedAt, To: killedAt.Add(failoverTime)})
	if err := s.processes.Signal(leader, syscall.SIGKILL); err != nil {
		return errs.Pass(err, "leader")
	}
	s.logf("leader %s killed", leader)
	for i, job := range numberedJobs("later", failoverJobs) {
		if err := s.submit(ctx, job); err != nil {
			return errs.Pass(err, "after the kill")
		}
		if i == 0 {
			s.result.AcceptedIn = s.clock.Now() - killed
		}
	}
	s.logf("%d more jobs accepted, the first %s after the kill", failoverJobs,
		s.result.AcceptedIn.Round(time.Millisecond))
	if !s.processes.Wait(ctx, leader) {
		return errs.New(errs.Timeout, "%s did not exit after the kill", leader)
	}
	return errs.Pass(s.processes.Launch(leader), "restart %s", leader)
}

// evacuate evacuates a zone, submits jobs, waits until they have succeeded in other zones, and restores the zone. Runs
// that are in progress in the zone are not moved: they continue there until they end.
func (s *scenario) evacuate(ctx context.Context) error {
	if err := s.client.Zone(ctx, evacuatedZone, "evacuate"); err != nil {
		return errs.Pass(err, "evacuate")
	}
	evacuation := Evacuation{Zone: evacuatedZone, From: s.clock.Wall()}
	submitted := numberedJobs("closed", evacuationJobs)
	if err := s.submit(ctx, submitted...); err != nil {
		return errs.Pass(err, "evacuate")
	}
	for _, job := range submitted {
		if err := s.client.AwaitState(ctx, job.ID, job.WantState); err != nil {
			return errs.Pass(err, "evacuate")
		}
	}
	evacuation.To = s.clock.Wall()
	s.evacuations = append(s.evacuations, evacuation)
	s.logf("%d jobs succeeded while zone %s was evacuated", evacuationJobs, evacuatedZone)
	return errs.Pass(s.client.Zone(ctx, evacuatedZone, "restore"), "restore")
}

// awaitEnds waits until every job is in its expected state. It cancels the jobs that are expected to be cancelled.
func (s *scenario) awaitEnds(ctx context.Context) error {
	for i, job := range s.accepted {
		if job.WantState == jobs.Cancelled {
			if err := s.client.AwaitState(ctx, job.ID, jobs.Running); err != nil {
				return errs.Pass(err, "finish")
			}
			s.accepted[i].CancelledAt = s.clock.Wall()
			if err := s.client.Cancel(ctx, job.ID); err != nil {
				return errs.Pass(err, "finish")
			}
		}
		if err := s.client.AwaitState(ctx, job.ID, job.WantState); err != nil {
			return errs.Pass(err, "finish")
		}
	}
	s.logf("all %d jobs reached their expected states", len(s.accepted))
	return nil
}
