package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/controller"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/jobs"
	"crosstide/internal/jobsnode"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/storage"
	"crosstide/internal/store"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/jobsworker"
)

// testSystem is one control plane, one data plane and workers, all in this process on loopback.
type testSystem struct {
	client      *client
	workers     []*jobsworker.Host
	stopWorkers []func() // of each worker
	dir         string
	group       *routine.Group
	stopNodes   context.CancelFunc
	caller      *rpc.Client
}

func local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func startSystem(dir string, shapes []Shape) *testSystem {
	ports, err := fleet.FreePorts(3)
	So(err, ShouldBeNil)
	internalAddr, controlAddr, frontAddr := local(ports[0]), local(ports[1]), local(ports[2])
	set := config.DefaultControlPlane()
	set.Name, set.Zone, set.Region, set.Addr, set.Data = "c1", "z1", "r", internalAddr, dir
	set.Seeds, set.Members = []string{internalAddr}, []config.Member{{ID: "c1", Addr: internalAddr, Zone: "z1"}}
	logger := log.NewNopLogger()
	ctx, stopNodes := context.WithCancel(context.Background())
	controlPlane, err := jobsnode.NewControlPlaneNode(ctx, jobsnode.ControlPlaneOptions{
		Store: set, Scheduler: scheduler.Defaults(), ControlAddress: controlAddr, Logger: logger,
		OpenStore: func(ctx context.Context, opt store.Options, _ log.Logger) (*store.Store, error) {
			disk, err := storage.OSDisk(filepath.Join(dir, "store"))
			if err != nil {
				return nil, errs.Pass(err, "disk")
			}
			opt.Disk = disk
			opened, err := store.OpenRetryingFullDisk(ctx, opt)
			return opened, errs.Pass(err, "store")
		},
		Workers:      func(leases, starts *rpc.Client) scheduler.Workers { return workerapi.NewClient(leases, starts, 0) },
		ServeControl: func(s *rpc.Server, relay *controller.Relay) { jobsapi.RegisterControl(s, relay, 0) },
	})
	So(err, ShouldBeNil)
	dataPlane, err := jobsnode.NewDataPlaneNode(jobsnode.DataPlaneOptions{
		ControlPlaneAddresses: []string{internalAddr}, Address: frontAddr, Logger: logger, Grace: time.Second,
		ServeClients: func(s *rpc.Server, client *controller.Client) { jobsapi.RegisterClients(s, client, 0) },
		ServeReady:   func(*rpc.Server, func() error) {}})
	So(err, ShouldBeNil)
	s := &testSystem{dir: dir, group: routine.New(context.Background()), stopNodes: stopNodes,
		caller: rpc.NewClient(rpc.ClientOptions{})}
	s.client = newClient(s.caller, clock.Real{}, []string{frontAddr}, []string{controlAddr})
	s.group.Go(func(context.Context) { _ = controlPlane.Run(ctx) })
	s.group.Go(func(context.Context) { _ = dataPlane.Run(ctx, nil) })
	for _, shape := range shapes {
		s.startWorker(shape, controlAddr)
	}
	return s
}

func (s *testSystem) startWorker(shape Shape, controlAddr string) {
	settings := shape.settings("127.0.0.1:0", []string{controlAddr}, filepath.Join(s.dir, "journal", shape.Name+".jsonl"))
	settings.HeartbeatInterval, settings.Grace = 200*time.Millisecond, time.Second
	host, err := jobsworker.Open(settings, clock.Real{}, log.NewNopLogger())
	So(err, ShouldBeNil)
	ctx, stop := context.WithCancel(context.Background())
	s.group.Go(func(context.Context) { _ = host.Run(ctx) })
	s.workers, s.stopWorkers = append(s.workers, host), append(s.stopWorkers, stop)
}

