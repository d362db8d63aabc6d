package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// TestJobsOfChangedQueue guards against an accepted job that is never started because its queue was renamed or removed.
func TestJobsOfChangedQueue(t *testing.T) {
	renamed := testConfig(2, 3).Queues[0]
	renamed.Name = "renamed"
	removal := jobs.Configure{Base: 1, Version: 2, Digest: "removal", RemoveQueues: []string{"q"}}
	renaming := removal
	renaming.Queues = []jobs.Queue{renamed}
	moved := renaming
	moved.Queues = []jobs.Queue{renamed}
	moved.Queues[0].Service = "other"
	moved.Services = []jobs.Service{{Name: "other"}}
	for _, tt := range []struct {
		name   string
		change jobs.Configure
		worker string
	}{
		{"removed", removal, "w"},
		{"renamed", renaming, "w"},
		{"replaced by one of another service", moved, "v"},
	} {
		Convey("Each step of a job is started if its queue was "+tt.name, t, func() {
			for _, startsBefore := range []bool{false, true} {
				c := newReadyCluster()
				other := testWorker("v")
				other.Service = "other"
				c.register(other)
				c.runPasses()
				c.answerAll(nil)
				spec := jobs.Spec{ID: "j", Steps: []jobs.Step{{Count: 1}, {Count: 1, After: []int{0}}},
					Location: &jobs.Location{Host: "h", Path: "/p/j"}}
				_, err := c.table.Submit(jobs.Submit{Spec: spec, At: c.wall()})
				So(err, ShouldBeNil)
				if startsBefore {
					c.runPasses()
					c.accept()
					_, err := c.table.Progress(testTerm, jobs.Progress{Term: testTerm, Ends: []jobs.End{
						{Key: c.starts[0].Order.Key, Worker: "w", Reason: jobs.EndDone}}})
					So(err, ShouldBeNil)
				}
				must(c.table.Configure(tt.change))
				c.runPasses()
				So(c.starts, ShouldHaveLength, 1)
				So(c.starts[0].Worker.ID, ShouldEqual, tt.worker)
			}
		})
	}
}

func TestJobsWaitForQueueRemovedBeforeSchemas(t *testing.T) {
	Convey("A job that lost its queue before schemas is started once a configuration adds the queue again", t, func() {
		c := newReadyCluster()
		c.table.Schema = 0 // as a release without schemas wrote it
		c.submit("j", jobs.Step{Count: 1})
		So(c.table.Configure(jobs.Configure{Base: 1, Version: 2, RemoveQueues: []string{"q"}}), ShouldBeNil)
		c.runPasses()
		So(c.starts, ShouldBeEmpty)
		So(c.table.Configure(testConfig(3, 3)), ShouldBeNil)
		c.runPasses()
		So(len(c.starts), ShouldEqual, 1)
	})
}

func TestCriticalPath(t *testing.T) {
	Convey("The critical path is the duration of the longest chain of dependent steps, given", t, func() {
		step := func(estimate time.Duration, after ...int) jobs.Step {
			return jobs.Step{Estimate: estimate, After: after}
		}
		diamond := []jobs.Step{step(time.Second), step(3*time.Second, 0), step(2*time.Second, 0), step(time.Second, 1, 2)}
		for _, tt := range []struct {
			name  string
			steps []jobs.Step
			want  time.Duration
			from  []time.Duration // by first step
		}{
			{"no steps", nil, 0, nil},
			{"a step without an estimate", []jobs.Step{step(0)}, minEstimate, []time.Duration{minEstimate}},
			{"independent steps", []jobs.Step{step(time.Second), step(2 * time.Second)}, 2 * time.Second,
				[]time.Duration{time.Second, 2 * time.Second}},
			{"a chain", []jobs.Step{step(time.Second), step(2*time.Second, 0)}, 3 * time.Second,
				[]time.Duration{3 * time.Second, 2 * time.Second}},
			{"a diamond", diamond, 5 * time.Second,
				[]time.Duration{5 * time.Second, 4 * time.Second, 3 * time.Second, time.Second}},
		} {
			Convey(tt.name, func() {
				So(criticalPath(tt.steps), ShouldEqual, tt.want)
				for first, want := range tt.from {
					So(criticalPathFrom(tt.steps, first), ShouldEqual, want)
				}
			})
		}
	})
}

func TestQueueOrder(t *testing.T) {
	Convey("Units are ordered by priority, then latest start, then job sequence; expired ones are last", t, func() {
		wall := time.Unix(1_000_000, 0)
		newUnit := func(id string, priority int, sequence uint64, latestStart time.Duration) *unit {
			return &unit{job: &jobs.Job{Spec: jobs.Spec{ID: id}, Sequence: sequence}, queue: &jobs.Queue{Priority: priority},
				latestStart: wall.Add(latestStart), expiresAt: wall.Add(time.Hour)}
		}
		expired := newUnit("expired", 0, 1, 0)
		expired.expiresAt = wall.Add(-time.Second)
		core := New(Defaults())
		for _, u := range []*unit{
			expired, newUnit("low", 1, 2, 0), newUnit("late", 0, 3, time.Minute), newUnit("second", 0, 5, 0),
			newUnit("first", 0, 4, 0),
		} {
			core.activeJobs[u.job.Spec.ID] = &job{units: []*unit{u}}
		}
		var order []string
		for _, u := range core.dueUnits(wall) {
			order = append(order, u.job.Spec.ID)
		}
		So(order, ShouldResemble, []string{"first", "second", "late", "low", "expired"})
	})
}
