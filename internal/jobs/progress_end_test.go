package jobs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEnds(t *testing.T) {
	Convey("Given a running task", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", oneCore(2)))
		start := startOf(taskOf("j", 0, 0), 1, "w1")
		So(table.start(start), ShouldResemble, []bool{true})
		So(job.State, ShouldEqual, Running)
		task := &job.Rounds[0][0][0]
		Convey("an end without a matching handle changes nothing", func() {
			before := table.bytes()
			other := startOf(taskOf("j", 0, 0), 1, "w2")
			for _, unknown := range []Start{
				other, startOf(start.Task, 2, "w1"), startOf(taskOf("j", 0, 1), 1, "w1"),
				startOf(taskOf("k", 0, 0), 1, "w1"), startOf(taskOf("j", 7, -1), 1, "w1"),
			} {
				table.end(endOf(unknown, EndDone))
				So(table.bytes(), ShouldEqual, before)
			}
		})
		Convey("done is final, and the job succeeds when its last task is done, at the time of that change", func() {
			table.end(endOf(start, EndDone), endOf(start, EndFailed))
			So(*task, ShouldResemble, Task{Done: true, LastRun: 1})
			So(table.start(startOf(start.Task, 2, "w1")), ShouldResemble, []bool{false})
			second := startOf(taskOf("j", 0, 1), 1, "w1")
			table.start(second)
			So(job.State, ShouldEqual, Running)
			table.end(endOf(second, EndDone))
			So(job.State, ShouldEqual, Succeeded)
			So(job.EndedAt, ShouldEqual, noon.Add(time.Minute))
			So(job.Rounds, ShouldBeNil)
			So(table.RunsOn("w1"), ShouldBeEmpty)
		})
		Convey("after any end but done or failed it is due again from its newest checkpoint, without a failure", func() {
			for number, reason := range []EndReason{
				EndStopped, EndLeaseExpired, EndGangBroken, EndGangTimeout, EndLost,
			} {
				run := startOf(start.Task, number+1, "w1")
				if number > 0 {
					So(table.start(startOf(start.Task, number, "w1")), ShouldResemble, []bool{false})
					So(table.start(run), ShouldResemble, []bool{true})
				}
				end := endOf(run, reason)
				if number < 2 {
					end.Checkpoint = fmt.Sprint("at ", number)
				}
				table.end(end)
				So(*task, ShouldResemble, Task{LastRun: number + 1, Checkpoint: fmt.Sprint("at ", min(number, 1))})
			}
			So(job.State, ShouldEqual, Running)
		})
		Convey("its failed runs are counted", func() {
			table.end(endOf(start, EndFailed))
			So(task.Failures, ShouldEqual, 1)
			restart := startOf(start.Task, 2, "w2")
			other := startOf(taskOf("j", 0, 1), 1, "w1")
			table.start(restart, other)
			Convey("at the queue's MaxAttempts the job fails; its other handles stay", func() {
				table.end(endOf(restart, EndFailed))
				So(job.State, ShouldEqual, Failed)
				So(job.Rounds, ShouldNotBeNil)
				So(table.RunsOn("w1"), ShouldHaveLength, 1)
				table.end(endOf(other, EndFailed))
				So(job.State, ShouldEqual, Failed)
				So(job.Rounds, ShouldBeNil)
			})
			Convey("if its queue is removed, the job fails at the MaxAttempts of its last queue", func() {
				must(table.Configure(Configure{Base: 5, Version: 6, RemoveQueues: []string{"plain"}}))
				table.end(endOf(restart, EndFailed))
				So([]any{task.Failures, job.State}, ShouldResemble, []any{2, Failed})
				So(table.start(startOf(start.Task, 3, "w1")), ShouldResemble, []bool{false})
			})
			Convey("if its queue was removed before schemas, it fails at the next start after the queue is restored", func() {
				table.Schema = 0 // as a release without schemas wrote it
				must(table.Configure(Configure{Base: 5, Version: 6, RemoveQueues: []string{"plain"}}))
				table.end(endOf(restart, EndFailed))
				So(task.Failures, ShouldEqual, 2)
				So(job.State, ShouldEqual, Running)
				third := startOf(start.Task, 3, "w1")
				So(table.start(third), ShouldResemble, []bool{false})
				must(table.Configure(Configure{Base: 6, Version: 7, Queues: testConfig().Queues}))
				So(job.State, ShouldEqual, Running)
				So(table.start(third), ShouldResemble, []bool{false})
				So(job.State, ShouldEqual, Failed)
				So(task.Handles, ShouldBeEmpty)
			})
		})
	})
}

func TestEnds_longRunning(t *testing.T) {
	Convey("A long-running task is due again after any end", t, func() {
		table := testTable()
		step := oneCore(1)
		step.LongRunning = true
		job := table.mustSubmit(testJob("j", step))
		for number, reason := range []EndReason{EndFailed, EndFailed, EndFailed, EndDone, EndStopped} {
			start := startOf(taskOf("j", 0, 0), number+1, "w1")
			So(table.start(start), ShouldResemble, []bool{true})
			table.end(endOf(start, reason))
			So(job.Rounds[0][0][0], ShouldResemble, Task{LastRun: number + 1})
			So(job.State, ShouldEqual, Running)
		}
	})
}
