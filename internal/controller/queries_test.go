package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/state/command"
)

func TestQueriesReachTheLeader(t *testing.T) {
	Convey("Calls by ID reach the leader exactly once, and Workers and Topology work on any node", t, func() {
		nodes, caller, stop := startCluster(2)
		defer stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		follower, leader := nodes[0], nodes[1]
		client := NewClient(longAttemptOptions(caller, "", follower.addr))
		view, err := client.Show(ctx, ShowCall{ID: "a"})
		So([]any{view.ID, err}, ShouldResemble, []any{"a", nil})
		answer, err := client.Cancel(ctx, CancelCall{ID: "b"})
		So([]any{answer.State, err}, ShouldResemble, []any{jobs.Cancelled, nil})
		list, err := client.List(ctx, ListCall{Queue: "q"})
		So([]any{list.More, err}, ShouldResemble, []any{true, nil})
		queues, err := client.Queues(ctx, QueuesCall{})
		So([]any{queues.Queues[0].Name, err}, ShouldResemble, []any{"q", nil})
		So(leader.drainCalls(), ShouldResemble, []string{"show a", "cancel b", "list q", "queues"})
		relay := NewRelay(follower, NewClient(longAttemptOptions(caller, follower.addr, leader.addr)), follower.addr)
		workers, err := relay.Workers(ctx, WorkersCall{})
		So([]any{workers.Evacuated, err}, ShouldResemble, []any{[]string{"z"}, nil})
		topology, err := relay.Topology(ctx, TopologyCall{})
		So([]any{topology.Leader, err}, ShouldResemble, []any{leader.addr, nil})
		So(leader.drainCalls(), ShouldResemble, []string{"workers"})
		So(len(follower.drainCalls()), ShouldEqual, 0)
	})
}

// gatheredMetrics returns one line per metric of a registry: name, labels and value.
func gatheredMetrics(registry *prometheus.Registry) []string {
	families, err := registry.Gather()
	So(err, ShouldBeNil)
	var lines []string
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			line := family.GetName()
			for _, label := range metric.GetLabel() {
				line += " " + label.GetName() + "=" + label.GetValue()
			}
			value := metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
			lines = append(lines, fmt.Sprintf("%s %g", line, value))
		}
	}
	return lines
}

// newQueriedLeader returns a leader with queues a and b, jobs j1 to j3 and a worker that runs one task of j2.
func newQueriedLeader() (*Leader, *fakeStore) {
	store := newFakeStore()
	leader := NewLeader(LeaderOptions{
		Store: store, Config: scheduler.Defaults(), Clock: &clock.Virtual{}, Logger: log.NewNopLogger(),
	})
	ctx := context.Background()
	So(errs.KindOf(submitTo(leader, "a", "early")), ShouldEqual, errs.Unavailable) // no configuration yet
	_, err := leader.Configure(ctx, jobs.Configure{Version: 1, Replace: true,
		Services: []jobs.Service{{Name: "s"}}, Queues: []jobs.Queue{
			{Name: "a", Prefix: "/a/", Service: "s", MaxAttempts: 2, Timeout: time.Hour},
			{Name: "b", Prefix: "/b/", Service: "s", Priority: 3, MaxAttempts: 2, Timeout: time.Hour}}})
	So(err, ShouldBeNil)
	So(submitTo(leader, "a", "j2"), ShouldBeNil)
	So(submitTo(leader, "b", "j1"), ShouldBeNil)
	So(submitTo(leader, "a", "j3"), ShouldBeNil)
	worker := jobs.Worker{ID: "w", Service: "s", Zone: "z", Capacity: jobs.Resources{MilliCPU: 1000}}
	_, err = leader.Heartbeat(ctx, HeartbeatCall{Sequence: 1, Worker: worker})
	So(err, ShouldBeNil)
	task := jobs.TaskRef{Job: "j2", Index: 1}
	_, _, err = store.ProposeIn(ctx, store.term, &command.JobProgress{Progress: jobs.Progress{Term: store.term,
		Starts: []jobs.Start{{Task: task, Number: 1, Worker: "w"}}}})
	So(err, ShouldBeNil)
	return leader, store
}

// submitTo submits a job with three tasks to a queue.
func submitTo(leader *Leader, queue, id string) error {
	spec := jobs.Spec{ID: id, Queue: queue, Steps: []jobs.Step{{Count: 3, Needs: jobs.Resources{MilliCPU: 100}}}}
	_, err := leader.Submit(context.Background(), SubmitCall{Spec: spec, Digest: id})
	return err
}