// untilStarted waits until the workers' journals show the given number of runs of a job in progress. The leader shows
// a task as running once its handle is committed, which is before the start order arrives: a worker that drains in
// between refuses the start.
func (s *testSystem) untilStarted(ctx context.Context, id string, runs int) error {
	for {
		events, err := readEvents(s.dir)
		if err != nil {
			return errs.Pass(err, "started")
		}
		if startedRuns(events, id) == runs {
			return nil
		}
		if !s.client.sleep(ctx) {
			return errs.New(errs.Timeout, "job %s: not as many runs in progress as expected, according to the journals", id)
		}
	}
}

// startedRuns returns how many runs of a job have begun and not ended.
func startedRuns(events []jobsworker.Event, id string) int {
	runs := 0
	for _, e := range events {
		switch {
		case e.Run.Job != id:
		case e.Event == jobsworker.EventRunStart:
			runs++
		case e.Event == jobsworker.EventRunEnd:
			runs--
		}
	}
	return runs
}

// untilRunning waits until the leader shows the given number of tasks of a job's first step as running.
func (s *testSystem) untilRunning(ctx context.Context, id string, tasks int) error {
	for {
		view, err := s.client.Show(ctx, id)
		if err != nil {
			return errs.Pass(err, "running")
		}
		if len(view.Steps) > 0 && view.Steps[0].Running == tasks {
			return nil
		}
		if !s.client.sleep(ctx) {
			return errs.New(errs.Timeout, "job %s: not as many tasks running as expected, according to the leader", id)
		}
	}
}

// close stops the workers, then the nodes, and audits the journals.
func (s *testSystem) close(accepted []Job, evacuations ...Evacuation) Report {
	for _, stop := range s.stopWorkers {
		stop()
	}
	s.stopNodes()
	s.group.Wait()
	s.caller.Close()
	events, err := readEvents(s.dir)
	So(err, ShouldBeNil)
	report, err := Audit(accepted, evacuations, events)
	So(err, ShouldBeNil)
	return report
}

// TestSystem guards against a control plane, data plane and workers that each pass their own tests but lose, repeat or
// misplace tasks together, as when a retried request submits a job twice.
func TestSystem(t *testing.T) {
	Convey("A mix of jobs runs on a control plane, a data plane and workers, and the audit finds no violation", t, func() {
		s := startSystem(t.TempDir(), newShapes(4))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		client := s.client

		So(client.Configure(ctx, http.MethodPut, configuration(0)), ShouldBeNil)
		So(client.Configure(ctx, http.MethodPut, configuration(0)), ShouldBeNil) // a repeated order succeeds
		other := configuration(0).(configOrder)
		other.Queues = other.Queues[:1]
		So(errs.KindOf(client.Configure(ctx, http.MethodPut, other)), ShouldEqual, errs.Stale)
		patch := map[string]any{"base": 1, "remove": map[string]any{"queues": []string{"none"}}}
		So(client.Configure(ctx, http.MethodPatch, patch), ShouldBeNil)
		read, err := client.Config(ctx)
		So([]any{read.Version, len(read.Queues), err}, ShouldResemble, []any{uint64(2), 2, nil})

		accepted := append(mixedJobs(clock.Real{}.Wall().Add(500*time.Millisecond)), longRunningJob())
		for _, job := range accepted {
			So(client.Submit(ctx, job), ShouldBeNil)
			So(client.Submit(ctx, job), ShouldBeNil) // a repeated submission succeeds
		}
		changed := accepted[0]
		changed.Payload = `{"ms":1}`
		So(errs.KindOf(client.Submit(ctx, changed)), ShouldEqual, errs.Conflict)
		for _, job := range accepted {
			if job.WantState != jobs.Cancelled {
				So(client.AwaitState(ctx, job.ID, job.WantState), ShouldBeNil)
			}
		}
		So(client.AwaitState(ctx, "lasting", jobs.Running), ShouldBeNil)
		So(client.Cancel(ctx, "lasting"), ShouldBeNil)
		So(client.AwaitState(ctx, "lasting", jobs.Cancelled), ShouldBeNil)

		// No run starts in an evacuated zone; the job that requires the zone's label runs once the zone is restored.
		So(client.Zone(ctx, "z1", "evacuate"), ShouldBeNil)
		evacuation := Evacuation{Zone: "z1", From: clock.Real{}.Wall()}
		labelled := newJob("waits", Urgent, jobs.Succeeded, jobsworker.Program{MS: 10},
			smallStep(1).with(func(s *Step) { s.Label = "z1-only" }))
		So(client.Submit(ctx, labelled), ShouldBeNil)
		free := newJob("elsewhere", Urgent, jobs.Succeeded, jobsworker.Program{MS: 10}, smallStep(6))
		So(client.Submit(ctx, free), ShouldBeNil)
		So(client.AwaitState(ctx, free.ID, jobs.Succeeded), ShouldBeNil)
		view, err := client.Show(ctx, labelled.ID)
		So([]any{view.State, err}, ShouldResemble, []any{jobs.Queued, nil})
		evacuation.To = clock.Real{}.Wall()
		So(client.Zone(ctx, "z1", "restore"), ShouldBeNil)
		So(client.AwaitState(ctx, labelled.ID, jobs.Succeeded), ShouldBeNil)

		report := s.close(append(accepted, labelled, free), evacuation)
		So(report.Violations, ShouldBeEmpty)
		// The hopeless job fails exactly at its last attempt. The other two may have fewer failed runs than their
		// programs say: a run that would fail is stopped before it does if its start is not answered in time, and the
		// run that replaces it has a higher number. No run of another job fails.
		So(report.Failed["hopeless"], ShouldEqual, Attempts)
		So(report.Failed["retried"], ShouldBeLessThan, Attempts)
		So(report.Failed["gang-retried"], ShouldBeLessThanOrEqualTo, 3)
		failed := report.Failed["hopeless"] + report.Failed["retried"] + report.Failed["gang-retried"]
		So(report.Ends[jobs.EndFailed], ShouldEqual, failed)
	})
}

