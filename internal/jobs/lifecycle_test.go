package jobs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/exhaustive"
)

func TestCancel_handles(t *testing.T) {
	Convey("A cancelled job starts no task and keeps each handle until the end of its run", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", oneCore(2)))
		first := startOf(taskOf("j", 0, 0), 1, "w1")
		So(table.start(first), ShouldResemble, []bool{true})
		state, err := table.Cancel(Cancel{ID: "j", At: noon.Add(time.Second)})
		So(err, ShouldBeNil)
		So(state, ShouldEqual, Cancelled)
		So(job.EndedAt, ShouldEqual, noon.Add(time.Second))
		So(job.Rounds, ShouldNotBeNil)
		So(table.start(startOf(taskOf("j", 0, 1), 1, "w1")), ShouldResemble, []bool{false})
		table.Purge(noon.Add(time.Hour))
		So(table.Jobs["j"], ShouldNotBeNil)
		table.end(endOf(first, EndFailed))
		So(job.State, ShouldEqual, Cancelled)
		So(job.Rounds, ShouldBeNil)
		So(job.Spec.Steps, ShouldBeNil)
		So(job.Spec.Payload, ShouldBeEmpty)
		So(job.Digest, ShouldEqual, "digest of j")
		state, err = table.Cancel(Cancel{ID: "j", At: noon.Add(time.Hour)})
		So(err, ShouldBeNil)
		So(state, ShouldEqual, Cancelled)
		So(job.EndedAt, ShouldEqual, noon.Add(time.Second))
		table.Purge(noon.Add(time.Second))
		So(table.Jobs["j"], ShouldNotBeNil)
		table.Purge(noon.Add(time.Second + 1))
		So(table.Jobs["j"], ShouldBeNil)
		_, err = table.Cancel(Cancel{ID: "j", At: noon})
		So(err, shouldBeKind, errs.Unknown)
	})
}

func TestCancel_lastAttempt(t *testing.T) {
	Convey("A cancelled job stays cancelled when a task that was still running fails for the last time", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", oneCore(1)))
		first, second := startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 0), 2, "w1")
		table.start(first)
		table.end(endOf(first, EndFailed))
		So(table.start(second), ShouldResemble, []bool{true})
		_, err := table.Cancel(Cancel{ID: "j", At: noon})
		So(err, ShouldBeNil)
		table.end(endOf(second, EndFailed))
		So(job.State, ShouldEqual, Cancelled)
		So(job.EndedAt, ShouldEqual, noon)
	})
}

func TestCancel_terminalOrQueued(t *testing.T) {
	Convey("Cancelling a succeeded job has no effect; cancelling a queued job removes it from QueuedCount", t, func() {
		table := testTable()
		table.mustSubmit(testJob("j", oneCore(1)))
		table.mustSubmit(testJob("k", oneCore(1)))
		start := startOf(taskOf("j", 0, 0), 1, "w1")
		table.start(start)
		So(table.QueuedCount("plain"), ShouldEqual, 1)
		table.end(endOf(start, EndDone))
		state, err := table.Cancel(Cancel{ID: "j", At: noon})
		So(err, ShouldBeNil)
		So(state, ShouldEqual, Succeeded)
		_, err = table.Cancel(Cancel{ID: "k", At: noon})
		So(err, ShouldBeNil)
		So(table.QueuedCount("plain"), ShouldEqual, 0)
	})
}

func TestPurge_order(t *testing.T) {
	Convey("Jobs that ended before a time are deleted by end time, in whatever order they were cancelled", t, func() {
		exhaustive.Permutations(4, func(order []int) {
			table := testTable()
			for i := range 4 {
				table.mustSubmit(testJob(fmt.Sprint(i), oneCore(1)))
			}
			for _, i := range order {
				_, err := table.Cancel(Cancel{ID: fmt.Sprint(i), At: noon.Add(time.Duration(i) * time.Second)})
				must(err)
			}
			for _, each := range []*Table{table.decodedCopy(), table} {
				var deleted string
				each.OnEvent = func(event Event) { deleted += event.Name }
				each.Purge(noon.Add(3 * time.Second))
				if deleted != "012" || len(each.Jobs) != 1 {
					panic(fmt.Sprint(order, deleted))
				}
			}
		})
	})
}

func TestPurge_lastHandle(t *testing.T) {
	Convey("A job that succeeds with the end of its last run is retired once, and Purge deletes it once", t, func() {
		table := testTable()
		table.mustSubmit(testJob("j", oneCore(1)))
		start := startOf(taskOf("j", 0, 0), 1, "w1")
		table.start(start)
		table.end(endOf(start, EndDone))
		var events []Event
		table.OnEvent = func(event Event) { events = append(events, event) }
		table.Purge(noon.Add(time.Hour))
		So(events, ShouldResemble, []Event{{JobChanged, "j"}})
		Convey("and a new job with its ID is not deleted in its place", func() {
			So(table.mustSubmit(testJob("j", oneCore(1))).Sequence, ShouldEqual, 2)
			table.Purge(noon.Add(time.Hour))
			So(table.Jobs["j"], ShouldNotBeNil)
		})
	})
}