func TestLeaderQueries(t *testing.T) {
	Convey("Given a leader with two queues and a worker", t, func() {
		leader, store := newQueriedLeader()
		ctx := context.Background()

		Convey("the queue named by a spec must exist", func() {
			err := submitTo(leader, "c", "j4")
			So([]any{errs.KindOf(err), errs.Of(err).Field}, ShouldResemble, []any{errs.Unknown, "queue"})
		})
		Convey("Show returns a job with its progress", func() {
			view, err := leader.Show(ctx, ShowCall{ID: "j2"})
			So(err, ShouldBeNil)
			So([]any{view.Queue, view.State, view.Steps}, ShouldResemble,
				[]any{"a", jobs.Running, []StepView{{Tasks: 3, Running: 1}}})
			_, err = leader.Show(ctx, ShowCall{ID: "none"})
			So(errs.KindOf(err), ShouldEqual, errs.Unknown)
		})
		Convey("Cancel cancels a job by ID and is idempotent", func() {
			for range 2 {
				answer, err := leader.Cancel(ctx, CancelCall{ID: "j1"})
				So([]any{answer.State, err}, ShouldResemble, []any{jobs.Cancelled, nil})
			}
			_, err := leader.Cancel(ctx, CancelCall{ID: "none"})
			So(errs.KindOf(err), ShouldEqual, errs.Unknown)
		})
		Convey("List filters jobs and returns them sorted by ID, in pages", func() {
			for _, c := range []struct {
				call ListCall
				want []string
				more bool
			}{
				{ListCall{Limit: 9}, []string{"j1", "j2", "j3"}, false},
				{ListCall{Limit: 2}, []string{"j1", "j2"}, true},
				{ListCall{Limit: 2, After: "j2"}, []string{"j3"}, false},
				{ListCall{Limit: 9, Queue: "a"}, []string{"j2", "j3"}, false},
				{ListCall{Limit: 9, State: jobs.Running}, []string{"j2"}, false},
				{ListCall{Limit: 9, State: jobs.Failed}, nil, false},
			} {
				answer, err := leader.List(ctx, c.call)
				So(err, ShouldBeNil)
				var got []string
				for _, job := range answer.Jobs {
					got = append(got, job.ID)
				}
				So([]any{got, answer.More}, ShouldResemble, []any{c.want, c.more})
			}
		})
		Convey("queues are listed with the number of waiting jobs", func() {
			answer, err := leader.Queues(ctx, QueuesCall{})
			So(err, ShouldBeNil)
			So(answer.Queues, ShouldResemble, []QueueView{
				{Name: "a", Service: "s", Waiting: 1},
				{Name: "b", Service: "s", Priority: 3, Waiting: 1},
			})
		})
		Convey("the metrics count queues, workers and runs", func() {
			registry := prometheus.NewRegistry()
			registry.MustRegister(NewMetrics(leader))
			So(gatheredMetrics(registry), ShouldResemble, []string{
				"crosstide_jobs_config_version 1", "crosstide_jobs_leads 1", "crosstide_jobs_runs zone=z 1",
				"crosstide_jobs_waiting queue=a 1", "crosstide_jobs_waiting queue=b 1",
				"crosstide_jobs_workers state=ready zone=z 1"})
			leader.latestHealth.Store(&scheduler.Health{Discarded: map[scheduler.Cause]scheduler.Discarded{
				scheduler.CauseMoved: {Runs: 2, CoreSeconds: 7},
			}})
			So(gatheredMetrics(registry), ShouldContain, "crosstide_jobs_discarded_runs_total cause=moved 2")
			So(gatheredMetrics(registry), ShouldContain, "crosstide_jobs_discarded_core_seconds_total cause=moved 7")
			store.term = 0
			So(gatheredMetrics(registry), ShouldResemble, []string{"crosstide_jobs_leads 0"})
		})
		Convey("workers are listed with the resources that their runs use", func() {
			_, err := leader.Evacuate(ctx, jobs.Evacuate{Zone: "z", Start: true})
			So(err, ShouldBeNil)
			answer, err := leader.Workers(ctx, WorkersCall{})
			So(err, ShouldBeNil)
			So([]any{answer.Workers[0].ID, answer.Workers[0].Used, answer.Workers[0].Runs, answer.Evacuated}, ShouldResemble,
				[]any{"w", jobs.Resources{MilliCPU: 100}, 1, []string{"z"}})
		})
	})
}