// TestSystem_preemptionAndDrain guards against runs that lose their progress when the scheduler stops them. The slow job
// occupies all cores, so an urgent job preempts it, and the drain of a worker halves the cores.
func TestSystem_preemptionAndDrain(t *testing.T) {
	Convey("Runs stopped by preemption or by a leaving worker resume from their checkpoints", t, func() {
		s := startSystem(t.TempDir(), newShapes(2))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		So(s.client.Configure(ctx, http.MethodPut, configuration(0)), ShouldBeNil)
		step := Step{Tasks: 8, MilliCPU: 1000, MemoryMB: 32, Estimate: "10m", Checkpoints: true}
		slow := newJob("slow", Normal, jobs.Cancelled, jobsworker.Program{MS: 600_000, SaveMS: 1}, step)
		So(s.client.Submit(ctx, slow), ShouldBeNil)
		So(s.untilRunning(ctx, slow.ID, step.Tasks), ShouldBeNil)
		urgent := newJob("urgent", Urgent, jobs.Succeeded, jobsworker.Program{MS: 10},
			step.with(func(s *Step) { s.Tasks, s.Checkpoints = 2, false }))
		So(s.client.Submit(ctx, urgent), ShouldBeNil)
		So(s.client.AwaitState(ctx, urgent.ID, jobs.Succeeded), ShouldBeNil) // it preempts the slow job
		So(s.untilRunning(ctx, slow.ID, step.Tasks), ShouldBeNil)            // and the slow job resumes
		So(s.untilStarted(ctx, slow.ID, step.Tasks), ShouldBeNil)
		s.stopWorkers[0]()
		So(s.untilRunning(ctx, slow.ID, step.Tasks/2), ShouldBeNil)
		So(s.client.Cancel(ctx, slow.ID), ShouldBeNil)
		report := s.close([]Job{slow, urgent})
		So(report.Violations, ShouldBeEmpty)
		So(report.Ends[jobs.EndStopped], ShouldBeGreaterThanOrEqualTo, step.Tasks+2)
		So(report.Ends[jobs.EndDone], ShouldEqual, 2)
	})
}
